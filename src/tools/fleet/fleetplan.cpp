#include "fleetplan.h"

#include <foundation/sha256.h>

namespace Fleet {

namespace {

std::string accountsJson(const FleetPlan& plan)
{
    if (!plan.accounts.empty())
        return plan.accounts;
    const auto account = [](const std::string& name, const std::string& key) {
        return R"({ "name": ")" + name + R"(", "keySha256": ")" + Foundation::sha256Hex(key)
            + R"(", "weight": 1, "maximumConcurrent": 4000 })";
    };
    return account("studio", callerKey) + ",\n        " + account("agency", otherCallerKey);
}

std::string upstreamsJson(const FleetPlan& plan)
{
    std::string text;
    for (const UpstreamGroup& group : plan.upstreams) {
        const std::string kind = group.role == "engine" ? "engine" : "service";
        text += (text.empty() ? "" : ",\n        ") + std::string(R"({ "name": ")") + group.name + R"(", "kind": ")"
            + kind + "\"" + (group.definition.empty() ? "" : ", " + group.definition) + " }";
    }
    return text;
}

std::string quotedUpstreamNames(const FleetPlan& plan, const std::string& role)
{
    std::string text;
    for (const UpstreamGroup& group : plan.upstreams) {
        if (group.role == role)
            text += (text.empty() ? "\"" : ", \"") + group.name + "\"";
    }
    return text;
}

} // namespace

FleetPlan studioPlan()
{
    FleetPlan plan;
    plan.domains = { "hcmc-a", "hcmc-b", "hcmc-c" };
    plan.entries = 2;
    UpstreamGroup engines;
    engines.name = "muse";
    engines.role = "engine";
    engines.count = 4;
    engines.standinFlags = { "--prefill_tokens_per_second=200000", "--decode_microseconds_per_token=2000",
        "--memory_tokens=400000", "--chunk_tokens=2048", "--cold_limit=2", "--warm_limit=64" };
    engines.definition = R"("memoryTokens": 400000, "maximumConcurrent": 64, "prefillTokensPerSecond": 200000,
          "decodeMicrosecondsPerToken": 2000, "ramp": { "initialConcurrent": 2, "initialPrefillTokensPerSecond": 20000 })";
    UpstreamGroup booking;
    booking.name = "booking";
    booking.role = "booking";
    booking.definition = R"("maximumConcurrent": 64, "ramp": { "initialConcurrent": 16 })";
    plan.upstreams = { engines, booking };
    return plan;
}

std::string makeEnvironmentDocument(const FleetPlan& plan)
{
    const std::string engines = quotedUpstreamNames(plan, "engine");
    const std::string services = quotedUpstreamNames(plan, "booking");
    std::string document = "{\n    // Generated for a fleet on one machine.\n    \"environment\": \"" + plan.environment
        + "\",\n    \"accounts\": [\n        " + accountsJson(plan) + "\n    ],\n    \"upstreams\": [\n        "
        + upstreamsJson(plan) + "\n    ],\n";
    if (!engines.empty()) {
        document
            += R"(    "models": [ { "name": "muse-llm", "upstreams": [ )" + engines + " ], \"bytesPerToken\": 4 } ],\n";
    }
    if (!services.empty()) {
        document += R"(    "services": [ { "name": "booking-app", "upstream": )" + services
            + ", \"repeatable\": [ \"POST /quote\" ] } ],\n";
    }
    document += "    \"limits\": { " + plan.limits + " },\n    \"policies\": { " + plan.policies + " }\n}\n";
    return document;
}

} // namespace Fleet
