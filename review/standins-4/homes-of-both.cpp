// A new version of the manifest gives a tenant a home that is none of a route's homes.
#include "lab.h"

using namespace Lab;

namespace {

std::string makeTenants(const std::string& home)
{
    return R"({"name":"studio","api_keys":["k1"],"allowed_regions":[")" + home + R"("]})";
}

} // namespace

int main(int, char** argv)
{
    Record record(argv[1]);
    Store store;
    Worker north(record, "i-1a000001", "hcmc-a");
    Worker south(record, "i-2b000002", "sgn-a");
    const std::vector<std::string> routes { makeRoute("book", "unsafe", R"(,"allowed_regions":["hcmc"])") };
    store.put("keyed.op", "config", makeManifest(1, routes, makeTenants("hcmc")));
    store.put("keyed.servers", north.name(), north.entry(1));
    store.put("keyed.servers", south.name(), south.entry(1));
    const Gateway gateway(record, store, Machine { .zones = R"({"hcmc-a":"hcmc","sgn-a":"sgn"})" });
    if (!gateway.waitUntilReady())
        finish(couldNotRun);
    const auto send = [&](int i) {
        const auto channel = gateway.connect();
        const std::string id = "a" + std::to_string(i);
        if (channel)
            call(record, *channel, id, makeRequest("POST", "/book/slot", id, "Authorization: Token k1\r\n", "slot=4"));
    };
    send(0);
    if (north.runs().size() != 1)
        finish(couldNotRun);
    const std::string newHome = hasTrouble() ? "sgn" : "hcmc";
    store.put("keyed.op", "config", makeManifest(2, routes, makeTenants(newHome)));
    record.add("the store acknowledges version 2: homes of the route: hcmc; homes of the tenant: " + newHome);
    // The new version has to be in force after 2 s.
    std::this_thread::sleep_for(4s);
    const std::size_t northBefore = north.runs().size();
    const std::size_t southBefore = south.runs().size();
    for (int i = 1; i <= 10; ++i)
        send(i);
    const std::size_t inNorth = north.runs().size() - northBefore;
    const std::size_t inSouth = south.runs().size() - southBefore;
    record.add(
        "runs after the change: " + std::to_string(inNorth) + " in hcmc, " + std::to_string(inSouth) + " in sgn");
    // Of the route's homes and the tenant's, no region is in both.
    const std::size_t outside = hasTrouble() ? inNorth + inSouth : inSouth;
    finish(outside > 0 ? ruleBroken : ruleHeld);
}
