#include "scenarios.h"

#include <foundation/resultcode.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Proof {

namespace {

constexpr double deadlineToleranceMs = 700;
constexpr const char* promptPath = "/v1/completions";
constexpr const char* holdPath = "/services/booking-app/holds";

void append(Violations& violations, const Violations& added)
{
    violations.insert(violations.end(), added.begin(), added.end());
}

// Runs the checks that apply to every scenario.
Violations commonChecks(const History& history)
{
    Violations violations;
    append(violations, checkCallDeadlines(history, deadlineToleranceMs));
    append(violations, checkRefusalsHaveRetryTime(history));
    append(violations, checkAnswersAreCorrect(history));
    append(violations, checkNotRunOutcomes(history));
    append(violations, checkAtMostOnce(history));
    append(violations, checkFinalEngineStates(history));
    append(violations, checkVersionsNeverDecrease(history));
    return violations;
}

ScenarioResult summarize(const History& history, Violations violations)
{
    ScenarioResult result;
    result.violations = std::move(violations);
    for (const HistoryCall& call : history.calls) {
        ++result.calls;
        result.served += call.isServed ? 1 : 0;
        result.mayHaveRun += call.outcome == "may-have-run" ? 1 : 0;
        result.notRun += call.outcome == "not-run" ? 1 : 0;
    }
    return result;
}

std::string completionBody(const std::string& id, int outputTokens, const std::string& text = "caption")
{
    return R"({"model":"muse-llm","max_tokens":)" + std::to_string(outputTokens) + R"(,"prompt":")" + id + " " + text
        + "\"}";
}

std::string randomName(std::mt19937_64& random, const std::vector<std::string>& names)
{
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
}

std::vector<std::string> instancesWithRole(
    const ScenarioFixture& fixture, Fleet::RunningFleet& fleet, const std::string& role)
{
    std::vector<std::string> names;
    for (const Fleet::FleetInstance& instance : fleet.instances()) {
        if (instance.role == role)
            names.push_back(instance.id);
    }
    return names;
}

// Runs callers on threads of their own, each with an HTTP connection of its own, and records their calls.
class ConcurrentCallers {
public:
    explicit ConcurrentCallers(ScenarioFixture& fixture)
        : fixture(fixture)
    {
    }

    void start(std::function<std::vector<HistoryCall>(Fleet::HttpClient&)> sendCalls)
    {
        this->threads.emplace_back([this, sendCalls = std::move(sendCalls)] {
            Fleet::HttpClient caller;
            const std::vector<HistoryCall> sent = sendCalls(caller);
            const std::lock_guard lock(this->mutex);
            this->calls.insert(this->calls.end(), sent.begin(), sent.end());
        });
    }

    std::vector<HistoryCall> join()
    {
        for (std::thread& thread : this->threads)
            thread.join();
        for (const HistoryCall& call : this->calls)
            this->fixture.recordCall(call);
        return this->calls;
    }

private:
    ScenarioFixture& fixture;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<HistoryCall> calls;
};

// Sends prompts whose streams are read and discarded, however long they are.
class DiscardingCallers {
public:
    DiscardingCallers(const std::string& entryUrl, int count)
    {
        for (int i = 0; i < count; ++i) {
            Platform::HttpCall call;
            call.method = "POST";
            call.url = entryUrl + promptPath;
            call.headers = { std::string("Authorization: Bearer ") + Fleet::callerKey, "Content-Type: application/json",
                "X-Request-Id: discarded-" + std::to_string(i), "X-Request-Timeout-Ms: 6000" };
            call.body = R"({"model":"muse-llm","max_tokens":8,"stream":true,"prompt":"discarded )" + std::to_string(i)
                + "\"}";
            call.timeout = std::chrono::seconds(8);
            call.connectionUse = Platform::ConnectionUse::Dedicated;
            this->transfers.stream(std::move(call),
                { [](const Platform::HttpAnswerHead&) {}, [](const std::string&) {},
                    [](const Platform::HttpCallResult&) {} });
        }
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~DiscardingCallers()
    {
        this->context.stop();
        this->thread.join();
    }

private:
    asio::io_context context { 1 };
    Platform::HttpTransfers transfers { this->context };
    std::thread thread;
};

ScenarioResult testDeadlines(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    // An unresponsive agent is detected late here, so that only the deadlines end the requests that wait for it.
    plan.connectionTimeoutMs = 3'000;
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    auto workload = fixture.workload("studio", 60, 3);
    for (Load::WorkClass& workClass : workload.classes)
        workClass.timeoutMs = 900;
    fixture.startLoad(workload);
    fixture.sleepMs(400);
    const std::string frozenEngine = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    const std::string frozenAgent = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    fleet.suspendProcess("upstream-" + frozenEngine);
    fleet.suspendProcess("agent-" + frozenAgent);
    fleet.suspendProcess("agent-" + instancesWithRole(fixture, fleet, "booking")[0]);
    fleet.setFaults("log", R"({"outage":1})");
    fixture.sleepMs(2'000);
    fleet.resumeProcess("upstream-" + frozenEngine);
    fleet.resumeProcess("agent-" + frozenAgent);
    fleet.resumeProcess("agent-" + instancesWithRole(fixture, fleet, "booking")[0]);
    fleet.setFaults("log", R"({"outage":0})");
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

ScenarioResult testMemoryRelease(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    auto workload = fixture.workload("mixed", 40, 4);
    workload.abandonShare = 0.4;
    fixture.startLoad(workload);
    fixture.sleepMs(500);
    const std::string cancelIgnoringEngine = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    fleet.setFaults("upstream-" + cancelIgnoringEngine, R"({"ignoreCancels":1})");
    fixture.sleepMs(500);
    const std::string killedAgent = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    fleet.killProcess("agent-" + killedAgent);
    fleet.startProcess("agent-" + killedAgent);
    fixture.sleepMs(700);
    fleet.killProcess("entry-1");
    fleet.startProcess("entry-1");
    fixture.sleepMs(500);
    fleet.setFaults("upstream-" + cancelIgnoringEngine, R"({"ignoreCancels":0})");
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

ScenarioResult testMemoryBound(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    plan.upstreams[0].standinFlags.push_back("--memory_tokens=70000");
    const std::string documentMemory = "\"memoryTokens\": 400000";
    std::string& definition = plan.upstreams[0].definition;
    definition.replace(definition.find(documentMemory), documentMemory.size(), "\"memoryTokens\": 70000");
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    fixture.fleet().warmUp();
    auto workload = fixture.workload("mixed", 60, 3);
    // Only captions and decks; a catalogue does not fit into the memory of an engine.
    workload.classes = { workload.classes[0], workload.classes[1] };
    workload.classes[1].share = 0.5;
    fixture.startLoad(workload);
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

ScenarioResult testStartupRamp(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    constexpr std::array<int, 2> entryCounts = { 1, 8 };
    plan.entries = entryCounts[settings.seed % entryCounts.size()];
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fixture.startLoad(fixture.workload("captions", 250, 4));
    fixture.sleepMs(2'500);
    const std::string coldEngine = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    fleet.setFaults("upstream-" + coldEngine, R"({"cold":1})");
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

// Checks that the excluded instances executed no new requests between two counts of executions.
Violations checkNoNewExecutions(const std::map<std::string, std::size_t>& before,
    const std::map<std::string, std::size_t>& after, const std::function<bool(const std::string&)>& isExcluded)
{
    Violations violations;
    for (const auto& [instance, count] : after) {
        const auto previous = before.find(instance);
        if (isExcluded(instance) && previous != before.end() && count > previous->second)
            violations.push_back(instance + " executed " + std::to_string(count - previous->second) + " new requests");
    }
    return violations;
}

ScenarioResult testTakenOutDomain(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    fixture.startVersionSampling();
    const std::string domain = randomName(fixture.random(), fleet.plan().domains);
    fleet.setFaults("instances", R"({"lagMs":10000})");
    fixture.startLoad(fixture.workload("studio", 60, 9));
    fixture.sleepMs(500);
    Violations violations;
    if (const int code = fleet.runCtl({ "take-out", "failureDomain", domain }); code != 0)
        violations.push_back("take-out ended with exit code " + std::to_string(code));
    fleet.setFaults("log", R"({"outage":1})");
    fleet.addEntry();
    fixture.sleepMs(3'000);
    const auto before = fixture.executionCounts();
    fixture.sleepMs(1'500);
    const auto isInDomain
        = [&domain](const std::string& instance) { return instance.find(domain) != std::string::npos; };
    append(violations, checkNoNewExecutions(before, fixture.executionCounts(), isInDomain));
    fleet.setFaults("log", R"({"outage":0})");
    if (const int code = fleet.runCtl({ "bring-back", "failureDomain", domain }); code != 0)
        violations.push_back("bring-back ended with exit code " + std::to_string(code));
    const auto countsAtReturn = fixture.executionCounts();
    fixture.waitForLoad();
    const auto countsAfterReturn = fixture.executionCounts();
    const bool isUsedAgain = std::ranges::any_of(countsAfterReturn,
        [&](const auto& count) { return isInDomain(count.first) && count.second > countsAtReturn.at(count.first); });
    if (!isUsedAgain)
        violations.push_back(domain + " executed no requests after it was brought back");
    const History& history = fixture.completeHistory();
    append(violations, commonChecks(history));
    return summarize(history, violations);
}

ScenarioResult testDrainingUpstreams(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    fixture.startLoad(fixture.workload("captions", 60, 6));
    fixture.sleepMs(500);
    const auto engines = instancesWithRole(fixture, fleet, "engine");
    // The platform's instance list marks one upstream as leaving, and another upstream reports that it is leaving. Both
    // must be drained.
    const std::string& listedAsDraining = engines[settings.seed % 2];
    const std::string& reportsDraining = engines[2 + settings.seed % 2];
    fleet.setInstanceList({ listedAsDraining });
    fleet.setFaults("upstream-" + reportsDraining, R"({"leaving":1})");
    fixture.sleepMs(3'000);
    const auto before = fixture.executionCounts();
    fixture.sleepMs(1'500);
    const auto isDraining
        = [&](const std::string& instance) { return instance == listedAsDraining || instance == reportsDraining; };
    Violations violations = checkNoNewExecutions(before, fixture.executionCounts(), isDraining);
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    append(violations, commonChecks(history));
    return summarize(history, violations);
}

ScenarioResult testWholeAnswers(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    auto workload = fixture.workload("captions", 60, 4);
    workload.classes[0].outputTokens = 200;
    fixture.startLoad(workload);
    const auto engines = instancesWithRole(fixture, fleet, "engine");
    for (int round = 0; round < 8; ++round) {
        fixture.sleepMs(200 + static_cast<std::int64_t>(fixture.random()() % 250));
        fixture.agentProxy(randomName(fixture.random(), engines)).closeConnections();
        fleet.setFaults("upstream-" + randomName(fixture.random(), engines), R"({"cutStreams":3})");
        fleet.setFaults("upstream-" + randomName(fixture.random(), engines), R"({"endInsideEvents":2})");
    }
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    Violations violations = commonChecks(history);
    const auto served = std::ranges::count_if(history.calls, &HistoryCall::isServed);
    if (served * 10 < static_cast<std::ptrdiff_t>(history.calls.size()) * 9)
        violations.push_back(
            "only " + std::to_string(served) + " of " + std::to_string(history.calls.size()) + " calls were served");
    return summarize(history, violations);
}

// Some engines never end their answers. Neither agents nor entries may hold more than their settings allow for it, and
// the other callers are served.
ScenarioResult testEndlessAnswers(const ScenarioSettings& settings)
{
    constexpr int answerMemoryMb = 64;
    constexpr std::int64_t bytesPerMegabyte = 1'000'000;
    // A growing buffer takes up to three times its size; the rest is for the process itself.
    constexpr std::int64_t maximumResidentBytes = 4 * answerMemoryMb * bytesPerMegabyte;
    Fleet::FleetPlan plan = scenarioFleetPlan();
    const std::string memorySetting = R"(, "answerMemoryMb": )" + std::to_string(answerMemoryMb);
    plan.extraAgentSettings += memorySetting;
    plan.extraEntrySettings += memorySetting;
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    const auto engines = instancesWithRole(fixture, fleet, "engine");
    for (const std::string& engine : engines)
        fleet.setFaults("upstream-" + engine, R"({"endlessAnswers":1})");
    DiscardingCallers callers("http://" + fleet.entryAddress(0), static_cast<int>(engines.size()));
    fixture.sleepMs(200);
    auto workload = fixture.workload("captions", 40, 4);
    fixture.startLoad(workload);
    std::int64_t largest = 0;
    for (int sample = 0; sample < 300 && largest <= 2 * maximumResidentBytes; ++sample) {
        fixture.sleepMs(10);
        for (const std::string& engine : engines)
            largest = std::max(largest, fleet.process("agent-" + engine).residentBytes());
        for (int entry = 0; entry < plan.entries; ++entry)
            largest = std::max(largest, fleet.process("entry-" + std::to_string(entry)).residentBytes());
    }
    // Protects the machine that runs the test.
    if (largest > 2 * maximumResidentBytes) {
        for (const std::string& engine : engines)
            fleet.killProcess("upstream-" + engine);
    }
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    Violations violations = commonChecks(history);
    if (largest > maximumResidentBytes)
        violations.push_back(
            "a process held " + std::to_string(largest / bytesPerMegabyte) + " MB, more than its settings allow");
    const auto served = std::ranges::count_if(history.calls, &HistoryCall::isServed);
    if (served * 10 < static_cast<std::ptrdiff_t>(history.calls.size()) * 9)
        violations.push_back(
            "only " + std::to_string(served) + " of " + std::to_string(history.calls.size()) + " calls were served");
    return summarize(history, violations);
}

ScenarioResult testNotRunOutcomes(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    plan.upstreams[1].count = 1;
    plan.upstreams[1].standinFlags.push_back("--service_ms=60");
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    const std::string booking = instancesWithRole(fixture, fleet, "booking")[0];
    ConcurrentCallers callers(fixture);
    for (int worker = 0; worker < 6; ++worker) {
        callers.start([&fixture, worker](Fleet::HttpClient& caller) {
            std::vector<HistoryCall> calls;
            for (int i = 0; i < 25; ++i) {
                const std::string id = "n-" + std::to_string(worker) + "-" + std::to_string(i);
                calls.push_back(fixture.sendCall(caller, worker % 2, id, holdPath, "{}", 2'000, id));
            }
            return calls;
        });
    }
    for (int round = 0; round < 12; ++round) {
        fixture.sleepMs(100 + static_cast<std::int64_t>(fixture.random()() % 200));
        fixture.agentProxy(booking).closeConnections();
    }
    callers.join();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

ScenarioResult testAtMostOnce(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    plan.upstreams[1].standinFlags.push_back("--service_ms=40");
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    const auto bookings = instancesWithRole(fixture, fleet, "booking");
    ConcurrentCallers callers(fixture);
    // Two callers send each key through different entries at the same time. Each retries until it is served, with at
    // most 6 attempts.
    for (int worker = 0; worker < 8; ++worker) {
        callers.start([&fixture, worker](Fleet::HttpClient& caller) {
            std::vector<HistoryCall> calls;
            for (int i = 0; i < 12; ++i) {
                const std::string key = "once-" + std::to_string(worker / 2) + "-" + std::to_string(i);
                for (int attempt = 0; attempt < 6; ++attempt) {
                    const std::string id = key + "-" + std::to_string(worker) + "-" + std::to_string(attempt);
                    calls.push_back(fixture.sendCall(caller, worker % 2, id, holdPath, "{}", 1'500, key));
                    if (calls.back().isServed)
                        break;
                    fixture.sleepMs(std::clamp<std::int64_t>(calls.back().retryAfterMs, 10, 300));
                }
            }
            return calls;
        });
    }
    const std::array<std::function<void()>, 6> faults = {
        [&] { fleet.setFaults("log", R"({"loseAppendAnswers":3})"); },
        [&] {
            const std::string agent = "agent-" + randomName(fixture.random(), bookings);
            fleet.suspendProcess(agent);
            fixture.sleepMs(900);
            fleet.resumeProcess(agent);
        },
        [&] {
            const std::string agent = "agent-" + randomName(fixture.random(), bookings);
            fleet.killProcess(agent);
            fleet.startProcess(agent);
        },
        [&] {
            fleet.setFaults("log", R"({"outage":1})");
            fixture.sleepMs(500);
            fleet.setFaults("log", R"({"outage":0})");
        },
        [&] { fixture.agentProxy(randomName(fixture.random(), bookings)).closeConnections(); },
        [&] { fleet.setFaults("upstream-" + randomName(fixture.random(), bookings), R"({"loseAnswers":2})"); },
    };
    for (int round = 0; round < 9; ++round) {
        fixture.sleepMs(150);
        faults[fixture.random()() % faults.size()]();
    }
    fleet.setFaults("log", R"({"slowMs":100})");
    callers.join();
    fleet.setFaults("log", R"({"slowMs":0})");
    const History& history = fixture.completeHistory();
    Violations violations = commonChecks(history);
    // A system that refuses every call would pass the checks above.
    std::map<std::string, bool> isKeyServed;
    for (const HistoryCall& call : history.calls)
        isKeyServed[call.key] = isKeyServed[call.key] || call.isServed;
    const auto servedKeys = std::ranges::count_if(isKeyServed, [](const auto& key) { return key.second; });
    if (servedKeys * 2 < static_cast<std::ptrdiff_t>(isKeyServed.size()))
        violations.push_back(
            "only " + std::to_string(servedKeys) + " of " + std::to_string(isKeyServed.size()) + " keys were served");
    return summarize(history, violations);
}

ScenarioResult testGracefulShutdown(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    const std::string agent = randomName(fixture.random(), instancesWithRole(fixture, fleet, "engine"));
    ConcurrentCallers callers(fixture);
    for (int worker = 0; worker < 16; ++worker) {
        callers.start([&fixture, worker](Fleet::HttpClient& caller) {
            std::vector<HistoryCall> calls;
            // Callers of the entry that shuts down make one long call each; the others make several short ones.
            const int entry = worker % 2;
            const int count = entry == 1 ? 1 : 8;
            for (int i = 0; i < count; ++i) {
                const std::string id = "g-" + std::to_string(worker) + "-" + std::to_string(i);
                const int tokens = entry == 1 ? 600 : 100;
                calls.push_back(fixture.sendCall(caller, entry, id, promptPath, completionBody(id, tokens), 8'000));
            }
            return calls;
        });
    }
    fixture.sleepMs(300);
    fleet.terminate("entry-1");
    fleet.terminate("agent-" + agent);
    callers.join();
    Violations violations;
    if (const int code = fleet.waitForExit("entry-1"); code != 0)
        violations.push_back("the entry exited with exit code " + std::to_string(code));
    if (const int code = fleet.waitForExit("agent-" + agent); code != 0)
        violations.push_back("the agent exited with exit code " + std::to_string(code));
    const History& history = fixture.completeHistory();
    for (const HistoryCall& call : history.calls) {
        if (!call.isServed)
            violations.push_back(call.id + " was not served and ended with code " + std::to_string(call.errorCode));
    }
    append(violations, commonChecks(history));
    return summarize(history, violations);
}

std::uint64_t versionAt(Fleet::RunningFleet& fleet, int entry)
{
    Platform::HttpCall call;
    call.url = "http://" + fleet.entryAddress(entry) + "/operator/status";
    call.headers.push_back(std::string("X-Bluebell-Token: ") + Fleet::fleetToken);
    const auto result = fleet.http().fetch(std::move(call));
    const auto status = nlohmann::json::parse(result.body, nullptr, /* allow_exceptions */ false);
    return status.is_object() ? status.value("version", std::uint64_t { 0 }) : 0;
}

// Runs two operator commands at the same time, one that takes a failure domain out and one that brings it back. If both
// are based on the same version, exactly one must be accepted; if one is based on the version of the other, both are.
void runConcurrentOperators(Fleet::RunningFleet& fleet, int round, Violations& violations)
{
    const std::string domain = fleet.plan().domains[static_cast<std::size_t>(round) % fleet.plan().domains.size()];
    std::array<int, 2> codes {};
    std::array<std::thread, 2> operators;
    for (std::size_t i = 0; i < operators.size(); ++i) {
        operators[i] = std::thread([&fleet, &codes, i, domain] {
            const std::vector<std::string> arguments
                = { i == 0 ? "take-out" : "bring-back", "failureDomain", domain, "--wait_seconds=5" };
            codes[i] = fleet.runCtl(arguments);
        });
    }
    for (std::thread& thread : operators)
        thread.join();
    constexpr int exitInForce = 0;
    constexpr int exitRaceLost = 5;
    for (const int code : codes) {
        if (code != exitInForce && code != exitRaceLost)
            violations.push_back("an operator command ended with exit code " + std::to_string(code));
    }
    if (codes[0] == exitRaceLost && codes[1] == exitRaceLost)
        violations.push_back("both concurrent operator commands lost the race");
    if (const int code = fleet.runCtl({ "bring-back", "failureDomain", domain, "--wait_seconds=5" });
        code != exitInForce)
        violations.push_back("bring-back after the concurrent commands ended with exit code " + std::to_string(code));
}

ScenarioResult testConfigurationVersions(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    plan.logFlags = { "--retention_ms=3000" };
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fixture.startVersionSampling();
    fixture.startLoad(fixture.workload("captions", 30, 12), { fleet.entryAddress(0) });
    Violations violations;
    for (int round = 0; round < 3; ++round) {
        if (round == 1)
            fleet.setFaults("log", R"({"loseAppendAnswers":2})");
        runConcurrentOperators(fleet, round, violations);
    }
    // An entry that was frozen beyond the retention time of the log and an entry that starts while the log is
    // unavailable must both get the newest version.
    fleet.suspendProcess("entry-1");
    // Exit code 8 says that the change is not yet in force everywhere; the frozen entry cannot apply it.
    if (const int code = fleet.runCtl({ "take-out", "instance", "muse-hcmc-a-0", "--wait_seconds=1" }); code != 8)
        violations.push_back("take-out with a frozen entry ended with exit code " + std::to_string(code));
    fixture.sleepMs(3'500);
    fleet.setFaults("log", R"({"outage":1})");
    fleet.resumeProcess("entry-1");
    const std::uint64_t newestVersion = versionAt(fleet, 0);
    const int newEntry = fleet.addEntry();
    fixture.sleepMs(4'500);
    for (const int entry : { 1, newEntry }) {
        if (versionAt(fleet, entry) != newestVersion)
            violations.push_back("entry " + std::to_string(entry) + " does not have the newest configuration version "
                + std::to_string(newestVersion));
    }
    fleet.setFaults("log", R"({"outage":0})");
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    append(violations, commonChecks(history));
    return summarize(history, violations);
}

ScenarioResult testQuarantine(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    ConcurrentCallers callers(fixture);
    // One caller repeatedly sends a request that crashes engines, through both entries in turn.
    callers.start([&fixture](Fleet::HttpClient& caller) {
        std::vector<HistoryCall> calls;
        const std::string body = completionBody("poison", 4, "CRASH-THE-ENGINE");
        for (int i = 0; i < 14; ++i) {
            calls.push_back(fixture.sendCall(caller, i % 2, "p-" + std::to_string(i), promptPath, body, 4'000));
            fixture.sleepMs(150);
        }
        return calls;
    });
    // Callers of harmless requests retry after the time that a refusal names.
    constexpr int harmlessCallers = 10;
    std::array<int, harmlessCallers> unservedCounts {};
    for (int worker = 0; worker < harmlessCallers; ++worker) {
        callers.start([&fixture, &unservedCounts, worker](Fleet::HttpClient& caller) {
            std::vector<HistoryCall> calls;
            for (int i = 0; i < 10; ++i) {
                const std::string name = "i-" + std::to_string(worker) + "-" + std::to_string(i);
                bool isServed = false;
                for (int attempt = 0; attempt < 8 && !isServed; ++attempt) {
                    const std::string id = name + "-" + std::to_string(attempt);
                    calls.push_back(
                        fixture.sendCall(caller, worker % 2, id, promptPath, completionBody(name, 60), 4'000));
                    isServed = calls.back().isServed;
                    if (!isServed)
                        fixture.sleepMs(std::clamp<std::int64_t>(calls.back().retryAfterMs, 10, 1'000));
                }
                unservedCounts[static_cast<std::size_t>(worker)] += isServed ? 0 : 1;
            }
            return calls;
        });
    }
    callers.join();
    const History& history = fixture.completeHistory();
    Violations violations = commonChecks(history);
    append(violations, checkCrashCount(history, 2));
    for (const int count : unservedCounts) {
        if (count > 0)
            violations.push_back(std::to_string(count) + " harmless requests of a caller were never served");
    }
    return summarize(history, violations);
}

// The engine falls silent under a request, its caller gives up, and only then does the engine end. After two such ends
// the request is not run any more.
ScenarioResult testSilentCrash(const ScenarioSettings& settings)
{
    Fleet::FleetPlan plan = scenarioFleetPlan();
    plan.upstreams[0].count = 1;
    ScenarioFixture fixture(settings, plan);
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    const std::string engine = "upstream-" + instancesWithRole(fixture, fleet, "engine")[0];
    const std::string body = completionBody("silent", 4);
    constexpr int crashes = 2;
    for (int crash = 0; crash < crashes; ++crash) {
        fleet.suspendProcess(engine);
        fixture.sendRecordedCall(0, "s-" + std::to_string(crash), promptPath, body, 300);
        fleet.killProcess(engine);
        fleet.startProcess(engine);
        fleet.waitForAvailableAgents(fleet.instances().size(), 10);
        fixture.sleepMs(500);
    }
    const HistoryCall last = fixture.sendRecordedCall(0, "s-last", promptPath, body, 4'000);
    const History& history = fixture.completeHistory();
    Violations violations = commonChecks(history);
    if (last.errorCode != static_cast<int>(Foundation::ResultCode::Quarantined))
        violations.push_back("a request under which two engines ended was run again: status "
            + std::to_string(last.status) + " code " + std::to_string(last.errorCode));
    return summarize(history, violations);
}

// Injects pairs of random faults while a mixed load is sent.
ScenarioResult testMixedFaults(const ScenarioSettings& settings)
{
    ScenarioFixture fixture(settings, scenarioFleetPlan());
    fixture.start();
    Fleet::RunningFleet& fleet = fixture.fleet();
    fleet.warmUp();
    fixture.startVersionSampling();
    auto workload = fixture.workload("studio", 50, 4);
    workload.abandonShare = 0.05;
    fixture.startLoad(workload);
    std::vector<std::string> instances;
    for (const Fleet::FleetInstance& instance : fleet.instances())
        instances.push_back(instance.id);
    std::vector<std::string> frozen;
    const std::array<std::function<void()>, 9> faults = {
        [&] {
            const std::string agent = "agent-" + randomName(fixture.random(), instances);
            fleet.killProcess(agent);
            fleet.startProcess(agent);
        },
        [&] {
            frozen.push_back("agent-" + randomName(fixture.random(), instances));
            fleet.suspendProcess(frozen.back());
        },
        [&] {
            frozen.push_back("upstream-" + randomName(fixture.random(), instances));
            fleet.suspendProcess(frozen.back());
        },
        [&] { fixture.agentProxy(randomName(fixture.random(), instances)).closeConnections(); },
        [&] {
            for (const std::string& instance : instances)
                fixture.agentProxy(instance).closeConnections();
        },
        [&] { fleet.setFaults("log", R"({"outage":1})"); },
        [&] { fleet.setFaults("log", R"({"loseAppendAnswers":4,"slowMs":200})"); },
        [&] { fleet.setFaults("instances", R"({"empty":1})"); },
        [&] {
            fleet.setFaults(
                "upstream-" + randomName(fixture.random(), instances), R"({"cutStreams":5,"loseAnswers":2})");
        },
    };
    for (int round = 0; round < 3; ++round) {
        fixture.sleepMs(300 + static_cast<std::int64_t>(fixture.random()() % 300));
        faults[fixture.random()() % faults.size()]();
        faults[fixture.random()() % faults.size()]();
    }
    fixture.sleepMs(700);
    for (const std::string& name : frozen)
        fleet.resumeProcess(name);
    fleet.setFaults("log", R"({"outage":0,"slowMs":0})");
    fleet.setFaults("instances", R"({"empty":0})");
    fixture.waitForLoad();
    const History& history = fixture.completeHistory();
    return summarize(history, commonChecks(history));
}

const std::array<Scenario, 14> promiseScenarios = { {
    { "ends-in-time", "1", "engine and agents frozen, log unavailable", "EntryDeadline", &testDeadlines },
    { "no-memory-lost", "2", "callers disconnect, an engine does not answer cancellations, agent and entry killed",
        "UpstreamCancel", &testMemoryRelease },
    { "memory-bound", "2", "more long prompts than fit into the memory of the engines", "MemoryLedger",
        &testMemoryBound },
    { "start-up", "3", "cold engines under full load from 1 or 8 entries, a warm engine becomes cold again",
        "StartupRamp", &testStartupRamp },
    { "taken-out", "4",
        "failure domain taken out, then log unavailable, entry started during that time, instance list updated late",
        "TakeOut", &testTakenOutDomain },
    { "whole-answers", "5", "connections closed on both sides of the agent", "AnswerCheck", &testWholeAnswers },
    { "endless-answers", "5", "engines whose answers do not end", "AnswerMemory", &testEndlessAnswers },
    { "not-run", "6", "connections closed at any step of a booking call", "RevokeProof", &testNotRunOutcomes },
    { "at-most-once", "7",
        "same idempotency key sent to two entries and retried, agent frozen or killed, log loses answers or is "
        "unavailable",
        "Claims", &testAtMostOnce },
    { "leaving", "8", "one upstream marked as leaving by the instance list, one that reports its own leaving",
        "Leaving", &testDrainingUpstreams },
    { "graceful-shutdown", "9", "entry and agent shut down under load", "GracefulShutdown", &testGracefulShutdown },
    { "configuration", "10",
        "concurrent operators, answers of the log lost, entry frozen beyond the retention time, entry started while "
        "the log is unavailable",
        "PeerConfiguration", &testConfigurationVersions },
    { "quarantine", "11", "a request that crashes engines is sent repeatedly", "Quarantine", &testQuarantine },
    { "silent-crash", "11", "engines fall silent under a request that is given up before they end", "Quarantine",
        &testSilentCrash },
} };

const std::array<Scenario, 15> allScenarios = [] {
    std::array<Scenario, 15> list;
    std::ranges::copy(promiseScenarios, list.begin());
    list.back() = { "any-faults", "all", "pairs of random faults under a mixed load", "", &testMixedFaults };
    return list;
}();

} // namespace

std::span<const Scenario> scenarios() { return allScenarios; }

} // namespace Proof
