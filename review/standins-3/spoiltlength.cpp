// A store, two workers, one of which spoils a few answers, and callers that compare what they get with what was sent.
// usage: spoiltlength STORE_PORT WORKER_PORT OTHER_WORKER_PORT FRONT_PORT READINESS_PORT SPOILT RECORD
// SPOILT is the number of answers of which the first worker spoils one; 0 for none.
// Exits with 1 if a success has another body than its worker's, with 0 if not, and with 2 if it cannot run.
#include "platform.h"

#include <iostream>

namespace {

using namespace Review;

constexpr int callers = 6;
constexpr int callsOfCaller = 60;
constexpr milliseconds workTime { 20 };
constexpr milliseconds callerTimeout { 1'500 };

const char* const manifest
    = R"({"version":1,"routes":[{"name":"read","host":"studio.example","path_prefix":"/calendar/","type":"safe",)"
      R"("timeout_ms":1500,"goal_ms":150,"priority":2,"service":"booking","max_attempts":2,"public":false}],)"
      R"("services":[{"name":"booking","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"label","api_keys":["k7v2mq81xw"],"priority":1}]})";

std::string entry(std::uint16_t port)
{
    return R"({"service":"booking","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"a","version":"1","slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1764900000000})";
}

std::atomic<int> torn { 0 };

std::string bodyOf(const std::string& id) { return "calendar for " + id + ": " + std::string(1'200, '-') + "end\n"; }

// In a spoilt answer two bytes of the value of Content-Length are overwritten.
void work(Connection& connection, Record& record, const std::string& worker, int spoilt)
{
    static std::atomic<int> answered { 0 };
    while (const auto request = readRequest(connection)) {
        const std::string id = request->head.field("x-attempt-id");
        if (request->head.field("x-expect-instance") != worker) {
            if (!connection.send(answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "")))
                return;
            continue;
        }
        std::this_thread::sleep_for(workTime);
        const bool isSpoilt = spoilt > 0 && ++answered % spoilt == 0;
        record.line(worker + " answers " + id + (isSpoilt ? " with a spoilt length" : ""));
        const std::string body = bodyOf(id);
        std::string length = std::to_string(body.size());
        if (isSpoilt)
            length.replace(1, 2, "\x02\x01");
        if (!connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n" + body))
            return;
    }
}

void call(std::uint16_t front, int caller, Record& record)
{
    int number = 0;
    while (number < callsOfCaller) {
        Connection connection(Connection::connectTo(front));
        while (number < callsOfCaller && !connection.isEnded) {
            const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number++);
            connection.send("GET /calendar/" + id + " HTTP/1.1\r\nHost: studio.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + std::to_string(callerTimeout.count())
                + "\r\nAuthorization: Token k7v2mq81xw\r\n\r\n");
            const auto deadline = Clock::now() + callerTimeout + std::chrono::seconds(1);
            const auto head = connection.readUntil("\r\n\r\n", deadline);
            if (!head) {
                record.line("client got no answer to " + id);
                break;
            }
            const Head parsed = parseHead(*head);
            const std::string body = connection.readBytes(parsed.length(), deadline).value_or("");
            const bool isSuccess = parsed.firstLine.starts_with("HTTP/1.1 2");
            const bool isTorn = isSuccess && body != bodyOf(id);
            torn += isTorn ? 1 : 0;
            record.line("client got for " + id + ": \"" + parsed.firstLine + "\" signature="
                + parsed.field("x-response-signature") + ", all " + std::to_string(body.size()) + " bytes of the body"
                + (isTorn ? " BROKEN: the worker's body has " + std::to_string(bodyOf(id).size()) : std::string()));
        }
    }
}

bool waitUntilReady(std::uint16_t port)
{
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < deadline) {
        try {
            Connection connection(Connection::connectTo(port));
            connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto head = connection.readUntil("\r\n\r\n", Clock::now() + milliseconds(500));
            if (head && head->starts_with("HTTP/1.1 200"))
                return true;
        } catch (const std::exception&) {
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8) {
        std::cerr << "wrong arguments\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
    const int spoilt = std::atoi(argv[6]);
    static Record record(argv[7]);
    static Store store;
    try {
        store.put("keyed.op", "config", manifest);
        store.put("keyed.servers", "i-5d11c0de", entry(port(2)));
        store.put("keyed.servers", "i-7702ab19", entry(port(3)));
        serve(port(1), [](Connection& connection) { store.handle(connection); });
        serve(port(2), [spoilt](Connection& connection) { work(connection, record, "i-5d11c0de", spoilt); });
        serve(port(3), [](Connection& connection) { work(connection, record, "i-7702ab19", 0); });
        if (!waitUntilReady(port(5))) {
            record.line("the gateway did not become ready");
            std::_Exit(2);
        }
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] { call(port(4), caller, record); });
        for (std::thread& thread : threads)
            thread.join();
        record.line(std::to_string(torn) + " of " + std::to_string(callers * callsOfCaller)
            + " answers were successes without the whole body: MIXED " + (torn > 0 ? "is broken" : "held"));
        std::_Exit(torn > 0 ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::_Exit(2);
    }
}
