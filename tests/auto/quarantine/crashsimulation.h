#pragma once

#include <quarantine/promptpartregistry.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/**
 * Plays requests through several gateways to upstreams, some of which crash, in simulated time. Each gateway has a
 * registry of its own and learns of the crashes and completions at the others after a delay.
 */
class CrashSimulation {
public:
    struct Settings {
        std::uint32_t seed = 0;
        /** The number of parts that crash each upstream. */
        int causeCount = 1;
        /** Requests per second with each such part. */
        int causeRate = 5;
        /** Requests per second without one. */
        int soundRate = 30;
        /** Whether crashes show only when the generation ends. */
        bool isSilent = false;
        /** The mean time between crashes without a cause in a request; 0 for none. */
        Foundation::Duration unrelatedCrashInterval {};
        /** The time between losses of a third of the upstreams; 0 for none. */
        Foundation::Duration domainLossInterval {};
        /** The time for which sound requests are served before the first one that crashes an upstream. */
        Foundation::Duration warmUp = std::chrono::seconds(5);
        /** The time between restarts of all gateways, which then know what is stored only; 0 for none. */
        Foundation::Duration restartInterval {};
    };

    explicit CrashSimulation(const Settings& settings);

    void run(Foundation::Duration length);

    /** Returns the most runs with one cause that were sent later than the stability window after its fifth crash. */
    int lateRuns() const;
    int refusedSoundRequests() const { return this->refused; }
    int soundRequests() const { return this->sound; }
    int crashCount() const { return this->crashed; }

private:
    struct Request {
        std::vector<Quarantine::PromptPart> parts;
        /** 0 for a sound request. */
        Quarantine::PromptPart cause = 0;
        std::size_t gateway = 0;
        int attempts = 0;
    };

    struct Attempt {
        Request request;
        Foundation::TimePoint sentAt {};
        bool hasEnded = false;
    };

    struct Upstream {
        int generation = 1;
        bool isUp = true;
        std::vector<std::shared_ptr<Attempt>> attempts;
    };

    void after(Foundation::Duration delay, std::function<void()> action);
    Foundation::Duration between(Foundation::Duration minimum, Foundation::Duration maximum);
    Quarantine::PromptPart pick(int kind, int count);
    void arrive(Quarantine::PromptPart cause);
    void send(Request request);
    void complete(std::size_t upstream, const std::shared_ptr<Attempt>& attempt);
    void crash(std::size_t upstream);
    void lose(const std::string& generation, const std::shared_ptr<Attempt>& attempt);
    void confirm(const std::string& generation);
    void restartGateways();
    void repeat(Foundation::Duration interval, std::function<void()> action);

    Settings settings;
    std::mt19937 random;
    Foundation::ManualClock clock;
    std::vector<Quarantine::PromptPartRegistry> registries;
    std::vector<Upstream> upstreams;
    std::multimap<Foundation::TimePoint, std::function<void()>> actions;
    std::map<Quarantine::PromptPart, std::vector<Foundation::TimePoint>> crashesByCause;
    std::map<Quarantine::PromptPart, std::vector<Foundation::TimePoint>> runsByCause;
    int refused = 0;
    int sound = 0;
    int crashed = 0;
};
