#include "departurescenario.h"

#include "fleetrunner.h"

#include <algorithm>
#include <map>
#include <set>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

// The users' bound for requests that reach an upstream after it has begun to leave or is gone.
constexpr Duration departureLimit = 2s;
constexpr std::size_t failureDomains = 3;
constexpr std::size_t departingUpstreams = 4;
// They depart in turn, the first one so long before the store serves the failure domain again. Gateways that are turned
// away ask others less often than that, so they read at least one of the departures from the store.
constexpr Duration firstDeparture = 350ms;
constexpr Duration departureInterval = 100ms;
constexpr Duration removalDelay = 80ms;
constexpr Duration historyExpiry = 10ms;
constexpr Duration expiryBeforeReturn = 1s;
// Upstreams write expired entries again about two seconds after an outage for all.
constexpr Duration rewriteAfterReturn = 1'900ms;
constexpr Duration rewriteAfterLapse = 4s;
// How long a gateway may take to see an entry that was written, and to send a request there.
constexpr Duration listingLimit = 2s;
constexpr Duration callInterval = 10ms;
// As the routes of the fleet say.
constexpr int maximumAttempts = 2;
constexpr Duration observationTime = 7s;

struct Period {
    TimePoint begin {};
    TimePoint end {};

    bool contains(TimePoint time) const { return time >= this->begin && time < this->end; }
};

// Runs one scenario on a context of its own.
class DepartureScenarioRun {
public:
    DepartureScenarioRun(Departure departure, const std::filesystem::path& programs, std::uint64_t seed)
        : departure(departure)
        , random(seed)
        , fleet(this->context, programs,
              { .gateways = 6,
                  .applications = departure == Departure::LapseEverywhere ? departingUpstreams : 2 * departingUpstreams,
                  .engines = 1,
                  .failureDomains = failureDomains },
              seed)
        , refusedDomain(this->random() % failureDomains)
    {
    }

    DepartureScenarioResult run()
    {
        this->runner.start();
        this->isLoaded = true;
        this->runner.runFor(1'500ms);
        this->setRefused(true);
        this->returned = std::chrono::steady_clock::now() + 4s + std::chrono::milliseconds(this->random() % 2'000);
        this->plan(this->returned, [this] { this->setRefused(false); });
        for (std::size_t i = 0; i < departingUpstreams; ++i)
            this->planDeparture(i);
        // A listing does not show that the upstreams said that they leave.
        if (this->departure == Departure::Leave)
            this->plan(this->returned - historyExpiry, [this] { this->fleet.expireUpstreamHistory(); });
        this->runner.runUntil(
            [this] { return std::chrono::steady_clock::now() >= this->returned + observationTime; }, 20s);
        this->isLoaded = false;
        this->runner.runFor(2s);
        return this->evaluate();
    }

private:
    void setRefused(bool isRefused)
    {
        for (std::size_t i = 0; i < failureDomains; ++i) {
            if (i == this->refusedDomain || this->departure == Departure::LapseEverywhere)
                this->fleet.setDomainRefused(i, isRefused);
        }
    }

    void planDeparture(std::size_t upstream)
    {
        const Duration beforeReturn = this->departure == Departure::LapseEverywhere
            ? expiryBeforeReturn
            : firstDeparture - static_cast<int>(upstream) * departureInterval;
        const TimePoint time = this->returned - beforeReturn;
        this->departed[upstream] = time;
        const auto remove = [this, upstream] { this->fleet.removeEntry(upstream); };
        const auto write = [this, upstream] { this->fleet.writeEntry(upstream); };
        switch (this->departure) {
        case Departure::Leave:
            this->plan(time, [this, upstream] { this->fleet.writeEntry(upstream, /* isDraining */ true); });
            this->plan(time + removalDelay, remove);
            break;
        case Departure::Lapse:
            this->plan(time, remove);
            this->plan(time + rewriteAfterLapse, write);
            break;
        case Departure::Restart:
            this->plan(time, [this, upstream] { this->fleet.restartUpstream(upstream); });
            break;
        case Departure::Remove:
            this->plan(time, remove);
            break;
        case Departure::LapseEverywhere:
            this->plan(time, remove);
            this->plan(this->returned + rewriteAfterReturn, write);
            break;
        }
    }

    void plan(TimePoint time, std::function<void()> action) { this->actions.emplace(time, std::move(action)); }

    void step(TimePoint now)
    {
        while (!this->actions.empty() && now >= this->actions.begin()->first)
            this->actions.extract(this->actions.begin()).mapped()();
        if (!this->isLoaded || now < this->nextCall)
            return;
        this->nextCall = now + callInterval;
        this->sendCall();
    }

    void sendCall()
    {
        const std::size_t gateway = this->result.calls++ % this->fleet.gatewayCount();
        const std::string id = this->fleet.gatewayName(gateway) + "/" + std::to_string(this->result.calls);
        Platform::HttpCall call;
        call.url = "http://" + this->fleet.gatewayAddress(gateway) + "/safe/" + std::to_string(this->result.calls);
        call.headers = { "Host: h", "X-Attempt-Id: " + id, "X-Deadline-Ms: 1500", "Authorization: Token key" };
        call.timeout = listingLimit;
        call.connectionUse = Platform::ConnectionUse::Dedicated;
        this->fleet.transfers().fetch(std::move(call), [this, id](const Platform::HttpCallResult& answer) {
            if (answer.isSuccess())
                ++this->result.servedCalls;
            else
                this->failedCalls.push_back(id);
        });
    }

    DepartureScenarioResult evaluate()
    {
        if (this->departure == Departure::Leave || this->departure == Departure::Lapse
            || this->departure == Departure::Remove)
            this->checkLateRuns();
        const TimePoint lastDeparture = this->departed[departingUpstreams - 1];
        if (this->departure == Departure::Lapse)
            this->checkUse({ lastDeparture + rewriteAfterLapse, lastDeparture + rewriteAfterLapse + listingLimit });
        if (this->departure == Departure::Restart)
            this->checkUse({ lastDeparture, lastDeparture + listingLimit });
        this->checkFailedCalls();
        this->result.logFolder = this->fleet.logFolder();
        return this->result;
    }

    void checkLateRuns()
    {
        for (std::size_t i = 0; i < departingUpstreams; ++i) {
            const TimePoint end
                = this->departure == Departure::Lapse ? this->departed[i] + rewriteAfterLapse : TimePoint::max();
            std::set<std::string> lateGateways;
            for (const RunLogEntry& entry : this->fleet.runLog()) {
                if (entry.upstream != this->fleet.upstreamId(i) || entry.time >= end)
                    continue;
                const Duration delay = entry.time - this->departed[i];
                this->result.latestRunMs = std::max(this->result.latestRunMs, Foundation::toMilliseconds(delay));
                if (delay > departureLimit)
                    lateGateways.insert(gatewayOf(entry));
            }
            for (const std::string& gateway : lateGateways)
                this->result.violations.push_back(gateway + " sent requests to " + this->fleet.upstreamId(i)
                    + " later than " + std::to_string(Foundation::toMilliseconds(departureLimit))
                    + " ms after it had departed");
        }
    }

    // A call whose upstream is replaced fails over; it may fail if it met two such upstreams.
    void checkFailedCalls()
    {
        const auto& log = this->fleet.runLog();
        for (const std::string& id : this->failedCalls) {
            const auto runs = std::ranges::count(log, id, &RunLogEntry::request);
            if (this->departure != Departure::Restart || runs < maximumAttempts)
                this->result.violations.push_back(id + " was not served after " + std::to_string(runs) + " runs");
        }
    }

    static std::string gatewayOf(const RunLogEntry& entry) { return entry.request.substr(0, entry.request.find('/')); }

    // Upstreams that are listed again get requests like the others.
    void checkUse(const Period& period)
    {
        for (std::size_t i = 0; i < departingUpstreams; ++i) {
            const bool isUsed = std::ranges::any_of(this->fleet.runLog(), [&](const RunLogEntry& entry) {
                return entry.upstream == this->fleet.upstreamId(i) && period.contains(entry.time);
            });
            if (!isUsed)
                this->result.violations.push_back(
                    this->fleet.upstreamId(i) + " got no request although it was listed again");
        }
    }

    Departure departure;
    asio::io_context context { 1 };
    std::mt19937_64 random;
    GatewayFleet fleet;
    std::size_t refusedDomain;
    FleetRunner runner { this->context, this->fleet, [this](TimePoint now) { this->step(now); } };
    DepartureScenarioResult result;
    std::vector<std::string> failedCalls;
    /** What is done at which time. */
    std::multimap<TimePoint, std::function<void()>> actions;
    /** When the departures were written to the store, by upstream. */
    std::map<std::size_t, TimePoint> departed;
    /** When the store serves all gateways again. */
    TimePoint returned {};
    TimePoint nextCall {};
    bool isLoaded = false;
};

} // namespace

std::vector<Departure> allDepartures()
{
    return { Departure::Leave, Departure::Lapse, Departure::Restart, Departure::Remove, Departure::LapseEverywhere };
}

const char* toString(Departure departure)
{
    switch (departure) {
    case Departure::Leave:
        return "leave";
    case Departure::Lapse:
        return "lapse";
    case Departure::Restart:
        return "restart";
    case Departure::Remove:
        return "remove";
    case Departure::LapseEverywhere:
        return "outage-for-all";
    }
    return "";
}

DepartureScenarioResult runDepartureScenario(
    Departure departure, const std::filesystem::path& programs, std::uint64_t seed)
{
    return DepartureScenarioRun(departure, programs, seed).run();
}

} // namespace Proof
