// A worker leaves without a report, and its entry is removed. Just then another gateway of the zone is started again.
#include "lab.h"

using namespace Lab;

namespace {

constexpr auto drainTime = 2'000ms;
constexpr auto heartbeat = 1'200ms;
constexpr int rounds = 6;

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Worker>> leaving;
    for (int i = 0; i < rounds; ++i)
        leaving.push_back(std::make_unique<Worker>(record, "i-1a00000" + std::to_string(i), "hcmc-a"));
    Worker staying(record, "i-2b000002", "hcmc-a");
    store.put("keyed.op", "config", makeManifest(1, { makeRoute("read", "safe") }));
    for (const auto& worker : leaving)
        store.put("keyed.servers", worker->name(), worker->entry(1));
    store.put("keyed.servers", staying.name(), staying.entry(1));
    const Gateway gateway(record, store);
    Gateway other(record, store,
        Machine { .name = "edge-hcmc-a-2", .processorShare = 0.5, .otherSeed = gateway.controlAddress() });
    if (!gateway.waitUntilReady() || !other.waitUntilReady())
        finish(couldNotRun);
    std::atomic<bool> isOver { false };
    std::thread heartbeats([&] {
        for (int sequence = 2; !isOver; ++sequence) {
            std::this_thread::sleep_for(heartbeat);
            store.put("keyed.servers", staying.name(), staying.entry(sequence));
        }
    });
    std::this_thread::sleep_for(4s);

    const auto channel = gateway.connect();
    if (!channel)
        finish(couldNotRun);
    int brokenRounds = 0;
    int sent = 0;
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        Worker& worker = *leaving[static_cast<std::size_t>(round)];
        other.stop();
        // The platform starts a process again after a short delay, which differs here from round to round.
        std::this_thread::sleep_for((1 + round % 5) * 60ms);
        if (!hasTrouble()) {
            other.start();
            std::this_thread::sleep_for(1'500ms);
        }
        store.remove("keyed.servers", worker.name());
        const auto removed = Clock::now();
        record.add("the entry of worker " + worker.name() + " is removed");
        if (hasTrouble())
            other.start();
        while (Clock::now() < removed + 3'500ms) {
            const std::string id = "a" + std::to_string(sent++);
            const auto answer = call(record, *channel, id, makeRequest("GET", "/read/slots", id));
            served += answer && answer->secondWord() == "200" ? 1 : 0;
            std::this_thread::sleep_for(50ms);
        }
        int late = 0;
        for (const auto& gone : leaving) {
            for (const Worker::Run& run : gone->runs())
                late += gone->name() <= worker.name() && run.at > removed + drainTime ? 1 : 0;
        }
        record.add("round " + std::to_string(round) + ": " + std::to_string(late)
            + " runs at workers that left more than drain_ms ago");
        brokenRounds += late > 0 ? 1 : 0;
    }
    isOver = true;
    heartbeats.join();
    record.add("rounds with late runs: " + std::to_string(brokenRounds) + " of " + std::to_string(rounds) + "; served "
        + std::to_string(served) + " of " + std::to_string(sent));
    if (served == 0)
        finish(couldNotRun);
    finish(brokenRounds > 0 ? ruleBroken : ruleHeld);
}
