#include "experiments.h"
#include "fleet.h"

#include <load/loadgenerator.h>
#include <load/loadreport.h>
#include <load/svgplot.h>

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace Fleet {

namespace {

constexpr double totalSeconds = 24;
constexpr double firstByteTargetMs = 1'000;
constexpr double maximumMissedShare = 0.01;
constexpr const char* domain = "hcmc-a";

enum class Outage : std::uint8_t {
    /** The failure domain is taken out before its processes are killed. */
    Planned,
    /** The processes of the failure domain are killed while it is in service. */
    Unplanned,
};

std::vector<std::string> processesIn(const RunningFleet& fleet)
{
    std::vector<std::string> names;
    for (const FleetInstance& instance : fleet.instances()) {
        if (instance.domain != domain)
            continue;
        names.push_back("agent-" + instance.id);
        names.push_back("upstream-" + instance.id);
    }
    return names;
}

void waitUntil(std::chrono::steady_clock::time_point start, double second)
{
    std::this_thread::sleep_until(
        start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(second)));
}

// Kills the processes of the domain at second 8 and restarts them at second 13. In a planned outage the domain is taken
// out at second 4 and brought back at second 15.
void runTimeline(RunningFleet& fleet, Outage outage, std::chrono::steady_clock::time_point start)
{
    waitUntil(start, 4);
    if (outage == Outage::Planned)
        fleet.runCtl({ "take-out", "failureDomain", domain });
    waitUntil(start, 8);
    for (const std::string& name : processesIn(fleet))
        fleet.killProcess(name);
    waitUntil(start, 13);
    for (const std::string& name : processesIn(fleet))
        fleet.startProcess(name);
    waitUntil(start, 15);
    if (outage == Outage::Planned)
        fleet.runCtl({ "bring-back", "failureDomain", domain });
}

std::vector<double> measureService(const ExperimentSettings& settings, Outage outage, double& missedShare)
{
    FleetPlan plan = studioPlan();
    plan.entries = 3;
    plan.upstreams[0].count = 6;
    plan.upstreams[1].count = 3;
    plan.heartbeatMs = 100;
    plan.connectionTimeoutMs = 500;
    RunningFleet fleet(settings.programs, plan);
    if (!fleet.start() || !fleet.warmUp())
        throw std::runtime_error("the fleet did not start\n" + fleet.logTails());
    Load::Workload workload;
    workload.classes = Load::namedMix("studio");
    workload.accounts = { { "studio", callerKey, 1 } };
    workload.model = "muse-llm";
    workload.service = "booking-app";
    workload.requestsPerSecond = 110;
    workload.seconds = totalSeconds;
    workload.seed = settings.seed;
    Load::LoadGenerator generator(workload, fleet.entryAddresses());
    std::vector<Load::CallRecord> records;
    const auto start = std::chrono::steady_clock::now();
    std::thread sender([&] { records = generator.run(); });
    runTimeline(fleet, outage, start);
    sender.join();
    std::cout << Load::renderTable(Load::summarize(workload, records));
    std::size_t sent = 0;
    std::size_t missed = 0;
    for (const Load::CallRecord& record : records) {
        if (record.workClass != 0)
            continue;
        ++sent;
        missed += record.isServed && record.firstByteMs <= firstByteTargetMs ? 0 : 1;
    }
    missedShare = static_cast<double>(missed) / static_cast<double>(sent);
    return Load::servedShareBySecond(records, 0, totalSeconds, firstByteTargetMs);
}

void printService(const std::string& name, const std::vector<double>& service, double missedShare)
{
    std::cout << '\n'
              << name << ", share of captions with a first byte within 1 s, by second:" << std::fixed
              << std::setprecision(3);
    for (const double share : service)
        std::cout << ' ' << share;
    std::cout << "\ncaptions refused or with a first byte after 1 s: " << 100 * missedShare << " %\n\n";
}

} // namespace

int runDomain(const ExperimentSettings& settings)
{
    double plannedMissedShare = 0;
    double unplannedMissedShare = 0;
    const auto planned = measureService(settings, Outage::Planned, plannedMissedShare);
    printService("taken out, killed, brought back", planned, plannedMissedShare);
    const auto unplanned = measureService(settings, Outage::Unplanned, unplannedMissedShare);
    printService("killed without being taken out", unplanned, unplannedMissedShare);
    if (!settings.plots.empty()) {
        const std::vector<Load::PlotLine> lines = { { "taken out first", planned }, { "not taken out", unplanned } };
        std::ofstream(settings.plots / "domain.svg") << Load::renderSvgPlot(
            "Captions served while a failure domain leaves and returns", "share served within 1 s", lines);
    }
    return plannedMissedShare <= maximumMissedShare ? 0 : 1;
}

} // namespace Fleet
