// A store, two sound workers, a server that is no worker, and callers on kept connections.
// usage: oddentry STORE_PORT WORKER_PORT OTHER_WORKER_PORT FOREIGN_PORT FRONT_PORT READINESS_PORT ENTRIES RECORD
// ENTRIES is unreadable, readable or none: the keys of the two entries that another writer adds among the workers.
// Exits with 1 if more than three requests that a sound worker had were cut without an answer, with 0 if not, and with
// 2 if it cannot run.
#include "platform.h"

#include <iostream>
#include <set>

namespace {

using namespace Review;

constexpr int callers = 24;
constexpr milliseconds workTime { 400 };
constexpr milliseconds callerTimeout { 1'500 };
constexpr std::chrono::seconds calmTime { 4 };
constexpr std::chrono::seconds playedTime { 12 };
// LOST is broken by more than three such requests.
constexpr std::size_t allowedCuts = 3;

const char* const manifest
    = R"({"version":1,"routes":[{"name":"read","host":"studio.example","path_prefix":"/calendar/","type":"safe",)"
      R"("timeout_ms":1500,"goal_ms":500,"priority":2,"service":"booking","max_attempts":2,"public":false}],)"
      R"("services":[{"name":"booking","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"label","api_keys":["k7v2mq81xw"],"priority":1}]})";

std::string entry(std::uint16_t port)
{
    return R"({"service":"booking","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"a","version":"1","slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1764900000000})";
}

// The requests that a sound worker has and whose callers have no answer yet, and those cut without one.
class Requests {
public:
    void addToWorker(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        this->atWorker.insert(id);
    }
    bool isAtWorker(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        return this->atWorker.contains(id);
    }
    std::atomic<std::size_t> cuts { 0 };
    std::atomic<std::size_t> answers { 0 };

private:
    std::mutex mutex;
    std::set<std::string> atWorker;
};

Requests requests;

void work(Connection& connection, Record& record, const std::string& worker)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = request->head.field("x-attempt-id");
        if (request->head.field("x-expect-instance") != worker) {
            if (!connection.send(answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "")))
                return;
            continue;
        }
        record.line(worker + " runs " + id);
        requests.addToWorker(id);
        std::this_thread::sleep_for(workTime);
        if (!connection.send(answer("200 OK",
                "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\nContent-Type: text/plain\r\n",
                "calendar\n")))
            return;
    }
}

void call(std::uint16_t front, int caller, Record& record, Clock::time_point end)
{
    int number = 0;
    while (Clock::now() < end) {
        try {
            Connection connection(Connection::connectTo(front));
            while (Clock::now() < end && !connection.isEnded) {
                const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(++number);
                record.line("client sends " + id);
                connection.send("GET /calendar/" + id + " HTTP/1.1\r\nHost: studio.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: " + std::to_string(callerTimeout.count())
                    + "\r\nAuthorization: Token k7v2mq81xw\r\n\r\n");
                const auto deadline = Clock::now() + callerTimeout + std::chrono::seconds(1);
                const auto head = connection.readUntil("\r\n\r\n", deadline);
                if (!head) {
                    const bool isCut = connection.isEnded && requests.isAtWorker(id);
                    requests.cuts += isCut ? 1 : 0;
                    record.line("client got no answer to " + id + (connection.isEnded ? ", the connection ended" : "")
                        + (isCut ? " while a worker had it" : ""));
                    break;
                }
                const Head parsed = parseHead(*head);
                connection.readBytes(parsed.length(), deadline);
                ++requests.answers;
                record.line("client got for " + id + ": " + parsed.firstLine);
            }
        } catch (const std::exception&) {
            std::this_thread::sleep_for(milliseconds(100));
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
    if (argc != 9) {
        std::cerr << "wrong arguments\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
    const std::string entries = argv[7];
    static Record record(argv[8]);
    static Store store;
    try {
        const std::string workers[] = { "i-5d11c0de", "i-7702ab19" };
        store.put("keyed.op", "config", manifest);
        store.put("keyed.servers", workers[0], entry(port(2)));
        store.put("keyed.servers", workers[1], entry(port(3)));
        serve(port(1), [](Connection& connection) { store.handle(connection); });
        for (int i = 0; i < 2; ++i)
            serve(port(2 + i), [name = workers[i]](Connection& connection) { work(connection, record, name); });
        // It closes each connection on which something arrives.
        serve(port(4), [](Connection& connection) {
            connection.fill(Clock::now() + std::chrono::seconds(30));
            record.line("the server that is no worker got something and closed the connection");
        });
        if (!waitUntilReady(port(6))) {
            record.line("the gateway did not become ready");
            std::_Exit(2);
        }
        const auto start = Clock::now();
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller)
            threads.emplace_back([&, caller] { call(port(5), caller, record, start + playedTime); });
        std::this_thread::sleep_until(start + calmTime);
        if (entries != "none") {
            const bool isReadable = entries == "readable";
            record.line("another writer adds two entries, " + entries);
            store.put("keyed.servers", isReadable ? "quay-1" : "qu\xe1y-1", entry(port(4)));
            store.put("keyed.servers", isReadable ? "quay-2" : "qu\xe1y-2", entry(port(4)));
        }
        for (std::thread& thread : threads)
            thread.join();
        const bool isBroken = requests.cuts > allowedCuts;
        record.line(std::to_string(requests.answers) + " answers, " + std::to_string(requests.cuts)
            + " requests cut without an answer while a worker had them: "
            + (isBroken ? "LOST is broken" : "LOST held"));
        std::_Exit(isBroken ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::_Exit(2);
    }
}
