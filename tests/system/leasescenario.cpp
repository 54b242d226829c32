#include "leasescenario.h"

#include "fleetrunner.h"

#include <algorithm>
#include <map>
#include <set>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

// The users' release_ms: how long memory may stay reserved after the last use of it.
constexpr Duration releaseLimit = 4s;
// How long the caller of a prompt whose engine has crashed may wait after the engine's entry has expired.
constexpr Duration answerLimit = 1s;
constexpr Duration callerTimeout = 10s;
// Of a prompt with a long prefill.
constexpr Duration patientCallerTimeout = 25s;
constexpr Duration startTime = 1s;
constexpr Duration disturbanceDelay = 1s;
constexpr Duration runLimit = 20s;
// Longer than a renewed lease lasts, so that each lease of a killed process has expired.
constexpr Duration observationTime = 5s;
constexpr std::size_t minimumHolders = 2;
constexpr int success = 200;
constexpr int upstreamFailed = 502;
constexpr int notRun = 503;

struct EndingPlan {
    const char* name;
    /** The segments of the path, see CrashableUpstream. */
    const char* path;
    const char* route = "review";
};

EndingPlan planOf(WorkEnding ending)
{
    switch (ending) {
    case WorkEnding::SilentCrash:
        return { "crash-silence-first", "rejected-twice/crash/silence/" };
    case WorkEnding::LateSilentCrash:
        return { "crash-silence-late", "rejected-twice/crash/silence/late/" };
    case WorkEnding::Reset:
        return { "crash-reset-first", "rejected-twice/crash/reset/" };
    case WorkEnding::LateReset:
        return { "crash-reset-late", "rejected-twice/crash/reset/late/" };
    case WorkEnding::SilentCrashInLongPrefill:
        return { "crash-silence-prefill", "crash/silence/", "archive" };
    case WorkEnding::SilentCrashOfPausedStream:
        return { "crash-silence-paused", "crash/silence/late/large/" };
    case WorkEnding::EngineLeaves:
        return { "departure-engine", "prefill/", "archive" };
    case WorkEnding::CallerLeaves:
        return { "departure-caller", "slow/" };
    case WorkEnding::Rejected:
        return { "rejection-whole", "rejected/" };
    case WorkEnding::UnfinishedRejection:
        return { "rejection-unfinished", "rejected/unfinished/" };
    case WorkEnding::GatewayKilled:
        return { "departure-gateway-killed", "slow/" };
    case WorkEnding::GatewayStopped:
        return { "departure-gateway-stopped", "slow/" };
    }
    return {};
}

// On few engines, so that the prefill takes about ten seconds.
bool isLongPrefill(WorkEnding ending)
{
    return ending == WorkEnding::SilentCrashInLongPrefill || ending == WorkEnding::EngineLeaves;
}

std::int64_t toMs(Duration duration) { return Foundation::toMilliseconds(duration); }

// Runs one scenario on a context of its own.
class LeaseScenarioRun {
public:
    LeaseScenarioRun(WorkEnding ending, const std::filesystem::path& programs, std::uint64_t seed)
        : ending(ending)
        , fleet(this->context, programs,
              { .gateways = 2,
                  .applications = 1,
                  .engines = isLongPrefill(ending) ? 4U : 8U,
                  // A crashed engine is not restarted while the scenario runs, as its process would be reset then.
                  .shortestDowntime = 60s,
                  .longestDowntime = 61s },
              seed)
    {
    }

    LeaseScenarioResult run()
    {
        this->runner.start();
        // The engines may become ready after the gateways.
        this->runner.runFor(startTime);
        this->sendPrompt();
        if (this->isDisturbed()) {
            this->runner.runFor(disturbanceDelay);
            this->disturb();
        }
        const bool isPaused = this->ending == WorkEnding::SilentCrashOfPausedStream;
        this->runner.runUntil(
            [this, isPaused] { return this->hasWorkEnded() && (isPaused || this->hasCallEnded); }, runLimit);
        this->runner.runUntil([this] { return std::chrono::steady_clock::now() >= this->knowableAt(); }, runLimit);
        this->runner.runFor(observationTime);
        if (isPaused) {
            this->fleet.transfers().resume(this->call);
            this->runner.runUntil([this] { return this->hasCallEnded; }, runLimit);
        }
        this->evaluate();
        this->result.logFolder = this->fleet.logFolder();
        return this->result;
    }

private:
    void sendPrompt()
    {
        const Duration timeout = isLongPrefill(this->ending) ? patientCallerTimeout : callerTimeout;
        Platform::HttpCall prompt;
        prompt.method = "POST";
        prompt.url = "http://" + this->fleet.gatewayAddress(0) + "/stream/" + planOf(this->ending).route + "/"
            + planOf(this->ending).path;
        prompt.headers = { "Host: h", "X-Attempt-Id: prompt", "Authorization: Token key",
            "X-Deadline-Ms: " + std::to_string(toMs(timeout)), "X-Model: m",
            // More than the memory of one engine, see GatewayFleet::makeDocument().
            isLongPrefill(this->ending) ? "X-Token-Usage: 600000,80" : "X-Token-Usage: 457030,80" };
        prompt.body = "prompt";
        prompt.timeout = timeout + 5s;
        prompt.connectionUse = Platform::ConnectionUse::Dedicated;
        prompt.resend = Platform::Resend::Never;
        this->sentAt = std::chrono::steady_clock::now();
        this->call = this->fleet.transfers().stream(std::move(prompt),
            { [this](const Platform::HttpAnswerHead& head) { this->onHead(head.status); },
                [this](const std::string&) { ++this->receivedParts; },
                [this](const Platform::HttpCallResult& answer) {
                    this->hasCallEnded = true;
                    this->isAnswerWhole = answer.outcome == Platform::CallOutcome::Complete;
                    this->callEndedAt = std::chrono::steady_clock::now();
                } });
    }

    void onHead(int status)
    {
        this->result.status = status;
        if (this->ending == WorkEnding::SilentCrashOfPausedStream)
            this->fleet.transfers().pause(this->call);
    }

    void disturb()
    {
        this->disturbedAt = std::chrono::steady_clock::now();
        if (this->ending == WorkEnding::CallerLeaves)
            this->fleet.transfers().cancel(this->call);
        else if (this->ending == WorkEnding::EngineLeaves)
            this->removeWorkingEngine();
        else if (this->ending == WorkEnding::GatewayKilled)
            this->fleet.killGateway(0);
        else
            this->fleet.stopGateway(0);
    }

    // Removes the entry of the engine that works on the prompt, which serves on.
    void removeWorkingEngine()
    {
        for (const RunLogEntry& run : this->fleet.runLog()) {
            for (std::size_t i = 0; i < this->fleet.upstreamCount(); ++i) {
                if (run.what == "begin" && this->fleet.upstreamId(i) == run.upstream)
                    this->fleet.removeEntry(i);
            }
        }
    }

    const RunLogEntry* findCrash() const
    {
        const auto found = std::ranges::find_if(this->fleet.runLog(), &RunLogEntry::isCrash);
        return found == this->fleet.runLog().end() ? nullptr : &*found;
    }

    bool isCrash() const
    {
        return this->isSilentCrash() || this->ending == WorkEnding::Reset || this->ending == WorkEnding::LateReset;
    }

    bool isSilentCrash() const
    {
        return this->ending == WorkEnding::SilentCrash || this->ending == WorkEnding::LateSilentCrash
            || this->ending == WorkEnding::SilentCrashInLongPrefill
            || this->ending == WorkEnding::SilentCrashOfPausedStream;
    }

    bool isDisturbed() const
    {
        return this->ending == WorkEnding::CallerLeaves || this->ending == WorkEnding::EngineLeaves
            || this->ending == WorkEnding::GatewayKilled || this->ending == WorkEnding::GatewayStopped;
    }

    bool hasWorkEnded() const { return !this->isCrash() || this->findCrash(); }

    // When the gateway could know that no upstream works on the prompt any more.
    TimePoint knowableAt() const
    {
        if (const RunLogEntry* const crash = this->findCrash())
            return this->isSilentCrash() ? crash->time + GatewayFleet::entryLifetime : crash->time;
        if (this->ending == WorkEnding::CallerLeaves || this->ending == WorkEnding::GatewayKilled)
            return this->disturbedAt;
        // Rejections arrive at once; what takes longer is the gateway's own wait.
        if (this->ending == WorkEnding::UnfinishedRejection)
            return this->sentAt;
        return this->callEndedAt;
    }

    void evaluate()
    {
        this->checkPlay();
        this->checkLeases();
        this->checkAnswer();
    }

    // Checks that the play was what the scenario is about.
    void checkPlay()
    {
        std::set<std::string> holders;
        std::set<std::string> leases;
        for (const LeaseLogEntry& entry : this->fleet.leaseLog()) {
            holders.insert(entry.upstream);
            leases.insert(entry.lease);
        }
        this->result.leases = leases.size();
        if (holders.size() < minimumHolders)
            this->violate("the prompt held memory at " + std::to_string(holders.size()) + " engines only");
        if (!this->hasWorkEnded())
            this->violate("no engine crashed");
        if (!this->hasCallEnded)
            this->violate("the caller's connection stayed open without an answer");
    }

    void checkLeases()
    {
        const TimePoint end = std::chrono::steady_clock::now();
        std::map<std::pair<std::string, std::string>, TimePoint> heldUntil;
        for (const LeaseLogEntry& entry : this->fleet.leaseLog())
            heldUntil[{ entry.upstream, entry.lease }] = entry.event == LeaseEvent::Reserved ? end : entry.time;
        const RunLogEntry* const crash = this->findCrash();
        for (const auto& [lease, until] : heldUntil) {
            // What a crashed engine held is lost with it.
            if (crash && crash->upstream == lease.first)
                continue;
            const Duration held = until - this->knowableAt();
            this->result.heldMs = std::max(this->result.heldMs, toMs(held));
            if (held > releaseLimit)
                this->violate(lease.first + " held memory for " + lease.second + " for " + std::to_string(toMs(held))
                    + " ms after the work could be known to be over" + (until == end ? " and longer" : ""));
        }
    }

    void checkAnswer()
    {
        this->result.answeredMs = toMs(this->callEndedAt - this->knowableAt());
        const bool isPaused = this->ending == WorkEnding::SilentCrashOfPausedStream;
        const bool isBounded = (this->isCrash() && !isPaused) || this->ending == WorkEnding::UnfinishedRejection;
        const Duration limit = isLongPrefill(this->ending) ? releaseLimit : answerLimit;
        if (isBounded && this->callEndedAt > this->knowableAt() + limit)
            this->violate("the caller waited " + std::to_string(this->result.answeredMs)
                + " ms after the end of the work could be known");
        const int status = this->result.status;
        if (this->ending == WorkEnding::SilentCrash || this->ending == WorkEnding::SilentCrashInLongPrefill
            || this->ending == WorkEnding::Reset)
            this->expect(status == upstreamFailed, "the caller got status " + std::to_string(status));
        if (this->ending == WorkEnding::Rejected || this->ending == WorkEnding::UnfinishedRejection)
            this->expect(status == notRun, "the caller got status " + std::to_string(status));
        if (this->ending == WorkEnding::EngineLeaves)
            this->expect(status == success && this->receivedParts > 0 && this->isAnswerWhole,
                "the caller got no whole answer of the engine that left");
        if (this->ending == WorkEnding::LateSilentCrash || this->ending == WorkEnding::LateReset
            || this->ending == WorkEnding::SilentCrashOfPausedStream)
            this->expect(this->receivedParts > 0 && !this->isAnswerWhole, "the caller got no stream that was cut");
    }

    void expect(bool condition, const std::string& violation)
    {
        if (!condition)
            this->violate(violation);
    }

    void violate(std::string violation) { this->result.violations.push_back(std::move(violation)); }

    WorkEnding ending;
    asio::io_context context { 1 };
    GatewayFleet fleet;
    FleetRunner runner { this->context, this->fleet, [](TimePoint) {} };
    LeaseScenarioResult result;
    Platform::CallId call = 0;
    TimePoint sentAt {};
    TimePoint disturbedAt {};
    TimePoint callEndedAt {};
    std::size_t receivedParts = 0;
    bool hasCallEnded = false;
    bool isAnswerWhole = false;
};

} // namespace

std::vector<WorkEnding> allWorkEndings()
{
    return { WorkEnding::SilentCrash, WorkEnding::LateSilentCrash, WorkEnding::SilentCrashInLongPrefill,
        WorkEnding::SilentCrashOfPausedStream, WorkEnding::Reset, WorkEnding::LateReset, WorkEnding::EngineLeaves,
        WorkEnding::CallerLeaves, WorkEnding::Rejected, WorkEnding::UnfinishedRejection, WorkEnding::GatewayKilled,
        WorkEnding::GatewayStopped };
}

const char* toString(WorkEnding ending) { return planOf(ending).name; }

LeaseScenarioResult runLeaseScenario(WorkEnding ending, const std::filesystem::path& programs, std::uint64_t seed)
{
    return LeaseScenarioRun(ending, programs, seed).run();
}

} // namespace Proof
