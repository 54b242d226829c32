#pragma once

#include <fleet/childprocess.h>
#include <platform/httptransfers.h>
#include <standinstore.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Proof {

/** A line of the run log of the upstreams. */
struct RunLogEntry {
    /** What happened: begin or crash, and at some stand-ins end or pause. */
    std::string what;
    bool isCrash = false;
    std::string upstream;
    std::string request;
    Foundation::TimePoint time {};
};

/** What happened to a memory lease at an engine. */
enum class LeaseEvent : std::uint8_t { Reserved, Released, Expired };

/** A line of the run log about a memory lease. */
struct LeaseLogEntry {
    LeaseEvent event = LeaseEvent::Reserved;
    std::string upstream;
    std::string lease;
    Foundation::TimePoint time {};
};

/**
 * Gateways and upstreams as processes of their own, and a store in this process. Restarts upstreams that crash and
 * keeps their entries in the store, as the platform does. All calls must come on the context's thread.
 */
class GatewayFleet {
public:
    struct Plan {
        std::size_t gateways = 4;
        /** The numbers of upstreams of the two services. */
        std::size_t applications = 6;
        std::size_t engines = 8;
        std::string upstreamProgram = "bluebell-crashable-upstream";
        /** The memory limit of a gateway that its settings name, in MB. */
        int gatewayMemoryMb = 260;
        /** The maximum number of descriptors of a gateway that its settings name. */
        int gatewayDescriptors = 4'100;
        /** The number of failure domains, to which the gateways belong in turn. */
        std::size_t failureDomains = 1;
        /** The number of failure domains, to which the upstreams belong in turn. */
        std::size_t upstreamFailureDomains = 1;
        /**
         * How long a crashed upstream is down; usually longer than the timeouts of the routes for calls, so that a
         * stopped upstream stays silent until all its callers have given up.
         */
        std::chrono::milliseconds shortestDowntime { 2'200 };
        std::chrono::milliseconds longestDowntime { 3'200 };
    };

    /** @param programs the folder that contains the programs. @param seed decides how upstreams come back. */
    GatewayFleet(asio::io_context& context, std::filesystem::path programs, Plan plan, std::uint64_t seed);
    ~GatewayFleet();

    /** An entry expires after three check-in intervals of 1.2 s without a word of its upstream. */
    static constexpr Foundation::Duration entryLifetime = std::chrono::milliseconds(3'600);

    /** Starts all processes. */
    void start();

    /** Returns whether all gateways are ready. */
    bool isReady();

    /** Reads the run log, and removes and restarts crashed upstreams that are due. To be called every few ms. */
    void tick();

    std::size_t gatewayCount() const { return this->gateways.size(); }
    bool isGatewayRunning(std::size_t index) const { return this->gateways[index].isRunning; }
    std::string gatewayAddress(std::size_t index) const;
    std::size_t failureDomainOf(std::size_t gateway) const { return gateway % this->plan.failureDomains; }
    const std::string& gatewayName(std::size_t index) const { return this->gateways[index].name; }
    std::uint16_t callerPort(std::size_t index) const { return this->gateways[index].callerPort; }
    std::int64_t gatewayResidentBytes(std::size_t index) const
    {
        return this->gateways[index].process->residentBytes();
    }
    const Fleet::ChildProcess& gatewayProcess(std::size_t index) const { return *this->gateways[index].process; }
    std::uint16_t metricsPort(std::size_t index) const { return this->gateways[index].metricsPort; }
    /** Returns whether the process has not ended by itself. */
    bool isGatewayAlive(std::size_t index) { return this->gateways[index].process->isRunning(); }
    void startGateway(std::size_t index);
    void killGateway(std::size_t index);
    /** Sends SIGTERM, after which the gateway ends when it has answered its requests. */
    void stopGateway(std::size_t index);
    void pauseGateway(std::size_t index);
    void resumeGateway(std::size_t index);

    /** Writes the settings of a gateway with another memory limit, in MB. */
    void changeSettings(std::size_t index, int memoryMb);

    /** Sends a SIGHUP, after which a gateway reads its settings file. */
    void sendHangup(std::size_t index);

    /** Returns one of the gateways that run; any if none does. */
    std::size_t pickRunningGateway(std::mt19937_64& generator) const;

    /** Returns a call on a connection of its own to a gateway, as a caller sends it with the default key. */
    Platform::HttpCall makeCall(std::size_t gateway, const std::string& attemptId, const std::string& path) const;

    /** Returns whether a gateway ran undisturbed for a time that the users call in touch. */
    bool isGatewayInTouch(std::size_t index, Foundation::TimePoint now) const;

    /** Makes the store answer every call of the gateways with 503; entries are written to it all the same. */
    void setStoreUnavailable(bool isUnavailable) { this->store.setUnavailable(isUnavailable); }

    /** Makes the store answer every call of the gateways of a failure domain with 429. */
    void setDomainRefused(std::size_t failureDomain, bool isRefused)
    {
        this->store.setRefused(failureDomain, isRefused);
    }

    std::size_t upstreamCount() const { return this->upstreams.size(); }
    const std::string& upstreamId(std::size_t index) const { return this->upstreams[index].id; }
    std::string upstreamAddress(std::size_t index) const;

    /** Returns the failure domain of an upstream, or an empty string if it does not run any more. */
    std::string upstreamDomain(const std::string& upstreamId) const;

    /** Writes an upstream's entry again. @param isDraining whether it says that it leaves; it goes on to serve. */
    void writeEntry(std::size_t upstream, bool isDraining = false);

    /** Removes an upstream's entry, as when it has left or expired, or when the operator removes it. */
    void removeEntry(std::size_t upstream);

    /** Expires the history of all upstreams' entries, so that they can only be read as a listing. */
    void expireUpstreamHistory();

    bool isUpstreamRunning(std::size_t index) const { return !this->upstreams[index].restartAt; }

    /** Kills an upstream without a request that causes it; it comes back as after other crashes. */
    void crashUpstream(std::size_t index);
    void pauseUpstream(std::size_t index);
    void resumeUpstream(std::size_t index);

    /** Replaces an upstream's process, which writes its entry anew under the same id. */
    void restartUpstream(std::size_t upstream);

    /** The store, to write as the operator does and to come back from a copy. */
    StandinStore& platformStore() { return this->store; }

    /** Returns the operator's document. */
    static std::string makeDocument(int version, const std::vector<std::string>& keys);

    const std::vector<RunLogEntry>& runLog() const { return this->entries; }

    /** Returns what happened to the memory leases at the engines. */
    const std::vector<LeaseLogEntry>& leaseLog() const { return this->leaseEntries; }

    /** Returns the folder with the logs of all processes. */
    const std::filesystem::path& logFolder() const { return this->folder; }

    Platform::HttpTransfers& transfers() { return this->httpTransfers; }

private:
    struct GatewayProcess {
        std::string name;
        std::uint16_t callerPort = 0;
        std::uint16_t readinessPort = 0;
        std::uint16_t peerPort = 0;
        std::uint16_t metricsPort = 0;
        std::unique_ptr<Fleet::ChildProcess> process;
        bool isRunning = false;
        bool isReady = false;
        bool isReadinessPending = false;
        Foundation::TimePoint lastDisturbance {};
    };

    struct UpstreamProcess {
        std::string id;
        std::string service;
        std::string failureDomain;
        std::uint16_t port = 0;
        std::int64_t startedAtMs = 1;
        std::unique_ptr<Fleet::ChildProcess> process;
        /** Set while the upstream is down. */
        std::optional<Foundation::TimePoint> restartAt;
        bool keepsId = true;
    };

    /** An entry that expires because its upstream sends nothing more. */
    struct ExpiringEntry {
        std::string id;
        Foundation::TimePoint at {};
    };

    void writeSettings(std::size_t index) const;
    void startUpstream(UpstreamProcess& upstream);
    void putEntry(const UpstreamProcess& upstream, bool isDraining);
    void readLogLine(const std::string& line);
    void onCrash(const RunLogEntry& entry);
    std::string seeds() const;

    Plan plan;
    std::filesystem::path programs;
    std::filesystem::path folder;
    std::mt19937_64 random;
    /** The ports of the store, one for the gateways of each failure domain. */
    std::vector<std::uint16_t> storePorts;
    StandinStore store;
    Platform::HttpTransfers httpTransfers;
    std::vector<GatewayProcess> gateways;
    std::vector<UpstreamProcess> upstreams;
    std::vector<ExpiringEntry> expiringEntries;
    std::vector<RunLogEntry> entries;
    std::vector<LeaseLogEntry> leaseEntries;
    std::ifstream runLogFile;
    std::string partialLine;
    int lastUpstreamNumber = 0;
};

} // namespace Proof
