#pragma once

#include "childprocess.h"
#include "fleetplan.h"
#include "httpclient.h"

#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Fleet {

/** An upstream instance with its agent. */
struct FleetInstance {
    std::string id;
    std::string domain;
    std::string upstream;
    /** The role of the stand-in that is the upstream. */
    std::string role;
    int upstreamPort = 0;
    /** The ports of the agent for entries and for HTTP. */
    int wirePort = 0;
    int httpPort = 0;
};

/**
 * Runs the processes of a whole environment on the loopback interface, for the demonstration, experiments and tests.
 * Processes are addressed by the names "log", "instances", "entry-0" and so on, "agent-INSTANCE" and
 * "upstream-INSTANCE".
 */
class RunningFleet {
public:
    /** @param programs the folder that contains the programs. */
    RunningFleet(std::filesystem::path programs, FleetPlan plan);
    ~RunningFleet();

    /** Starts all processes and publishes the environment document. Returns whether every agent became available. */
    bool start();

    void startProcess(const std::string& name);
    void killProcess(const std::string& name);
    /** Suspends a process with SIGSTOP until resumeProcess(). */
    void suspendProcess(const std::string& name);
    void resumeProcess(const std::string& name);
    /** Sends SIGTERM, on which a process shuts down gracefully. */
    void terminate(const std::string& name);
    /** Waits until a process has exited. Returns the exit code as ChildProcess::wait(). */
    int waitForExit(const std::string& name);
    ChildProcess& process(const std::string& name);
    bool isRunning(const std::string& name);

    /** Sets fault switches of a stand-in; a suspended stand-in is skipped after 1 s. */
    void setFaults(const std::string& name, const std::string& json);

    /** Runs bluebellctl and returns its exit code. */
    int runCtl(const std::vector<std::string>& arguments, std::string* output = nullptr);

    /** Sets another port for an agent in the instance list, such as that of a TCP proxy in front of it. */
    void setListedPort(const std::string& instance, int port) { this->listedPorts[instance] = port; }

    /** Publishes an environment document. Returns the exit code of bluebellctl. */
    int publish(const std::string& document);

    /** Replaces the platform's instance list; some instances may be marked as draining or omitted. */
    void setInstanceList(const std::set<std::string>& draining = {}, const std::set<std::string>& omitted = {});

    /** Waits until each entry reports that number of available agents. Returns false after a timeout at one entry. */
    bool waitForAvailableAgents(std::size_t agents, double timeoutSeconds);

    /** Polls a URL until its answer satisfies a condition. Returns false after a timeout. */
    bool waitFor(
        const std::string& url, const std::function<bool(const std::string&)>& condition, double timeoutSeconds);

    /** Sends requests until all start-up ramps are complete. Returns false if 20 rounds do not suffice. */
    bool warmUp();

    std::string entryAddress(int entry) const;
    std::vector<std::string> entryAddresses() const;
    std::string upstreamUrl(const FleetInstance& instance) const;
    std::string agentUrl(const FleetInstance& instance) const;
    const std::vector<FleetInstance>& instances() const { return this->fleetInstances; }
    const FleetPlan& plan() const { return this->plannedFleet; }
    HttpClient& http() { return this->httpClient; }

    /** Adds an entry to a running fleet and returns its number. */
    int addEntry();

    /** Returns the last part of the output of each process, for failure messages. */
    std::string logTails() const;

private:
    void planInstances();
    void writeSettings();
    void writeEntrySettings(int entry);
    void writeFile(const std::string& name, const std::string& text) const;
    std::string processSettings(const std::string& instance, const std::string& domain, int httpPort) const;
    std::vector<std::string> argumentsFor(const std::string& name) const;
    std::string programFor(const std::string& name) const;
    const FleetInstance& findInstance(const std::string& processName) const;
    bool waitUntilReachable(const std::string& url);

    std::filesystem::path programs;
    FleetPlan plannedFleet;
    std::filesystem::path folder;
    std::vector<FleetInstance> fleetInstances;
    std::vector<int> entryPorts;
    std::map<std::string, int> listedPorts;
    int logPort = 0;
    int instanceListPort = 0;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    HttpClient httpClient;
};

/** Returns a TCP port that is free on the loopback interface at the time of the call. */
int findFreePort();

} // namespace Fleet
