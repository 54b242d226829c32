// Many callers come at once while the workers are silent for a second. Afterwards the gateway must take new
// connections.

#include "harness.h"

using namespace Review;

namespace {

constexpr int workerCount = 5;
constexpr int workerSlots = 6;
constexpr int workerQueue = 24;
constexpr milliseconds workTime { 60 };
constexpr milliseconds silence { 1'000 };
constexpr int callerCount = 2'000;
constexpr int ordinaryCallers = 10;
constexpr milliseconds callInterval { 200 };
constexpr milliseconds callerPatience { 1'000 };
constexpr std::chrono::seconds timeAfter { 15 };
constexpr milliseconds stabilityWindow { 5'000 };
// The platform reserves 200 of max_fds for files; the process has about ten that are not sockets.
constexpr int maximumDescriptors = 4'100;
constexpr int reservedDescriptors = 200;
constexpr int fileDescriptors = 10;

// A worker runs as a process of its own, so that a signal can silence it.
int runWorker(const std::string& id, std::uint16_t port)
{
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    const Server server(
        [&](Connection& connection) {
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
                bool isRun = false;
                {
                    std::unique_lock lock(mutex);
                    if (running < workerSlots || waiting < workerQueue) {
                        ++waiting;
                        freed.wait(lock, [&] { return running < workerSlots; });
                        --waiting;
                        ++running;
                        isRun = true;
                    }
                }
                if (!isRun) {
                    connection.send(reply(503, "X-Not-Executed: 1\r\n" + attempt, ""));
                    continue;
                }
                std::this_thread::sleep_for(workTime);
                {
                    const std::lock_guard lock(mutex);
                    --running;
                    freed.notify_one();
                }
                connection.send(reply(200, attempt + "X-Response-Signature: s\r\n", "free"));
            }
        },
        port);
    for (;;)
        ::pause();
}

struct WorkerProcess {
    std::string id;
    std::uint16_t port = 0;
    pid_t process = -1;
};

std::string makeDocument()
{
    return Json {
        { "version", 1 },
        { "routes",
            { { { "name", "calendar" }, { "host", "h" }, { "path_prefix", "/calendar/" }, { "type", "safe" },
                { "timeout_ms", 3000 }, { "goal_ms", 300 }, { "priority", 1 }, { "service", "app" },
                { "max_attempts", 2 }, { "public", false } } } },
        { "services", { { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 470 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", { { { "name", "ten" }, { "api_keys", { "key" } }, { "priority", 1 } } } }
    }.dump();
}

std::string makeRequest(const std::string& id)
{
    return "GET /calendar/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key\r\n\r\n";
}

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

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count == 4 && std::string(arguments[1]) == "worker")
        return runWorker(arguments[2], static_cast<std::uint16_t>(std::atoi(arguments[3])));
    Record record(arguments[1]);
    const std::string folder = makeFolder();
    Store store;
    store.put("keyed.op", "config", makeDocument());
    std::vector<WorkerProcess> workers(workerCount);
    const char* const zones[] = { "hcmc-a", "hcmc-b", "hcmc-c", "hcmc-d", "hcmc-e" };
    for (int i = 0; i < workerCount; ++i) {
        WorkerProcess& worker = workers[static_cast<std::size_t>(i)];
        worker.id = "i-app" + std::to_string(i);
        worker.port = freePort();
        worker.process = ::fork();
        if (worker.process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::execl(
                arguments[0], arguments[0], "worker", worker.id.c_str(), std::to_string(worker.port).c_str(), nullptr);
            ::_exit(127);
        }
    }
    const auto writeEntries = [&](int sequence) {
        for (int i = 0; i < workerCount; ++i) {
            const WorkerProcess& worker = workers[static_cast<std::size_t>(i)];
            store.put(
                "keyed.servers", worker.id, makeEntry("app", worker.port, zones[i], workerSlots, sequence).dump());
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
        { { "cpu_share", 0.09 }, { "cores", 1 }, { "memory_mb", 160 }, { "max_fds", maximumDescriptors },
            { "link_mbps", 20.0 }, { "disk_mb", 0 } },
        -1, maximumDescriptors - reservedDescriptors + fileDescriptors);
    if (!gateway.waitUntilReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(6'000));
    record.line("an ordinary caller before the others gets "
        + call(gateway.frontPort, makeRequest("before"), milliseconds(3'000)));

    record.line(hasTrouble() ? "the workers fall silent" : "the workers go on");
    for (const WorkerProcess& worker : workers) {
        if (hasTrouble())
            ::kill(worker.process, SIGSTOP);
    }
    std::vector<std::unique_ptr<Connection>> callers;
    for (int i = 0; i < callerCount; ++i) {
        const int socket = connectTo(gateway.frontPort);
        if (socket < 0)
            break;
        callers.push_back(std::make_unique<Connection>(socket));
        try {
            callers.back()->send(makeRequest("c" + std::to_string(i)));
        } catch (const Ended&) {
        }
    }
    record.line("callers that come at once: " + std::to_string(callers.size()));
    std::this_thread::sleep_for(silence);
    record.line("open descriptors of the gateway: " + std::to_string(gateway.openDescriptors()) + ", limit "
        + std::to_string(maximumDescriptors - reservedDescriptors + fileDescriptors));
    for (const WorkerProcess& worker : workers)
        ::kill(worker.process, SIGCONT);
    record.line("the workers go on");
    std::map<std::string, int> answers;
    const auto patienceEnd = Clock::now() + milliseconds(3'000);
    for (const auto& caller : callers) {
        caller->setTimeout(
            std::max(milliseconds(5), std::chrono::duration_cast<milliseconds>(patienceEnd - Clock::now())));
        try {
            ++answers[std::to_string(caller->read(true).status())];
        } catch (const Ended& ended) {
            ++answers[ended.what()];
        }
    }
    for (const auto& [answer, number] : answers)
        record.line("answered " + answer + ": " + std::to_string(number));
    callers.clear();
    // The machine is in touch: nothing is disturbed any more.
    std::this_thread::sleep_for(stabilityWindow);

    std::mutex mutex;
    answers.clear();
    std::vector<std::thread> threads;
    const auto end = Clock::now() + timeAfter;
    for (int i = 0; i < ordinaryCallers; ++i) {
        threads.emplace_back([&, i] {
            for (int k = 0; Clock::now() < end; ++k) {
                const std::string answer = call(
                    gateway.frontPort, makeRequest("o" + std::to_string(i) + "-" + std::to_string(k)), callerPatience);
                {
                    const std::lock_guard lock(mutex);
                    ++answers[answer];
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
    for (std::thread& thread : threads)
        thread.join();
    for (const auto& [answer, number] : answers)
        record.line("later callers that get " + answer + ": " + std::to_string(number));
    record.line("open descriptors of the gateway: " + std::to_string(gateway.openDescriptors()));
    record.line(
        "readiness checks with 200: " + std::to_string(readyCount) + ", others: " + std::to_string(notReadyCount));
    const bool isBroken = notReadyCount == 0 && !answers.contains("200") && !answers.contains("503");
    record.line(isBroken ? "BROKEN: a machine that says that it is ready takes no new channel" : "held");
    gateway.kill();
    for (const WorkerProcess& worker : workers) {
        ::kill(worker.process, SIGKILL);
        ::waitpid(worker.process, nullptr, 0);
    }
    std::filesystem::remove_all(folder);
    std::quick_exit(isBroken ? 1 : 0);
}
