// Many clients send requests whose heads are inside the limits of the operator's document, all at once, and wait for
// their answers. The memory of the gateway must stay within the limit that its settings name.

#include "harness.h"

#include <set>

using namespace Review;

namespace {

constexpr int engineCount = 16;
constexpr int engineSlots = 16;
constexpr int engineQueue = 32;
constexpr int eventCount = 38;
constexpr milliseconds eventInterval { 45 };
constexpr int appSlots = 6;
constexpr milliseconds appWork { 30 };
constexpr int clientCount = 2'040;
constexpr std::int64_t memoryMb = 260;
constexpr std::int64_t bytesPerMebibyte = 1024 * 1024;
constexpr std::size_t maximumHeaderBytes = 16'384;

// Runs requests in slots, with a queue. Requests beyond it are rejected as not run.
class Worker {
public:
    Worker(int slots, int queue)
        : slots(slots)
        , queue(queue)
    {
    }

    bool enter()
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= this->slots && this->waiting >= this->queue)
            return false;
        ++this->waiting;
        this->freed.wait(lock, [this] { return this->running < this->slots; });
        --this->waiting;
        ++this->running;
        return true;
    }

    void leave()
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->freed.notify_one();
    }

private:
    const int slots;
    const int queue;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
};

// The attempts that a worker began to run.
std::mutex runsMutex;
std::set<std::string> runs;

void serveWorker(Connection& connection, const std::string& id, Worker& worker, bool isEngine)
{
    for (;;) {
        const Message request = connection.read(false);
        const std::string attempt = "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\n";
        if (request.target() == "/healthz") {
            connection.send(reply(200, "X-Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        if (request.header("x-expect-instance") != id) {
            connection.send(reply(421, "X-Instance-Id: " + id + "\r\n" + attempt, ""));
            continue;
        }
        if (!worker.enter()) {
            connection.send(reply(503, "X-Not-Executed: 1\r\n" + attempt, ""));
            continue;
        }
        {
            const std::lock_guard lock(runsMutex);
            runs.insert(request.header("x-attempt-id"));
        }
        const std::string signature = "X-Response-Signature: s\r\n";
        try {
            if (!isEngine) {
                std::this_thread::sleep_for(appWork);
                connection.send(reply(200, attempt + signature, "free"));
            } else {
                connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + attempt + signature + "\r\n");
                for (int i = 1; i <= eventCount; ++i) {
                    std::this_thread::sleep_for(eventInterval);
                    const std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(40, 'w') + "\n\n";
                    char size[16];
                    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
                    connection.send(size + event + "\r\n");
                }
                connection.send("0\r\n\r\n");
            }
        } catch (const Ended&) {
            worker.leave();
            throw;
        }
        worker.leave();
    }
}

std::string makeDocument()
{
    const auto route = [](const char* name, const char* type, int timeoutMs, int goalMs, const char* service) {
        return Json { { "name", name }, { "host", "h" }, { "path_prefix", std::string("/") + name + "/" },
            { "type", type }, { "timeout_ms", timeoutMs }, { "goal_ms", goalMs }, { "priority", 1 },
            { "service", service }, { "max_attempts", 2 }, { "public", false } };
    };
    Json caption = route("caption", "streaming", 10'000, 300, "llm");
    caption["resumable"] = true;
    caption["gap_target_ms"] = 250;
    caption["sticky"] = true;
    return Json {
        { "version", 1 }, { "routes", { caption, route("calendar", "safe", 1'500, 150, "app") } },
        { "services",
            { { { "name", "llm" }, { "health_path", "/healthz" }, { "max_conns", 424 }, { "engine", engineProfile() } },
                { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 100 } } } },
        { "limits",
            { { "max_header_bytes", maximumHeaderBytes }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", { { { "name", "ten" }, { "api_keys", { "key" } }, { "priority", 1 } } } }
    }.dump();
}

std::string makeHead(int number, int fields)
{
    std::string head = "POST /caption/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c" + std::to_string(number)
        + "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key\r\nX-Model: m\r\nX-Token-Usage: 4960,1300\r\n"
          "X-Prefix-Hash: 5c1e07a2:40,91bd3f06:4920\r\nContent-Length: 0\r\n";
    for (int i = 0; i < fields; ++i) {
        char field[80];
        std::snprintf(field, sizeof(field), "X-Trace-Context-%03d: %s\r\n", i, std::string(16, 'a').c_str());
        head += field;
    }
    return head + "\r\n";
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    const std::string folder = makeFolder();
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::pair<std::string, Json>> entries;
    const char* const zones[] = { "hcmc-a", "hcmc-b", "hcmc-c" };
    for (int i = 0; i < engineCount + 3; ++i) {
        const bool isEngine = i < engineCount;
        const std::string id = (isEngine ? "i-llm" : "i-app") + std::to_string(i);
        workers.push_back(std::make_unique<Worker>(isEngine ? engineSlots : appSlots, isEngine ? engineQueue : 24));
        Worker* const worker = workers.back().get();
        servers.push_back(std::make_unique<Server>(
            [id, worker, isEngine](Connection& connection) { serveWorker(connection, id, *worker, isEngine); }));
        entries.emplace_back(id,
            makeEntry(
                isEngine ? "llm" : "app", servers.back()->port(), zones[i % 3], isEngine ? engineSlots : appSlots, 1));
    }
    store.put("keyed.op", "config", makeDocument());
    const auto writeEntries = [&](int sequence) {
        for (auto& [id, entry] : entries) {
            entry["sequence"] = sequence;
            store.put("keyed.servers", id, entry.dump());
        }
    };
    writeEntries(1);
    std::thread([&] {
        for (int sequence = 2;; ++sequence) {
            std::this_thread::sleep_for(milliseconds(1'200));
            writeEntries(sequence);
        }
    }).detach();

    Gateway gateway("edge-hcmc-a-1", store.port(), folder,
        { { "cpu_share", 0.19 }, { "cores", 1 }, { "memory_mb", memoryMb }, { "max_fds", 4100 },
            { "link_mbps", 1000.0 }, { "disk_mb", 0 } });
    if (!gateway.waitUntilReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    // The machine is in touch from stability_window_ms after its start.
    std::this_thread::sleep_for(milliseconds(5'000));
    // The platform kills a process that exceeds its memory.
    std::int64_t peak = 0;
    bool isKilled = false;
    std::atomic<bool> isOver { false };
    std::thread sampler([&] {
        while (!isOver && !isKilled) {
            peak = std::max(peak, gateway.residentBytes());
            isKilled = peak > memoryMb * bytesPerMebibyte;
            if (isKilled) {
                gateway.signal(SIGKILL);
                record.line("the platform kills the process, resident_mb " + std::to_string(peak / bytesPerMebibyte));
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
    });
    const auto callCalendar = [&] {
        const int socket = connectTo(gateway.frontPort);
        if (socket < 0)
            return std::string("no connection");
        Connection caller(socket);
        caller.setTimeout(milliseconds(3'000));
        try {
            caller.send("GET /calendar/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: o1\r\nX-Deadline-Ms: 1500\r\n"
                        "Authorization: Token key\r\n\r\n");
            return std::to_string(caller.read(true).status());
        } catch (const Ended& ended) {
            return std::string(ended.what());
        }
    };
    record.line("an ordinary caller before the clients gets " + callCalendar());
    record.line("resident_mb before the clients " + std::to_string(gateway.residentBytes() / bytesPerMebibyte));

    const int fields = hasTrouble() ? 412 : 10;
    const std::size_t headBytes = makeHead(clientCount, fields).size();
    record.line("clients " + std::to_string(clientCount) + ", one request each, fields " + std::to_string(fields + 9)
        + ", head_bytes " + std::to_string(headBytes) + ", limit max_header_bytes "
        + std::to_string(maximumHeaderBytes));
    if (headBytes > maximumHeaderBytes)
        return 2;
    std::vector<std::unique_ptr<Connection>> clients;
    for (int i = 0; i < clientCount; ++i) {
        const int socket = connectTo(gateway.frontPort);
        if (socket < 0) {
            record.line("client " + std::to_string(i) + " cannot connect");
            break;
        }
        clients.push_back(std::make_unique<Connection>(socket));
    }
    record.line("connected " + std::to_string(clients.size()));
    for (std::size_t i = 0; i < clients.size(); ++i) {
        try {
            clients[i]->send(makeHead(static_cast<int>(i), fields));
        } catch (const Ended&) {
            record.line("client " + std::to_string(i) + " cannot send");
        }
    }
    record.line("sent");
    std::map<std::string, int> answers;
    std::vector<int> unanswered;
    const auto deadline = Clock::now() + std::chrono::seconds(30);
    for (std::size_t i = 0; i < clients.size(); ++i) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
        clients[i]->setTimeout(std::max(milliseconds(10), left));
        try {
            ++answers[std::to_string(clients[i]->read(true).status())];
        } catch (const Ended& ended) {
            ++answers[ended.what()];
            unanswered.push_back(static_cast<int>(i));
        }
    }
    for (const auto& [answer, count] : answers)
        record.line("answered " + answer + ": " + std::to_string(count) + " clients");
    clients.clear();
    record.line("an ordinary caller after the clients gets " + callCalendar());
    isOver = true;
    sampler.join();
    const bool isRunning = gateway.isRunning();
    int lost = 0;
    {
        const std::lock_guard lock(runsMutex);
        for (const int client : unanswered)
            lost += runs.contains("c" + std::to_string(client)) ? 1 : 0;
        record.line(
            "runs " + std::to_string(runs.size()) + ", of which lost without an answer " + std::to_string(lost));
    }
    record.line("peak_resident_mb " + std::to_string(peak / bytesPerMebibyte) + ", limit memory_mb "
        + std::to_string(memoryMb));
    const bool isBroken = (!isRunning || isKilled) && lost > 3;
    record.line(isBroken
            ? "BROKEN: the process ended by itself, and more than three requests that it had passed on were lost"
            : "held");
    gateway.kill();
    std::filesystem::remove_all(folder);
    std::fflush(nullptr);
    std::quick_exit(isBroken ? 1 : 0);
}
