// A worker drains. A heartbeat that it sent before, and that the store did not answer, is executed after its report.
#include "lab.h"

using namespace Lab;

namespace {

constexpr auto drainTime = 2'000ms;
constexpr auto heartbeat = 1'200ms;

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    // The gateway takes the first of two idle workers, so this one gets the requests.
    Worker leaving(record, "i-1a000001", "hcmc-a");
    Worker staying(record, "i-2b000002", "hcmc-a");
    store.put("keyed.op", "config", makeManifest(1, { makeRoute("read", "safe") }));
    store.put("keyed.servers", leaving.name(), leaving.entry(1));
    store.put("keyed.servers", staying.name(), staying.entry(1));
    const Gateway gateway(record, store);
    if (!gateway.waitUntilReady())
        finish(couldNotRun);
    std::this_thread::sleep_for(4s);
    const auto channel = gateway.connect();
    if (!channel)
        finish(couldNotRun);

    // Heartbeat 2 is sent now. The store neither answers nor executes it yet, and works as usual from then on.
    const std::string unansweredHeartbeat = leaving.entry(2);
    const auto unansweredAt = Clock::now();
    record.add("worker i-1a000001 sends heartbeat 2 (ready); the store does not answer");
    std::this_thread::sleep_for(1'000ms);
    store.put("keyed.servers", leaving.name(), leaving.entry(3));
    record.add("the store acknowledges heartbeat 3 (ready)");
    std::this_thread::sleep_for(heartbeat);
    store.put("keyed.servers", leaving.name(), leaving.entry(4));
    record.add("the store acknowledges heartbeat 4 (ready)");
    std::this_thread::sleep_until(unansweredAt + 3'400ms);
    store.put("keyed.servers", leaving.name(), leaving.entry(5, "draining"));
    const auto acknowledged = Clock::now();
    record.add("the store acknowledges heartbeat 5 (draining)");

    // The worker goes on to report every 1.2 s that it drains. The late heartbeat comes between two of these reports.
    int sequence = 5;
    auto nextHeartbeat = acknowledged + heartbeat;
    const auto lateAt = acknowledged + 2 * heartbeat + 50ms;
    bool isLateDone = !hasTrouble();
    std::size_t served = 0;
    for (int i = 0; Clock::now() < acknowledged + 7s; ++i) {
        if (Clock::now() >= nextHeartbeat) {
            store.put("keyed.servers", leaving.name(), leaving.entry(++sequence, "draining"));
            record.add("the store acknowledges heartbeat " + std::to_string(sequence) + " (draining)");
            nextHeartbeat += heartbeat;
        }
        if (!isLateDone && Clock::now() >= lateAt) {
            store.put("keyed.servers", leaving.name(), unansweredHeartbeat);
            record.add("the store executes heartbeat 2 (ready), 5.9 s after it was sent");
            isLateDone = true;
        }
        const std::string id = "a" + std::to_string(i);
        const auto answer = call(record, *channel, id, makeRequest("GET", "/read/slots", id));
        served += answer && answer->secondWord() == "200" ? 1 : 0;
        std::this_thread::sleep_for(20ms);
    }

    std::size_t early = 0;
    std::size_t late = 0;
    for (const Worker::Run& run : leaving.runs())
        ++(run.at > acknowledged + drainTime ? late : early);
    record.add("served " + std::to_string(served) + "; runs at the draining worker: " + std::to_string(early)
        + " before drain_ms had passed, " + std::to_string(late) + " later");
    if (served == 0)
        finish(couldNotRun);
    finish(late > 0 ? ruleBroken : ruleHeld);
}
