// A store, one model worker and callers whose prompts wait for its memory while the gateway is stopped.
// usage: stopqueue STORE_PORT WORKER_PORT FRONT_PORT READINESS_PORT GATEWAY_PID RECORD
// Sends SIGTERM to the gateway; with a GATEWAY_PID of 0 it sends none.
// Exits with 1 if a request that no worker had was cut without an answer, with 0 if not, and with 2 if it cannot run.
#include "platform.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <set>

namespace {

using namespace Review;
using Seconds = std::chrono::duration<double>;

// The engine and the route of the sheet of kesar-collect-grown (sahayak-lm, tariff-order).
constexpr std::int64_t engineMemory = 382'500;
constexpr double readPerMs = 256;
constexpr double msPerMillionPairs = 0.0917;
constexpr double stepMs = 0.925;
constexpr double stepMsPerRequest = 0.00483;
constexpr double stepMsPerThousandTokens = 0.00254;
constexpr int tokensPerEvent = 52;
constexpr milliseconds callerTimeout { 15'000 };
// An answer that its worker writes for as long as the gateway may take to stop.
constexpr std::int64_t longPrompt = 300'000;
constexpr int longAnswerEvents = 102;
// Prompts that do not fit beside it.
constexpr std::int64_t waitingPrompt = 100'000;
constexpr int waitingAnswerEvents = 16;
constexpr int waitingCallers = 3;
constexpr milliseconds stopAt { 5'800 };
constexpr milliseconds sentAfterStop { 1'500 };
constexpr milliseconds lossSlack { 200 };

const char* const manifest
    = R"({"version":1,"routes":[{"name":"order","host":"dues.example","path_prefix":"/tariff/","type":"streaming",)"
      R"("timeout_ms":15000,"goal_ms":8000,"priority":1,"service":"desk","max_attempts":2,"public":false,)"
      R"("sticky":true,"resumable":true,"gap_target_ms":800}],"services":[{"name":"desk","health_path":"/healthz",)"
      R"("max_conns":438,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":32.0,"engine":{"slots":12,)"
      R"("kv_capacity":382500,"stride":52,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,)"
      R"("context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,)"
      R"("usual":{"prompt":17141,"answer":1604},"hop_ms":0.1}}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
      R"("tenants":[{"name":"town","api_keys":["k7v2mq81xw"],"priority":1}]})";

std::string entry(std::uint16_t port)
{
    return R"({"service":"desk","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"a","version":"1","slots":12,"state":"ready","cold_left_ms":0,"sequence":1,)"
          R"("born":1764900000000})";
}

/** The memory of the engine, in tokens. */
class Engine {
public:
    bool tryTake(std::int64_t tokens)
    {
        const std::lock_guard lock(this->mutex);
        if (this->used + tokens > engineMemory)
            return false;
        this->used += tokens;
        return true;
    }
    void giveBack(std::int64_t tokens)
    {
        const std::lock_guard lock(this->mutex);
        this->used -= tokens;
    }

private:
    std::mutex mutex;
    std::int64_t used = 0;
};

Engine engine;
std::mutex arrivedMutex;
std::set<std::string> arrived;
std::atomic<int> cuts { 0 };

double prefillMs(std::int64_t tokens)
{
    const double millionPairs = static_cast<double>(tokens) * static_cast<double>(tokens) / 2 / 1e6;
    return static_cast<double>(tokens) / readPerMs + msPerMillionPairs * millionPairs;
}

void sleepMs(double time) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time)); }

bool writeAnswer(Connection& connection, const std::string& id, std::int64_t tokens, std::int64_t outputTokens)
{
    if (!connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    sleepMs(prefillMs(tokens));
    const double eventMs
        = tokensPerEvent * (stepMs + stepMsPerRequest + stepMsPerThousandTokens * static_cast<double>(tokens) / 1e3);
    for (std::int64_t event = 1; event <= outputTokens / tokensPerEvent; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: text\n\n";
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        if (!connection.send(size.data() + text + "\r\n"))
            return false;
        sleepMs(eventMs);
    }
    return connection.send("0\r\n\r\n");
}

void work(Connection& connection, Record& record)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = request->head.field("x-attempt-id");
        // Orders to reserve memory find none free.
        if (request->target == "/order") {
            if (!connection.send(answer("409 Conflict", "Content-Type: application/json\r\n", "{}")))
                return;
            continue;
        }
        const std::string usage = request->head.field("x-token-usage");
        const std::int64_t tokens = std::strtoll(usage.c_str(), nullptr, 10);
        const std::int64_t output = std::strtoll(usage.c_str() + usage.find(',') + 1, nullptr, 10);
        {
            const std::lock_guard lock(arrivedMutex);
            arrived.insert(id);
        }
        if (!engine.tryTake(tokens + output)) {
            record.line("worker rejects " + id + ", its memory is full");
            if (!connection.send(
                    answer("503 Service Unavailable", "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n", "")))
                return;
            continue;
        }
        record.line("worker runs " + id + " tokens=" + usage);
        const bool isWritten = writeAnswer(connection, id, tokens, output);
        engine.giveBack(tokens + output);
        record.line("worker " + std::string(isWritten ? "has answered " : "was left by the caller of ") + id);
        if (!isWritten)
            return;
    }
}

/** Sends a prompt at a time after the start and records how it ends. */
void call(
    std::uint16_t front, const std::string& id, std::int64_t tokens, int events, Clock::time_point at, Record& record)
{
    // The channel is open before the gateway is stopped.
    Connection connection(Connection::connectTo(front));
    std::this_thread::sleep_until(at);
    const std::string body = "read the tariff order";
    const auto sent = Clock::now();
    record.line("client sends " + id);
    connection.send("POST /tariff/" + id + " HTTP/1.1\r\nHost: dues.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(tokens) + "," + std::to_string(events * tokensPerEvent)
        + "\r\nX-Prefix-Hash: 5c1e07a2:40,a" + std::to_string(at.time_since_epoch().count() % 1'000'000) + ":"
        + std::to_string(tokens - 40) + "\r\nX-Deadline-Ms: " + std::to_string(callerTimeout.count())
        + "\r\nAuthorization: Token k7v2mq81xw\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto deadline = sent + callerTimeout;
    const auto head = connection.readUntil("\r\n\r\n", deadline);
    const Head parsed = parseHead(head.value_or(""));
    bool isComplete = head.has_value();
    if (head && parsed.field("transfer-encoding") == "chunked")
        isComplete = connection.readUntil("\r\n0\r\n\r\n", deadline).has_value();
    else if (head)
        isComplete = connection.readBytes(parsed.length(), deadline).has_value();
    const auto waited = std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
    bool wasAtWorker = false;
    {
        const std::lock_guard lock(arrivedMutex);
        wasAtWorker = arrived.contains(id);
    }
    // A cut while a worker is at work in the last sixth of grace_s does not count, nor does one at the time limit.
    const bool isCut
        = !isComplete && connection.isEnded && !wasAtWorker && waited > lossSlack && Clock::now() < deadline;
    cuts += isCut ? 1 : 0;
    record.line("client " + std::string(isComplete ? "got all of the answer to " : "got no whole answer to ") + id
        + " \"" + parsed.firstLine + "\" after " + std::to_string(waited.count()) + " ms"
        + (connection.isEnded ? ", the connection ended" : "") + (wasAtWorker ? "" : ", no worker had it")
        + (isCut ? " BROKEN" : ""));
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
    const pid_t gateway = std::atoi(argv[5]);
    static Record record(argv[6]);
    static Store store;
    try {
        store.put("keyed.op", "config", manifest);
        store.put("keyed.servers", "i-5d11c0de", entry(port(2)));
        serve(port(1), [](Connection& connection) { store.handle(connection); });
        serve(port(2), [](Connection& connection) { work(connection, record); });
        if (!waitUntilReady(port(4))) {
            record.line("the gateway did not become ready");
            std::_Exit(2);
        }
        std::this_thread::sleep_for(std::chrono::seconds(4));
        const auto start = Clock::now();
        std::vector<std::thread> threads;
        threads.emplace_back([&] { call(port(3), "a", longPrompt, longAnswerEvents, start, record); });
        for (int i = 0; i < waitingCallers; ++i)
            threads.emplace_back([&, i] {
                call(port(3), "b" + std::to_string(i), waitingPrompt, waitingAnswerEvents,
                    start + stopAt + sentAfterStop + i * milliseconds(100), record);
            });
        std::this_thread::sleep_until(start + stopAt);
        if (gateway != 0) {
            record.line("the platform sends SIGTERM to the gateway");
            ::kill(gateway, SIGTERM);
        }
        for (std::thread& thread : threads)
            thread.join();
        record.line(std::to_string(cuts) + " requests that no worker had were cut without an answer: LOST "
            + (cuts > 0 ? "is broken" : "held"));
        std::_Exit(cuts > 0 ? 1 : 0);
    } catch (const std::exception& error) {
        record.line(std::string("cannot run: ") + error.what());
        std::_Exit(2);
    }
}
