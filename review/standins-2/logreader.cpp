// The reader of a gateway's standard output stops reading for a while. The gateway must go on to answer.

#include "harness.h"

using namespace Review;

namespace {

constexpr std::size_t idLength = 11'500;
constexpr std::chrono::seconds stallTime { 15 };
constexpr milliseconds callInterval { 20 };
constexpr milliseconds callerPatience { 3'000 };
constexpr milliseconds routeTimeout { 1'500 };

std::string makeDocument()
{
    return Json {
        { "version", 1 },
        { "routes",
            { { { "name", "calendar" }, { "host", "h" }, { "path_prefix", "/calendar/" }, { "type", "safe" },
                { "timeout_ms", 1500 }, { "goal_ms", 150 }, { "priority", 1 }, { "service", "app" },
                { "max_attempts", 2 }, { "public", false } } } },
        { "services", { { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 100 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", { { { "name", "ten" }, { "api_keys", { "key" } }, { "priority", 1 } } } }
    }.dump();
}

std::string call(std::uint16_t port, const std::string& request)
{
    Connection connection(connectTo(port));
    connection.setTimeout(callerPatience);
    try {
        connection.send(request);
        return std::to_string(connection.read(true).status());
    } catch (const Ended& ended) {
        return ended.what();
    }
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    const std::string folder = makeFolder();
    Store store;
    const Server app([&](Connection& connection) {
        for (;;) {
            const Message request = connection.read(false);
            connection.send(reply(
                200, "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Response-Signature: s\r\n", "free"));
        }
    });
    store.put("keyed.op", "config", makeDocument());
    store.put("keyed.servers", "i-app", makeEntry("app", app.port(), "hcmc-a", 6, 1).dump());
    int output[2];
    if (::pipe2(output, O_CLOEXEC) != 0)
        return 2;
    std::atomic<bool> isReading { true };
    std::atomic<std::size_t> readBytes { 0 };
    std::thread([&] {
        char data[65536];
        for (;;) {
            if (!isReading) {
                std::this_thread::sleep_for(milliseconds(10));
                continue;
            }
            pollfd ready { output[0], POLLIN, 0 };
            if (::poll(&ready, 1, 10) == 1)
                readBytes += static_cast<std::size_t>(std::max<ssize_t>(0, ::read(output[0], data, sizeof(data))));
        }
    }).detach();
    Gateway gateway("edge-hcmc-a-1", store.port(), folder,
        { { "cpu_share", 0.19 }, { "cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 }, { "link_mbps", 1000.0 },
            { "disk_mb", 0 } },
        output[1]);
    if (!gateway.waitUntilReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(4'000));
    isReading = !hasTrouble();
    record.line(hasTrouble() ? "nobody reads standard output from now on" : "standard output is read all the time");
    const auto end = Clock::now() + stallTime;
    std::map<std::string, int> answers;
    int lateCount = 0;
    int tooLateCount = 0;
    double lastAnswer = seconds();
    double longestGap = 0;
    for (int i = 0; Clock::now() < end; ++i) {
        const std::string number = std::to_string(i);
        const std::string id = std::string(idLength, 'a') + number;
        const auto sentAt = Clock::now();
        const std::string answer = call(gateway.frontPort,
            "GET /calendar/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key\r\n\r\n");
        ++answers[answer];
        const auto elapsed = Clock::now() - sentAt;
        lateCount += elapsed >= routeTimeout ? 1 : 0;
        tooLateCount += elapsed >= routeTimeout + milliseconds(500) ? 1 : 0;
        if (answer == "200") {
            longestGap = std::max(longestGap, seconds() - lastAnswer);
            lastAnswer = seconds();
        } else {
            record.line("caller " + number + " with an id of " + std::to_string(id.size()) + " bytes gets " + answer);
        }
        std::this_thread::sleep_for(callInterval);
    }
    longestGap = std::max(longestGap, seconds() - lastAnswer);
    for (const auto& [answer, number] : answers)
        record.line("callers that get " + answer + ": " + std::to_string(number));
    record.line("GET /readyz gets " + call(gateway.readinessPort, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"));
    record.line("log bytes read " + std::to_string(readBytes) + ", longest time without an answer "
        + std::to_string(longestGap) + " s");
    isReading = true;
    std::this_thread::sleep_for(milliseconds(1'000));
    record.line("the log is read again; a caller gets "
        + call(gateway.frontPort,
            "GET /calendar/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: last\r\nX-Deadline-Ms: 1500\r\n"
            "Authorization: Token key\r\n\r\n"));
    record.line("unanswered at timeout_ms: " + std::to_string(lateCount)
        + ", of which half a second later: " + std::to_string(tooLateCount));
    const bool isBroken = 2 * tooLateCount > lateCount;
    record.line(isBroken ? "BROKEN: the process hangs, and requests have no answer" : "held");
    gateway.kill();
    std::filesystem::remove_all(folder);
    std::quick_exit(isBroken ? 1 : 0);
}
