// A client sends a path with bytes beyond ASCII, as the letters of its language are in UTF-8.
#include "lab.h"

using namespace Lab;

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    Worker worker(record, "i-1a000001", "hcmc-a");
    store.put("keyed.op", "config", makeManifest(1, { makeRoute("book", "unsafe") }));
    store.put("keyed.servers", worker.name(), worker.entry(1));
    const Gateway gateway(record, store);
    if (!gateway.waitUntilReady())
        finish(couldNotRun);
    // "lịch" and "chụp" in UTF-8; without trouble the client encodes them itself.
    const std::vector<std::string> targets = hasTrouble()
        ? std::vector<std::string> { "/book/l\xe1\xbb\x8b"
                                     "ch",
              "/book/slots?name=ch\xe1\xbb\xa5p" }
        : std::vector<std::string> { "/book/l%E1%BB%8Bch", "/book/slots?name=ch%E1%BB%A5p" };
    int changed = 0;
    int unchanged = 0;
    int refused = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto channel = gateway.connect();
        if (!channel)
            finish(couldNotRun);
        const std::string id = "a" + std::to_string(i);
        const std::size_t runsBefore = worker.runs().size();
        call(record, *channel, id, makeRequest("POST", targets[i], id, {}, "slot=4"));
        const std::vector<Worker::Run> runs = worker.runs();
        if (runs.size() == runsBefore) {
            ++refused;
            continue;
        }
        const std::string seen = runs.back().request.secondWord();
        const bool isChanged = seen != targets[i];
        record.add(id + (isChanged ? ": changed: " : ": as sent: ") + "sent " + targets[i] + ", run " + seen);
        ++(isChanged ? changed : unchanged);
    }
    record.add("runs with a changed path or query: " + std::to_string(changed)
        + ", unchanged: " + std::to_string(unchanged) + ", not run: " + std::to_string(refused));
    finish(changed > 0 ? ruleBroken : ruleHeld);
}
