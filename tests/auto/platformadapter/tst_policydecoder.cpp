#include "platform/policydecoder.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace PlatformAdapter;
using namespace std::chrono_literals;

namespace {

constexpr const char* testDocument = R"({
    "version": 7,
    "routes": [
        {"name": "r1", "host": "h.example", "path_prefix": "/a/", "type": "streaming", "timeout_ms": 10000,
         "goal_ms": 300, "priority": 1, "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
         "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250},
        {"name": "r2", "host": "h.example", "path_prefix": "/b/", "type": "safe", "timeout_ms": 800, "service": "y"},
        {"name": "r3", "host": "h.example", "path_prefix": "/c/", "type": "no such kind", "service": "y"},
        {"name": "nowhere", "host": "h.example", "path_prefix": "/d/", "type": "safe"}
    ],
    "services": [
        {"name": "x", "max_conns": 424, "cold_start_s": 3.0, "cold_per_s": 36.0,
         "engine": {"slots": 16, "kv_capacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917,
                    "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048}},
        {"name": "y", "max_conns": "many"}
    ],
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}, {"api_keys": 5}]
})";

} // namespace

TEST_GROUP(PolicyDecoderTest) {};

TEST(PolicyDecoderTest, decodesRoutesServicesAndAccounts)
{
    const auto policy = decodePolicy(testDocument).value();
    LONGS_EQUAL(7, policy->version());
    const Policy::Route* const stream = policy->findRoute("h.example", "/a/x");
    CHECK_TRUE(stream->kind == Policy::RequestKind::Stream);
    CHECK_TRUE(stream->isRepeatable());
    CHECK_TRUE(stream->eventGapTarget == 250ms);
    CHECK_TRUE(stream->timeout == 10s);
    LONGS_EQUAL(2, stream->maximumRuns);
    UNSIGNED_LONGS_EQUAL(2, stream->targets.size());
    STRCMP_EQUAL("t", policy->findAccount("k2")->name.c_str());
    POINTERS_EQUAL(nullptr, policy->findAccount("k3"));
    DOUBLES_EQUAL(154, policy->findService("x")->engine->prefillTokensPerMs, 1e-9);
    LONGS_EQUAL(34, policy->findService("x")->engine->stepsPerCycle);
    CHECK_FALSE(policy->findService("y")->engine.has_value());
    CHECK_TRUE(policy->hasAccounts());
}

TEST(PolicyDecoderTest, limitsThatAreMissingOrNotPositiveAreNotInForce)
{
    const auto policy
        = decodePolicy(R"({"limits": {"max_header_bytes": 16384, "max_body_bytes": 0, "idle_timeout_ms": 15000}})");
    const Policy::CallerLimits& limits = policy.value()->callerLimits();
    UNSIGNED_LONGS_EQUAL(16'384, limits.maximumHeaderBytes.value());
    CHECK_TRUE(limits.idleTimeout == std::chrono::seconds(15));
    CHECK_FALSE(limits.maximumBodyBytes.has_value());
    CHECK_FALSE(limits.headerTimeout.has_value());
}

TEST(PolicyDecoderTest, routesOfUnknownTypeAreNotRepeatable)
{
    const auto policy = decodePolicy(testDocument).value();
    CHECK_TRUE(policy->findRoute("h.example", "/b/")->isRepeatable());
    CHECK_FALSE(policy->findRoute("h.example", "/c/")->isRepeatable());
    LONGS_EQUAL(1, policy->findRoute("h.example", "/c/")->maximumRuns);
}

TEST(PolicyDecoderTest, dropsRoutesWithoutAService)
{
    POINTERS_EQUAL(nullptr, decodePolicy(testDocument).value()->findRoute("h.example", "/d/"));
}

TEST(PolicyDecoderTest, rejectsTextThatIsNoJsonObject)
{
    CHECK_FALSE(decodePolicy("").has_value());
    CHECK_FALSE(decodePolicy("[1]").has_value());
    CHECK_FALSE(decodePolicy("{\"routes\":").has_value());
}

TEST(PolicyDecoderTest, decodesOrRejectsCorruptedDocuments)
{
    CHECK_TRUE(rc::check([] {
        std::string text = testDocument;
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
        for (const auto& [position, byte] : changes)
            text[position] = byte;
        const auto policy = decodePolicy(text);
        RC_ASSERT(!policy || policy.value() != nullptr);
    }));
}
