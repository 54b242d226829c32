#include "restorescenario.h"

#include "fleetrunner.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

// The users' bound for a change of the operator's document, and about two seconds in which all write again.
constexpr Duration applyLimit = 2s;
constexpr Duration rewriteLimit = 2'500ms;
// The smallest rates of the users' sites.
constexpr std::size_t maximumReadsPerSecond = 2'000;
constexpr std::size_t maximumWritesPerSecond = 400;
constexpr Duration probeInterval = 100ms;
constexpr Duration probeIntervalOfMany = 300ms;
constexpr Duration probeTimeout = 1s;
constexpr std::size_t usualGateways = 3;
constexpr std::size_t manyGateways = 30;
constexpr int burstDocuments = 20;
constexpr Duration burstInterval = 20ms;
// The number of crashes after which a request is not run.
constexpr std::size_t crashLimit = 3;
constexpr int unauthorized = 401;
constexpr const char* operatorTopic = "keyed.op";
constexpr const char* documentKey = "config";
// The upstreams are in the failure domains a and b in turn.
constexpr std::array<const char*, 2> upstreamDomains { "a", "b" };
constexpr const char* evacuatedDomain = "b";
constexpr const char* addressTopic = "keyed.peers";
constexpr const char* crashTopic = "keyed.suspects";

std::string evacuationKey(const char* failureDomain) { return std::string("evacuate/") + failureDomain; }

GatewayFleet::Plan makePlan(RestoreFault fault)
{
    GatewayFleet::Plan plan { usualGateways, 6, 1 };
    if (fault == RestoreFault::ThirtyGateways)
        plan.gateways = manyGateways;
    plan.failureDomains = usualGateways;
    plan.upstreamFailureDomains = 2;
    return plan;
}

// Runs one scenario on a context of its own.
class RestoreScenarioRun {
public:
    RestoreScenarioRun(RestoreFault fault, const std::filesystem::path& programs, std::uint64_t seed)
        : fault(fault)
        , random(seed)
        , fleet(this->context, programs, makePlan(fault), seed)
        , disturbed(this->random() % this->fleet.gatewayCount())
    {
    }

    RestoreScenarioResult run()
    {
        this->store().takeCopy();
        this->runner.start();
        this->runner.runUntil([this] { return this->areAddressesWritten(); }, rewriteLimit);
        this->prepareCopy();
        this->store().takeCopy(addressTopic);
        this->runner.runFor(1s);
        this->changeWhatIsLost();
        this->disturb();
        const int returns = this->fault == RestoreFault::Twice ? 2 : 1;
        for (int i = 0; i < returns; ++i)
            this->comeBack();
        this->returned = std::chrono::steady_clock::now();
        this->store().restartCounting();
        this->runner.runFor(std::chrono::milliseconds(this->random() % 1'200));
        this->undisturb();
        this->writeAgain();
        this->checkNextDocument();
        this->checkAddresses();
        if (this->fault == RestoreFault::CrashNotices)
            this->checkCrashNotices();
        if (this->fault == RestoreFault::Evacuated)
            this->checkEvacuation();
        this->runner.runFor(500ms);
        this->checkRates();
        this->result.logFolder = this->fleet.logFolder();
        return this->result;
    }

private:
    StandinStore& store() { return this->fleet.platformStore(); }

    void write(int version, std::vector<std::string> keys)
    {
        this->store().put(operatorTopic, documentKey, GatewayFleet::makeDocument(version, std::move(keys)));
        this->newestVersion = version;
    }

    void evacuate()
    {
        this->store().put(operatorTopic, evacuationKey(evacuatedDomain), "1");
        if (this->evacuatedAt == TimePoint {})
            this->evacuatedAt = std::chrono::steady_clock::now();
    }

    void endEvacuations()
    {
        for (const char* const domain : upstreamDomains)
            this->store().removeKey(operatorTopic, evacuationKey(domain));
    }

    void prepareCopy()
    {
        if (this->fault == RestoreFault::EvacuationEnded) {
            for (const char* const domain : upstreamDomains)
                this->store().put(operatorTopic, evacuationKey(domain), "1");
        }
        if (this->fault == RestoreFault::FirstStart) {
            this->fleet.killGateway(this->disturbed);
            this->store().removeKey(addressTopic, this->fleet.gatewayName(this->disturbed));
        }
    }

    // The last document takes the first key away.
    void changeWhatIsLost()
    {
        const int count = 2 + static_cast<int>(this->random() % 5);
        for (int i = 0; i < count; ++i)
            this->write(this->newestVersion + 1, { "key", "kept" });
        if (this->fault == RestoreFault::Evacuated)
            this->evacuate();
        if (this->fault == RestoreFault::EvacuationEnded)
            this->endEvacuations();
        if (this->fault == RestoreFault::CrashNotices)
            this->crashUpstreams();
        if (this->fault == RestoreFault::Acknowledged) {
            this->runner.runFor(applyLimit);
            this->isProbing = true;
            this->runner.runFor(500ms);
            this->write(this->newestVersion + 1, { "kept" });
            this->runner.runFor(std::chrono::milliseconds(this->random() % 100));
            return;
        }
        this->write(this->newestVersion + 1, { "kept" });
        this->runner.runFor(applyLimit);
        this->isProbing = true;
        this->requireRefusal();
    }

    // From now on no gateway may accept the key that was taken away.
    void requireRefusal()
    {
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
            this->refusingSince.try_emplace(i, std::chrono::steady_clock::now());
    }

    void crashUpstreams()
    {
        constexpr Duration crashTime = 6s;
        this->runner.runUntil(
            [this] {
                this->sendCrashRequest(std::chrono::steady_clock::now());
                return this->store().keys(crashTopic).size() >= crashLimit;
            },
            crashTime);
        this->runner.runFor(applyLimit);
        this->crashKeys = this->store().keys(crashTopic);
        if (this->crashKeys.size() < crashLimit)
            this->result.violations.push_back("fewer crash notices were stored than keep the request from running");
    }

    void sendCrashRequest(TimePoint now)
    {
        constexpr Duration crashRequestInterval = 300ms;
        if (now < this->nextCrashRequest)
            return;
        this->nextCrashRequest = now + crashRequestInterval;
        Platform::HttpCall call = this->makeCall(++this->lastNumber % this->fleet.gatewayCount(), "kept");
        call.method = "POST";
        call.url += "/unsafe/crash/reset/x";
        call.body = "poison";
        this->fleet.transfers().fetch(std::move(call), [](const Platform::HttpCallResult&) {});
    }

    void disturb()
    {
        if (this->fault == RestoreFault::Pause)
            this->fleet.pauseGateway(this->disturbed);
        if (this->fault == RestoreFault::Kill)
            this->fleet.killGateway(this->disturbed);
        if (this->fault == RestoreFault::CutOff)
            this->fleet.setDomainRefused(this->disturbed, true);
    }

    void undisturb()
    {
        if (this->fault == RestoreFault::Pause)
            this->fleet.resumeGateway(this->disturbed);
        if (this->fault == RestoreFault::Kill || this->fault == RestoreFault::FirstStart)
            this->fleet.startGateway(this->disturbed);
    }

    void comeBack()
    {
        this->fleet.setStoreUnavailable(true);
        this->runner.runFor(std::chrono::milliseconds(200 + this->random() % 600));
        this->store().restoreCopy();
        this->fleet.setStoreUnavailable(false);
        this->runner.runFor(std::chrono::milliseconds(this->random() % 400));
    }

    // What the operator wrote is written again.
    void writeAgain()
    {
        this->write(this->newestVersion, { "kept" });
        if (this->fault == RestoreFault::Evacuated)
            this->evacuate();
        if (this->fault == RestoreFault::EvacuationEnded)
            this->endEvacuations();
        if (this->fault == RestoreFault::Acknowledged) {
            this->runner.runFor(applyLimit);
            this->requireRefusal();
        }
        if (this->fault != RestoreFault::Burst)
            return;
        for (int i = 0; i < burstDocuments; ++i) {
            this->write(this->newestVersion + 1, { "kept" });
            this->runner.runFor(burstInterval);
        }
    }

    void checkNextDocument()
    {
        this->write(this->newestVersion + 1, { "kept", "new" });
        const TimePoint written = std::chrono::steady_clock::now();
        std::vector<bool> isApplied(this->fleet.gatewayCount());
        this->runner.runUntil(
            [&] {
                for (std::size_t i = 0; i < isApplied.size(); ++i) {
                    if (!isApplied[i] && this->lastStatus(i, "new") == 200)
                        isApplied[i] = true;
                }
                return std::ranges::all_of(isApplied, [](bool applied) { return applied; });
            },
            applyLimit + this->currentProbeInterval());
        this->result.slowestApplyMs = Foundation::toMilliseconds(std::chrono::steady_clock::now() - written);
        for (std::size_t i = 0; i < isApplied.size(); ++i) {
            if (!isApplied[i] && this->isHeldToBounds(i))
                this->result.violations.push_back("the document written after the return is not in force at "
                    + this->fleet.gatewayName(i) + " after " + std::to_string(this->result.slowestApplyMs) + " ms");
        }
    }

    void checkAddresses()
    {
        TimePoint begin = this->returned;
        if (this->fault == RestoreFault::CutOff) {
            this->fleet.setDomainRefused(this->disturbed, false);
            this->isCutOffOver = true;
            this->addressesWrittenAt.reset();
            begin = std::chrono::steady_clock::now();
        }
        this->runner.runUntil([this] { return this->addressesWrittenAt.has_value(); }, rewriteLimit);
        if (!this->addressesWrittenAt || *this->addressesWrittenAt - begin > rewriteLimit)
            this->result.violations.push_back("an address of a gateway was not written again within "
                + std::to_string(Foundation::toMilliseconds(rewriteLimit)) + " ms");
    }

    // The notices must be in the store again, and keep the request from gateways that know nothing else of it.
    void checkCrashNotices()
    {
        if (this->store().keys(crashTopic) != this->crashKeys)
            this->result.violations.push_back("the crash notices were not written again");
        this->isProbing = false;
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
            this->fleet.killGateway(i);
        const std::size_t crashesBefore = this->crashCount();
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
            this->fleet.startGateway(i);
        this->runner.runFor(2s);
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i) {
            this->nextCrashRequest = {};
            this->sendCrashRequest(std::chrono::steady_clock::now());
        }
        this->runner.runFor(1s);
        if (this->crashCount() > crashesBefore)
            this->result.violations.push_back("a request with crash notices crashed upstreams again");
    }

    void checkEvacuation()
    {
        std::size_t runsElsewhere = 0;
        for (const RunLogEntry& entry : this->fleet.runLog()) {
            if (entry.time <= this->evacuatedAt + applyLimit)
                continue;
            if (this->fleet.upstreamDomain(entry.upstream) == evacuatedDomain)
                this->reportOnce("requests reach " + entry.upstream + " although its failure domain is evacuated");
            else
                ++runsElsewhere;
        }
        if (runsElsewhere == 0)
            this->result.violations.push_back("no request reached an upstream, so nothing was checked");
    }

    std::size_t crashCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->fleet.runLog(), &RunLogEntry::isCrash));
    }

    void checkRates()
    {
        this->result.busiestReads = this->store().busiestSecond(/* isAppend */ false);
        this->result.busiestWrites = this->store().busiestSecond(/* isAppend */ true);
        if (this->result.busiestReads > maximumReadsPerSecond || this->result.busiestWrites > maximumWritesPerSecond)
            this->result.violations.push_back("the gateways exceeded the store's rates");
    }

    // A process that has just been started or resumed is not held to the bounds.
    bool isHeldToBounds(std::size_t gateway) const
    {
        const bool isDisturbed = this->fault == RestoreFault::Pause || this->fault == RestoreFault::Kill
            || this->fault == RestoreFault::FirstStart;
        return !isDisturbed || gateway != this->disturbed;
    }

    bool canReachStore(std::size_t gateway) const
    {
        return this->fault != RestoreFault::CutOff || this->isCutOffOver || gateway != this->disturbed;
    }

    bool areAddressesWritten()
    {
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i) {
            if (this->isHeldToBounds(i) && this->canReachStore(i)
                && !this->store().contains(addressTopic, this->fleet.gatewayName(i)))
                return false;
        }
        return true;
    }

    int lastStatus(std::size_t gateway, const std::string& key) const
    {
        const auto found = this->statuses.find({ gateway, key });
        return found == this->statuses.end() ? 0 : found->second;
    }

    Duration currentProbeInterval() const
    {
        return this->fleet.gatewayCount() == manyGateways ? probeIntervalOfMany : probeInterval;
    }

    void step(TimePoint now)
    {
        if (this->returned != TimePoint {} && !this->addressesWrittenAt && this->areAddressesWritten())
            this->addressesWrittenAt = now;
        if (!this->isProbing || now < this->nextProbe)
            return;
        this->nextProbe = now + this->currentProbeInterval();
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i) {
            for (const char* const key : { "key", "kept", "new" })
                this->probe(i, key);
        }
    }

    Platform::HttpCall makeCall(std::size_t gateway, const std::string& key)
    {
        Platform::HttpCall call;
        call.url = "http://" + this->fleet.gatewayAddress(gateway);
        call.headers = { "Host: h", "X-Attempt-Id: probe-" + std::to_string(++this->lastNumber), "X-Deadline-Ms: 900",
            "Authorization: Token " + key };
        call.timeout = probeTimeout;
        call.connectionUse = Platform::ConnectionUse::Dedicated;
        return call;
    }

    void probe(std::size_t gateway, const std::string& key)
    {
        Platform::HttpCall call = this->makeCall(gateway, key);
        call.url += "/safe/probe";
        const TimePoint sent = std::chrono::steady_clock::now();
        this->fleet.transfers().fetch(
            std::move(call), [this, gateway, key, sent](const Platform::HttpCallResult& answer) {
                const int status = answer.outcome == Platform::CallOutcome::Complete ? answer.status : 0;
                this->statuses[{ gateway, key }] = status;
                this->checkProbe(gateway, key, status, sent);
            });
    }

    void checkProbe(std::size_t gateway, const std::string& key, int status, TimePoint sent)
    {
        if (key == "key" && status == unauthorized)
            this->refusingSince.try_emplace(gateway, std::chrono::steady_clock::now());
        const auto refusing = this->refusingSince.find(gateway);
        const bool mustRefuse = refusing != this->refusingSince.end() && sent > refusing->second;
        if (key == "key" && status == 200 && mustRefuse)
            this->reportOnce("the revoked key is accepted by " + this->fleet.gatewayName(gateway));
        if (this->fault == RestoreFault::EvacuationEnded && key == "kept" && status != 200)
            this->reportOnce(this->fleet.gatewayName(gateway)
                + " does not use the failure domain whose evacuation has ended: status " + std::to_string(status));
    }

    void reportOnce(const std::string& violation)
    {
        if (std::ranges::find(this->result.violations, violation) == this->result.violations.end())
            this->result.violations.push_back(violation);
    }

    RestoreFault fault;
    asio::io_context context { 1 };
    std::mt19937_64 random;
    GatewayFleet fleet;
    std::size_t disturbed;
    FleetRunner runner { this->context, this->fleet, [this](TimePoint now) { this->step(now); } };
    RestoreScenarioResult result;
    std::map<std::pair<std::size_t, std::string>, int> statuses;
    /** Since when gateways must refuse the key that was taken away. */
    std::map<std::size_t, TimePoint> refusingSince;
    /** The keys of the stored crash notices before the store went away. */
    std::set<std::string> crashKeys;
    int newestVersion = 1;
    int lastNumber = 0;
    bool isProbing = false;
    bool isCutOffOver = false;
    TimePoint nextProbe {};
    TimePoint nextCrashRequest {};
    TimePoint evacuatedAt {};
    /** When the store came back for the last time, and when all addresses were in it again. */
    TimePoint returned {};
    std::optional<TimePoint> addressesWrittenAt;
};

} // namespace

std::vector<RestoreFault> allRestoreFaults()
{
    return { RestoreFault::None, RestoreFault::Pause, RestoreFault::Kill, RestoreFault::Twice, RestoreFault::CutOff,
        RestoreFault::FirstStart, RestoreFault::Burst, RestoreFault::Acknowledged, RestoreFault::Evacuated,
        RestoreFault::EvacuationEnded, RestoreFault::CrashNotices, RestoreFault::ThirtyGateways };
}

const char* toString(RestoreFault fault)
{
    switch (fault) {
    case RestoreFault::None:
        return "calm";
    case RestoreFault::Pause:
        return "pause";
    case RestoreFault::Kill:
        return "kill";
    case RestoreFault::Twice:
        return "twice";
    case RestoreFault::CutOff:
        return "cut-off";
    case RestoreFault::FirstStart:
        return "first-start";
    case RestoreFault::Burst:
        return "burst";
    case RestoreFault::Acknowledged:
        return "acknowledged";
    case RestoreFault::Evacuated:
        return "evacuated";
    case RestoreFault::EvacuationEnded:
        return "evacuation-ended";
    case RestoreFault::CrashNotices:
        return "crash-notices";
    case RestoreFault::ThirtyGateways:
        return "thirty-gateways";
    }
    return "";
}

RestoreScenarioResult runRestoreScenario(RestoreFault fault, const std::filesystem::path& programs, std::uint64_t seed)
{
    return RestoreScenarioRun(fault, programs, seed).run();
}

} // namespace Proof
