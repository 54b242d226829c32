#include "placementplanner.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Placement {

namespace {

using Foundation::Duration;

// The part of the longest pause that a pass must not fill: about a pass without reading, since what is ahead at an
// engine is known only so well, and the way to the caller.
constexpr double pauseMarginMs = 40;
// The part of a pause that the reading of a short prompt may fill.
constexpr double shortPromptShare = 0.4;
// A prompt that one engine reads within so many pauses runs among the short ones; its reading is still shared out.
constexpr double packedPromptShare = 1.2;
// Prompt tokens that are worth as much to a caller as a request of no length: what the users pay for an answer grows
// with its prompt, from about one for five thousand tokens to a few dozen for a few hundred thousand.
constexpr double weightTokens = 8'000;
// Streams on an engine that already holds them up too long are mostly late already.
constexpr double repeatedHarm = 0.2;
// From this part of a pause on, reading beside a stream may turn out to hold it up, with up to this chance.
constexpr double safePausePart = 0.2;
constexpr double pauseRisk = 0.25;
// Slots that short prompts fill on an engine before they go on to the next, so that bursts find room.
constexpr double packedSlots = 0.75;
// The part of the packed slots that is counted on when engines are opened to short prompts.
constexpr double openFill = 0.8;
// Costs of running a prompt among the short ones, in parts of its weight: on an engine that is not needed for them yet,
// on one that is packed, and beside streams of long prompts, whose like will be read there.
constexpr double openingCost = 0.4;
constexpr double packedCost = 0.6;
constexpr double besideLongCost = 0.4;
// What chance makes up at most, so that processes that see the same engines do not all choose the same one.
constexpr double chanceCost = 0.1;
// What an engine whose memory is full costs a long prompt, and what the last place in the order costs.
constexpr double fullMemoryCost = 0.1;
constexpr double orderCost = 1e-3;
// Chance spreads the parts of long prompts over engines that are alike, in parts of the order's cost.
constexpr double spreadByChance = 10;
// Reading that keeps an engine busy for longer than this keeps others from sharing it, at a cost for each second.
constexpr double blockingMs = 600;
constexpr double blockingCost = 2;
// Reading of its own that an engine still has to do waits for the parts that it reads for others: what that costs, in
// parts of the weight of the prompt that asks for the help, and the reading from which on it costs that much.
constexpr double delayedOwnCost = 0.1;
constexpr double delayedOwnMs = 100;
// From this part of the goal on, an expected first event may turn out to be late.
constexpr double riskyPart = 0.55;
// A whole goal of delay costs this part of the weight even if the answer is in time.
constexpr double delayCost = 0.2;
// The part of an engine's memory that is planned with, and the part that one engine holds of a prompt that needs
// several. Memory is given out in blocks.
constexpr double usableMemoryShare = 0.98;
constexpr double heldMemoryShare = 0.4;
constexpr std::int64_t memoryBlock = 64;
// Engines at the end of the order that short prompts leave to long ones as long as others have room: one in so many.
constexpr std::size_t reservedOneIn = 8;
constexpr double reservedCost = 2;
// The numbers of engines that read one prompt; the protocol of the engines takes 16 helpers at most.
constexpr auto partCounts = std::to_array<std::size_t>({ 1, 2, 3, 4, 6, 8, 10, 12, 14, 16, 17 });

double toMs(Duration duration) { return Foundation::toSeconds(duration) * 1e3; }

// One decision: weighs each number of engines that may read the prompt.
class Planning {
public:
    Planning(const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand)
        : model(model)
        , candidates(candidates)
        , demand(demand)
        , isShortPrompt(isShort(model, demand))
        , isPacked(Foundation::toSeconds(model.readingTime(demand.promptTokens))
              <= packedPromptShare * Foundation::toSeconds(demand.gap))
    {
        this->usableMemory
            = static_cast<std::int64_t>(usableMemoryShare * static_cast<double>(model.profile().memoryTokens));
        this->divideMemory();
        this->countOpenEngines();
        for (const EngineCandidate& candidate : candidates) {
            this->passes.push_back(toMs(model.passTime(candidate.load->requests, candidate.load->tokens)));
            this->backlogs.push_back(toMs(candidate.readingLeft) * candidate.slowness);
        }
    }

    std::optional<PromptPlacement> best()
    {
        std::optional<PromptPlacement> chosen;
        double lowest = 0;
        for (const std::size_t parts : partCounts) {
            if (parts > this->candidates.size())
                break;
            if (parts < this->holders)
                continue;
            auto placement = this->placeOn(parts);
            if (!placement)
                continue;
            const double score = this->scoreOf(*placement);
            if (!chosen || score < lowest) {
                chosen = std::move(placement);
                lowest = score;
            }
            if (this->isShortPrompt && chosen->harm == 0)
                break;
        }
        return chosen;
    }

private:
    // A prompt that is larger than the memory of one engine is held by several, in even parts that leave room for
    // other requests beside them.
    void divideMemory()
    {
        const std::int64_t needed = this->demand.promptTokens + this->demand.outputTokens;
        if (needed <= this->usableMemory) {
            this->heldByEach = needed;
            return;
        }
        const double part = std::max(1.0, heldMemoryShare * static_cast<double>(this->usableMemory));
        this->holders = static_cast<std::size_t>(std::ceil(static_cast<double>(needed) / part));
        const auto count = static_cast<std::int64_t>(this->holders);
        this->heldByEach = (needed / count / memoryBlock + 1) * memoryBlock;
    }

    std::int64_t freeTokens(std::size_t index) const
    {
        return this->usableMemory - this->candidates[index].load->tokens;
    }

    bool canRun(std::size_t index) const
    {
        const EngineCandidate& candidate = this->candidates[index];
        const bool isPackedFull = static_cast<double>(candidate.load->requests) >= packedSlots * candidate.slots;
        return candidate.mayRun && candidate.load->requests < candidate.slots && (candidate.mayFill || !isPackedFull)
            && this->freeTokens(index) >= this->heldByEach;
    }

    // What the streams on an engine are worth that a pass with so much more reading would hold up.
    double harmAt(std::size_t index, double partMs) const
    {
        const double before = this->passes[index] + this->backlogs[index];
        const double after = before + partMs * this->candidates[index].slowness;
        double harm = 0;
        for (const auto& [gapMs, group] : this->candidates[index].load->groups) {
            const double limit = static_cast<double>(gapMs) - pauseMarginMs;
            if (after <= limit)
                continue;
            harm += lateLoss * static_cast<double>(group.weight) / 1e3 * (before <= limit ? 1 : repeatedHarm);
        }
        return harm;
    }

    // What reading more beside streams may cost them later, although it alone does not hold them up: other gateways may
    // add to it meanwhile.
    double riskAt(std::size_t index, double partMs) const
    {
        const double after = this->passes[index] + this->backlogs[index] + partMs * this->candidates[index].slowness;
        double risk = 0;
        if (this->isPacked)
            return risk;
        for (const auto& [gapMs, group] : this->candidates[index].load->groups) {
            const double used = after / (static_cast<double>(gapMs) - pauseMarginMs);
            risk += lateLoss * static_cast<double>(group.weight) / 1e3 * pauseRisk
                * std::clamp((used - safePausePart) / (1 - safePausePart), 0.0, 1.0);
        }
        return risk;
    }

    // The cost of keeping an engine busy for so long that others cannot share it.
    double blockingAt(std::size_t index, double partMs) const
    {
        const double before = this->backlogs[index];
        const double after = before + partMs * this->candidates[index].slowness;
        return blockingCost * std::max(0.0, after - std::max(before, blockingMs)) / 1e3;
    }

    std::int64_t streamsWithGapUpTo(std::size_t index, Duration gap) const
    {
        std::int64_t count = 0;
        for (const auto& [gapMs, group] : this->candidates[index].load->groups) {
            if (gapMs <= Foundation::toMilliseconds(gap))
                count += group.count;
        }
        return count;
    }

    // Counts the engines at the front of the order that hold all short streams when each is packed.
    void countOpenEngines()
    {
        // Processes that do not hear each other would all fill the same first engines.
        this->openEngines = this->candidates.size();
        if (this->candidates.empty() || !this->demand.isLoadKnown)
            return;
        std::int64_t alike = 1;
        for (std::size_t i = 0; i < this->candidates.size(); ++i)
            alike += this->streamsWithGapUpTo(i, this->demand.gap);
        const double each = std::max(1.0, openFill * packedSlots * this->candidates.front().slots);
        this->openEngines = static_cast<std::size_t>(std::ceil(static_cast<double>(alike) / each)) + 1;
    }

    // The cost of running a prompt among the short ones on an engine, beyond harm and delay. The engines that are open
    // to short prompts are the same for all processes and change slowly; among them each process chooses by chance, so
    // that those that decide at the same moment do not all choose the same.
    double packingCost(std::size_t index) const
    {
        const EngineCandidate& candidate = this->candidates[index];
        const std::int64_t alike = this->streamsWithGapUpTo(index, this->demand.gap);
        std::int64_t all = 0;
        for (const auto& [gap, group] : candidate.load->groups)
            all += group.count;
        const double packed = packedSlots * candidate.slots;
        const auto beyond = static_cast<double>(index) - static_cast<double>(this->openEngines) + 1;
        double cost = beyond > 0 ? openingCost + beyond / static_cast<double>(this->candidates.size()) : 0;
        if (static_cast<double>(candidate.load->requests) >= packed)
            cost += packedCost;
        if (all > alike)
            cost += besideLongCost;
        if (index >= this->candidates.size() - this->candidates.size() / reservedOneIn)
            cost += reservedCost;
        return (cost + chanceCost * candidate.chance) * this->demand.weight;
    }

    // Orders engines for one more part; the least is the best.
    double readerCost(std::size_t index, double partMs) const
    {
        const double position = static_cast<double>(index) / static_cast<double>(this->candidates.size());
        const double turn = this->isShortPrompt ? 0 : 1 - position + spreadByChance * this->candidates[index].chance;
        const double firstEventMs = this->firstEventAt(index, partMs) + this->passes[index];
        return this->harmAt(index, partMs) + this->riskAt(index, partMs) + this->blockingAt(index, partMs)
            + this->delayCostOf(firstEventMs) + turn * orderCost * this->demand.weight;
    }

    // What a part costs beyond that on an engine which reads a prompt of its own.
    double helpingCost(std::size_t index) const
    {
        const double ownMs = static_cast<double>(this->candidates[index].load->ownReadingUs) / 1e3;
        return delayedOwnCost * this->demand.weight * std::clamp(ownMs / delayedOwnMs, 0.0, 1.0);
    }

    // When an engine has read a part, counted from now; a pass that is under way ends first.
    double firstEventAt(std::size_t index, double partMs) const
    {
        return this->backlogs[index] + partMs * this->candidates[index].slowness + this->passes[index];
    }

    double delayCostOf(double ms) const
    {
        const double used = ms / std::max(50.0, toMs(this->demand.goalLeft));
        const double risk = std::clamp((used - riskyPart) / (1 - riskyPart), 0.0, 1.0);
        return this->demand.weight * (delayCost * std::min(2.0, used) + lateLoss * risk);
    }

    std::optional<PromptPlacement> placeOn(std::size_t parts) const
    {
        const double partMs = toMs(this->model.readingTime(this->demand.promptTokens, parts));
        std::vector<double> costs(this->candidates.size());
        for (std::size_t i = 0; i < costs.size(); ++i)
            costs[i] = this->readerCost(i, partMs);
        const auto runner = this->chooseRunner(costs);
        if (!runner)
            return std::nullopt;
        PromptPlacement placement;
        placement.upstream = *runner;
        placement.tokens = this->heldByEach;
        placement.helpers = this->chooseHelpers(costs, *runner, parts - 1);
        if (placement.helpers.size() != parts - 1 || !this->divideAmong(placement.helpers))
            return std::nullopt;
        this->predict(placement, partMs);
        return placement;
    }

    std::optional<std::size_t> chooseRunner(std::span<const double> costs) const
    {
        std::optional<std::size_t> chosen;
        double lowest = 0;
        for (std::size_t i = 0; i < costs.size(); ++i) {
            if (!this->canRun(i))
                continue;
            const double cost = costs[i] + (this->isPacked ? this->packingCost(i) : this->memoryCost(i));
            if (!chosen || cost < lowest) {
                chosen = i;
                lowest = cost;
            }
        }
        return chosen;
    }

    // Long prompts spread over the memory, so that the next one finds room.
    double memoryCost(std::size_t index) const
    {
        const double memory = static_cast<double>(std::max<std::int64_t>(1, this->model.profile().memoryTokens));
        return fullMemoryCost * this->demand.weight * static_cast<double>(this->candidates[index].load->tokens)
            / memory;
    }

    // Gives the prompt's memory beyond the runner's part to the helpers with the most room.
    bool divideAmong(std::vector<PlacedHelper>& helpers) const
    {
        std::vector<PlacedHelper*> byRoom;
        for (PlacedHelper& helper : helpers)
            byRoom.push_back(&helper);
        std::ranges::sort(byRoom, std::ranges::greater {},
            [this](const PlacedHelper* helper) { return this->freeTokens(helper->index); });
        for (std::size_t i = 0; i + 1 < this->holders; ++i) {
            if (this->freeTokens(byRoom[i]->index) < this->heldByEach)
                return false;
            byRoom[i]->heldTokens = this->heldByEach;
        }
        return true;
    }

    std::vector<PlacedHelper> chooseHelpers(std::span<const double> costs, std::size_t runner, std::size_t count) const
    {
        std::vector<std::size_t> others;
        std::vector<double> helperCosts(costs.begin(), costs.end());
        for (std::size_t i = 0; i < costs.size(); ++i) {
            if (i == runner || !this->candidates[i].mayHelp)
                continue;
            others.push_back(i);
            helperCosts[i] += this->helpingCost(i);
        }
        count = std::min(count, others.size());
        std::ranges::partial_sort(others, others.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::less {},
            [&helperCosts](std::size_t index) { return helperCosts[index]; });
        others.resize(count);
        std::vector<PlacedHelper> helpers;
        for (const std::size_t index : others)
            helpers.push_back({ index, 0 });
        return helpers;
    }

    void predict(PromptPlacement& placement, double partMs) const
    {
        placement.partTime = Foundation::fromSeconds(partMs / 1e3);
        double firstEventMs = 0;
        double aheadMs = 0;
        const auto addReader = [&](std::size_t index) {
            firstEventMs = std::max(firstEventMs, this->firstEventAt(index, partMs));
            aheadMs = std::max(aheadMs, this->backlogs[index]);
            placement.harm += this->harmAt(index, partMs);
            placement.blocking += this->blockingAt(index, partMs);
        };
        addReader(placement.upstream);
        for (const PlacedHelper& helper : placement.helpers)
            addReader(helper.index);
        // The first event comes with the pass after the one that was under way.
        firstEventMs += this->passes[placement.upstream] * this->candidates[placement.upstream].slowness;
        placement.firstEvent = Foundation::fromSeconds(firstEventMs / 1e3);
        placement.readingAhead = Foundation::fromSeconds(aheadMs / 1e3);
    }

    double scoreOf(const PromptPlacement& placement) const
    {
        return placement.harm + placement.blocking + this->delayCostOf(toMs(placement.firstEvent));
    }

    const EngineModel& model;
    std::span<const EngineCandidate> candidates;
    const PromptDemand& demand;
    const bool isShortPrompt;
    const bool isPacked;
    /** Memory of an engine that is planned with, in tokens. */
    std::int64_t usableMemory = 0;
    /** Engines that hold the prompt's memory, and the part of each, in tokens. */
    std::size_t holders = 1;
    std::int64_t heldByEach = 0;
    /** Engines at the front of the order that short prompts use. */
    std::size_t openEngines = 1;
    /** The time of a pass at each candidate without more reading, in ms. */
    std::vector<double> passes;
    /** The reading that is ahead at each candidate, in ms. */
    std::vector<double> backlogs;
};

} // namespace

double weightOf(std::int64_t promptTokens) { return 1 + static_cast<double>(promptTokens) / weightTokens; }

Duration fastestFirstEvent(const EngineModel& model, std::int64_t promptTokens, std::size_t engineCount)
{
    const std::size_t parts = std::clamp<std::size_t>(engineCount, 1, partCounts.back());
    return model.readingTime(promptTokens, parts) + 2 * model.passTime(1, promptTokens);
}

bool isShort(const EngineModel& model, const PromptDemand& demand)
{
    const Duration reading = model.readingTime(demand.promptTokens);
    return Foundation::toSeconds(reading) <= shortPromptShare * Foundation::toSeconds(demand.gap);
}

std::optional<PromptPlacement> placePrompt(
    const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand)
{
    if (candidates.empty())
        return std::nullopt;
    return Planning(model, candidates, demand).best();
}

} // namespace Placement
