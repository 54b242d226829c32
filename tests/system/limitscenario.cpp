#include "limitscenario.h"

#include "fleetrunner.h"
#include "lateruncounter.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

constexpr std::size_t gatewayCount = 8;
constexpr std::size_t limitedUpstreams = 2;
// Less than the number of gateways.
constexpr double usualLimit = 1.5;
constexpr auto changingLimits = std::to_array<double>({ 1.5, 6, 1, 4 });
constexpr Duration changeInterval = 3s;
constexpr Duration unlimitedTime = 1'500ms;
constexpr Duration limitedTime = 16s;
constexpr Duration requestInterval = 40ms;
constexpr Duration disturbanceInterval = 2'500ms;
constexpr Duration pauseLength = 2s;
constexpr Duration downtime = 700ms;
// Callers use a gateway when it is ready, not before it has begun to listen.
constexpr Duration startTime = 1s;
constexpr Duration requestTimeout = 6s;
// The users' rule: how many requests an upstream may get in a window, beyond its limit.
constexpr Duration limitWindow = 4s;
constexpr double toleratedFactor = 1.5;
constexpr double toleratedExcess = 5;
// How long a gateway that an upstream has told of a limit may take to keep it.
constexpr Duration noticeAllowance = 500ms;
// The part of the limits that is used, with enough requests for all of it.
constexpr double usedFraction = 0.75;
constexpr double usedFractionWhenDisturbed = 0.5;
// A request that cannot be served is refused at once.
constexpr Duration refusalLimit = 500ms;
constexpr int refusedStatus = 503;

const char* disturbanceName(LimitDisturbance disturbance)
{
    switch (disturbance) {
    case LimitDisturbance::None:
        return "calm";
    case LimitDisturbance::Kill:
        return "kill";
    case LimitDisturbance::Pause:
        return "pause";
    case LimitDisturbance::Join:
        return "join";
    case LimitDisturbance::Leave:
        return "leave";
    case LimitDisturbance::Change:
        return "change";
    }
    return "";
}

// Runs one scenario on a context of its own.
class LimitScenarioRun {
public:
    LimitScenarioRun(const LimitScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
        : scenario(scenario)
        , random(seed)
        , fleet(this->context, programs,
              { .gateways = gatewayCount,
                  .applications = scenario.isStream ? 1 : limitedUpstreams,
                  .engines = scenario.isStream ? limitedUpstreams : 1 },
              seed)
    {
        for (std::size_t i = 0; i < limitedUpstreams; ++i)
            this->limited.push_back(scenario.isStream ? i + 1 : i);
    }

    LimitScenarioResult run()
    {
        this->runner.start();
        if (this->scenario.disturbance == LimitDisturbance::Join) {
            for (std::size_t i = gatewayCount / 2; i < gatewayCount; ++i)
                this->fleet.killGateway(i);
        }
        this->isLoaded = true;
        this->runner.runFor(unlimitedTime);
        this->setLimit(usualLimit);
        this->limitedFrom = std::chrono::steady_clock::now();
        this->nextChange = this->limitedFrom + changeInterval;
        this->nextDisturbance = this->limitedFrom + disturbanceInterval;
        this->runner.runFor(limitedTime);
        this->isLoaded = false;
        this->limitedUntil = std::chrono::steady_clock::now();
        this->runner.runFor(2s);
        this->evaluate();
        return this->result;
    }

private:
    struct SentRequest {
        std::size_t gateway = 0;
        TimePoint sentAt {};
        TimePoint endedAt {};
        bool isFinished = false;
        Platform::HttpCallResult answer;
    };

    void setLimit(double limit)
    {
        this->limits[std::chrono::steady_clock::now()] = limit;
        for (const std::size_t upstream : this->limited) {
            Platform::HttpCall call;
            call.method = "POST";
            call.url = "http://" + this->fleet.upstreamAddress(upstream) + "/limit/" + std::to_string(limit);
            call.connectionUse = Platform::ConnectionUse::Dedicated;
            this->fleet.transfers().fetch(std::move(call), [](const Platform::HttpCallResult&) {});
        }
    }

    void step(TimePoint now)
    {
        if (!this->isLoaded)
            return;
        while (!this->actions.empty() && now >= this->actions.begin()->first)
            this->actions.extract(this->actions.begin()).mapped()();
        for (; now >= this->nextRequest; this->nextRequest = std::max(this->nextRequest, now) + requestInterval)
            this->sendRequest(now);
        if (this->limitedFrom == TimePoint {})
            return;
        if (this->scenario.disturbance == LimitDisturbance::Change && now >= this->nextChange) {
            this->nextChange = now + changeInterval;
            this->setLimit(changingLimits[this->changes++ % changingLimits.size()]);
        }
        if (now >= this->nextDisturbance) {
            this->nextDisturbance = now + disturbanceInterval;
            this->disturb(this->disturbances++, now);
        }
    }

    // Gateways are disturbed from the first one on, since those that others prefer for a duty come first or last.
    void disturb(std::size_t number, TimePoint now)
    {
        const std::size_t gateway = number % gatewayCount;
        switch (this->scenario.disturbance) {
        case LimitDisturbance::Kill:
            this->fleet.killGateway(gateway);
            this->plan(now + downtime, [this, gateway] { this->fleet.startGateway(gateway); });
            break;
        case LimitDisturbance::Pause:
            this->paused.insert(gateway);
            this->fleet.pauseGateway(gateway);
            this->plan(now + pauseLength, [this, gateway] {
                this->paused.erase(gateway);
                this->fleet.resumeGateway(gateway);
            });
            break;
        case LimitDisturbance::Join:
            if (number < gatewayCount / 2) {
                const std::size_t joining = gatewayCount / 2 + number;
                this->stopped.insert(joining);
                this->fleet.startGateway(joining);
                this->plan(now + startTime, [this, joining] { this->stopped.erase(joining); });
            }
            break;
        case LimitDisturbance::Leave:
            if (number < gatewayCount / 2) {
                this->stopped.insert(gateway);
                this->fleet.stopGateway(gateway);
            }
            break;
        case LimitDisturbance::None:
        case LimitDisturbance::Change:
            break;
        }
    }

    void plan(TimePoint time, std::function<void()> action) { this->actions.emplace(time, std::move(action)); }

    void sendRequest(TimePoint now)
    {
        std::size_t gateway = this->result.requests % gatewayCount;
        while (
            !this->fleet.isGatewayRunning(gateway) || this->stopped.contains(gateway) || this->paused.contains(gateway))
            gateway = (gateway + 1) % gatewayCount;
        const std::string id = "request-" + std::to_string(++this->result.requests);
        auto& request = this->sent[id];
        request = std::make_shared<SentRequest>();
        request->gateway = gateway;
        request->sentAt = now;
        Platform::HttpCall call
            = this->fleet.makeCall(gateway, id, (this->scenario.isStream ? "/stream/" : "/safe/") + id);
        call.timeout = requestTimeout;
        call.resend = Platform::Resend::Never;
        this->fleet.transfers().fetch(std::move(call), [request](Platform::HttpCallResult answer) {
            request->answer = std::move(answer);
            request->isFinished = true;
            request->endedAt = std::chrono::steady_clock::now();
        });
    }

    double limitAt(TimePoint time) const
    {
        const auto next = this->limits.upper_bound(time);
        return next == this->limits.begin() ? 0 : std::prev(next)->second;
    }

    // Returns the largest limit in force from shortly before the begin of a window to its end.
    double largestLimit(TimePoint begin) const
    {
        double largest = this->limitAt(begin - noticeAllowance);
        for (const auto& [time, limit] : this->limits) {
            if (time > begin - noticeAllowance && time < begin + limitWindow)
                largest = std::max(largest, limit);
        }
        return largest;
    }

    void evaluate()
    {
        this->fleet.tick();
        for (const std::size_t upstream : this->limited)
            this->checkArrivals(this->fleet.upstreamId(upstream));
        std::set<std::string> ran;
        for (const RunLogEntry& entry : this->fleet.runLog())
            ran.insert(entry.request);
        for (const auto& [id, request] : this->sent) {
            if (request->sentAt >= this->limitedFrom + noticeAllowance)
                this->check(*request, ran.contains(id));
        }
        this->checkUse();
        if (!this->unanswered.empty())
            this->result.violations.push_back("requests have no answer:" + this->unanswered);
        if (this->lateRefusals > 0)
            this->result.violations.push_back(std::to_string(this->lateRefusals)
                + " refusals came late, the last after " + std::to_string(this->result.slowestRefusalMs) + " ms");
        if (this->uselessRefusals > 0)
            this->result.violations.push_back(
                std::to_string(this->uselessRefusals) + " refusals do not say when to come back");
        if (this->falseRefusals > 0)
            this->result.violations.push_back(std::to_string(this->falseRefusals) + " refused requests ran");
        this->result.logFolder = this->fleet.logFolder();
    }

    void checkArrivals(const std::string& upstream)
    {
        std::vector<TimePoint> arrivals;
        for (const RunLogEntry& entry : this->fleet.runLog()) {
            if (entry.what == "begin" && entry.upstream == upstream
                && entry.time >= this->limitedFrom + stabilityWindow)
                arrivals.push_back(entry.time);
        }
        std::size_t broken = 0;
        for (const TimePoint first : arrivals) {
            const auto count = std::ranges::count_if(
                arrivals, [first](TimePoint at) { return at >= first && at < first + limitWindow; });
            const double tolerated = std::ceil(
                toleratedFactor * this->largestLimit(first) * Foundation::toSeconds(limitWindow) + toleratedExcess);
            this->result.worstShare = std::max(this->result.worstShare, static_cast<double>(count) / tolerated);
            broken += static_cast<double>(count) > tolerated ? 1 : 0;
        }
        if (broken > 0)
            this->result.violations.push_back(
                upstream + " got more requests than its limit in " + std::to_string(broken) + " windows");
    }

    // A gateway that was disturbed may have left a request without an answer.
    void check(const SentRequest& request, bool hasRun)
    {
        const bool mayFail = this->scenario.disturbance == LimitDisturbance::Kill
            || this->scenario.disturbance == LimitDisturbance::Pause;
        if (!request.isFinished || request.answer.outcome != Platform::CallOutcome::Complete) {
            if (!mayFail)
                this->addUnanswered(request);
            return;
        }
        if (request.answer.status != refusedStatus) {
            this->result.answered += request.answer.status < refusedStatus ? 1 : 0;
            return;
        }
        ++this->result.refused;
        const Duration took = request.endedAt - request.sentAt;
        if (!mayFail || this->fleet.isGatewayInTouch(request.gateway, request.endedAt)) {
            this->result.slowestRefusalMs = std::max(this->result.slowestRefusalMs, Foundation::toMilliseconds(took));
            this->lateRefusals += took > refusalLimit ? 1 : 0;
        }
        const auto found = std::ranges::find(request.answer.headers, "Retry-After", &Platform::HttpField::name);
        const bool isTold = found != request.answer.headers.end() && std::stod(found->value) > 0;
        this->uselessRefusals += isTold ? 0 : 1;
        this->falseRefusals += hasRun ? 1 : 0;
    }

    void addUnanswered(const SentRequest& request)
    {
        this->unanswered += " " + this->fleet.gatewayName(request.gateway) + " after "
            + std::to_string(Foundation::toMilliseconds(request.sentAt - this->limitedFrom)) + " ms ("
            + (request.isFinished ? request.answer.error : "no end") + ")";
    }

    void checkUse()
    {
        const TimePoint begin = this->limitedFrom + noticeAllowance;
        for (auto change = this->limits.begin(); change != this->limits.end(); ++change) {
            const auto next = std::next(change);
            const TimePoint from = std::max(begin, change->first);
            const TimePoint to = next == this->limits.end() ? this->limitedUntil : next->first;
            this->result.allowed
                += static_cast<double>(limitedUpstreams) * change->second * Foundation::toSeconds(to - from);
        }
        const double fraction
            = this->scenario.disturbance == LimitDisturbance::None ? usedFraction : usedFractionWhenDisturbed;
        if (static_cast<double>(this->result.answered) < fraction * this->result.allowed)
            this->result.violations.push_back("the limits are not used");
    }

    LimitScenario scenario;
    asio::io_context context { 1 };
    std::mt19937_64 random;
    GatewayFleet fleet;
    FleetRunner runner { this->context, this->fleet, [this](TimePoint now) { this->step(now); } };
    LimitScenarioResult result;
    /** The indexes of the upstreams that name limits. */
    std::vector<std::size_t> limited;
    /** The limits that were set, by time. */
    std::map<TimePoint, double> limits;
    std::map<std::string, std::shared_ptr<SentRequest>> sent;
    std::multimap<TimePoint, std::function<void()>> actions;
    std::set<std::size_t> paused;
    /** Gateways that run but that callers do not use. */
    std::set<std::size_t> stopped;
    bool isLoaded = false;
    TimePoint limitedFrom {};
    TimePoint limitedUntil {};
    TimePoint nextRequest {};
    TimePoint nextChange {};
    TimePoint nextDisturbance {};
    std::size_t changes = 0;
    std::size_t disturbances = 0;
    /** The gateways and times of requests without an answer. */
    std::string unanswered;
    std::size_t lateRefusals = 0;
    std::size_t uselessRefusals = 0;
    std::size_t falseRefusals = 0;
};

} // namespace

std::string LimitScenario::name() const
{
    return std::string(disturbanceName(this->disturbance)) + (this->isStream ? "-streams" : "-calls");
}

std::vector<LimitScenario> allLimitScenarios()
{
    std::vector<LimitScenario> scenarios;
    for (const auto disturbance : { LimitDisturbance::None, LimitDisturbance::Kill, LimitDisturbance::Pause,
             LimitDisturbance::Join, LimitDisturbance::Leave, LimitDisturbance::Change }) {
        scenarios.push_back({ disturbance, /* isStream */ false });
        scenarios.push_back({ disturbance, /* isStream */ true });
    }
    return scenarios;
}

LimitScenarioResult runLimitScenario(
    const LimitScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    return LimitScenarioRun(scenario, programs, seed).run();
}

} // namespace Proof
