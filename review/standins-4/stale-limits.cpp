// A new version of the manifest allows larger bodies. Clients send them on connections that they have kept open.
#include "lab.h"

using namespace Lab;

namespace {

constexpr int oldLimit = 1'000'000;
constexpr int newLimit = 4'000'000;
constexpr std::size_t bodyBytes = 1'500'000;
constexpr int clientCount = 20;

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    Worker worker(record, "i-1a000001", "hcmc-a");
    const std::vector<std::string> routes { makeRoute("book", "unsafe") };
    const auto publish = [&](int version, int limit) {
        store.put("keyed.op", "config", makeManifest(version, routes, {}, limit));
        record.add(
            "the store acknowledges version " + std::to_string(version) + ": max_body_bytes " + std::to_string(limit));
    };
    publish(1, hasTrouble() ? oldLimit : newLimit);
    store.put("keyed.servers", worker.name(), worker.entry(1));
    const Gateway gateway(record, store);
    if (!gateway.waitUntilReady())
        finish(couldNotRun);
    std::vector<std::unique_ptr<Channel>> channels;
    int sent = 0;
    const auto send = [&](Channel& channel, std::size_t bytes) {
        const std::string id = "a" + std::to_string(sent++);
        const auto answer
            = call(record, channel, id, makeRequest("POST", "/book/deck", id, {}, std::string(bytes, 'x')));
        return answer ? answer->secondWord() : std::string("none");
    };
    for (int i = 0; i < clientCount; ++i) {
        channels.push_back(gateway.connect());
        if (!channels.back() || send(*channels.back(), 100) != "200")
            finish(couldNotRun);
    }
    publish(2, newLimit);
    // The new version has to be in force after 2 s, and the connections may be idle for 20 s.
    std::this_thread::sleep_for(5s);
    int denied = 0;
    int served = 0;
    for (const auto& channel : channels) {
        const std::string status = send(*channel, bodyBytes);
        denied += status == "413" ? 1 : 0;
        served += status == "200" ? 1 : 0;
    }
    // Further requests show that the process has the new version.
    int servedOnNew = 0;
    for (int i = 0; i < clientCount; ++i) {
        const auto channel = gateway.connect();
        servedOnNew += channel && send(*channel, bodyBytes) == "200" ? 1 : 0;
    }
    const double allowed = 5 + sent / 500.0;
    record.add("on kept connections: " + std::to_string(denied) + " denied, " + std::to_string(served)
        + " served; on new connections: " + std::to_string(servedOnNew) + " served of " + std::to_string(clientCount)
        + "; denials that the rule allows: " + std::to_string(allowed));
    if (servedOnNew == 0)
        finish(couldNotRun);
    finish(denied > allowed ? ruleBroken : ruleHeld);
}
