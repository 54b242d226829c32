#include "placementplanner.h"

#include "engineheadroom.h"
#include "occupancyprice.h"

#include "staleloadchoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Placement {

namespace {

using Foundation::Duration;

// The part of the event-gap target that planning leaves unused: about one decode cycle (the steps between two events)
// without prefill, since the backlog of an engine is only estimated, plus the transfer to the caller.
constexpr double eventGapMarginMs = 40;
// The fraction of the event-gap target that the prefill of a short prompt may take.
constexpr double shortPromptGapFraction = 0.4;
// A prompt that one engine can prefill within this multiple of the event-gap target runs among the short ones; its
// prefill can still be split over several engines.
constexpr double packedPromptGapMultiple = 1.2;
// Prompt tokens that add 1 to the weight of a request, which is 1 without a prompt. The price that users pay for an
// answer grows with its prompt, from about 1 for 5,000 tokens to a few dozen for a few hundred thousand.
constexpr double tokensPerUnitWeight = 8'000;
// The fraction of the delay cost that counts for streams on an engine that already exceeds their event-gap target: most
// of them have missed the target before.
constexpr double repeatedDelayFactor = 0.2;
// From this fraction of the event-gap target on, prefill beside a stream risks delaying it past the target; the
// probability rises up to the maximum.
constexpr double safeGapFraction = 0.2;
constexpr double maximumGapRisk = 0.25;
// The fraction of slots that short prompts fill on an engine before the next engine is used, which leaves room for
// bursts.
constexpr double packedSlotFraction = 0.75;
// The fraction of the packed slots that is assumed usable when computing how many engines are open to short
// prompts.
constexpr double plannedFillFraction = 0.8;
// Costs of running a prompt among the short ones, as fractions of its weight: on an engine that is not yet needed for
// them, on one whose packed slots are full, and beside streams of long prompts, where further long prompts will be
// prefilled.
constexpr double unopenedEngineCost = 0.4;
constexpr double packedEngineCost = 0.6;
constexpr double longStreamsCost = 0.4;
// The largest cost that the tie-breaker adds, as a fraction of the weight, so that processes that see the same engines
// do not all choose the same one.
constexpr double tieBreakerCost = 0.1;
// Costs for long prompts, as fractions of the weight: an engine whose memory is full, and the least preferred position
// in the order of engines.
constexpr double fullMemoryCost = 0.1;
constexpr double orderPositionCost = 1e-3;
// The largest cost that the tie-breaker adds for long prompts, as a multiple of the order position cost. It spreads
// their parts over similar engines.
constexpr double tieBreakerOrderFactor = 10;
// A part that an engine prefills as a helper delays the prefill of the prompts that the engine runs itself. The cost is
// a fraction of the weight of the prompt that needs the helper. It grows with the helper's own remaining prefill and
// reaches this maximum at the time below.
constexpr double delayedOwnPrefillCost = 0.1;
constexpr double delayedOwnPrefillMs = 100;
// From this fraction of the first-event target on, an expected first event risks missing the target.
constexpr double riskyTargetFraction = 0.55;
// The fraction of the weight that a delay as long as the first-event target costs, even if the target is met.
constexpr double delayCostPerTarget = 0.2;
// The fraction of an engine's memory that planning uses, and the fraction of it that one engine reserves for a prompt
// that needs the memory of several. Engines allocate memory in blocks.
constexpr double usableMemoryFraction = 0.98;
constexpr double splitMemoryFraction = 0.4;
constexpr std::int64_t memoryBlockTokens = 64;
// One engine in this many, at the end of the order, is left to long prompts as long as the other engines have room for
// short ones. The cost is a multiple of the weight.
constexpr std::size_t reservedEngineInterval = 8;
constexpr double reservedEngineCost = 2;
// Short prompts are placed as in a crowd from this number of unreported requests for each open engine on. Calm fleets
// expect about 0.2: 95 prompts per second are unreported for 50 ms and 22 engines are open.
constexpr double crowdRequestsPerEngine = 1.0 / 3;
// The fraction of their time that open engines spend on the prefill of short prompts in a crowd. A prompt then waits
// for a fifth of a prefill on average, if the arrivals at an engine are random.
constexpr double crowdPrefillFraction = 0.3;
// Short prompts in a crowd use an engine with streams of long prompts when those without hold this many requests more.
constexpr double longStreamsLevel = 4;
// The numbers of engines that may prefill one prompt; the engine protocol allows at most 16 helpers.
constexpr auto partCounts = std::to_array<std::size_t>({ 1, 2, 3, 4, 6, 8, 10, 12, 14, 16, 17 });

double toMs(Duration duration) { return Foundation::toSeconds(duration) * 1e3; }

// Returns how much split parts of other gateways' long prompts that are not reported yet delay an engine. They may be
// on any engine. What the unreported requests would need if they were short is counted where these are expected.
Duration unreportedPartsTime(const ArrivalEstimate& arrivals, double shortPromptMs, std::size_t engineCount)
{
    const double partsMs = arrivals.unreported.prefillSeconds * 1e3 - arrivals.unreported.requests * shortPromptMs;
    return Foundation::fromSeconds(std::max(0.0, partsMs) / 1e3 / static_cast<double>(engineCount));
}

// Searches for the best placement of one prompt: compares the costs for each number of engines that can prefill it.
class PlacementSearch {
public:
    PlacementSearch(const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand)
        : model(model)
        , candidates(candidates)
        , demand(demand)
        , hasShortPrompt(isShortPrompt(model, demand))
        , isPackedPrompt(Placement::isPackedPrompt(model, demand))
    {
        this->usableMemory
            = static_cast<std::int64_t>(usableMemoryFraction * static_cast<double>(model.profile().memoryTokens));
        this->splitMemory();
        this->countOpenEngines();
        for (const EngineCandidate& candidate : candidates) {
            this->cycleTimesMs.push_back(
                toMs(model.decodeCycleTime(candidate.usage->requests, candidate.usage->reservedTokens)));
            this->backlogsMs.push_back(toMs(candidate.remainingPrefill) * candidate.slowdownFactor);
        }
        if (demand.isContended && !this->isPackedPrompt) {
            this->occupancyPrice = OccupancyPrice(candidates, this->backlogsMs);
            this->headroom = EngineHeadroom(candidates, this->backlogsMs, demand.eventGapTarget);
        }
    }

    std::optional<PromptPlacement> findBest()
    {
        if (this->isInCrowd())
            return this->placeInCrowd();
        std::optional<PromptPlacement> chosen;
        double lowest = 0;
        for (const std::size_t parts : partCounts) {
            if (parts > this->candidates.size())
                break;
            if (parts < this->memoryEngineCount)
                continue;
            auto placement = this->placeWithParts(parts);
            if (!placement || !this->headroom.allows(*placement))
                continue;
            const double cost = this->totalCost(*placement);
            if (!chosen || cost < lowest) {
                chosen = std::move(placement);
                lowest = cost;
            }
            if (this->hasShortPrompt && chosen->streamDelayCost == 0)
                break;
        }
        return chosen;
    }

private:
    // Splits the memory of a prompt that exceeds one engine over several, in even parts that leave room for other
    // requests.
    void splitMemory()
    {
        const std::int64_t needed = this->demand.promptTokens + this->demand.outputTokens;
        if (needed <= this->usableMemory) {
            this->reservedTokensEach = needed;
            return;
        }
        const double tokensPerEngine = std::max(1.0, splitMemoryFraction * static_cast<double>(this->usableMemory));
        this->memoryEngineCount = static_cast<std::size_t>(std::ceil(static_cast<double>(needed) / tokensPerEngine));
        const auto count = static_cast<std::int64_t>(this->memoryEngineCount);
        this->reservedTokensEach = (needed / count / memoryBlockTokens + 1) * memoryBlockTokens;
    }

    std::int64_t freeTokens(std::size_t index) const
    {
        return this->usableMemory - this->candidates[index].usage->reservedTokens;
    }

    // Returns whether the known load is too far out of date to choose a short prompt's engine by it alone.
    bool isInCrowd() const
    {
        if (!this->demand.crowd || !this->hasShortPrompt || this->memoryEngineCount > 1)
            return false;
        const double unreported = this->demand.crowd->arrivals.unreported.requests;
        return !this->demand.isPeerLoadAvailable
            || unreported >= crowdRequestsPerEngine * static_cast<double>(this->openEngineCount);
    }

    // The engines that short prompts may use in a crowd, from the preferred ones to all.
    enum class CrowdScope { OpenEngines, AllButReserved, LastSlots, AllEngines };

    // Returns how many engines short prompts use in a crowd: enough for their streams, those not reported included, and
    // for the prefill work that arrives.
    std::size_t countCrowdEngines(double partMs) const
    {
        const ArrivalEstimate& arrivals = this->demand.crowd->arrivals;
        const double streamsPerEngine
            = std::max(1.0, plannedFillFraction * packedSlotFraction * this->candidates.front().slots);
        const double forUnreported = std::ceil(arrivals.unreported.requests / streamsPerEngine);
        const double forPrefill = std::ceil(arrivals.perSecond.requests * partMs / 1e3 / crowdPrefillFraction) + 1;
        return std::max(
            this->openEngineCount + static_cast<std::size_t>(forUnreported), static_cast<std::size_t>(forPrefill));
    }

    bool isReserved(std::size_t index) const
    {
        return index >= this->candidates.size() - this->candidates.size() / reservedEngineInterval;
    }

    // Returns how many more short prompts an engine may be given.
    double crowdRoom(std::size_t index, double partMs, CrowdScope scope, std::size_t openEngines) const
    {
        if (!this->isEligibleRunner(index) || (scope != CrowdScope::AllEngines && this->isReserved(index)))
            return 0;
        const EngineCandidate& candidate = this->candidates[index];
        const auto requests = static_cast<double>(candidate.usage->requests);
        if (scope == CrowdScope::LastSlots || scope == CrowdScope::AllEngines)
            return candidate.slots - requests;
        if ((scope == CrowdScope::OpenEngines && index >= openEngines) || this->streamDelayCostAt(index, partMs) > 0)
            return 0;
        const double leftMs = toMs(this->demand.timeToFirstEventTarget) - this->backlogsMs[index]
            - (this->cycleTimesMs[index] + partMs) * candidate.slowdownFactor - this->cycleTimesMs[index];
        return std::clamp(packedSlotFraction * candidate.slots - requests, 0.0, std::max(0.0, leftMs / partMs + 1));
    }

    // Returns the requests on an engine, and the delay that it adds, in prefill times of this prompt.
    double crowdLevel(std::size_t index, double partMs) const
    {
        const EngineCandidate& candidate = this->candidates[index];
        std::int64_t longStreams = 0;
        for (const auto& [eventGapTargetMs, group] : candidate.usage->streamsByGapMs)
            longStreams += eventGapTargetMs > Foundation::toMilliseconds(this->demand.eventGapTarget) ? group.count : 0;
        const double slowMs = (candidate.slowdownFactor - 1) * (partMs + this->cycleTimesMs[index]);
        return static_cast<double>(candidate.usage->requests)
            + (this->backlogsMs[index] + slowMs + toMs(candidate.delayCorrection)) / partMs
            + (longStreams > 0 ? longStreamsLevel : 0);
    }

    // Places a short prompt by the load that is known and by what the other gateways are expected to have dispatched.
    std::optional<PromptPlacement> placeInCrowd() const
    {
        const double partMs = toMs(this->model.prefillTime(this->demand.promptTokens));
        const CrowdExpectation& crowd = *this->demand.crowd;
        const std::size_t openEngines = this->countCrowdEngines(partMs);
        std::vector<EngineLevel> levels(this->candidates.size());
        for (std::size_t i = 0; i < levels.size(); ++i)
            levels[i].level = this->crowdLevel(i, partMs);
        for (const CrowdScope scope :
            { CrowdScope::OpenEngines, CrowdScope::AllButReserved, CrowdScope::LastSlots, CrowdScope::AllEngines }) {
            double room = 0;
            for (std::size_t i = 0; i < levels.size(); ++i) {
                levels[i].room = this->crowdRoom(i, partMs, scope, openEngines);
                room += levels[i].room;
            }
            if (room >= crowd.arrivals.unreported.requests + 1)
                break;
        }
        const auto choice = chooseByStaleLoad(levels, crowd.arrivals.unreported.requests, crowd.draw);
        if (!choice)
            return std::nullopt;
        PromptPlacement placement;
        placement.runnerIndex = choice->index;
        placement.reservedTokens = this->reservedTokensEach;
        placement.isCrowdPlacement = true;
        this->predict(placement, partMs);
        const double unreportedMs = choice->unreportedRequests * partMs;
        placement.timeToFirstEvent += Foundation::fromSeconds(unreportedMs / 1e3);
        placement.prefillAhead += Foundation::fromSeconds(unreportedMs / 1e3);
        placement.estimatedDelay = unreportedPartsTime(crowd.arrivals, partMs, this->candidates.size());
        return placement;
    }

    // Returns whether the engine is open to the prompt. A prompt that needs the memory of several engines gets as
    // many.
    bool isOpen(std::size_t index) const
    {
        if (this->isPackedPrompt || !this->demand.enginesOpenToLongPrompts)
            return true;
        const std::size_t open = std::max(*this->demand.enginesOpenToLongPrompts, this->memoryEngineCount);
        return index + open >= this->candidates.size();
    }

    bool isEligibleRunner(std::size_t index) const
    {
        const EngineCandidate& candidate = this->candidates[index];
        if (!this->isOpen(index))
            return false;
        const bool arePackedSlotsFull
            = static_cast<double>(candidate.usage->requests) >= packedSlotFraction * candidate.slots;
        return candidate.canRun && candidate.usage->requests < candidate.slots
            && (candidate.canUseLastSlots || !arePackedSlotsFull)
            && this->freeTokens(index) >= this->reservedTokensEach;
    }

    // Returns the weight lost by streams on an engine that a decode cycle with this additional prefill would delay
    // past their event-gap target.
    double streamDelayCostAt(std::size_t index, double partMs) const
    {
        const double beforeMs = this->cycleTimesMs[index] + this->backlogsMs[index];
        const double afterMs = beforeMs + partMs * this->candidates[index].slowdownFactor;
        double cost = 0;
        for (const auto& [eventGapTargetMs, group] : this->candidates[index].usage->streamsByGapMs) {
            const double limitMs = static_cast<double>(eventGapTargetMs) - eventGapMarginMs;
            if (afterMs <= limitMs)
                continue;
            cost += missedTargetPenalty * static_cast<double>(group.weight) / 1e3
                * (beforeMs <= limitMs ? 1 : repeatedDelayFactor);
        }
        return cost;
    }

    // Returns the expected cost for streams that this prefill alone does not delay: other gateways may add to it
    // meanwhile.
    double streamRiskCostAt(std::size_t index, double partMs) const
    {
        const double afterMs
            = this->cycleTimesMs[index] + this->backlogsMs[index] + partMs * this->candidates[index].slowdownFactor;
        double cost = 0;
        if (this->isPackedPrompt)
            return cost;
        for (const auto& [eventGapTargetMs, group] : this->candidates[index].usage->streamsByGapMs) {
            const double usedFraction = afterMs / (static_cast<double>(eventGapTargetMs) - eventGapMarginMs);
            cost += missedTargetPenalty * static_cast<double>(group.weight) / 1e3 * maximumGapRisk
                * std::clamp((usedFraction - safeGapFraction) / (1 - safeGapFraction), 0.0, 1.0);
        }
        return cost;
    }

    // Returns the cost of occupying an engine for so long that other requests cannot share it.
    double occupancyCostAt(std::size_t index, double partMs) const
    {
        return this->occupancyPrice.cost(this->backlogsMs[index], partMs * this->candidates[index].slowdownFactor);
    }

    std::int64_t streamsWithGapUpTo(std::size_t index, Duration gap) const
    {
        std::int64_t count = 0;
        for (const auto& [eventGapTargetMs, group] : this->candidates[index].usage->streamsByGapMs) {
            if (eventGapTargetMs <= Foundation::toMilliseconds(gap))
                count += group.count;
        }
        return count;
    }

    // Computes how many engines at the front of the order can run all short streams, plus one.
    void countOpenEngines()
    {
        // Processes without load updates from each other would all fill the same first engines, so all engines are
        // open.
        this->openEngineCount = this->candidates.size();
        if (this->candidates.empty() || !this->demand.isPeerLoadAvailable)
            return;
        std::int64_t similarStreams = 1;
        for (std::size_t i = 0; i < this->candidates.size(); ++i)
            similarStreams += this->streamsWithGapUpTo(i, this->demand.eventGapTarget);
        const double streamsPerEngine
            = std::max(1.0, plannedFillFraction * packedSlotFraction * this->candidates.front().slots);
        this->openEngineCount
            = static_cast<std::size_t>(std::ceil(static_cast<double>(similarStreams) / streamsPerEngine)) + 1;
    }

    // Returns the cost of running a prompt among the short ones on an engine, besides stream delay and first-event
    // delay. The set of open engines is the same in all processes and changes slowly; within it the tie-breaker
    // makes processes that decide at the same moment choose different engines.
    double packingCost(std::size_t index) const
    {
        const EngineCandidate& candidate = this->candidates[index];
        const std::int64_t similarStreams = this->streamsWithGapUpTo(index, this->demand.eventGapTarget);
        std::int64_t allStreams = 0;
        for (const auto& [eventGapTargetMs, group] : candidate.usage->streamsByGapMs)
            allStreams += group.count;
        const double packedSlots = packedSlotFraction * candidate.slots;
        const auto enginesBeyondOpen = static_cast<double>(index) - static_cast<double>(this->openEngineCount) + 1;
        double cost = enginesBeyondOpen > 0
            ? unopenedEngineCost + enginesBeyondOpen / static_cast<double>(this->candidates.size())
            : 0;
        if (static_cast<double>(candidate.usage->requests) >= packedSlots)
            cost += packedEngineCost;
        if (allStreams > similarStreams)
            cost += longStreamsCost;
        if (this->isReserved(index))
            cost += reservedEngineCost;
        return (cost + tieBreakerCost * candidate.tieBreaker) * this->demand.weight;
    }

    // Returns the cost of prefilling one part on an engine; the lowest cost is the best.
    double prefillCost(std::size_t index, double partMs) const
    {
        const double position = static_cast<double>(index) / static_cast<double>(this->candidates.size());
        const double orderRank
            = this->hasShortPrompt ? 0 : 1 - position + tieBreakerOrderFactor * this->candidates[index].tieBreaker;
        const double firstEventMs = this->partEndMs(index, partMs) + this->cycleTimesMs[index];
        return this->streamDelayCostAt(index, partMs) + this->streamRiskCostAt(index, partMs)
            + this->occupancyCostAt(index, partMs) + this->firstEventDelayCost(firstEventMs)
            + orderRank * orderPositionCost * this->demand.weight;
    }

    // Returns the additional cost of using an engine as a helper that still has to prefill a prompt of its own.
    double helperCost(std::size_t index) const
    {
        const double ownMs = static_cast<double>(this->candidates[index].usage->ownPrefillUs) / 1e3;
        return delayedOwnPrefillCost * this->demand.weight * std::clamp(ownMs / delayedOwnPrefillMs, 0.0, 1.0);
    }

    // Returns the time from now until an engine has prefilled a part; the decode cycle in progress ends first.
    double partEndMs(std::size_t index, double partMs) const
    {
        return this->backlogsMs[index] + partMs * this->candidates[index].slowdownFactor + this->cycleTimesMs[index];
    }

    double firstEventDelayCost(double ms) const
    {
        const double usedFraction = ms / std::max(50.0, toMs(this->demand.timeToFirstEventTarget));
        const double risk = std::clamp((usedFraction - riskyTargetFraction) / (1 - riskyTargetFraction), 0.0, 1.0);
        return this->demand.weight * (delayCostPerTarget * std::min(2.0, usedFraction) + missedTargetPenalty * risk);
    }

    std::optional<PromptPlacement> placeWithParts(std::size_t parts) const
    {
        const double partMs = toMs(this->model.prefillTime(this->demand.promptTokens, parts));
        std::vector<double> costs(this->candidates.size());
        for (std::size_t i = 0; i < costs.size(); ++i)
            costs[i] = this->prefillCost(i, partMs);
        const auto runner = this->chooseRunner(costs);
        if (!runner)
            return std::nullopt;
        PromptPlacement placement;
        placement.runnerIndex = *runner;
        placement.reservedTokens = this->reservedTokensEach;
        placement.helpers = this->chooseHelpers(costs, *runner, parts - 1);
        if (placement.helpers.size() != parts - 1 || !this->reserveMemory(placement.helpers))
            return std::nullopt;
        this->predict(placement, partMs);
        return placement;
    }

    std::optional<std::size_t> chooseRunner(std::span<const double> costs) const
    {
        std::optional<std::size_t> chosen;
        double lowest = 0;
        for (std::size_t i = 0; i < costs.size(); ++i) {
            if (!this->isEligibleRunner(i))
                continue;
            const double cost = costs[i] + (this->isPackedPrompt ? this->packingCost(i) : this->memoryCost(i));
            if (!chosen || cost < lowest) {
                chosen = i;
                lowest = cost;
            }
        }
        return chosen;
    }

    // Returns the cost that spreads long prompts over the memory of all engines, so that the next long prompt finds
    // room.
    double memoryCost(std::size_t index) const
    {
        const double memory = static_cast<double>(std::max<std::int64_t>(1, this->model.profile().memoryTokens));
        return fullMemoryCost * this->demand.weight * static_cast<double>(this->candidates[index].usage->reservedTokens)
            / memory;
    }

    // Reserves the prompt's memory beyond the runner's part on the helpers with the most free memory. Returns
    // whether it fits.
    bool reserveMemory(std::vector<PrefillHelper>& helpers) const
    {
        std::vector<PrefillHelper*> byFreeMemory;
        for (PrefillHelper& helper : helpers)
            byFreeMemory.push_back(&helper);
        std::ranges::sort(byFreeMemory, std::ranges::greater {},
            [this](const PrefillHelper* helper) { return this->freeTokens(helper->index); });
        for (std::size_t i = 0; i + 1 < this->memoryEngineCount; ++i) {
            if (this->freeTokens(byFreeMemory[i]->index) < this->reservedTokensEach)
                return false;
            byFreeMemory[i]->reservedTokens = this->reservedTokensEach;
        }
        return true;
    }

    std::vector<PrefillHelper> chooseHelpers(std::span<const double> costs, std::size_t runner, std::size_t count) const
    {
        std::vector<std::size_t> available;
        std::vector<double> helperCosts(costs.begin(), costs.end());
        for (std::size_t i = 0; i < costs.size(); ++i) {
            if (i == runner || !this->candidates[i].canHelp || !this->isOpen(i))
                continue;
            available.push_back(i);
            helperCosts[i] += this->helperCost(i);
        }
        count = std::min(count, available.size());
        std::ranges::partial_sort(available, available.begin() + static_cast<std::ptrdiff_t>(count),
            std::ranges::less {}, [&helperCosts](std::size_t index) { return helperCosts[index]; });
        available.resize(count);
        std::vector<PrefillHelper> helpers;
        for (const std::size_t index : available)
            helpers.push_back({ index, 0 });
        return helpers;
    }

    void predict(PromptPlacement& placement, double partMs) const
    {
        placement.partPrefillTime = Foundation::fromSeconds(partMs / 1e3);
        double firstEventMs = 0;
        double prefillAheadMs = 0;
        const auto addEngine = [&](std::size_t index) {
            firstEventMs = std::max(firstEventMs, this->partEndMs(index, partMs));
            prefillAheadMs = std::max(prefillAheadMs, this->backlogsMs[index]);
            placement.streamDelayCost += this->streamDelayCostAt(index, partMs);
            placement.occupancyCost += this->occupancyCostAt(index, partMs);
        };
        addEngine(placement.runnerIndex);
        for (const PrefillHelper& helper : placement.helpers)
            addEngine(helper.index);
        // The first event comes at the end of the decode cycle that follows the one in progress.
        firstEventMs
            += this->cycleTimesMs[placement.runnerIndex] * this->candidates[placement.runnerIndex].slowdownFactor;
        placement.timeToFirstEvent = Foundation::fromSeconds(firstEventMs / 1e3);
        placement.prefillAhead = Foundation::fromSeconds(prefillAheadMs / 1e3);
    }

    double totalCost(const PromptPlacement& placement) const
    {
        return placement.streamDelayCost + placement.occupancyCost
            + this->firstEventDelayCost(toMs(placement.timeToFirstEvent));
    }

    const EngineModel& model;
    std::span<const EngineCandidate> candidates;
    const PromptDemand& demand;
    const bool hasShortPrompt;
    /** Whether the prompt runs among the short ones. */
    const bool isPackedPrompt;
    /** The memory of an engine that planning uses, in tokens. */
    std::int64_t usableMemory = 0;
    /** The number of engines that reserve memory for the prompt, and the tokens that each reserves. */
    std::size_t memoryEngineCount = 1;
    std::int64_t reservedTokensEach = 0;
    /** The number of engines at the front of the order that short prompts use. */
    std::size_t openEngineCount = 1;
    /** The decode cycle time of each candidate without additional prefill. */
    std::vector<double> cycleTimesMs;
    /** The prefill backlog of each candidate. */
    std::vector<double> backlogsMs;
    OccupancyPrice occupancyPrice;
    EngineHeadroom headroom;
};

} // namespace

double promptWeight(std::int64_t promptTokens) { return 1 + static_cast<double>(promptTokens) / tokensPerUnitWeight; }

Duration minimumTimeToFirstEvent(const EngineModel& model, std::int64_t promptTokens, std::size_t engineCount)
{
    const std::size_t parts = std::clamp<std::size_t>(engineCount, 1, partCounts.back());
    return model.prefillTime(promptTokens, parts) + 2 * model.decodeCycleTime(1, promptTokens);
}

bool isShortPrompt(const EngineModel& model, const PromptDemand& demand)
{
    const Duration prefill = model.prefillTime(demand.promptTokens);
    return Foundation::toSeconds(prefill) <= shortPromptGapFraction * Foundation::toSeconds(demand.eventGapTarget);
}

bool isPackedPrompt(const EngineModel& model, const PromptDemand& demand)
{
    const Duration prefill = model.prefillTime(demand.promptTokens);
    return Foundation::toSeconds(prefill) <= packedPromptGapMultiple * Foundation::toSeconds(demand.eventGapTarget);
}

std::optional<PromptPlacement> placePrompt(
    const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand)
{
    if (candidates.empty())
        return std::nullopt;
    return PlacementSearch(model, candidates, demand).findBest();
}

} // namespace Placement
