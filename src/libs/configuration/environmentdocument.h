#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/** A client account and its limits. */
struct AccountDefinition {
    std::string name;
    /** The SHA-256 digest of the account's API key, in hexadecimal digits. */
    std::string keySha256;
    /** The weight of the account under fair queueing. */
    double weight = 1;
    std::int64_t maximumConcurrent = 0;
    std::int64_t tokensPerSecond = 0;
};

/** A model and the upstreams that serve it. */
struct ModelDefinition {
    std::string name;
    std::vector<std::string> upstreams;
    /** The ratio for estimating prompt lengths until the actual ratio was measured. */
    double bytesPerToken = 0;
    std::string version;
    std::vector<std::string> adapters;
};

/** A plain HTTP service and the upstream that serves it. */
struct ServiceDefinition {
    std::string name;
    std::string upstream;
    /** Calls such as "POST /quote" that are repeatable despite their method. */
    std::vector<std::string> repeatableCalls;
    /** Calls such as "GET /confirm" that are not repeatable despite their method. */
    std::vector<std::string> nonRepeatableCalls;
};

enum class UpstreamKind : std::uint8_t {
    Engine,
    Service,
};

/** The limits of an upstream after a cold start; they rise gradually to its regular limits. */
struct RampDefinition {
    std::int64_t initialConcurrent = 0;
    std::int64_t initialPrefillTokensPerSecond = 0;
    /** The slowdown factor above which an upstream counts as cold. */
    double coldFactor = 0;
};

/** The capacity and the limits of each instance of an upstream. */
struct UpstreamDefinition {
    std::string name;
    UpstreamKind kind = UpstreamKind::Engine;
    std::int64_t memoryTokens = 0;
    std::int64_t maximumConcurrent = 0;
    std::int64_t prefillTokensPerSecond = 0;
    std::int64_t decodeMicrosecondsPerToken = 0;
    /** The maximum number of queued requests. */
    std::int64_t queueCeiling = 0;
    /** The maximum number of long prompts that are prefilled at the same time. */
    std::int64_t maximumLongPrefills = 0;
    bool transfersCache = false;
    RampDefinition ramp;
};

/** The order in which queued requests are dispatched. */
enum class QueuePolicy : std::uint8_t {
    Fair,
    FirstInFirstOut,
};

/** How an instance of an upstream is chosen for a request. */
enum class ChoicePolicy : std::uint8_t {
    PredictedLatency,
    RoundRobin,
};

/** Limits of an environment that are independent of accounts and upstreams. */
struct LimitsDefinition {
    std::int64_t defaultTimeoutMs = 0;
    std::int64_t maximumTimeoutMs = 0;
    /** The time for which an idempotency key stays claimed. */
    std::int64_t keyWindowSeconds = 0;
    std::int64_t maximumBodyBytes = 0;
    /** The number of retries that each request adds to the retry budget of its account. */
    double retryShare = 0;
    /** The greatest length of a short prompt. */
    std::int64_t shortPromptTokens = 0;
    /** The greatest length of a medium prompt; longer ones count as long. */
    std::int64_t longPromptTokens = 0;
    /** The maximum number of agents of each upstream to which an entry connects. */
    std::int64_t subsetSize = 0;
};

/** The queueing and routing policies of an environment. */
struct PolicyDefinition {
    QueuePolicy queue = QueuePolicy::Fair;
    ChoicePolicy choice = ChoicePolicy::PredictedLatency;
    /** Whether long prompts are concentrated on few instances instead of spread over all. */
    bool packsLongPrompts = true;
};

/** The definitions of one environment, such as a test or production environment. */
struct EnvironmentDocument {
    std::string environment;
    /** Sorted by key digest. */
    std::vector<AccountDefinition> accounts;
    std::vector<ModelDefinition> models;
    std::vector<ServiceDefinition> services;
    std::vector<UpstreamDefinition> upstreams;
    LimitsDefinition limits;
    PolicyDefinition policies;

    const AccountDefinition* findAccountByKey(std::string_view keySha256) const;
    const AccountDefinition* findAccount(std::string_view name) const;
    const ModelDefinition* findModel(std::string_view name) const;
    const ServiceDefinition* findService(std::string_view name) const;
    const UpstreamDefinition* findUpstream(std::string_view name) const;
};

/** Whether a call may be executed more than once. */
enum class Repeatability : std::uint8_t {
    Repeatable,
    NonRepeatable,
};

/**
 * Returns whether a call of a service is repeatable. POST, PUT, PATCH and DELETE are not, and all other methods are,
 * unless the service lists the call as an exception.
 * @param method the HTTP method in capitals.
 * @param path the path after the service's prefix, with a leading slash.
 */
Repeatability repeatabilityFor(const ServiceDefinition& service, std::string_view method, std::string_view path);

} // namespace Configuration
