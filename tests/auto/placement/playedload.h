#pragma once

#include "enginefleet.h"

#include <placement/loadledger.h>
#include <placement/promptqueue.h>

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <string>

/** A kind of prompt in a played load. */
struct PlayedKind {
    double ratePerSecond = 0;
    double meanTokens = 0;
    double logSigma = 0;
    double maximumTokens = 0;
    int events = 1;
    Foundation::Duration firstEventTarget {};
    Foundation::Duration eventGapTarget {};
    Foundation::Duration timeout {};
    int priority = 0;
    /** What an answer within its targets, and a later one, is worth. */
    double value = 1;
    double lateValue = 0;
    /** The arrival rate, as a multiple of the mean, in the first ten seconds of each twenty and in the others. */
    double firstPhaseFactor = 1;
    double secondPhaseFactor = 1;
};

/** A load on a fleet of engines. */
struct PlayedLoad {
    std::vector<PlayedKind> kinds;
    std::size_t engines = 1;
    int slots = 12;
    std::size_t gateways = 8;
    Foundation::Duration length {};
    unsigned seed = 1;
    /** The share of the requests that come from account 0; the other accounts share the rest evenly. */
    double largestAccountShare = 0.3;
    int accounts = 24;
};

/** What the callers of one kind, one account or all of them got. */
struct PlayedResult {
    int requests = 0;
    int answered = 0;
    int inTime = 0;
    int refusals = 0;
    double value = 0;
    double possibleValue = 0;
    /** The summed time that refused prompts were held. */
    Foundation::Duration heldBeforeRefusal {};

    double worth() const { return this->value / this->possibleValue; }
    double answeredShare() const { return static_cast<double>(this->answered) / std::max(1, this->requests); }
    double inTimeShare() const { return static_cast<double>(this->inTime) / std::max(1, this->requests); }
    Foundation::Duration meanHold() const { return this->heldBeforeRefusal / std::max(1, this->refusals); }
};

/**
 * Plays callers against the queues and planners of several gateways, with simulated engines and without a network.
 * Callers retry once, at another gateway, after the time that they are told or a third of the time that they have left,
 * whichever is shorter.
 */
class LoadPlayer {
public:
    LoadPlayer(const PlayedLoad& load, const Placement::EngineModel& model, bool hasContentionPolicy);
    ~LoadPlayer();

    /** Plays the load; the figures of all kinds are the first of the result, followed by those of each kind. */
    std::vector<PlayedResult> play();

    /** Returns the figures of the accounts, after play(). */
    std::vector<PlayedResult> byAccount() const;
    /** Returns the figures of the tenth of a kind with the most tokens, after play(). */
    PlayedResult largestTenth(std::size_t kind) const;
    /** Returns the largest number of retries that arrived within a window, after play(). */
    std::size_t mostRetriesWithin(Foundation::Duration window) const;

private:
    struct Gateway;
    struct Caller {
        std::size_t kind = 0;
        int account = 0;
        Foundation::TimePoint arrived {};
        Foundation::TimePoint attemptArrived {};
        std::size_t gateway = 0;
        int attempts = 0;
        int refusals = 0;
        Foundation::Duration held {};
        Placement::DispatchedRequestId request = 0;
    };

    struct LoadUpdate {
        Foundation::TimePoint due {};
        std::size_t sender = 0;
        std::vector<Placement::UpstreamUsage> usages;
    };

    void generateArrivals();
    void enqueue(std::size_t index, Foundation::TimePoint now);
    void exchangeLoad(Foundation::TimePoint now);
    void recordProgress(const EngineFleet::Progress& progress);
    void schedule(Gateway& gateway, Foundation::TimePoint now);
    std::vector<Placement::EngineCandidate> candidates(const Gateway& gateway);
    void start(
        Gateway& gateway, std::size_t index, const Placement::PromptPlacement& placement, Foundation::TimePoint now);
    void refuse(std::size_t index, Foundation::Duration retryAfter, Foundation::TimePoint now);
    void count(PlayedResult& result, std::size_t index) const;

    PlayedLoad load;
    const Placement::EngineModel& model;
    Foundation::ManualClock clock;
    EngineFleet fleet;
    bool hasContentionPolicy;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<SimulatedPrompt> prompts;
    std::vector<Caller> callers;
    std::multimap<Foundation::TimePoint, std::size_t> arrivals;
    std::vector<Foundation::TimePoint> retries;
    std::deque<LoadUpdate> updates;
    std::vector<std::string> engineNames;
    std::mt19937 generator;
};

/** Returns a load like that of the deployment where callers compete for insufficient capacity. */
PlayedLoad contendedLoad(std::size_t engines, unsigned seed);
/** Returns a load like that of the deployment with uneven demand. */
PlayedLoad unevenLoad(std::size_t engines, unsigned seed);
/** Returns the engine models of these deployments. */
Placement::EngineModel contendedEngineModel();
Placement::EngineModel unevenEngineModel();
