// Requests with a part that crashes workers go on to reach workers if the part stands far behind in its list.

#include "engines.h"

namespace {

using namespace review;

constexpr const char* key = "kkkkkkkkkkkkkkkkkkkk";
constexpr const char* crashingPart = "deadbeef";
constexpr int engineCount = 16;
constexpr int timeoutMs = 10'000;
// Of a caption, in the users' sheet.
constexpr int promptTokens = 4'960;
constexpr int eventCount = 38;
constexpr int partCount = 200;
constexpr int partTokens = 24;
constexpr Milliseconds soundInterval { 100 };
constexpr Milliseconds crashingInterval { 1'000 };
constexpr Milliseconds downtime { 3'000 };
constexpr Milliseconds playTime { 45'000 };
// Bounds of the pages.
constexpr Milliseconds stabilityWindow { 3'000 };
constexpr int countedCrashes = 5;
constexpr int allowedLateRequests = 3;

std::string makeDocument()
{
    const nlohmann::json route { { "name", "caption" }, { "host", "h" }, { "path_prefix", "/caption/" },
        { "type", "streaming" }, { "timeout_ms", timeoutMs }, { "goal_ms", 300 }, { "gap_target_ms", 250 },
        { "priority", 1 }, { "service", "llm" }, { "max_attempts", 2 }, { "public", false }, { "sticky", true },
        { "resumable", true } };
    return nlohmann::json {
        { "version", 1 }, { "routes", { route } },
        { "services",
            { { { "name", "llm" }, { "health_path", "/healthz" }, { "max_conns", 424 },
                { "engine", makeEngineProfile() } } } },
        { "tenants", { { { "name", "first" }, { "api_keys", { key } } } } }
    }.dump();
}

// The position of the crashing part in its list, the first is 0.
int crashingPosition()
{
    const char* const value = std::getenv("POSITION");
    return value ? std::atoi(value) : 150;
}

// Parts that all requests share, and a last one of its own; a crashing request has the crashing part among them.
std::string makeParts(int number, bool isCrashing)
{
    std::string list;
    char part[32];
    for (int i = 0; i < partCount - 1; ++i) {
        std::snprintf(part, sizeof(part), "%x:%d,", 0x1000 + i, partTokens);
        const bool isTheOne = isCrashing && i == crashingPosition();
        list += isTheOne ? std::string(crashingPart) + ":" + std::to_string(partTokens) + "," : std::string(part);
    }
    std::snprintf(part, sizeof(part), "%x:%d", 0x100000 + number, partTokens);
    return list + part;
}

/** When crashing requests reached workers, and when workers crashed. */
class Crashes {
public:
    explicit Crashes(Record& record)
        : record(record)
    {
    }

    void addArrival(const std::string& attempt, const std::string& engine)
    {
        const std::lock_guard lock(this->mutex);
        this->arrivals.push_back(Clock::now());
        this->record.add(attempt + " with the crashing part reaches " + engine);
    }

    void addCrash(const std::string& attempt, const std::string& engine)
    {
        const std::lock_guard lock(this->mutex);
        this->crashes.push_back(Clock::now());
        this->record.add("crash " + std::to_string(this->crashes.size()) + ": " + engine + " ends under " + attempt);
    }

    std::size_t crashCount() const { return this->crashes.size(); }

    int countLateArrivals() const
    {
        if (this->crashes.size() < countedCrashes)
            return 0;
        const Clock::time_point limit = this->crashes[countedCrashes - 1] + stabilityWindow;
        int late = 0;
        for (const Clock::time_point arrival : this->arrivals)
            late += arrival > limit ? 1 : 0;
        return late;
    }

private:
    Record& record;
    std::mutex mutex;
    std::vector<Clock::time_point> arrivals;
    std::vector<Clock::time_point> crashes;
};

bool runPrompt(Crashes& crashes, Worker& engine, Connection& connection, const Message& request)
{
    const std::string parts = request.header("x-prefix-hash");
    const std::size_t at = parts.find(crashingPart);
    const bool isCrashing = at != std::string::npos && parts.find(',', at) != std::string::npos;
    if (isCrashing)
        crashes.addArrival(request.header("x-attempt-id"), engine.id);
    sleepFor(prefillTime(promptTokens, Helpers(request).count + 1));
    if (isCrashing && isTroubled()) {
        crashes.addCrash(request.header("x-attempt-id"), engine.id);
        engine.crashFor(downtime);
        return false;
    }
    bool isWritten = connection.write("HTTP/1.1 200 OK\r\n" + signedHeaders(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int first = std::atoi(request.header("last-event-id").c_str()) + 1;
    for (int event = first; event <= eventCount && isWritten; ++event) {
        sleepFor(eventInterval());
        const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        isWritten = connection.write(size + text + "\r\n");
    }
    return isWritten && connection.write("0\r\n\r\n");
}

int play(Record& record, const std::filesystem::path& folder)
{
    // The threads of the stand-ins use these until the process ends.
    Store& store = *new Store;
    RunLog& log = *new RunLog(record);
    Crashes& crashes = *new Crashes(record);
    Deployment deployment { folder };
    for (int i = 1; i <= engineCount; ++i) {
        Worker* const engine = new Worker(store, log, "e" + std::to_string(i), "llm", i % 2 == 0 ? "a" : "b");
        engine->isRecorded = false;
        engine->behaviour = [&crashes, engine](Connection& connection, const Message& request) {
            return runPrompt(crashes, *engine, connection, request);
        };
    }
    Gateway first(deployment, "edge-a-1", "a", store.addEntrance());
    Gateway second(deployment, "edge-b-1", "b", store.addEntrance());
    const Gateway* const gateways[] = { &first, &second };
    store.put("keyed.op", "config", makeDocument());
    first.start();
    second.start();
    if (!first.waitUntilReady(Milliseconds(10'000)) || !second.waitUntilReady(Milliseconds(10'000)))
        throw std::runtime_error("the gateways did not become ready");
    // From here on both gateways are in touch.
    sleepFor(stabilityWindow);

    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    const auto send = [&](int number, bool isCrashing) {
        callers.emplace_back([&, number, isCrashing] {
            const Gateway& gateway = *gateways[number % 2];
            const std::string attempt = (isCrashing ? "crashing-" : "sound-") + std::to_string(number);
            const Answer answer = call(gateway.callerPort,
                requestText("POST", "/caption/1", attempt, key, timeoutMs,
                    "X-Model: m\r\nX-Token-Usage: " + std::to_string(promptTokens)
                        + ",1292\r\nX-Prefix-Hash: " + makeParts(number, isCrashing) + "\r\n",
                    "prompt " + std::to_string(number)),
                Milliseconds(timeoutMs));
            if (isCrashing)
                record.add(
                    "caller of " + gateway.name + ": answer " + std::to_string(answer.status) + " to " + attempt);
            else if (answer.status == 200)
                ++served;
        });
    };
    int number = 0;
    const Clock::time_point start = Clock::now();
    Clock::time_point nextCrashing = start + Milliseconds(2'000);
    while (Clock::now() < start + playTime) {
        send(++number, false);
        if (Clock::now() >= nextCrashing) {
            nextCrashing += crashingInterval;
            send(++number, true);
        }
        sleepFor(soundInterval);
    }
    for (std::thread& caller : callers)
        caller.join();
    const int late = crashes.countLateArrivals();
    record.add(std::to_string(number) + " requests, " + std::to_string(served) + " sound ones served, "
        + std::to_string(crashes.crashCount()) + " crashes");
    record.add(std::to_string(late)
        + " requests with the crashing part reached workers later than the stability window "
          "after the fifth crash; allowed "
        + std::to_string(allowedLateRequests));
    if (isTroubled() && crashes.crashCount() < countedCrashes)
        throw std::runtime_error("too few crashes");
    return late > allowedLateRequests ? broken : held;
}

} // namespace

int main(int argc, char** argv) { runCase(argc > 1 ? argv[1] : ".", &play); }
