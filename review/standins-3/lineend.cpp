// A store, a sound worker and a caller that posts.
// usage: lineend STORE_PORT WORKER_PORT FRONT_PORT READINESS_PORT ENTRY RECORD
// ENTRY is extra or none: whether another writer adds a copy of the worker's entry whose key ends with a line feed.
// Exits with 1 if the worker ran a request with another body or account than its caller's, with 0 if not, and with 2
// if it cannot run.
#include "platform.h"

#include <iostream>

namespace {

using namespace Review;

constexpr int callers = 4;
constexpr int postsOfCaller = 10;
constexpr milliseconds workTime { 100 };
constexpr milliseconds callerTimeout { 1'500 };
constexpr std::string_view worker = "i-5d11c0de";
constexpr std::string_view account = "label";

const char* const manifest
    = R"({"version":1,"routes":[{"name":"book","host":"studio.example","path_prefix":"/slot/","type":"unsafe",)"
      R"("timeout_ms":1500,"goal_ms":500,"priority":2,"service":"booking","max_attempts":1,"public":false}],)"
      R"("services":[{"name":"booking","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"label","api_keys":["k7v2mq81xw"],"priority":1}]})";

std::string entry(std::uint16_t port)
{
    return R"({"service":"booking","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"a","version":"1","slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1764900000000})";
}

std::string bodyOf(const std::string& id) { return "book the studio, order " + id; }

std::atomic<int> changedRuns { 0 };

/** Reads a line up to its line feed; a carriage return before it belongs to the line end (RFC 9112, 2.2). */
std::optional<std::string> readLine(Connection& connection)
{
    auto line = connection.readUntil("\n", Clock::now() + std::chrono::hours(1));
    return line ? std::optional(trimmed(*line)) : std::nullopt;
}

void work(Connection& connection, Record& record)
{
    for (;;) {
        const auto first = readLine(connection);
        if (!first)
            return;
        if (first->find(" HTTP/1.") == std::string::npos) {
            record.line("worker got no request: \"" + *first + "\"");
            connection.send(answer("400 Bad Request", "X-Not-Executed: 1\r\nConnection: close\r\n", ""));
            return;
        }
        std::string text = *first + "\r\n";
        for (auto line = readLine(connection); line && !line->empty(); line = readLine(connection))
            text += *line + "\r\n";
        const Head head = parseHead(text + "\r\n");
        std::string body;
        if (head.length() > 0)
            body = connection.readBytes(head.length(), Clock::now() + std::chrono::hours(1)).value_or("");
        const std::string id = head.field("x-attempt-id");
        if (head.field("x-expect-instance") != worker) {
            if (!connection.send(answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "")))
                return;
            continue;
        }
        const bool isChanged = body != bodyOf(id) || head.field("x-tenant") != account;
        changedRuns += isChanged ? 1 : 0;
        record.line("worker runs " + id + " body=\"" + body + "\" tenant=\"" + head.field("x-tenant") + "\""
            + (isChanged ? " BROKEN: that is not what the caller sent" : ""));
        std::this_thread::sleep_for(workTime);
        if (!connection.send(answer(
                "200 OK", "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\n", "booked " + id + "\n")))
            return;
    }
}

void post(std::uint16_t front, int caller, Record& record)
{
    for (int number = 0; number < postsOfCaller; ++number) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        Connection connection(Connection::connectTo(front));
        record.line("client sends " + id + " body=\"" + bodyOf(id) + "\"");
        connection.send("POST /slot/studio HTTP/1.1\r\nHost: studio.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(callerTimeout.count())
            + "\r\nAuthorization: Token k7v2mq81xw\r\nContent-Length: " + std::to_string(bodyOf(id).size()) + "\r\n\r\n"
            + bodyOf(id));
        const auto head = connection.readUntil("\r\n\r\n", Clock::now() + callerTimeout + std::chrono::seconds(1));
        record.line("client got for " + id + ": " + (head ? parseHead(*head).firstLine : "no answer"));
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
    if (argc != 7) {
        std::cerr << "wrong arguments\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
    static Record record(argv[6]);
    static Store store;
    try {
        store.put("keyed.op", "config", manifest);
        store.put("keyed.servers", std::string(worker), entry(port(2)));
        serve(port(1), [](Connection& connection) { store.handle(connection); });
        serve(port(2), [](Connection& connection) { work(connection, record); });
        if (!waitUntilReady(port(4))) {
            record.line("the gateway did not become ready");
            std::_Exit(2);
        }
        if (std::string_view(argv[5]) == "extra") {
            record.line("another writer adds an entry under the worker's id and a line feed");
            store.put("keyed.servers", std::string(worker) + "\n", entry(port(2)));
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] { post(port(3), caller, record); });
        for (std::thread& thread : threads)
            thread.join();
        record.line(std::to_string(changedRuns) + " of " + std::to_string(callers * postsOfCaller)
            + " requests ran with another body or account: UNASKED " + (changedRuns > 0 ? "is broken" : "held"));
        std::_Exit(changedRuns > 0 ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::_Exit(2);
    }
}
