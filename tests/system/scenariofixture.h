#pragma once

#include "history.h"
#include "tcpproxy.h"

#include <fleet/fleet.h>
#include <load/loadgenerator.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Proof {

/** The settings of one run of a scenario. */
struct ScenarioSettings {
    /** The folder of the programs that the fleet consists of. */
    std::filesystem::path programs;
    /** Seeds the load and the choice of faults. */
    std::uint64_t seed = 1;
};

/**
 * What the scenarios share: a fleet whose entries reach each agent through a TCP proxy, a load that is sent while the
 * scenario injects faults, and the recorded history.
 */
class ScenarioFixture {
public:
    ScenarioFixture(const ScenarioSettings& settings, Fleet::FleetPlan plan);
    ~ScenarioFixture();

    /** Starts the fleet; throws std::runtime_error if that fails. */
    void start();

    Fleet::RunningFleet& fleet() { return *this->runningFleet; }
    /** Returns the proxy that forwards connections to the agent of an instance. */
    TcpProxy& agentProxy(const std::string& instance) { return *this->agentProxies.at(instance); }
    std::mt19937_64& random() { return this->randomGenerator; }

    /** Starts to send a load through all entries, on a thread of its own. */
    void startLoad(Load::Workload workload);

    /** Starts to send a load through some entries only, as a load balancer does while the others do not answer. */
    void startLoad(Load::Workload workload, std::vector<std::string> entries);

    /** Waits until the load has ended and adds its calls to the history. */
    void waitForLoad();

    /** Sends one call and adds it to the history. */
    HistoryCall sendRecordedCall(int entry, const std::string& id, const std::string& path, const std::string& body,
        std::int64_t timeoutMs, const std::string& key = {});

    /** Sends one call and does not add it to the history, so that several threads can use it. */
    HistoryCall sendCall(Fleet::HttpClient& caller, int entry, const std::string& id, const std::string& path,
        const std::string& body, std::int64_t timeoutMs, const std::string& key = {}) const;

    void recordCall(const HistoryCall& call) { this->recordedHistory.calls.push_back(call); }

    /** Starts to record the configuration versions that the entries have in force, on a thread of its own. */
    void startVersionSampling();

    /**
     * Waits for a limited time until no engine has memory in use, then adds what the upstreams and the version sampling
     * recorded to the history.
     */
    const History& completeHistory();

    const History& history() const { return this->recordedHistory; }

    /** Returns the number of requests that each upstream has begun to execute, by instance. */
    std::map<std::string, std::size_t> executionCounts();

    /** Returns a workload with short deadlines that uses the model and the service of the fleet. */
    Load::Workload workload(const std::string& mix, double rate, double seconds) const;

    void sleepMs(std::int64_t milliseconds) const;

private:
    void recordUpstream(const Fleet::FleetInstance& instance);
    bool areEnginesIdle();
    double nowMs() const;

    ScenarioSettings settings;
    std::unique_ptr<Fleet::RunningFleet> runningFleet;
    std::map<std::string, std::unique_ptr<TcpProxy>> agentProxies;
    std::mt19937_64 randomGenerator;
    History recordedHistory;
    std::unique_ptr<Load::LoadGenerator> loadGenerator;
    std::vector<Load::CallRecord> loadRecords;
    std::thread loadThread;
    std::thread versionThread;
    std::atomic<bool> stopVersionSampling { false };
    std::vector<VersionSample> versionSamples;
    std::chrono::steady_clock::time_point startTime;
};

/** Returns a fleet of three failure domains, four engines, two booking services and two entries, with short timers. */
Fleet::FleetPlan scenarioFleetPlan();

} // namespace Proof
