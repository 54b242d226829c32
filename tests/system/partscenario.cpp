#include "partscenario.h"

#include "fleetrunner.h"
#include "lateruncounter.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <unordered_map>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

// The users' rules: three runs later than the stability window after the fifth crash; from twice the window on, sound
// requests begin at least half as often as before, if there are 20 of each.
constexpr std::size_t crashLimit = 5;
constexpr std::size_t allowedLateRuns = 3;
constexpr Duration recoveryTime = 2 * stabilityWindow;
constexpr double begunFraction = 0.5;
constexpr std::size_t fewestRequests = 20;
// Sound callers are to be served as ever while no gateway is disturbed.
constexpr double servedFraction = 0.9;
constexpr Duration promptTime = 1s;
constexpr double promptFraction = 0.9;
constexpr double suspectedFraction = 0.02;
constexpr double slowCallFraction = 0.01;

constexpr Duration calmTime = 2'500ms;
constexpr Duration crashingTime = 20s;
constexpr Duration soundInterval = 25ms;
constexpr Duration callInterval = 200ms;
constexpr Duration hostileInterval = 25ms;
constexpr std::int64_t shortestCrashingIntervalMs = 125;
constexpr std::int64_t longestCrashingIntervalMs = 200;
// Callers abandon a stream after a gap of two seconds.
constexpr Duration longestGap = 2s;
constexpr std::size_t crashesBeforeKillAll = 3;
constexpr std::size_t engineCount = 12;
constexpr std::size_t applicationCount = 3;
constexpr std::int64_t bytesPerMegabyte = 1'000'000;
constexpr Duration pauseInterval = 400ms;
constexpr std::int64_t shortestPauseMs = 800;
constexpr std::int64_t longestPauseMs = 1'700;
constexpr std::int64_t shortestChanceMs = 500;
constexpr std::int64_t longestChanceMs = 1'500;
constexpr Duration togetherInterval = 8s;
constexpr std::size_t tracedRequests = 6;

const char* placeName(PartCrashPlace place)
{
    switch (place) {
    case PartCrashPlace::BeforeHead:
        return "head";
    case PartCrashPlace::FirstEvent:
        return "first";
    case PartCrashPlace::AfterThreeEvents:
        return "third";
    }
    return "";
}

const char* upstreamFaultName(UpstreamFault fault)
{
    switch (fault) {
    case UpstreamFault::None:
        return "none";
    case UpstreamFault::Chance:
        return "chance";
    case UpstreamFault::Together:
        return "together";
    case UpstreamFault::Pauses:
        return "pauses";
    }
    return "";
}

// Before the caller can see the crash of an upstream that it reaches at once.
Duration leaveDelay(PartCrashPlace place) { return place == PartCrashPlace::AfterThreeEvents ? 150ms : 60ms; }

GatewayFleet::Plan makePlan()
{
    GatewayFleet::Plan plan;
    plan.applications = applicationCount;
    plan.engines = engineCount;
    return plan;
}

enum class RequestKind : std::uint8_t { Sound, Crashing, Hostile, Call };

struct SentRequest {
    RequestKind kind = RequestKind::Sound;
    std::size_t crashingPart = 0;
    std::size_t gateway = 0;
    bool isGatewayInTouch = false;
    TimePoint sentAt {};
    Platform::CallId call = 0;
    std::optional<TimePoint> leaveAt;
    /** Whether the caller waits on as long as events come. */
    bool staysForEvents = true;
    bool isBegun = false;
    bool isServed = false;
    int status = 0;
    std::optional<Duration> firstEventAfter;
    std::optional<Duration> endAfter;
    std::string received;

    bool isSuspected() const { return this->received.find("CrashSuspected") != std::string::npos; }
};

// What upstreams saw of a crashing part.
struct CrashingPart {
    LateRunCounter counter { crashLimit };
    std::vector<std::string> lateRuns;
};

// What became of the sound requests of a span of time.
struct SoundCount {
    std::size_t sent = 0;
    std::size_t begun = 0;
    std::size_t served = 0;
    std::size_t prompt = 0;

    double fraction(std::size_t count) const
    {
        return static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(1, this->sent));
    }
};

// Runs one scenario on a context of its own.
class PartScenarioRun {
public:
    PartScenarioRun(const PartScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
        : scenario(scenario)
        , random(seed)
        , fleet(this->context, programs, makePlan(), seed)
        , disturbance(this->fleet, scenario.gatewayFault, crashesBeforeKillAll)
        , prompts(scenario.layout, seed)
        , crashingParts(this->prompts.crashingPartCount())
    {
    }

    ProofResult run()
    {
        this->runner.start();
        this->isLoaded = true;
        this->runner.runFor(stabilityWindow + calmTime);
        this->begin = std::chrono::steady_clock::now();
        this->end = this->begin + crashingTime;
        this->disturbance.begin(this->begin);
        this->runner.runFor(crashingTime);
        this->isLoaded = false;
        this->runner.runFor(longestGap + 500ms);
        return this->evaluate();
    }

private:
    void step(TimePoint now)
    {
        this->countNewRuns();
        this->letCallersLeave(now);
        this->noteMemory();
        this->disturbance.step(now, this->crashCount());
        if (!this->isLoaded)
            return;
        if (this->isDue(this->nextSound, now, soundInterval))
            this->sendPrompt(RequestKind::Sound, this->prompts.makeSound());
        if (this->isDue(this->nextCall, now, callInterval))
            this->sendCall();
        if (this->begin == TimePoint {})
            return;
        if (this->scenario.hasHostileCallers && this->isDue(this->nextHostile, now, hostileInterval))
            this->sendPrompt(RequestKind::Hostile, this->prompts.makeHostile());
        if (this->scenario.upstreamFault != UpstreamFault::None)
            this->injectUpstreamFaults(now);
        else if (this->isDue(
                     this->nextCrashing, now, this->draw(shortestCrashingIntervalMs, longestCrashingIntervalMs)))
            this->sendCrashing();
    }

    static bool isDue(TimePoint& next, TimePoint now, Duration interval)
    {
        if (now < next)
            return false;
        next = std::max(next, now - interval) + interval;
        return true;
    }

    Duration draw(std::int64_t shortestMs, std::int64_t longestMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution(shortestMs, longestMs)(this->random));
    }

    std::size_t drawEngine() { return applicationCount + this->random() % engineCount; }

    void injectUpstreamFaults(TimePoint now)
    {
        switch (this->scenario.upstreamFault) {
        case UpstreamFault::Chance:
            if (this->isDue(this->nextUpstreamFault, now, this->draw(shortestChanceMs, longestChanceMs)))
                this->crashUpstream(this->drawEngine());
            break;
        case UpstreamFault::Together:
            if (now >= this->begin + togetherInterval / 2
                && this->isDue(this->nextUpstreamFault, now, togetherInterval)) {
                for (std::size_t i = 0; i < engineCount / 2; ++i)
                    this->crashUpstream(applicationCount + 2 * i);
            }
            break;
        case UpstreamFault::Pauses:
            this->pauseUpstreams(now);
            break;
        case UpstreamFault::None:
            break;
        }
    }

    void crashUpstream(std::size_t upstream)
    {
        if (!this->fleet.isUpstreamRunning(upstream))
            return;
        this->fleet.crashUpstream(upstream);
        ++this->chanceCrashes;
    }

    void pauseUpstreams(TimePoint now)
    {
        std::erase_if(this->pausedUpstreams, [this, now](const auto& paused) {
            if (now < paused.second)
                return false;
            this->fleet.resumeUpstream(paused.first);
            return true;
        });
        const std::size_t upstream = this->drawEngine();
        if (!this->isDue(this->nextUpstreamFault, now, pauseInterval) || this->pausedUpstreams.contains(upstream))
            return;
        this->fleet.pauseUpstream(upstream);
        this->pausedUpstreams[upstream] = now + this->draw(shortestPauseMs, longestPauseMs);
    }

    // All prompts have the same path, so that only their parts tell them apart.
    std::string promptPath() const
    {
        return std::string("/stream/part/") + (this->scenario.isSilent ? "silence/" : "reset/")
            + placeName(this->scenario.place) + "/x";
    }

    void sendCrashing()
    {
        const std::size_t part = this->random() % this->prompts.crashingPartCount();
        SentRequest& request = this->sendPrompt(RequestKind::Crashing, this->prompts.makeCrashing(part));
        request.crashingPart = part;
        if (!this->scenario.callersLeave)
            return;
        request.leaveAt = request.sentAt + leaveDelay(this->scenario.place);
        request.staysForEvents = false;
    }

    SentRequest& sendPrompt(RequestKind kind, const std::string& parts)
    {
        const char* name = kind == RequestKind::Sound ? "sound-" : kind == RequestKind::Hostile ? "hostile-" : "crash-";
        const std::string id = name + std::to_string(++this->lastNumber);
        const std::size_t gateway = this->fleet.pickRunningGateway(this->random);
        Platform::HttpCall call = this->fleet.makeCall(gateway, id, this->promptPath());
        call.method = "POST";
        call.headers.push_back("X-Prefix-Hash: " + parts);
        call.body = id;
        return this->send(kind, id, gateway, std::move(call));
    }

    void sendCall()
    {
        const std::string id = "call-" + std::to_string(++this->lastNumber);
        const std::size_t gateway = this->fleet.pickRunningGateway(this->random);
        this->send(RequestKind::Call, id, gateway, this->fleet.makeCall(gateway, id, "/safe/" + id));
    }

    SentRequest& send(RequestKind kind, const std::string& id, std::size_t gateway, Platform::HttpCall call)
    {
        SentRequest& request = this->sent[id];
        request.kind = kind;
        request.gateway = gateway;
        request.sentAt = std::chrono::steady_clock::now();
        request.isGatewayInTouch = this->fleet.isGatewayInTouch(gateway, request.sentAt);
        request.leaveAt = request.sentAt + longestGap;
        const auto onHead = [&request](const Platform::HttpAnswerHead& head) { request.status = head.status; };
        const auto onData = [&request](const std::string& data) {
            const TimePoint now = std::chrono::steady_clock::now();
            request.received += data;
            if (request.status == 200 && !request.firstEventAfter)
                request.firstEventAfter = now - request.sentAt;
            if (request.staysForEvents)
                request.leaveAt = now + longestGap;
        };
        const auto onEnd = [&request](const Platform::HttpCallResult& answer) {
            request.leaveAt.reset();
            request.isServed = answer.isSuccess();
            request.endAfter = std::chrono::steady_clock::now() - request.sentAt;
        };
        request.call = this->fleet.transfers().stream(std::move(call), { onHead, onData, onEnd });
        return request;
    }

    void letCallersLeave(TimePoint now)
    {
        for (auto& [id, request] : this->sent) {
            if (!request.leaveAt || now < *request.leaveAt)
                continue;
            request.leaveAt.reset();
            this->fleet.transfers().cancel(request.call);
        }
    }

    void noteMemory()
    {
        if (!this->scenario.hasHostileCallers)
            return;
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
            this->peakResidentBytes = std::max(this->peakResidentBytes, this->fleet.gatewayResidentBytes(i));
    }

    std::size_t crashCount() const
    {
        std::size_t count = 0;
        for (const CrashingPart& part : this->crashingParts)
            count += part.counter.crashes();
        return count;
    }

    // Counts while the scenario runs, since a gateway is in touch or not at the time of the run.
    void countNewRuns()
    {
        const std::vector<RunLogEntry>& log = this->fleet.runLog();
        for (; this->countedEntries < log.size(); ++this->countedEntries) {
            const RunLogEntry& entry = log[this->countedEntries];
            const auto found = this->sent.find(entry.request);
            if (found == this->sent.end())
                continue;
            SentRequest& request = found->second;
            request.isBegun = true;
            CrashingPart& part = this->crashingParts[request.crashingPart];
            if (entry.isCrash)
                part.counter.addCrash(entry.time);
            else if (request.kind == RequestKind::Crashing
                && part.counter.addRun(entry.time, this->fleet.isGatewayInTouch(request.gateway, entry.time)))
                part.lateRuns.push_back(entry.request + " at " + entry.upstream);
        }
    }

    // The time from which sound requests count again.
    TimePoint recoveredAt() const
    {
        TimePoint time = this->begin;
        for (const CrashingPart& part : this->crashingParts)
            time = std::max(time, part.counter.limitReachedAt().value_or(this->begin));
        return this->scenario.upstreamFault == UpstreamFault::None ? time + recoveryTime : this->begin;
    }

    SoundCount countSound(TimePoint from, TimePoint to) const
    {
        SoundCount count;
        for (const auto& [id, request] : this->sent) {
            if (request.kind != RequestKind::Sound || !request.isGatewayInTouch || request.sentAt < from
                || request.sentAt >= to)
                continue;
            ++count.sent;
            count.begun += request.isBegun ? 1 : 0;
            count.served += request.isServed ? 1 : 0;
            count.prompt += request.firstEventAfter && *request.firstEventAfter < promptTime ? 1 : 0;
        }
        return count;
    }

    ProofResult evaluate()
    {
        const SoundCount before = this->countSound({}, this->firstDisturbance());
        const SoundCount after = this->countSound(this->recoveredAt(), this->end);
        if (this->scenario.upstreamFault == UpstreamFault::None) {
            this->checkCrashingParts();
            this->checkSound(before, after);
        } else {
            this->checkSuspicions(after);
        }
        if (this->scenario.hasHostileCallers)
            this->checkHostility();
        return { this->summary(before, after), this->violations, this->fleet.logFolder() };
    }

    TimePoint firstDisturbance() const
    {
        for (const RunLogEntry& entry : this->fleet.runLog()) {
            if (entry.isCrash)
                return entry.time;
        }
        return this->begin;
    }

    void checkCrashingParts()
    {
        for (const auto& [counter, lateRuns] : this->crashingParts) {
            if (counter.crashes() == 0)
                this->violations.push_back("a part crashed no upstream, so nothing was checked");
            if (counter.lateRuns() > allowedLateRuns)
                this->violations.push_back("requests with a part reached upstreams in "
                    + std::to_string(counter.lateRuns()) + " runs after five crashes and the stability window"
                    + traced(lateRuns));
        }
    }

    void checkSound(const SoundCount& before, const SoundCount& after)
    {
        if (before.sent < fewestRequests || after.sent < fewestRequests)
            return;
        if (after.fraction(after.begun) < begunFraction * before.fraction(before.begun))
            this->violations.push_back("sound requests began less than half as often as before");
        if (this->scenario.gatewayFault != GatewayFault::None)
            return;
        if (after.fraction(after.served) < servedFraction)
            this->violations.push_back("only " + std::to_string(after.served) + " of " + std::to_string(after.sent)
                + " sound requests were served" + traced(this->unserved()));
        if (after.fraction(after.prompt) < promptFraction)
            this->violations.push_back("only " + std::to_string(after.prompt) + " of " + std::to_string(after.sent)
                + " sound requests got an event within a second");
    }

    std::vector<std::string> unserved() const
    {
        std::vector<std::string> list;
        for (const auto& [id, request] : this->sent) {
            if (request.kind == RequestKind::Sound && request.sentAt >= this->recoveredAt() && !request.isServed)
                list.push_back(id + " (" + std::to_string(request.status) + ")");
        }
        return list;
    }

    void checkSuspicions(const SoundCount& sound)
    {
        if (static_cast<double>(this->suspected()) > suspectedFraction * static_cast<double>(sound.sent))
            this->violations.push_back(
                std::to_string(this->suspected()) + " requests were refused as crashing upstreams");
    }

    std::size_t suspected() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->sent, [](const auto& entry) {
            return entry.second.kind != RequestKind::Crashing && entry.second.isSuspected();
        }));
    }

    void checkHostility()
    {
        if (this->peakResidentBytes > makePlan().gatewayMemoryMb * bytesPerMegabyte)
            this->violations.push_back("a gateway used more memory than its limit");
        std::size_t calls = 0;
        std::size_t slow = 0;
        for (const auto& [id, request] : this->sent) {
            calls += request.kind == RequestKind::Call ? 1 : 0;
            slow += request.kind == RequestKind::Call && (!request.endAfter || *request.endAfter > promptTime) ? 1 : 0;
        }
        if (static_cast<double>(slow) > slowCallFraction * static_cast<double>(calls))
            this->violations.push_back(std::to_string(slow) + " of " + std::to_string(calls)
                + " calls of other callers were not answered within a second");
    }

    static std::string traced(const std::vector<std::string>& requests)
    {
        std::string text;
        for (std::size_t i = 0; i < std::min(requests.size(), tracedRequests); ++i)
            text += (i == 0 ? ": " : ", ") + requests[i];
        return text;
    }

    std::string summary(const SoundCount& before, const SoundCount& after) const
    {
        std::size_t lateRuns = 0;
        for (const CrashingPart& part : this->crashingParts)
            lateRuns += part.counter.lateRuns();
        std::ostringstream text;
        text << this->crashCount() + this->chanceCrashes << " crashes, " << lateRuns << " late runs, sound "
             << before.begun << "/" << before.sent << " begun before, then " << after.begun << " begun, "
             << after.served << " served, " << after.prompt << " prompt of " << after.sent << ", " << this->suspected()
             << " refused as crashing";
        if (this->scenario.hasHostileCallers)
            text << ", up to " << this->peakResidentBytes / bytesPerMegabyte << " MB";
        return text.str();
    }

    PartScenario scenario;
    asio::io_context context { 1 };
    std::mt19937_64 random;
    GatewayFleet fleet;
    FleetRunner runner { this->context, this->fleet, [this](TimePoint now) { this->step(now); } };
    GatewayDisturbance disturbance;
    PartPrompts prompts;
    std::vector<CrashingPart> crashingParts;
    std::unordered_map<std::string, SentRequest> sent;
    std::size_t countedEntries = 0;
    std::size_t chanceCrashes = 0;
    std::vector<std::string> violations;
    std::int64_t peakResidentBytes = 0;
    int lastNumber = 0;
    bool isLoaded = false;
    TimePoint begin {};
    TimePoint end {};
    TimePoint nextSound {};
    TimePoint nextCall {};
    TimePoint nextHostile {};
    TimePoint nextCrashing {};
    TimePoint nextUpstreamFault {};
    /** When paused upstreams go on, by index. */
    std::map<std::size_t, TimePoint> pausedUpstreams;
};

} // namespace

std::string PartScenario::name() const
{
    if (this->upstreamFault != UpstreamFault::None)
        return std::string("innocent-") + upstreamFaultName(this->upstreamFault);
    return std::string(this->isSilent ? "silence-" : "reset-") + placeName(this->place) + "-" + layoutName(this->layout)
        + (this->hasHostileCallers ? "-hostile" : "") + (this->callersLeave ? "-leave-" : "-stay-")
        + faultName(this->gatewayFault);
}

std::vector<PartScenario> allPartScenarios()
{
    using enum PartLayout;
    std::vector<PartScenario> scenarios;
    for (const bool isSilent : { false, true }) {
        for (const auto place :
            { PartCrashPlace::BeforeHead, PartCrashPlace::FirstEvent, PartCrashPlace::AfterThreeEvents }) {
            for (const auto layout : { FirstOfTwo, FirstOfFour, MiddleOfFour, MiddleOfTwelve })
                scenarios.push_back({ isSilent, place, layout });
            scenarios.push_back({ isSilent, place, MiddleOfFour, /* callersLeave */ true });
        }
        for (const auto fault :
            { GatewayFault::Pause, GatewayFault::KillInTurn, GatewayFault::KillAll, GatewayFault::StoreAway }) {
            scenarios.push_back({ isSilent, PartCrashPlace::FirstEvent, MiddleOfFour, false, fault });
            scenarios.push_back({ isSilent, PartCrashPlace::BeforeHead, MiddleOfTwelve, true, fault });
        }
        for (const auto layout : { MiddleOfEighty, Companion, Pair })
            scenarios.push_back({ isSilent, PartCrashPlace::FirstEvent, layout });
        scenarios.push_back({ isSilent, PartCrashPlace::FirstEvent, Pair, /* callersLeave */ true });
        for (const auto fault : { GatewayFault::KillInTurn, GatewayFault::KillAll })
            scenarios.push_back({ isSilent, PartCrashPlace::FirstEvent, Pair, false, fault });
        PartScenario hostile { isSilent, PartCrashPlace::FirstEvent, MiddleOfFour };
        hostile.hasHostileCallers = true;
        scenarios.push_back(hostile);
    }
    for (const auto fault : { UpstreamFault::Chance, UpstreamFault::Together, UpstreamFault::Pauses }) {
        PartScenario innocent;
        innocent.upstreamFault = fault;
        scenarios.push_back(innocent);
    }
    return scenarios;
}

ProofResult runPartScenario(const PartScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    return PartScenarioRun(scenario, programs, seed).run();
}

} // namespace Proof
