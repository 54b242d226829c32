// A store, a sound worker and a client that asks with a method and then with GET on the same kept connection.
// usage: headclient STORE_PORT WORKER_PORT FRONT_PORT READINESS_PORT METHOD RECORD
// Exits with 1 if bytes arrive on the connection that are no answer, with 0 if not, and with 2 if it cannot run.
#include "platform.h"

#include <iostream>

namespace {

using namespace Review;

constexpr int rounds = 5;
constexpr milliseconds callerTimeout { 1'500 };
constexpr std::string_view key = "k7v2mq81xw";

const char* const manifest
    = R"({"version":1,"routes":[{"name":"read","host":"studio.example","path_prefix":"/calendar/",)"
      R"("type":"safe","timeout_ms":800,"goal_ms":150,"priority":2,"service":"booking",)"
      R"("max_attempts":2,"public":false}],"services":[{"name":"booking",)"
      R"("health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"label","api_keys":["k7v2mq81xw"],)"
      R"("priority":1}]})";

std::string workerEntry(std::uint16_t port)
{
    return R"({"service":"booking","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"a","version":"1","slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1764900000000})";
}

// The answer to HEAD has the fields of the answer to GET and no body.
void work(Connection& connection, Record& record)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = request->head.field("x-attempt-id");
        record.line("worker runs " + id + " " + request->method + " " + request->target);
        const std::string body = "calendar of " + request->target + "\n";
        const std::string whole = answer("200 OK",
            "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\nContent-Type: text/plain\r\n", body);
        const bool isHead = request->method == "HEAD";
        if (!connection.send(isHead ? std::string_view(whole).substr(0, whole.size() - body.size()) : whole))
            return;
        record.line("worker answered " + id + " with 200");
    }
}

std::string request(const std::string& method, const std::string& target, const std::string& id)
{
    return method + " " + target + " HTTP/1.1\r\nHost: studio.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(callerTimeout.count()) + "\r\nAuthorization: Token " + std::string(key) + "\r\n\r\n";
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

/** Sends a request and reads its answer; returns false if what arrives is no answer. */
bool exchange(Connection& connection, Record& record, const std::string& method, const std::string& id)
{
    record.line("client sends " + id + " " + method);
    connection.send(request(method, "/calendar/" + id, id));
    const auto deadline = Clock::now() + callerTimeout + std::chrono::seconds(1);
    const auto text = connection.readUntil("\r\n\r\n", deadline);
    if (!text) {
        record.line("client got no answer to " + id + (connection.isEnded ? ", the connection ended" : ""));
        return true;
    }
    const bool isAnswer = text->starts_with("HTTP/1.1 ");
    const Head head = parseHead(*text);
    record.line("client got for " + id + " " + method + ": \"" + head.firstLine + "\" id=" + head.field("x-attempt-id")
        + " signature=" + head.field("x-response-signature") + " content-length=" + head.field("content-length"));
    if (!isAnswer) {
        record.line("BROKEN: these bytes are no answer");
        return false;
    }
    // RFC 9112, 6.3: an answer to HEAD ends with the empty line after its fields.
    if (method != "HEAD" && !connection.readBytes(head.length(), deadline))
        record.line("client got a part of the body of " + id);
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 7) {
        std::cerr << "wrong arguments\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
    const std::string method = argv[5];
    static Record record(argv[6]);
    static Store store;
    try {
        store.put("keyed.op", "config", manifest);
        store.put("keyed.servers", "i-5d11c0de", workerEntry(port(2)));
        serve(port(1), [](Connection& connection) { store.handle(connection); });
        serve(port(2), [](Connection& connection) { work(connection, record); });
        if (!waitUntilReady(port(4))) {
            record.line("the gateway did not become ready");
            return 2;
        }
        bool isBroken = false;
        for (int round = 0; round < rounds && !isBroken; ++round) {
            Connection connection(Connection::connectTo(port(3)));
            const std::string id = "c" + std::to_string(round);
            for (const auto& [name, verb] : { std::pair(id + "a", method), std::pair(id + "b", std::string("GET")) }) {
                if (!connection.isEnded && !exchange(connection, record, verb, name)) {
                    isBroken = true;
                    break;
                }
            }
        }
        record.line(isBroken ? "MIXED is broken" : "MIXED held");
        std::_Exit(isBroken ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::_Exit(2);
    }
}
