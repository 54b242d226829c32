#include "platform/nodesettings.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace PlatformAdapter;
using namespace std::chrono_literals;

namespace {

nlohmann::json testFields()
{
    return nlohmann::json::parse(R"({
        "node_name": "edge-a-1", "ip": "10.1.0.40", "zone": "a", "region": "r", "zones": {"a": "r", "b": "s"},
        "listen": {"front": "10.1.0.40:8227", "readiness": "10.1.0.40:8220", "control": "10.1.0.40:8229"},
        "seeds": ["10.1.0.40:8229"], "heartbeat_ms": 1200, "limits": {"cpu_share": 0.09, "cores": 2, "memory_mb": 260, "max_fds": 4100}, "something_new": {"x": [1]},
        "bounds": {"grace_s": 8, "revoke_ms": 5000, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
                   "retry_budget_slack": 102, "budget_window_s": 10, "cold_overrun": 1.5, "cold_slack": 5},
        "platform": {"address": "10.200.1.7:8223"}
    })");
}

} // namespace

TEST_GROUP(NodeSettingsTest) {};

TEST(NodeSettingsTest, decodesTheSettingsOfThePlatform)
{
    const auto settings = decodeNodeSettings(testFields());
    CHECK_TRUE(settings.has_value());
    STRCMP_EQUAL("edge-a-1", settings.value().name.c_str());
    STRCMP_EQUAL("10.1.0.40:8227", settings.value().callerEndpoint.text().c_str());
    LONGS_EQUAL(8229, settings.value().peerEndpoint.port);
    STRCMP_EQUAL("s", settings.value().regionByFailureDomain.at("b").c_str());
    CHECK_TRUE(settings.value().keyRevocationLimit == 5s);
    CHECK_TRUE(settings.value().shutdownGrace == 8s);
    UNSIGNED_LONGS_EQUAL(260'000'000, settings.value().memoryBytes);
    UNSIGNED_LONGS_EQUAL(4'100, settings.value().maximumDescriptors);
    UNSIGNED_LONGS_EQUAL(3'900, settings.value().maximumSockets);
    DOUBLES_EQUAL(0.18, settings.value().processorCores, 1e-9);
    DOUBLES_EQUAL(102, settings.value().retryAllowance, 1e-9);
}

TEST(NodeSettingsTest, namesMissingFields)
{
    auto fields = testFields();
    fields["listen"].erase("front");
    fields["platform"] = "nowhere";
    const auto settings = decodeNodeSettings(fields);
    CHECK_FALSE(settings.has_value());
    STRCMP_CONTAINS("listen.front", settings.error().message.c_str());
    STRCMP_CONTAINS("platform.address", settings.error().message.c_str());
}
