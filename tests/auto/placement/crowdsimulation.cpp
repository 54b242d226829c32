#include "crowdsimulation.h"

#include <placement/staleloadchoice.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace {

constexpr int slots = 12;
constexpr double packedSlots = 9;
constexpr double warmUpMs = 3'000;
constexpr double crowdMs = 1'000;
constexpr double rateWindowMs = 300;
constexpr double goldenRatio = 0.6180339887498949;

enum class Change { Arrival, Reported, Ended, EndReported };

struct Occurrence {
    double at = 0;
    Change change = Change::Arrival;
    std::size_t gateway = 0;
    std::size_t engine = 0;
    bool hasWaited = false;

    bool operator>(const Occurrence& other) const { return this->at > other.at; }
};

class CrowdRun {
public:
    CrowdRun(const CrowdScenario& scenario, ChoiceMethod method, unsigned seed)
        : scenario(scenario)
        , method(method)
        , random(seed)
        , actual(scenario.engines)
        , reported(scenario.engines)
        , busyUntil(scenario.engines)
        , own(scenario.gateways, std::vector<int>(scenario.engines))
        , ownReported(own)
        , orders(scenario.gateways, std::vector<std::size_t>(scenario.engines))
        , seenBusyUntil(scenario.gateways, std::vector<double>(scenario.engines))
        , draws(scenario.gateways)
    {
        for (std::size_t g = 0; g < scenario.gateways; ++g) {
            std::iota(this->orders[g].begin(), this->orders[g].end(), 0);
            std::ranges::shuffle(this->orders[g], this->random);
            this->draws[g] = this->draw();
            this->shares.push_back(scenario.hasUnequalGateways && g % 5 == 0 ? 5 : 1);
        }
        const double sum = std::accumulate(this->shares.begin(), this->shares.end(), 0.0);
        for (double& share : this->shares)
            share /= sum;
    }

    void run(CrowdOutcome& outcome, std::vector<double>& waits)
    {
        for (std::size_t e = 0; e < this->scenario.loadedEngines; ++e) {
            this->actual[e] = this->scenario.initialRequests;
            this->reported[e] = this->scenario.initialRequests;
        }
        this->addArrivals();
        while (!this->occurrences.empty()) {
            const Occurrence next = this->occurrences.top();
            this->occurrences.pop();
            this->now = next.at;
            if (next.change == Change::Arrival)
                this->place(next, outcome, waits);
            else
                this->apply(next);
        }
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void addArrivals()
    {
        std::discrete_distribution<std::size_t> gateway(this->shares.begin(), this->shares.end());
        const auto steady = static_cast<int>(this->scenario.steadyPerSecond * (warmUpMs + crowdMs) / 1e3);
        for (int i = 0; i < steady; ++i)
            this->occurrences.push({ this->draw() * (warmUpMs + crowdMs), Change::Arrival, gateway(this->random) });
        for (int i = 0; i < this->scenario.crowdSize; ++i)
            this->occurrences.push({ warmUpMs + this->draw() * crowdMs, Change::Arrival, gateway(this->random) });
    }

    void apply(const Occurrence& occurrence)
    {
        const bool isEnd = occurrence.change == Change::Ended || occurrence.change == Change::EndReported;
        const int step = isEnd ? -1 : 1;
        if (occurrence.change == Change::Ended) {
            --this->actual[occurrence.engine];
            --this->own[occurrence.gateway][occurrence.engine];
            return;
        }
        this->reported[occurrence.engine] += step;
        this->ownReported[occurrence.gateway][occurrence.engine] += step;
        if (isEnd)
            return;
        this->reportTimes.push_back(this->now);
        for (std::size_t g = 0; g < this->scenario.gateways; ++g) {
            if (g != occurrence.gateway)
                this->addPrefill(this->seenBusyUntil[g][occurrence.engine]);
        }
    }

    void addPrefill(double& until) const { until = std::max(until, this->now) + this->scenario.prefillMs; }

    void place(const Occurrence& arrival, CrowdOutcome& outcome, std::vector<double>& waits)
    {
        const bool isCrowd = arrival.at >= warmUpMs;
        if (this->method == ChoiceMethod::WaitForUpdate && !arrival.hasWaited && this->scenario.updateAgeMs >= 0) {
            const double interval = std::max(1.0, this->scenario.updateAgeMs);
            this->occurrences.push({ (std::floor(arrival.at / interval) + 1) * interval, Change::Arrival,
                arrival.gateway, 0, /* hasWaited */ true });
            return;
        }
        const std::size_t engine = this->choose(arrival.gateway);
        const bool hasRoomElsewhere = std::ranges::any_of(this->actual, [](int count) { return count < slots; });
        if (isCrowd) {
            outcome.overfilledShare += this->actual[engine] >= slots && hasRoomElsewhere ? 1 : 0;
            waits.push_back(std::max(0.0, this->busyUntil[engine] - this->now));
        }
        ++this->actual[engine];
        ++this->own[arrival.gateway][engine];
        if (isCrowd)
            outcome.mostRequests = std::max(outcome.mostRequests, this->actual[engine]);
        this->addPrefill(this->busyUntil[engine]);
        this->addPrefill(this->seenBusyUntil[arrival.gateway][engine]);
        const double end = this->now + 1'400 + 600 * this->draw();
        this->occurrences.push({ end, Change::Ended, arrival.gateway, engine });
        if (this->scenario.updateAgeMs < 0)
            return;
        this->occurrences.push({ this->now + this->scenario.updateAgeMs, Change::Reported, arrival.gateway, engine });
        this->occurrences.push({ end + this->scenario.updateAgeMs, Change::EndReported, arrival.gateway, engine });
    }

    /** Returns the requests that a gateway knows to hold a slot of an engine. */
    int seen(std::size_t gateway, std::size_t engine) const
    {
        return this->reported[engine] - this->ownReported[gateway][engine] + this->own[gateway][engine];
    }

    /** Returns how many requests the other gateways are expected to have dispatched without a report. */
    double unreported(std::size_t gateway) const
    {
        const double share = this->shares[gateway];
        if (this->scenario.updateAgeMs < 0) {
            const auto& counts = this->own[gateway];
            return std::accumulate(counts.begin(), counts.end(), 1.0)
                * (static_cast<double>(this->scenario.gateways) - 1);
        }
        const auto first = std::ranges::lower_bound(this->reportTimes, this->now - rateWindowMs);
        const auto count = static_cast<double>(this->reportTimes.end() - first);
        return count / rateWindowMs * this->scenario.updateAgeMs * (1 - share);
    }

    std::size_t leastLoaded(const std::function<double(std::size_t)>& load)
    {
        std::size_t chosen = 0;
        double lowest = 0;
        for (std::size_t e = 0; e < this->scenario.engines; ++e) {
            const double cost = load(e) + 0.5 * this->draw();
            if (e == 0 || cost < lowest) {
                chosen = e;
                lowest = cost;
            }
        }
        return chosen;
    }

    std::size_t chooseFilling(std::size_t gateway, double position)
    {
        std::vector<double> levels;
        for (std::size_t e = 0; e < this->scenario.engines; ++e)
            levels.push_back(this->seen(gateway, e));
        const double amount = this->unreported(gateway) + 1;
        std::vector<double> sorted = levels;
        std::ranges::sort(sorted);
        double sum = 0;
        double water = 0;
        for (std::size_t count = 1; count <= sorted.size(); ++count) {
            sum += sorted[count - 1];
            water = (amount + sum) / static_cast<double>(count);
            if (count == sorted.size() || water <= sorted[count])
                break;
        }
        double left = position * amount;
        std::size_t last = 0;
        for (std::size_t e = 0; e < levels.size(); ++e) {
            if (levels[e] >= water)
                continue;
            last = e;
            left -= water - levels[e];
            if (left < 0)
                break;
        }
        return last;
    }

    std::size_t chooseAsProduct(std::size_t gateway)
    {
        std::vector<Placement::EngineLevel> levels;
        for (std::size_t e = 0; e < this->scenario.engines; ++e) {
            const double backlogMs = std::max(0.0, this->seenBusyUntil[gateway][e] - this->now);
            const double requests = this->seen(gateway, e);
            levels.push_back({ requests + backlogMs / this->scenario.prefillMs, std::max(0.0, slots - requests) });
        }
        this->draws[gateway] = std::fmod(this->draws[gateway] + goldenRatio, 1.0);
        const auto choice = Placement::chooseByStaleLoad(levels, this->unreported(gateway), this->draws[gateway]);
        return choice ? choice->index : 0;
    }

    std::size_t choose(std::size_t gateway)
    {
        const auto load = [&](std::size_t e) { return static_cast<double>(this->seen(gateway, e)); };
        switch (this->method) {
        case ChoiceMethod::LeastLoaded:
        case ChoiceMethod::WaitForUpdate:
            return this->leastLoaded(load);
        case ChoiceMethod::PackedOrder: {
            double streams = 1;
            for (std::size_t e = 0; e < this->scenario.engines; ++e)
                streams += load(e);
            const double open = std::ceil(streams / 7.2) + 1;
            return this->leastLoaded([&](std::size_t e) {
                const double beyond = static_cast<double>(e) - open + 1;
                return (beyond > 0 ? 40 + beyond : 0) + (load(e) >= packedSlots ? 60 : 0) + (load(e) >= slots ? 1e3 : 0)
                    + 10 * this->draw();
            });
        }
        case ChoiceMethod::TwoChoices: {
            const std::size_t a = this->random() % this->scenario.engines;
            const std::size_t b = this->random() % this->scenario.engines;
            return load(a) <= load(b) ? a : b;
        }
        case ChoiceMethod::PrivateOrder: {
            for (const std::size_t e : this->orders[gateway]) {
                if (load(e) < packedSlots)
                    return e;
            }
            return this->leastLoaded(load);
        }
        case ChoiceMethod::DividedSlots:
            return this->leastLoaded([&](std::size_t e) {
                const double part = (slots - load(e)) * this->shares[gateway];
                return load(e) + (this->draw() < part ? 0 : 100);
            });
        case ChoiceMethod::LastSlotToken:
            return this->leastLoaded([&](std::size_t e) {
                const bool hasToken = e % this->scenario.gateways / 3 == gateway / 3;
                return load(e) + (load(e) >= packedSlots && !hasToken ? 100 : 0);
            });
        case ChoiceMethod::StaleFilling:
            return this->chooseFilling(gateway, this->draw());
        case ChoiceMethod::Product:
            return this->chooseAsProduct(gateway);
        }
        return 0;
    }

    const CrowdScenario& scenario;
    const ChoiceMethod method;
    std::mt19937 random;
    double now = 0;
    std::vector<int> actual;
    std::vector<int> reported;
    std::vector<double> busyUntil;
    std::vector<std::vector<int>> own;
    std::vector<std::vector<int>> ownReported;
    std::vector<std::vector<std::size_t>> orders;
    std::vector<std::vector<double>> seenBusyUntil;
    std::vector<double> draws;
    std::vector<double> shares;
    std::vector<double> reportTimes;
    std::priority_queue<Occurrence, std::vector<Occurrence>, std::greater<>> occurrences;
};

} // namespace

CrowdOutcome simulateCrowd(const CrowdScenario& scenario, ChoiceMethod method)
{
    CrowdOutcome outcome;
    std::vector<double> waits;
    for (unsigned run = 0; run < scenario.runs; ++run)
        CrowdRun(scenario, method, run + 1).run(outcome, waits);
    std::ranges::sort(waits);
    outcome.overfilledShare /= static_cast<double>(waits.size());
    outcome.medianWaitMs = waits[waits.size() / 2];
    outcome.highWaitMs = waits[waits.size() * 9 / 10];
    return outcome;
}

std::string_view methodName(ChoiceMethod method)
{
    static constexpr std::array<std::string_view, 9> names { "LeastLoaded", "PackedOrder", "TwoChoices", "PrivateOrder",
        "DividedSlots", "LastSlotToken", "WaitForUpdate", "StaleFilling", "Product" };
    return names.at(static_cast<std::size_t>(method));
}
