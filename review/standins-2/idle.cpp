// Clients open connections, send an empty line and stay open. Ordinary callers must still get answers.

#include "harness.h"

#include <set>

using namespace Review;

namespace {

constexpr int connectionCount = 2'100;
constexpr int ordinaryCallers = 10;
constexpr milliseconds callInterval { 200 };
constexpr milliseconds callerPatience { 1'000 };
constexpr std::chrono::seconds attackTime { 12 };
constexpr milliseconds stabilityWindow { 3'000 };

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

// An ordinary request on a connection of its own.
std::string call(std::uint16_t port, const std::string& request, milliseconds patience)
{
    Connection connection(connectTo(port));
    connection.setTimeout(patience);
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
    std::mutex runsMutex;
    std::set<std::string> runs;
    const Server app([&](Connection& connection) {
        for (;;) {
            const Message request = connection.read(false);
            const std::string id = request.header("x-attempt-id");
            {
                const std::lock_guard lock(runsMutex);
                runs.insert(id);
            }
            std::this_thread::sleep_for(milliseconds(20));
            connection.send(reply(200, "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n", "free"));
        }
    });
    store.put("keyed.op", "config", makeDocument());
    store.put("keyed.servers", "i-app", makeEntry("app", app.port(), "hcmc-a", 6, 1).dump());
    Gateway gateway("edge-hcmc-a-1", store.port(), folder,
        { { "cpu_share", 0.19 }, { "cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 }, { "link_mbps", 1000.0 },
            { "disk_mb", 0 } });
    if (!gateway.waitUntilReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(5'000));
    std::vector<std::unique_ptr<Connection>> idle;
    const int count = hasTrouble() ? connectionCount : 100;
    for (int i = 0; i < count; ++i) {
        const int socket = connectTo(gateway.frontPort);
        if (socket < 0)
            break;
        idle.push_back(std::make_unique<Connection>(socket));
        idle.back()->send("\r\n");
    }
    record.line("connections that sent an empty line and stay open: " + std::to_string(idle.size()));
    std::this_thread::sleep_for(milliseconds(200));

    std::mutex mutex;
    std::vector<double> answeredAt { seconds() };
    std::map<std::string, int> answers;
    std::vector<std::thread> callers;
    const auto end = Clock::now() + attackTime;
    for (int i = 0; i < ordinaryCallers; ++i) {
        callers.emplace_back([&, i] {
            for (int k = 0; Clock::now() < end; ++k) {
                const std::string id = "o" + std::to_string(i) + "-" + std::to_string(k);
                const std::string answer = call(gateway.frontPort,
                    "GET /calendar/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key\r\n\r\n",
                    callerPatience);
                {
                    const std::lock_guard lock(mutex);
                    record.line("caller " + id + " gets " + answer);
                    ++answers[answer];
                    if (answer == "200")
                        answeredAt.push_back(seconds());
                }
                std::this_thread::sleep_for(callInterval);
            }
        });
    }
    int readyCount = 0;
    int notReadyCount = 0;
    while (Clock::now() < end) {
        const std::string answer
            = call(gateway.readinessPort, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", milliseconds(1'000));
        ++(answer == "200" ? readyCount : notReadyCount);
        std::this_thread::sleep_for(milliseconds(1'000));
    }
    for (std::thread& caller : callers)
        caller.join();
    answeredAt.push_back(seconds());
    double longestGap = 0;
    for (std::size_t i = 1; i < answeredAt.size(); ++i)
        longestGap = std::max(longestGap, answeredAt[i] - answeredAt[i - 1]);
    for (const auto& [answer, number] : answers)
        record.line("callers that get " + answer + ": " + std::to_string(number));
    record.line(
        "readiness checks with 200: " + std::to_string(readyCount) + ", others: " + std::to_string(notReadyCount));
    record.line("longest time without an answer to " + std::to_string(ordinaryCallers)
        + " callers that try: " + std::to_string(longestGap) + " s");
    const bool isBroken = notReadyCount == 0 && longestGap > std::chrono::duration<double>(stabilityWindow).count();
    record.line(isBroken ? "BROKEN: a machine that says that it is ready takes no new channel" : "held");
    idle.clear();
    gateway.kill();
    std::filesystem::remove_all(folder);
    std::quick_exit(isBroken ? 1 : 0);
}
