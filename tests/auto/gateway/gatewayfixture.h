#pragma once

#include "../unusedport.h"
#include "gatewaycore.h"
#include "listenfailure.h"
#include "standinanswer.h"
#include "standinstore.h"
#include "standinupstream.h"

#include <CppUTest/TestHarness.h>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace GatewayTests {

using namespace Gateway;
using namespace std::chrono_literals;

inline std::string makeDocument(int version, const std::vector<std::string>& keys)
{
    const nlohmann::json document = { { "version", version },
        { "routes",
            { { { "name", "safe" }, { "host", "h" }, { "path_prefix", "/safe/" }, { "type", "safe" },
                  { "timeout_ms", 900 }, { "goal_ms", 100 }, { "service", "app" }, { "max_attempts", 2 } },
                { { "name", "slow" }, { "host", "h" }, { "path_prefix", "/slow/" }, { "type", "safe" },
                    { "timeout_ms", 1900 }, { "goal_ms", 850 }, { "service", "app" }, { "max_attempts", 2 } },
                { { "name", "patient" }, { "host", "h" }, { "path_prefix", "/patient/" }, { "type", "safe" },
                    { "timeout_ms", 2000 }, { "goal_ms", 100 }, { "service", "app" }, { "max_attempts", 2 } },
                { { "name", "long" }, { "host", "h" }, { "path_prefix", "/long/" }, { "type", "safe" },
                    { "timeout_ms", 4500 }, { "goal_ms", 100 }, { "service", "app" }, { "max_attempts", 2 } },
                { { "name", "thrice" }, { "host", "h" }, { "path_prefix", "/thrice/" }, { "type", "safe" },
                    { "timeout_ms", 2000 }, { "goal_ms", 100 }, { "service", "app" }, { "max_attempts", 3 } },
                { { "name", "unsafe" }, { "host", "h" }, { "path_prefix", "/unsafe/" }, { "type", "unsafe" },
                    { "timeout_ms", 900 }, { "goal_ms", 100 }, { "service", "app" }, { "max_attempts", 1 } },
                { { "name", "stream" }, { "host", "h" }, { "path_prefix", "/stream/" }, { "type", "streaming" },
                    { "timeout_ms", 2000 }, { "goal_ms", 300 }, { "gap_target_ms", 250 }, { "service", "llm" },
                    { "max_attempts", 2 }, { "resumable", true } },
                { { "name", "lasting" }, { "host", "h" }, { "path_prefix", "/lasting/" }, { "type", "streaming" },
                    { "timeout_ms", 5000 }, { "goal_ms", 300 }, { "gap_target_ms", 250 }, { "service", "llm" },
                    { "max_attempts", 2 }, { "resumable", true } } } },
        { "services",
            { { { "name", "app" } },
                { { "name", "llm" },
                    { "engine",
                        { { "slots", 4 }, { "kv_capacity", 405000 }, { "stride", 34 }, { "step_ms", 1.31 },
                            { "read_per_s", 154000 }, { "pairs_per_m", 0.162 }, { "chunk", 2048 } } } } } },
        { "tenants", { { { "name", "tenant" }, { "api_keys", keys } } } } };
    return document.dump();
}

inline GatewaySettings makeSettings(std::uint16_t storePort)
{
    GatewaySettings settings;
    settings.node.name = "gateway-1";
    settings.node.failureDomain = "a";
    settings.node.peerEndpoint = { "127.0.0.1", unusedPort() };
    settings.node.storeAddress = "127.0.0.1:" + std::to_string(storePort);
    settings.node.shutdownGrace = 8s;
    settings.node.keyRevocationLimit = 2s;
    settings.node.policyApplyLimit = 2s;
    settings.node.retryRatio = 0.2;
    settings.node.retryAllowance = 20;
    settings.node.retryWindow = 10s;
    return settings;
}

struct Answer {
    Platform::HttpCallResult result;
    std::string body;
    bool isFinished = false;

    std::string header(std::string_view name) const
    {
        for (const auto& field : this->result.headers) {
            if (field.name == name)
                return field.value;
        }
        return {};
    }
};

/** A gateway with a stand-in store and two stand-in upstreams, and callers that send requests to it. */
struct GatewayFixture : Utest {
    asio::io_context context { 1 };
    std::uint16_t storePort = unusedPort();
    std::uint16_t gatewayPort = unusedPort();
    StandinStore store { this->context, this->storePort };
    StandinUpstream upstreamOne { this->context, "one", unusedPort() };
    StandinUpstream upstreamTwo { this->context, "two", unusedPort() };
    GatewaySettings settings = makeSettings(this->storePort);
    GatewayCore core { this->context, this->settings };
    Web::HttpServer callerServer { this->context, { "127.0.0.1", this->gatewayPort, 1 << 20 },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->core.serve(exchange); } };
    Platform::HttpTransfers callerTransfers { this->context };
    /** The operator's document at the start. */
    std::string document = makeDocument(1, { "key" });
    int lastRequestNumber = 0;
    int promptTokens = 1'000;
    /** How long the callers wait. */
    std::chrono::milliseconds callerTimeout { 2'000 };
    /** The prompt parts of the calls; none if empty. */
    std::string promptParts;

    void setup() override
    {
        this->store.start();
        this->upstreamOne.start();
        this->upstreamTwo.start();
        this->callerServer.start(throwListenFailure(this->context));
    }

    void startGateway(const std::string& service)
    {
        this->store.put("keyed.op", "config", this->document);
        this->store.put("keyed.servers", "one", this->upstreamOne.entry(service));
        this->store.put("keyed.servers", "two", this->upstreamTwo.entry(service));
        CHECK_TRUE(this->core.start().has_value());
        CHECK_TRUE(this->runUntil([this] { return this->core.isReady(); }));
        // The topics are read separately, and the upstreams may be read last, after the gateway is ready.
        this->runFor(100ms);
    }

    template <typename Condition> bool runUntil(Condition condition, Foundation::Duration limit = 5s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(5ms);
        return condition();
    }

    void runFor(Foundation::Duration length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end)
            this->context.run_one_for(5ms);
    }

    Platform::CallId send(const std::string& path, const std::shared_ptr<Answer>& answer,
        const std::string& method = "GET", const std::string& key = "key")
    {
        Platform::HttpCall call;
        call.method = method;
        call.url = "http://127.0.0.1:" + std::to_string(this->gatewayPort) + path;
        call.headers = { "Host: h", "X-Attempt-Id: r" + std::to_string(++this->lastRequestNumber),
            "X-Deadline-Ms: " + std::to_string(this->callerTimeout.count()), "Authorization: Token " + key,
            "X-Token-Usage: " + std::to_string(this->promptTokens) + ",50" };
        if (!this->promptParts.empty())
            call.headers.push_back("X-Prefix-Hash: " + this->promptParts);
        call.body = method == "POST" ? "body" : "";
        call.connectionUse = Platform::ConnectionUse::Dedicated;
        return this->callerTransfers.stream(std::move(call),
            { [](const Platform::HttpAnswerHead&) {}, [answer](const std::string& data) { answer->body += data; },
                [answer](Platform::HttpCallResult result) {
                    answer->result = std::move(result);
                    answer->isFinished = true;
                } });
    }

    Answer call(const std::string& path, const std::string& method = "GET", const std::string& key = "key")
    {
        const auto answer = std::make_shared<Answer>();
        this->send(path, answer, method, key);
        CHECK_TRUE(this->runUntil([&] { return answer->isFinished; }));
        return *answer;
    }

    /** Sends a stream whose first upstream goes on, as given, while the second one still works on the request. */
    Answer callStreamAtTwoUpstreams(UpstreamBehaviour first, UpstreamBehaviour second)
    {
        this->upstreamOne.behaviour = this->upstreamTwo.behaviour = first;
        const auto answer = std::make_shared<Answer>();
        this->send("/stream/x", answer, "POST");
        CHECK_TRUE(this->runUntil([this] { return this->startedRequestCount() == 1; }));
        StandinUpstream& other = this->upstreamOne.startedRequests.empty() ? this->upstreamOne : this->upstreamTwo;
        other.behaviour = second;
        other.silence = 600ms;
        CHECK_TRUE(this->runUntil([&] { return answer->isFinished; }));
        return *answer;
    }

    /** Returns an upstream that has not begun to run a request. */
    StandinUpstream& otherUpstream()
    {
        return this->upstreamOne.startedRequests.empty() ? this->upstreamOne : this->upstreamTwo;
    }

    int abandonedCallCount() const { return this->upstreamOne.abandonedCalls + this->upstreamTwo.abandonedCalls; }

    bool isLateRequestCounted(const std::string& awaited)
    {
        return this->core.renderMetrics().find("bluebell_late_requests_total{waits_for=\"" + awaited + "\"}")
            != std::string::npos;
    }

    std::size_t startedRequestCount() const
    {
        return this->upstreamOne.startedRequests.size() + this->upstreamTwo.startedRequests.size();
    }
};

} // namespace GatewayTests
