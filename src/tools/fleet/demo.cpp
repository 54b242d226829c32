#include "experiments.h"
#include "fleet.h"

#include <load/loadgenerator.h>
#include <load/loadreport.h>
#include <standin/engineanswer.h>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace Fleet {

namespace {

bool bookOnce(RunningFleet& fleet)
{
    const std::string target = "http://" + fleet.entryAddress(0) + "/services/booking-app/holds";
    const std::vector<std::string> headers = { std::string("Authorization: Bearer ") + callerKey,
        "Idempotency-Key: demo-hold", "X-Request-Id: demo-hold" };
    const auto first = fleet.http().send("POST", target, R"({"hold":"noon"})", headers);
    const auto second = fleet.http().send("POST", target, R"({"hold":"noon"})", headers);
    std::cout << "booking: status " << first.status << ", sent again with the same key: status " << second.status
              << ", same answer: " << (first.body == second.body ? "yes" : "no") << "\n\n";
    return first.isSuccess() && first.body == second.body;
}

void printCounters(RunningFleet& fleet)
{
    for (const std::string& address : fleet.entryAddresses()) {
        std::cout << "counters of entry " << address << ":\n";
        std::istringstream metrics(fleet.http().get("http://" + address + "/metrics"));
        for (std::string line; std::getline(metrics, line);) {
            if (line.find("_total") != std::string::npos)
                std::cout << "  " << line << '\n';
        }
    }
}

} // namespace

int runDemo(const ExperimentSettings& settings)
{
    RunningFleet fleet(settings.programs, studioPlan());
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    std::string status;
    fleet.runCtl({ "status" }, &status);
    std::cout << status << '\n';
    const bool isBooked = bookOnce(fleet);
    if (!fleet.warmUp())
        std::cout << "not all start-up ramps are complete yet\n";
    Load::Workload workload;
    workload.classes = Load::namedMix("studio");
    workload.accounts = { { "studio", callerKey, 3 }, { "agency", otherCallerKey, 1 } };
    workload.model = "muse-llm";
    workload.service = "booking-app";
    workload.requestsPerSecond = 60;
    workload.seconds = settings.seconds;
    workload.seed = settings.seed;
    Load::LoadGenerator generator(workload, fleet.entryAddresses());
    generator.setAnswerCheck([](const Load::PlannedRequest& request, std::string_view text) {
        return text == Standin::answerText(request.body, request.outputTokens);
    });
    const auto summaries = Load::summarize(workload, generator.run());
    std::cout << Load::renderTable(summaries) << '\n';
    printCounters(fleet);
    const bool isAllServed = std::ranges::all_of(summaries,
        [](const Load::ClassSummary& summary) { return summary.served == summary.sent && summary.wrong == 0; });
    return isBooked && isAllServed ? 0 : 1;
}

} // namespace Fleet
