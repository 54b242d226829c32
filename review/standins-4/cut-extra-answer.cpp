// A worker sends the beginning of a second copy of an answer, late, where the next answer is due. That one is a 500.
#include "lab.h"

using namespace Lab;

namespace {

// Cut off before the header that names the request.
constexpr const char* beginningOfCopy = "HTTP/1.1 200 OK\r\nContent-Type: text/pl";

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    Worker worker(record, "i-1a000001", "hcmc-a", [&](Channel& channel, const Message& request, int number) {
        // The first answer on each connection is sound.
        if (number == 1)
            return false;
        worker.noteRun(request);
        const std::string id = request.header("x-attempt-id");
        if (hasTrouble()) {
            channel.send(beginningOfCopy);
            record.add(
                "worker i-1a000001 sends the beginning of a second copy of its first answer, before its answer to "
                + id);
        }
        channel.send(Worker::makeAnswer("500 Internal Server Error", request, "failed"));
        record.add("worker i-1a000001 answers 500 to " + id);
        return true;
    });
    store.put("keyed.op", "config", makeManifest(1, { makeRoute("read", "safe") }));
    store.put("keyed.servers", worker.name(), worker.entry(1));
    const Gateway gateway(record, store);
    if (!gateway.waitUntilReady())
        finish(couldNotRun);
    int falseSuccesses = 0;
    int failures = 0;
    for (int i = 0; i < 10; ++i) {
        const auto channel = gateway.connect();
        if (!channel)
            finish(couldNotRun);
        const std::string id = "a" + std::to_string(i);
        const std::size_t runsBefore = worker.runs().size();
        const auto answer = call(record, *channel, id, makeRequest("GET", "/read/slots", id));
        const std::vector<Worker::Run> runs = worker.runs();
        // A first request on a new connection is answered with 200.
        const bool hasFailed = runs.size() == runsBefore + 1 && answer && answer->body != "done";
        const bool isSuccess = answer && answer->secondWord() == "200";
        if (hasFailed && isSuccess)
            record.add("the client got a success with signature " + answer->header("x-response-signature")
                + " and body \"" + answer->body + "\" for " + id + ", which the worker answered with 500");
        falseSuccesses += hasFailed && isSuccess ? 1 : 0;
        failures += isSuccess ? 0 : 1;
        std::this_thread::sleep_for(200ms);
    }
    record.add("successes that were failures: " + std::to_string(falseSuccesses)
        + "; failures told as such: " + std::to_string(failures));
    if (falseSuccesses == 0 && failures == 0)
        finish(couldNotRun);
    finish(falseSuccesses > 0 ? ruleBroken : ruleHeld);
}
