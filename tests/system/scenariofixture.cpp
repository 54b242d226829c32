#include "scenariofixture.h"

#include <load/answerreader.h>
#include <standin/engineanswer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace Proof {

namespace {

constexpr auto idleTimeout = std::chrono::seconds(15);
constexpr auto pollInterval = std::chrono::milliseconds(50);

HistoryCall toHistoryCall(const Load::CallRecord& record, const Load::PlannedRequest& request)
{
    HistoryCall call;
    call.id = record.id;
    call.key = request.kind == Load::WorkKind::Booking ? record.id : std::string();
    call.totalMs = record.totalMs;
    call.timeoutMs = request.timeoutMs;
    call.status = record.status;
    call.errorCode = record.errorCode;
    call.outcome = record.outcome;
    call.retryAfterMs = record.retryAfterMs;
    call.isServed = record.isServed;
    call.isWrong = record.isWrong;
    call.isAbandoned = record.isAbandoned;
    return call;
}

} // namespace

ScenarioFixture::ScenarioFixture(const ScenarioSettings& scenarioSettings, Fleet::FleetPlan plan)
    : settings(scenarioSettings)
    , runningFleet(std::make_unique<Fleet::RunningFleet>(scenarioSettings.programs, std::move(plan)))
    , randomGenerator(scenarioSettings.seed)
    , startTime(std::chrono::steady_clock::now())
{
    for (const Fleet::FleetInstance& instance : this->runningFleet->instances()) {
        const int port = Fleet::findFreePort();
        this->agentProxies[instance.id] = std::make_unique<TcpProxy>(port, instance.wirePort);
        this->runningFleet->setListedPort(instance.id, port);
    }
}

ScenarioFixture::~ScenarioFixture()
{
    this->stopVersionSampling = true;
    if (this->loadThread.joinable())
        this->loadThread.join();
    if (this->versionThread.joinable())
        this->versionThread.join();
}

void ScenarioFixture::start()
{
    if (!this->runningFleet->start())
        throw std::runtime_error("the fleet did not start\n" + this->runningFleet->logTails());
}

void ScenarioFixture::startLoad(Load::Workload workload)
{
    this->startLoad(std::move(workload), this->runningFleet->entryAddresses());
}

void ScenarioFixture::startLoad(Load::Workload workload, std::vector<std::string> entries)
{
    this->loadGenerator = std::make_unique<Load::LoadGenerator>(std::move(workload), std::move(entries));
    this->loadGenerator->setAnswerCheck([](const Load::PlannedRequest& request, std::string_view text) {
        return text == Standin::answerText(request.body, request.outputTokens);
    });
    this->loadThread = std::thread([this] { this->loadRecords = this->loadGenerator->run(); });
}

void ScenarioFixture::waitForLoad()
{
    this->loadThread.join();
    for (std::size_t i = 0; i < this->loadRecords.size(); ++i)
        this->recordedHistory.calls.push_back(toHistoryCall(this->loadRecords[i], this->loadGenerator->requests()[i]));
}

HistoryCall ScenarioFixture::sendRecordedCall(int entry, const std::string& id, const std::string& path,
    const std::string& body, std::int64_t timeoutMs, const std::string& key)
{
    const HistoryCall call = this->sendCall(this->runningFleet->http(), entry, id, path, body, timeoutMs, key);
    this->recordCall(call);
    return call;
}

HistoryCall ScenarioFixture::sendCall(Fleet::HttpClient& caller, int entry, const std::string& id,
    const std::string& path, const std::string& body, std::int64_t timeoutMs, const std::string& key) const
{
    std::vector<std::string> headers = { std::string("Authorization: Bearer ") + Fleet::callerKey,
        "X-Request-Id: " + id, "X-Request-Timeout-Ms: " + std::to_string(timeoutMs) };
    if (!key.empty())
        headers.push_back("Idempotency-Key: " + key);
    const auto start = std::chrono::steady_clock::now();
    const auto result = caller.send("POST", "http://" + this->runningFleet->entryAddress(entry) + path, body, headers);
    HistoryCall call;
    call.id = id;
    call.key = key;
    call.timeoutMs = timeoutMs;
    call.totalMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    call.status = result.status;
    call.isServed = result.isSuccess();
    const Load::StreamedAnswer error = Load::parseErrorBody(result.body);
    call.errorCode = error.errorCode;
    call.outcome = error.outcome;
    call.retryAfterMs = error.retryAfterMs;
    return call;
}

void ScenarioFixture::startVersionSampling()
{
    this->versionThread = std::thread([this] {
        Fleet::HttpClient caller;
        while (!this->stopVersionSampling) {
            for (const std::string& address : this->runningFleet->entryAddresses()) {
                Platform::HttpCall call;
                call.url = "http://" + address + "/operator/status";
                call.headers.push_back(std::string("X-Bluebell-Token: ") + Fleet::fleetToken);
                call.timeout = std::chrono::milliseconds(500);
                const auto result = caller.fetch(std::move(call));
                const auto status = nlohmann::json::parse(result.body, nullptr, /* allow_exceptions */ false);
                if (result.isSuccess() && status.is_object())
                    this->versionSamples.push_back(
                        { address, this->nowMs(), status.value("version", std::uint64_t { 0 }) });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
}

const History& ScenarioFixture::completeHistory()
{
    const auto start = std::chrono::steady_clock::now();
    while (!this->areEnginesIdle() && std::chrono::steady_clock::now() - start < idleTimeout)
        std::this_thread::sleep_for(pollInterval);
    for (const Fleet::FleetInstance& instance : this->runningFleet->instances())
        this->recordUpstream(instance);
    this->stopVersionSampling = true;
    if (this->versionThread.joinable())
        this->versionThread.join();
    this->recordedHistory.versions = std::move(this->versionSamples);
    if (std::getenv("BLUEBELL_PROVE_LOGS"))
        std::cerr << this->runningFleet->logTails();
    return this->recordedHistory;
}

std::map<std::string, std::size_t> ScenarioFixture::executionCounts()
{
    std::map<std::string, std::size_t> counts;
    for (const Fleet::FleetInstance& instance : this->runningFleet->instances()) {
        const std::string path = instance.role == "engine" ? "/counters" : "/runs";
        const auto value
            = nlohmann::json::parse(this->runningFleet->http().get(this->runningFleet->upstreamUrl(instance) + path),
                nullptr, /* allow_exceptions */ false);
        if (value.is_object())
            counts[instance.id] = value["runs"].size();
    }
    return counts;
}

Load::Workload ScenarioFixture::workload(const std::string& mix, double rate, double seconds) const
{
    Load::Workload workload;
    workload.classes = Load::namedMix(mix);
    for (Load::WorkClass& workClass : workload.classes)
        workClass.timeoutMs = std::min<std::int64_t>(workClass.timeoutMs, 4'000);
    workload.accounts = { { "studio", Fleet::callerKey, 2 }, { "agency", Fleet::otherCallerKey, 1 } };
    workload.model = "muse-llm";
    workload.service = "booking-app";
    workload.requestsPerSecond = rate;
    workload.seconds = seconds;
    workload.seed = this->settings.seed;
    return workload;
}

void ScenarioFixture::sleepMs(std::int64_t milliseconds) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void ScenarioFixture::recordUpstream(const Fleet::FleetInstance& instance)
{
    const bool isEngine = instance.role == "engine";
    const auto value = nlohmann::json::parse(
        this->runningFleet->http().get(this->runningFleet->upstreamUrl(instance) + (isEngine ? "/counters" : "/runs")),
        nullptr,
        /* allow_exceptions */ false);
    if (!value.is_object())
        return;
    if (!isEngine) {
        for (const nlohmann::json& execution : value["runs"])
            this->recordedHistory.executions.push_back({ execution.value("request", ""), execution.value("key", "") });
        return;
    }
    for (const nlohmann::json& request : value["runs"])
        this->recordedHistory.executions.push_back({ request.get<std::string>(), "" });
    this->recordedHistory.engines.push_back(
        { instance.id, value.value("usedTokens", std::int64_t { 0 }), value.value("fallOvers", std::int64_t { 0 }),
            value.value("memoryOverruns", std::int64_t { 0 }), value.value("crashes", std::int64_t { 0 }) });
}

bool ScenarioFixture::areEnginesIdle()
{
    return std::ranges::all_of(this->runningFleet->instances(), [this](const Fleet::FleetInstance& instance) {
        if (instance.role != "engine")
            return true;
        const auto value = nlohmann::json::parse(
            this->runningFleet->http().get(this->runningFleet->upstreamUrl(instance) + "/counters"), nullptr,
            /* allow_exceptions */ false);
        return !value.is_object() || value.value("usedTokens", std::int64_t { 0 }) == 0;
    });
}

double ScenarioFixture::nowMs() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->startTime).count();
}

Fleet::FleetPlan scenarioFleetPlan()
{
    Fleet::FleetPlan plan = Fleet::studioPlan();
    plan.upstreams[1].count = 2;
    plan.heartbeatMs = 100;
    plan.connectionTimeoutMs = 500;
    plan.extraAgentSettings = R"(, "orphanGraceMs": 1500)";
    plan.extraEntrySettings = R"(, "recoveryTimeMs": 1000)";
    return plan;
}

} // namespace Proof
