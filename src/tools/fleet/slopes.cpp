#include "experiments.h"
#include "fleet.h"

#include <configuration/configurationprojection.h>
#include <configuration/environmentparser.h>
#include <configuration/peerexchange.h>
#include <idempotency/claimprojection.h>
#include <load/loadgenerator.h>
#include <load/loadreport.h>
#include <wire/codec.h>
#include <wire/endpoint.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>

#include <malloc.h>
#include <sys/resource.h>

namespace Fleet {

namespace {

constexpr double microsecondsPerSecond = 1e6;

double ownProcessorSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::size_t ownHeapBytes() { return ::mallinfo2().uordblks; }

void printSlope(const std::string& what, double value, const std::string& unit)
{
    std::cout << "| " << what << " | " << std::fixed << std::setprecision(2) << value << ' ' << unit << " |\n";
}

std::string largeDocument(int accounts, int models)
{
    std::string document = "{ \"environment\": \"target\", \"accounts\": [";
    for (int i = 0; i < accounts; ++i) {
        char digest[65];
        std::snprintf(digest, sizeof(digest), "%064d", i);
        document += (i == 0 ? "" : ",\n") + std::string(R"({ "name": "account-)") + std::to_string(i)
            + R"(", "keySha256": ")" + digest
            + R"(", "weight": 2, "maximumConcurrent": 64, "tokensPerSecond": 200000 })";
    }
    document += "], \"upstreams\": [";
    for (int i = 0; i < models; ++i)
        document += (i == 0 ? "" : ",\n") + std::string(R"({ "name": "u)") + std::to_string(i) + "\" }";
    document += "], \"models\": [";
    for (int i = 0; i < models; ++i) {
        document += (i == 0 ? "" : ",\n") + std::string(R"({ "name": "m)") + std::to_string(i)
            + R"(", "upstreams": [ "u)" + std::to_string(i) + "\" ] }";
    }
    return document + "] }";
}

void measureConfiguration()
{
    constexpr int accounts = 34'000;
    constexpr int models = 39;
    const std::string text = largeDocument(accounts, models);
    const std::size_t heapBefore = ownHeapBytes();
    const double before = ownProcessorSeconds();
    const auto document = Configuration::parseEnvironment("target", text);
    printSlope("parse a document of 34,000 accounts", (ownProcessorSeconds() - before) * 1000, "ms");
    printSlope("size of that document", static_cast<double>(text.size()) / 1e6, "MB");
    printSlope("memory of the parsed document", static_cast<double>(ownHeapBytes() - heapBefore) / 1e6, "MB");
    Configuration::ConfigurationProjection projection;
    projection.apply(0, Configuration::encodeRecord(Configuration::DocumentRecord { "a", 0, text }));
    constexpr int changes = 300;
    const double changesBefore = ownProcessorSeconds();
    for (int i = 0; i < changes; ++i) {
        const Configuration::Target target { Configuration::TargetKind::Instance, "i" + std::to_string(i % 50) };
        const Configuration::ServiceStateRecord record { "c" + std::to_string(i),
            projection.state().targetVersion(target), target,
            i % 2 == 0 ? Configuration::ServiceState::TakenOut : Configuration::ServiceState::InService };
        projection.apply(static_cast<std::uint64_t>(i) + 1, Configuration::encodeRecord(record));
    }
    printSlope("apply one take-out", (ownProcessorSeconds() - changesBefore) * microsecondsPerSecond / changes, "us");
    const std::string difference
        = Configuration::makeDifference(projection.state().documentVersion, projection.state()).dump();
    printSlope("difference to a peer without the document", static_cast<double>(difference.size()) / 1e3, "KB");
    printSlope("snapshot record",
        static_cast<double>(Configuration::encodeRecord(Configuration::SnapshotRecord { projection.state() }).size())
            / 1e6,
        "MB");
}

void measureClaims()
{
    constexpr int claims = 100'000;
    Idempotency::ClaimProjection projection(std::chrono::hours(1));
    const std::size_t heapBefore = ownHeapBytes();
    const double before = ownProcessorSeconds();
    std::size_t bytes = 0;
    for (int i = 0; i < claims; ++i) {
        const std::string name = std::to_string(1'000'000 + i);
        const std::vector<Idempotency::ClaimEntry> entries = {
            Idempotency::Claim { "call/account/booking/" + name, "attempt-with-32-digits-" + name,
                "incarnation-with-32-digits-00000", "fingerprint-of-40-digits-" + name },
            Idempotency::StoredAnswer { "call/account/booking/" + name, "attempt-with-32-digits-" + name, 201,
                "application/json", std::string(200, 'x') },
        };
        const std::string record = Idempotency::encodeClaims(entries);
        bytes += record.size();
        projection.apply(static_cast<std::uint64_t>(i), Idempotency::LogTime(i), record);
    }
    printSlope(
        "apply one claim with its answer", (ownProcessorSeconds() - before) * microsecondsPerSecond / claims, "us");
    printSlope("memory of one claim with an answer of 200 bytes",
        static_cast<double>(ownHeapBytes() - heapBefore) / claims, "bytes");
    printSlope("log bytes of one claim with such an answer", static_cast<double>(bytes) / claims, "bytes");
}

std::size_t frameBytes(const Wire::Message& message)
{
    // 6 bytes of WebSocket header and 40 bytes of TCP and IP headers.
    constexpr std::size_t headers = 46;
    return Wire::encode(std::span(&message, 1)).size() + headers;
}

void measureMessages()
{
    Wire::LoadReport report;
    report.load = { Membership::Availability::Available, 12, 3, 64, 120, 4'000, 1, 250'000, 400'000, 200'000 };
    printSlope("heartbeat on the wire", static_cast<double>(frameBytes(Wire::Heartbeat { 123'456 })), "bytes");
    printSlope("load report on the wire", static_cast<double>(frameBytes(report)), "bytes");
    Wire::AnswerEnd end { std::string(32, 'a'), 100, 1'234'567'890'123ULL, 2'000, report.load };
    printSlope("end of an answer with load", static_cast<double>(frameBytes(end)), "bytes");
}

// Measures what a connection and a heartbeat cost an agent, with the connections of many entries.
void measureConnections(RunningFleet& fleet)
{
    constexpr int connections = 300;
    constexpr int heartbeats = 20;
    const FleetInstance& instance = fleet.instances()[0];
    ChildProcess& agent = fleet.process("agent-" + instance.id);
    const std::int64_t memoryBefore = agent.residentBytes();
    asio::io_context context(1);
    int welcomes = 0;
    std::vector<Wire::ConnectionId> ids;
    Wire::ClientEndpoint* client = nullptr;
    Wire::ClientEndpoint endpoint(context,
        {
            [&client](Wire::ConnectionId id) {
                client->send(id, Wire::Hello { Wire::protocolVersion, fleetToken, "e" + std::to_string(id), 0 });
            },
            [&welcomes](Wire::ConnectionId, const Wire::Message& message) {
                welcomes += std::holds_alternative<Wire::Welcome>(message) ? 1 : 0;
            },
            [](Wire::ConnectionId) {},
        });
    client = &endpoint;
    for (int i = 0; i < connections; ++i)
        ids.push_back(endpoint.connect("127.0.0.1:" + std::to_string(instance.wirePort)));
    const auto runFor = [&context](double seconds) {
        context.restart();
        context.run_for(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds)));
    };
    runFor(1.0);
    printSlope("connections made", welcomes, "");
    printSlope("memory of one connection at an agent",
        static_cast<double>(agent.residentBytes() - memoryBefore) / connections / 1e3, "KB");
    constexpr double heartbeatIntervalSeconds = 0.1;
    const double idleBefore = agent.processorSeconds();
    runFor(heartbeats * heartbeatIntervalSeconds);
    const double idle = agent.processorSeconds() - idleBefore;
    const double busyBefore = agent.processorSeconds();
    for (int round = 0; round < heartbeats; ++round) {
        for (const Wire::ConnectionId id : ids)
            endpoint.send(id, Wire::Heartbeat { 1 });
        runFor(heartbeatIntervalSeconds);
    }
    const double busy = agent.processorSeconds() - busyBefore;
    printSlope("processor time of an idle agent", idle / (heartbeats * heartbeatIntervalSeconds) * 100, "% of a core");
    printSlope("processor time of a heartbeat at an agent",
        (busy - idle) * microsecondsPerSecond / (connections * heartbeats), "us");
}

// Measures the processor time that the entry and the agents need for one unit of a class of work.
void measureWork(RunningFleet& fleet, const std::string& name, const Load::WorkClass& workClass, double rate,
    double unitsPerRequest, const std::string& unit)
{
    constexpr double seconds = 4;
    const auto agentProcessorSeconds = [&fleet] {
        double sum = 0;
        for (const FleetInstance& instance : fleet.instances())
            sum += fleet.process("agent-" + instance.id).processorSeconds();
        return sum;
    };
    Load::Workload workload;
    workload.classes = { workClass };
    workload.accounts = { { "studio", callerKey, 1 } };
    workload.model = "muse-llm";
    workload.service = "booking-app";
    workload.requestsPerSecond = rate;
    workload.seconds = seconds;
    const double entryBefore = fleet.process("entry-0").processorSeconds();
    const double agentsBefore = agentProcessorSeconds();
    const auto records = Load::LoadGenerator(workload, fleet.entryAddresses()).run();
    const double units = static_cast<double>(records.size()) * unitsPerRequest;
    printSlope(name + " at the entry",
        (fleet.process("entry-0").processorSeconds() - entryBefore) * microsecondsPerSecond / units, unit);
    printSlope(name + " at the agents", (agentProcessorSeconds() - agentsBefore) * microsecondsPerSecond / units, unit);
}

} // namespace

int runSlopes(const ExperimentSettings& settings)
{
    std::cout << "| what | slope |\n| --- | --- |\n";
    measureMessages();
    measureConfiguration();
    measureClaims();
    FleetPlan plan = studioPlan();
    plan.entries = 1;
    RunningFleet fleet(settings.programs, plan);
    if (!fleet.start() || !fleet.warmUp()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    printSlope("memory of an entry", static_cast<double>(fleet.process("entry-0").residentBytes()) / 1e6, "MB");
    printSlope("memory of an agent",
        static_cast<double>(fleet.process("agent-" + fleet.instances()[0].id).residentBytes()) / 1e6, "MB");
    measureConnections(fleet);
    const Load::WorkClass shortPrompt { "short", Load::WorkKind::Prompt, 1, 100, 100, 1, 10'000 };
    measureWork(fleet, "a short prompt", shortPrompt, 300, 1, "us");
    const Load::WorkClass manyTokens { "tokens", Load::WorkKind::Prompt, 1, 100, 100, 400, 10'000 };
    measureWork(fleet, "a forwarded token", manyTokens, 40, 400, "us");
    const Load::WorkClass largeBody { "megabytes", Load::WorkKind::Prompt, 1, 250'000, 250'000, 1, 60'000 };
    measureWork(fleet, "a MB of prompt", largeBody, 1.5, 1, "us");
    const Load::WorkClass hold { "hold", Load::WorkKind::Booking, 1, 0, 0, 0, 10'000 };
    measureWork(fleet, "a claimed call", hold, 100, 1, "us");
    return 0;
}

} // namespace Fleet
