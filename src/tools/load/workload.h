#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Load {

enum class WorkKind : std::uint8_t {
    Prompt,
    /** A GET call of a service. */
    Browse,
    /** A POST call of a service with an idempotency key; the service must run it only once. */
    Booking,
};

/** A class of requests in a mix. */
struct WorkClass {
    std::string name;
    WorkKind kind = WorkKind::Prompt;
    /** The weight of the class in the mix, relative to the other classes. */
    double share = 0;
    /** The range of prompt lengths. */
    std::int64_t minimumTokens = 0;
    std::int64_t maximumTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t timeoutMs = 0;
};

/** A client account that sends part of the requests. */
struct LoadAccount {
    std::string name;
    std::string key;
    /** The weight of the account, relative to the other accounts. */
    double share = 1;
};

/** Describes the requests to send and their rate. */
struct Workload {
    std::vector<WorkClass> classes;
    std::vector<LoadAccount> accounts;
    std::string model;
    std::string service;
    double requestsPerSecond = 0;
    double seconds = 0;
    /** The fraction of requests that the caller cancels a short time after sending them. */
    double abandonShare = 0;
    std::uint64_t seed = 1;
};

/** A request with the time at which it is to be sent. */
struct PlannedRequest {
    /** The time from the start of the run. */
    std::int64_t sendAtUs = 0;
    std::size_t workClass = 0;
    std::size_t account = 0;
    std::string id;
    std::string path;
    std::string body;
    std::int64_t outputTokens = 0;
    std::int64_t timeoutMs = 0;
    /** The time from sending until the caller cancels the request; 0 if it does not. */
    std::int64_t abandonAfterMs = 0;
    WorkKind kind = WorkKind::Prompt;
};

/**
 * Plans all requests of a workload and returns them in the order of their send times, which are exponentially
 * distributed intervals apart. The same seed gives the same plan.
 */
std::vector<PlannedRequest> planRequests(const Workload& workload);

/**
 * Returns the classes of a named mix; empty if there is no such mix.
 * @param name captions, mixed, studio or booking.
 */
std::vector<WorkClass> namedMix(std::string_view name);

/**
 * Returns the JSON body of a prompt.
 * @param id text that makes the prompt unique.
 * @param tokens the length of the whole body in tokens of four bytes.
 * @param outputTokens the number of tokens to generate.
 */
std::string promptBody(std::string_view model, std::string_view id, std::int64_t tokens, std::int64_t outputTokens);

} // namespace Load
