#include "silencescenario.h"

#include "fleetrunner.h"

#include <pausingupstream.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr Duration settlingTime = 1s;
constexpr Duration loadTime = 13s;
constexpr Duration requestInterval = 20ms;
constexpr Duration busyRequestInterval = 10ms;
// The users' callers: when they give up, and the half second in which the last answer must have reached them.
constexpr milliseconds streamDeadline { 7'000 };
constexpr milliseconds callDeadline { 4'000 };
constexpr Duration answerAllowance = 500ms;
// How long the users' callers wait for the next event: the largest of 2 s, four times the target for the first event
// (200 ms) and eight times the target for the gap (250 ms).
constexpr Duration longestEventGap = 2s;
constexpr int shortestPauseMs = 800;
// With the delay of a first event shorter than the longest gap, so that no caller leaves an upstream because of a
// pause.
constexpr int longestPauseMs = 1'650;
// From the end of a pause to the next one of the same upstream.
constexpr int shortestPauseDistanceMs = 2'500;
constexpr int longestPauseDistanceMs = 5'000;
// From one pause to the next if all upstreams pause at about the same time.
constexpr int jointPauseIntervalMs = 4'500;
constexpr Duration changeInterval = 1'500ms;
constexpr Duration burstInterval = 4s;
constexpr int burstDocuments = 12;
// What the gateways' settings allow all of them together.
constexpr double retryRatio = 0.2;
constexpr std::size_t retryAllowance = 100;
constexpr Duration retryWindow = 10s;
// Different requests that many callers send alike.
constexpr int alikeContents = 12;
// Every so many requests one has a body that no silent upstream takes as a whole.
constexpr int longBodyInterval = 10;
constexpr std::size_t longBodyBytes = 600'000;
constexpr int suspectAddedEvent = 610;
constexpr int loopDelayedEvent = 107;
constexpr std::size_t longestExampleList = 4;

// A route and what its callers expect of it.
struct RouteTraits {
    const char* name;
    const char* service;
    bool isStream;
    bool isRepeatable;
    milliseconds deadline;
};

constexpr auto routes = std::to_array<RouteTraits>({
    { "stream", "llm", true, true, streamDeadline },
    { "streamonce", "llm", true, false, streamDeadline },
    { "safe", "app", false, true, callDeadline },
    { "unsafe", "app", false, false, callDeadline },
});

const char* changeName(ConfigurationChange change)
{
    switch (change) {
    case ConfigurationChange::None:
        return "calm";
    case ConfigurationChange::Document:
        return "document";
    case ConfigurationChange::DocumentBurst:
        return "burst";
    case ConfigurationChange::Settings:
        return "settings";
    case ConfigurationChange::DocumentAndSettings:
        return "both";
    }
    return "";
}

const char* momentName(std::optional<AnswerMoment> moment)
{
    if (!moment)
        return "anywhere";
    switch (*moment) {
    case AnswerMoment::Accepting:
        return "accepting";
    case AnswerMoment::ReadingBody:
        return "reading-body";
    case AnswerMoment::BeforeHead:
        return "before-head";
    case AnswerMoment::InsideHead:
        return "inside-head";
    case AnswerMoment::AfterHead:
        return "after-head";
    case AnswerMoment::InsideEvent:
        return "inside-event";
    case AnswerMoment::BetweenEvents:
        return "between-events";
    case AnswerMoment::BeforeEnd:
        return "before-end";
    }
    return "";
}

// The operator's document with one thing changed from version to version: a timeout, a route, a client account or a
// weight.
std::string makeChangedDocument(int version)
{
    nlohmann::json document = nlohmann::json::parse(GatewayFleet::makeDocument(version, { "key" }));
    for (nlohmann::json& route : document["routes"]) {
        // Longer than the deadlines of the callers.
        route["timeout_ms"] = 8'000 + (version % 4 == 0 ? 500 : 0);
        route["backends"] = { { { "service", route["service"] }, { "weight", version % 4 == 1 ? 2 : 1 } } };
        route.erase("service");
    }
    nlohmann::json once = document["routes"][2];
    once["name"] = "streamonce";
    once["path_prefix"] = "/streamonce/";
    once["resumable"] = false;
    document["routes"].push_back(once);
    if (version % 4 == 2) {
        once["name"] = "another";
        once["path_prefix"] = "/another/";
        document["routes"].push_back(once);
    }
    if (version % 4 == 3)
        document["tenants"].push_back({ { "name", "another" }, { "api_keys", { "another-key" } } });
    return document.dump();
}

// Requests of one kind of violation: their number and the first few.
struct Violation {
    std::size_t count = 0;
    std::string examples;
};

// Runs one scenario on a context of its own.
class SilenceScenarioRun {
public:
    SilenceScenarioRun(const SilenceScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
        : scenario(scenario)
        , random(seed * 1'000'003 + static_cast<std::uint64_t>(scenario.change) * 101
              + (scenario.moment ? static_cast<std::uint64_t>(*scenario.moment) + 1 : 0))
        , fleet(this->context, programs, makePlan(), seed)
        , arePausesTogether(scenario.isBusy || seed % 2 == 0)
        , nextPauses(this->fleet.upstreamCount())
    {
    }

    SilenceScenarioResult run()
    {
        this->runner.start();
        this->putDocument();
        this->runner.runFor(settlingTime);
        const TimePoint begin = std::chrono::steady_clock::now();
        for (TimePoint& pause : this->nextPauses)
            pause = begin + milliseconds(this->draw(0, this->arePausesTogether ? 0 : longestPauseDistanceMs));
        this->nextChange = begin + changeInterval;
        this->nextBurst = begin + burstInterval / 2;
        this->isLoaded = true;
        this->runner.runFor(loadTime);
        this->isLoaded = false;
        this->runner.runUntil(
            [this] { return this->openRequests == 0; }, Duration(streamDeadline) + 2 * answerAllowance);
        this->evaluate();
        return this->result;
    }

private:
    struct SentRequest {
        const RouteTraits* route = nullptr;
        TimedAnswer timed;
        Platform::CallId call = 0;
        TimePoint sentAt {};
        TimePoint lastEventAt {};
        TimePoint endedAt {};
        bool isFinished = false;
        bool isAbandoned = false;
        Platform::HttpCallResult answer;
        std::string body;
        std::size_t runs = 0;
    };

    static GatewayFleet::Plan makePlan()
    {
        GatewayFleet::Plan plan;
        plan.upstreamProgram = "bluebell-pausing-upstream";
        return plan;
    }

    int draw(int first, int last) { return std::uniform_int_distribution<int>(first, last)(this->random); }

    void putDocument()
    {
        this->fleet.platformStore().put("keyed.op", "config", makeChangedDocument(++this->documentVersion));
    }

    void step(TimePoint now)
    {
        this->letCallersLeave(now);
        if (!this->isLoaded)
            return;
        this->pauseUpstreams(now);
        this->changeConfiguration(now);
        const Duration interval = this->scenario.isBusy ? busyRequestInterval : requestInterval;
        for (; now >= this->nextRequest; this->nextRequest = std::max(this->nextRequest, now) + interval)
            this->sendRequest(now);
    }

    void pauseUpstreams(TimePoint now)
    {
        for (std::size_t i = 0; i < this->nextPauses.size(); ++i) {
            if (now < this->nextPauses[i])
                continue;
            const int lengthMs = this->draw(shortestPauseMs, longestPauseMs);
            const AnswerMoment moment
                = this->scenario.moment.value_or(static_cast<AnswerMoment>(this->draw(0, lastMoment)));
            this->nextPauses[i] = now
                + (this->arePausesTogether
                        ? milliseconds(this->draw(jointPauseIntervalMs - 200, jointPauseIntervalMs))
                        : milliseconds(lengthMs + this->draw(shortestPauseDistanceMs, longestPauseDistanceMs)));
            ++this->result.pauses;
            Platform::HttpCall call;
            call.method = "POST";
            call.url = "http://" + this->fleet.upstreamAddress(i)
                + PausingUpstream::pausePath(moment, milliseconds(lengthMs));
            call.connectionUse = Platform::ConnectionUse::Dedicated;
            this->fleet.transfers().fetch(std::move(call), [](const Platform::HttpCallResult&) {});
        }
    }

    void changeConfiguration(TimePoint now)
    {
        const ConfigurationChange change = this->scenario.change;
        if (change == ConfigurationChange::DocumentBurst && now >= this->nextBurst) {
            this->nextBurst = now + burstInterval;
            this->documentsOfBurst = burstDocuments;
        }
        if (this->documentsOfBurst > 0 && this->draw(0, 4) == 0) {
            --this->documentsOfBurst;
            this->putDocument();
        }
        if (now < this->nextChange)
            return;
        this->nextChange = now + changeInterval;
        if (change == ConfigurationChange::Document || change == ConfigurationChange::DocumentAndSettings)
            this->putDocument();
        if (change == ConfigurationChange::Settings || change == ConfigurationChange::DocumentAndSettings) {
            for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
                this->changeSettings(i);
        }
    }

    // A gateway may get a SIGHUP without a change, a change without a SIGHUP, or both.
    void changeSettings(std::size_t gateway)
    {
        const int kind = this->draw(0, 3);
        if (kind != 0)
            this->fleet.changeSettings(gateway, this->draw(250, 260));
        if (kind != 1)
            this->fleet.sendHangup(gateway);
    }

    void letCallersLeave(TimePoint now)
    {
        // Reads what has arrived, so that a caller does not leave because this process is slow.
        this->context.poll();
        for (auto& [id, request] : this->sent) {
            if (request->isFinished || request->isAbandoned || !request->route->isStream
                || now < request->lastEventAt + longestEventGap)
                continue;
            request->isAbandoned = true;
            this->fleet.transfers().cancel(request->call);
        }
    }

    TimedAnswer drawAnswer(const RouteTraits& route)
    {
        TimedAnswer timed;
        timed.framing = std::to_array({ AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Chunks,
            AnswerFraming::None })[static_cast<std::size_t>(this->draw(0, 3))];
        timed.firstEventDelay = milliseconds(route.isStream ? this->draw(100, 200) : this->draw(20, 100));
        timed.eventInterval = milliseconds(route.isStream ? this->draw(50, 100) : this->draw(1, 20));
        timed.events = route.isStream ? this->draw(2, 8) : this->draw(1, 3);
        return timed;
    }

    const RouteTraits& drawRoute()
    {
        constexpr auto shares = std::to_array<std::size_t>({ 0, 0, 0, 0, 1, 1, 2, 2, 3, 3 });
        constexpr auto busyShares = std::to_array<std::size_t>({ 0, 0, 0, 0, 0, 0, 1, 1, 1, 3 });
        static_assert(shares.size() == busyShares.size());
        const auto draw = static_cast<std::size_t>(this->draw(0, shares.size() - 1));
        return routes[this->scenario.isBusy ? busyShares[draw] : shares[draw]];
    }

    void sendRequest(TimePoint now)
    {
        const RouteTraits& route = this->drawRoute();
        const std::string id = "request-" + std::to_string(++this->result.requests);
        const auto request = std::make_shared<SentRequest>();
        request->route = &route;
        // Some requests are sent alike by many callers.
        const bool isAlike = this->draw(0, 9) < 4;
        const std::string content = isAlike ? "alike-" + std::to_string(this->draw(1, alikeContents)) : id;
        request->timed = isAlike ? TimedAnswer { AnswerFraming::Chunks, 150ms, 80ms, 5 } : this->drawAnswer(route);
        request->sentAt = now;
        request->lastEventAt = now;
        Platform::HttpCall call;
        const bool isPost = route.isStream || !route.isRepeatable;
        call.method = isPost ? "POST" : "GET";
        const bool hasBody = isPost || this->draw(0, 1) == 0;
        call.url = "http://"
            + this->fleet.gatewayAddress(
                static_cast<std::size_t>(this->draw(0, static_cast<int>(this->fleet.gatewayCount()) - 1)))
            + "/" + route.name + "/" + request->timed.path() + "/" + content;
        call.headers = { "Host: h", "X-Attempt-Id: " + id, "X-Deadline-Ms: " + std::to_string(route.deadline.count()),
            "Authorization: Token key", "X-Token-Usage: 1000,50" };
        call.body = hasBody ? content : "";
        if (hasBody && !isAlike && this->draw(0, longBodyInterval - 1) == 0)
            call.body.append(longBodyBytes, 'x');
        call.timeout = Duration(route.deadline) + 2 * answerAllowance;
        // Half of the callers with a body keep their connections for many requests. A request without a body cannot be
        // kept from being sent again on another connection.
        const bool isKept = hasBody && this->draw(0, 1) == 0;
        call.connectionUse = isKept ? Platform::ConnectionUse::Pooled : Platform::ConnectionUse::Dedicated;
        call.resend = Platform::Resend::Never;
        ++this->openRequests;
        this->sent[id] = request;
        request->call = this->fleet.transfers().stream(std::move(call),
            { [](const Platform::HttpAnswerHead&) {},
                [request](const std::string& data) {
                    request->body += data;
                    request->lastEventAt = std::chrono::steady_clock::now();
                },
                [this, request](Platform::HttpCallResult answer) {
                    request->answer = std::move(answer);
                    request->isFinished = true;
                    request->endedAt = std::chrono::steady_clock::now();
                    --this->openRequests;
                } });
    }

    void evaluate()
    {
        this->fleet.tick();
        this->countRuns();
        for (const auto& [id, request] : this->sent)
            this->check(id, *request);
        this->checkRetryBudget();
        this->readGatewayLogs();
        if (this->result.suspects > 0)
            this->violations["lines of the gateways' logs name suspects although nothing crashed"].count
                = this->result.suspects;
        for (const auto& [kind, violation] : this->violations)
            this->result.violations.push_back(std::to_string(violation.count) + " " + kind
                + (violation.examples.empty() ? "" : ":" + violation.examples));
        this->result.logFolder = this->fleet.logFolder();
    }

    void countRuns()
    {
        for (const RunLogEntry& entry : this->fleet.runLog()) {
            const auto found = this->sent.find(entry.request);
            if (entry.what != "begin" || found == this->sent.end())
                continue;
            if (++found->second->runs > 1)
                this->repeats.emplace_back(found->second->route->service, entry.time);
        }
        this->result.repeatedRuns = this->repeats.size();
    }

    void check(const std::string& id, const SentRequest& request)
    {
        if (!request.route->isRepeatable && request.runs > 1)
            this->addViolation("requests that may run once ran again", id);
        const std::string expected = request.timed.body();
        const bool isStatus200 = request.answer.status == 200;
        if (isStatus200 && !expected.starts_with(request.body))
            this->addViolation("answers have wrong or repeated events", id);
        if (request.isAbandoned) {
            ++this->result.abandoned;
            this->addViolation("callers left after a gap of two seconds", id);
            return;
        }
        if (!request.isFinished) {
            this->addViolation("requests have no answer", id);
            return;
        }
        if (request.endedAt > request.sentAt + request.route->deadline + answerAllowance)
            this->addViolation("answers came too late", id);
        const int status = request.answer.status;
        if (request.answer.outcome != Platform::CallOutcome::Complete) {
            ++this->result.cutAnswers;
            this->addViolation("answers were cut off", id);
        } else if (isStatus200 && request.body == expected) {
            ++this->result.completeAnswers;
        } else if (isStatus200) {
            this->addViolation("answers are framed as complete and are not", id);
        } else if (status == 503 || status == 429) {
            ++this->result.refusals;
            if (request.runs > 0)
                this->addViolation("refusals of requests that ran", id);
            if (request.body.find("CrashSuspected") != std::string::npos)
                this->addViolation("refusals as crashing upstreams", id);
        } else {
            ++this->result.failedAnswers;
            this->addViolation(
                "answers with status " + std::to_string(status) + " " + request.body.substr(0, request.body.find('\n')),
                id);
        }
    }

    void addViolation(const std::string& kind, const std::string& id)
    {
        Violation& violation = this->violations[kind];
        if (violation.count++ < longestExampleList)
            violation.examples += " " + id;
    }

    void checkRetryBudget()
    {
        for (const auto& [service, time] : this->repeats) {
            const auto isInWindow = [end = time](TimePoint at) { return at <= end && at > end - retryWindow; };
            const auto repeatsInWindow = std::ranges::count_if(this->repeats,
                [&, name = service](const auto& repeat) { return repeat.first == name && isInWindow(repeat.second); });
            const auto requestsInWindow = std::ranges::count_if(this->sent, [&, name = service](const auto& one) {
                return one.second->route->service == name && isInWindow(one.second->sentAt);
            });
            const double allowed = retryRatio * static_cast<double>(requestsInWindow) + retryAllowance;
            if (static_cast<double>(repeatsInWindow) > allowed)
                this->addViolation("repeated runs exceed the retry budget", service);
        }
    }

    void readGatewayLogs()
    {
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i) {
            std::ifstream log(this->fleet.logFolder() / (this->fleet.gatewayName(i) + ".log"));
            for (std::string line; std::getline(log, line);) {
                this->result.suspects += isEvent(line, suspectAddedEvent) ? 1 : 0;
                this->result.lateTimers += isEvent(line, loopDelayedEvent) ? 1 : 0;
            }
        }
    }

    static bool isEvent(const std::string& line, int event)
    {
        return line.find("\"event\":" + std::to_string(event) + ",") != std::string::npos;
    }

    static constexpr int lastMoment = static_cast<int>(AnswerMoment::BeforeEnd);

    SilenceScenario scenario;
    asio::io_context context { 1 };
    std::mt19937_64 random;
    GatewayFleet fleet;
    FleetRunner runner { this->context, this->fleet, [this](TimePoint now) { this->step(now); } };
    SilenceScenarioResult result;
    std::map<std::string, std::shared_ptr<SentRequest>> sent;
    std::size_t openRequests = 0;
    /** The services and times of runs of requests that had begun to run before. */
    std::vector<std::pair<std::string, TimePoint>> repeats;
    std::map<std::string, Violation> violations;
    /** Whether all upstreams fall silent at about the same time instead of each on its own. */
    bool arePausesTogether;
    /** When each upstream falls silent the next time. */
    std::vector<TimePoint> nextPauses;
    // The fleet starts with the first version.
    int documentVersion = 1;
    int documentsOfBurst = 0;
    bool isLoaded = false;
    TimePoint nextRequest {};
    TimePoint nextChange {};
    TimePoint nextBurst {};
};

} // namespace

std::string SilenceScenario::name() const
{
    return std::string(changeName(this->change)) + "-" + momentName(this->moment) + (this->isBusy ? "-busy" : "");
}

std::vector<SilenceScenario> allSilenceScenarios()
{
    std::vector<SilenceScenario> scenarios;
    for (const auto change :
        { ConfigurationChange::None, ConfigurationChange::Document, ConfigurationChange::DocumentBurst,
            ConfigurationChange::Settings, ConfigurationChange::DocumentAndSettings }) {
        for (const auto moment : { AnswerMoment::Accepting, AnswerMoment::ReadingBody, AnswerMoment::BeforeHead,
                 AnswerMoment::InsideHead, AnswerMoment::AfterHead, AnswerMoment::InsideEvent,
                 AnswerMoment::BetweenEvents, AnswerMoment::BeforeEnd })
            scenarios.push_back({ change, moment });
        scenarios.push_back({ change, std::nullopt });
        scenarios.push_back({ change, std::nullopt, /* isBusy */ true });
    }
    return scenarios;
}

SilenceScenarioResult runSilenceScenario(
    const SilenceScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    return SilenceScenarioRun(scenario, programs, seed).run();
}

} // namespace Proof
