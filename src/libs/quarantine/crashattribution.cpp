#include "crashattribution.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace Quarantine {

namespace {

using Foundation::TimePoint;

// A rare sound part meets fewer crashes than this by chance before one of its requests completes.
constexpr std::size_t minimumCrashes = 4;
// A part whose requests ran to their end lately, or that many requests have, is most likely a bystander.
constexpr std::size_t minimumCrashesOfBystander = 6;
// Crashes at a single moment have a common cause, such as a loss of power. A request that failed over may meet another
// one by chance, so two moments are enough only for many crashes under a part whose requests never ran to their end.
constexpr std::size_t minimumMoments = 3;
constexpr std::size_t minimumCrashesAtTwoMoments = 6;
// A part whose requests never run to their end is a cause from so many crashes on, whatever else explains them:
// upstreams that fall silent lose requests with all causes before one of them is known.
constexpr std::size_t sufficientCrashes = 6;
// A running upstream shows a sign of life to one of its requests within this time.
constexpr Foundation::Duration maximumSilence = std::chrono::seconds(1);
// The weights of a crash under a part that is most likely a bystander, and under another one.
constexpr std::size_t bystanderWeight = 1;
constexpr std::size_t fullWeight = 4;
// Candidates with fewer crashes are not reported.
constexpr std::size_t minimumReportedCrashes = 2;

using CrashIndices = std::vector<std::size_t>;

struct Group {
    CrashIndices crashes;
    CrashCandidate candidate;

    std::size_t score() const
    {
        return this->crashes.size() * (this->candidate.isLikelyBystander ? bystanderWeight : fullWeight);
    }

    std::size_t minimum() const
    {
        return this->candidate.isLikelyBystander ? minimumCrashesOfBystander : minimumCrashes;
    }

    std::size_t minimumMomentCount() const
    {
        const bool areManyCrashes
            = !this->candidate.isLikelyBystander && this->crashes.size() >= minimumCrashesAtTwoMoments;
        return areManyCrashes ? minimumMoments - 1 : minimumMoments;
    }

    bool isSufficient() const
    {
        return !this->candidate.isLikelyBystander && this->crashes.size() >= sufficientCrashes
            && this->candidate.momentCount >= minimumMoments;
    }
};

// Finds the parts that may occur in several crashes. Most parts of long prompts occur in one only, and a table of all
// parts would cost more than the rest of the judgement.
class RepetitionFilter {
public:
    void add(PromptPart part)
    {
        const std::size_t position = positionOf(part);
        this->repeated[position] = this->repeated[position] || this->seen[position];
        this->seen[position] = true;
    }

    /** Returns false only for parts that were added once. */
    bool mayBeRepeated(PromptPart part) const { return this->repeated[positionOf(part)]; }

private:
    static constexpr int positionBits = 20;

    static std::size_t positionOf(PromptPart part)
    {
        // Multiplying by the golden ratio spreads ids that differ in their low bits only.
        constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15;
        return static_cast<std::size_t>(part * goldenRatio >> (64 - positionBits));
    }

    std::vector<bool> seen = std::vector<bool>(std::size_t { 1 } << positionBits);
    std::vector<bool> repeated = std::vector<bool>(std::size_t { 1 } << positionBits);
};

class Attribution {
public:
    Attribution(std::span<const CountedCrash> crashes, const std::function<bool(PromptPart)>& isLikelyBystander)
        : crashes(crashes)
    {
        RepetitionFilter filter;
        for (const CountedCrash& crash : crashes)
            std::ranges::for_each(crash.parts, [&filter](PromptPart part) { filter.add(part); });
        for (std::size_t i = 0; i < crashes.size(); ++i) {
            for (const PromptPart part : crashes[i].parts) {
                if (filter.mayBeRepeated(part))
                    this->crashesByPart[part].push_back(i);
            }
        }
        std::erase_if(
            this->crashesByPart, [](const auto& entry) { return entry.second.size() < minimumReportedCrashes; });
        for (const auto& [part, indices] : this->crashesByPart)
            this->likelyBystanders[part] = isLikelyBystander(part);
        this->allCrashesByPart = this->crashesByPart;
    }

    std::vector<CrashCandidate> run(std::span<const std::vector<PromptPart>> earlierCauses)
    {
        std::vector<CrashCandidate> causes;
        const std::vector<Group> allGroups = this->makeGroups();
        std::vector<Group> groups = allGroups;
        for (auto cause = this->judge(groups); cause != groups.end(); cause = this->judge(groups)) {
            causes.push_back(cause->candidate);
            this->markExplained(*cause);
            groups = this->makeGroups();
        }
        this->addSufficientCauses(causes, allGroups);
        this->addEarlierCauses(causes, earlierCauses);
        for (Group& group : groups) {
            if (!isListed(causes, group.candidate.parts))
                causes.push_back(std::move(group.candidate));
        }
        return causes;
    }

private:
    // The groups in descending order of their scores; of equal ones, the one with the newest crash comes first.
    std::vector<Group> makeGroups() const
    {
        std::map<std::pair<CrashIndices, bool>, std::vector<PromptPart>> partsByCrashes;
        for (const auto& [part, indices] : this->crashesByPart)
            partsByCrashes[{ indices, this->likelyBystanders.at(part) }].push_back(part);
        std::vector<Group> groups;
        for (auto& [key, parts] : partsByCrashes) {
            std::ranges::sort(parts);
            groups.push_back(this->makeGroup(std::move(parts), key.first, key.second));
        }
        std::ranges::sort(groups, std::ranges::greater(),
            [](const Group& group) { return std::pair(group.score(), group.candidate.lastCrashAt); });
        return groups;
    }

    Group makeGroup(std::vector<PromptPart> parts, CrashIndices indices, bool isLikelyBystander) const
    {
        Group group { std::move(indices), { std::move(parts), 0, 0, isLikelyBystander, {}, {} } };
        group.candidate.crashCount = group.crashes.size();
        for (const std::size_t index : group.crashes)
            group.candidate.lastCrashAt = std::max(group.candidate.lastCrashAt, this->crashes[index].detectedAt);
        return group;
    }

    // Sets the verdicts up to the first cause, and returns it.
    std::vector<Group>::iterator judge(std::vector<Group>& groups) const
    {
        for (auto group = groups.begin(); group != groups.end(); ++group) {
            group->candidate.verdict = this->verdictOn(*group, groups);
            if (group->candidate.verdict == AttributionVerdict::Cause)
                return group;
        }
        return groups.end();
    }

    AttributionVerdict verdictOn(Group& group, const std::vector<Group>& groups) const
    {
        const AttributionVerdict verdict = this->verdictOnCrashes(group);
        if (verdict != AttributionVerdict::Cause || group.isSufficient())
            return verdict;
        const bool isAmbiguous = std::ranges::any_of(groups, [&group](const Group& other) {
            const bool isAsGood = other.score() == group.score()
                || (other.score() > group.score() && other.candidate.verdict == AttributionVerdict::Ambiguous);
            return &other != &group && isAsGood && overlapsMostly(group.crashes, other.crashes);
        });
        return isAmbiguous ? AttributionVerdict::Ambiguous : AttributionVerdict::Cause;
    }

    // Judges a group by its own crashes, whatever else explains them.
    AttributionVerdict verdictOnCrashes(Group& group) const
    {
        if (group.crashes.size() < group.minimum())
            return AttributionVerdict::TooFewCrashes;
        std::vector<const CountedCrash*> counted;
        for (const std::size_t index : group.crashes)
            counted.push_back(&this->crashes[index]);
        group.candidate.momentCount = countMoments(counted);
        return group.candidate.momentCount < group.minimumMomentCount() ? AttributionVerdict::SameMoment
                                                                        : AttributionVerdict::Cause;
    }

    static bool overlapsMostly(const CrashIndices& left, const CrashIndices& right)
    {
        CrashIndices common;
        std::ranges::set_intersection(left, right, std::back_inserter(common));
        return 2 * common.size() > std::min(left.size(), right.size());
    }

    void markExplained(const Group& cause)
    {
        for (auto& [part, indices] : this->crashesByPart) {
            std::erase_if(
                indices, [&cause](std::size_t index) { return std::ranges::binary_search(cause.crashes, index); });
        }
        std::erase_if(
            this->crashesByPart, [](const auto& entry) { return entry.second.size() < minimumReportedCrashes; });
    }

    static bool isListed(std::span<const CrashCandidate> candidates, const std::vector<PromptPart>& parts)
    {
        return std::ranges::any_of(
            candidates, [&parts](const CrashCandidate& candidate) { return candidate.parts == parts; });
    }

    // Adds the causes that are sufficient by themselves, although others explain their crashes.
    void addSufficientCauses(std::vector<CrashCandidate>& causes, std::vector<Group> groups) const
    {
        for (Group& group : groups) {
            if (isListed(causes, group.candidate.parts) || this->verdictOnCrashes(group) != AttributionVerdict::Cause
                || !group.isSufficient())
                continue;
            group.candidate.verdict = AttributionVerdict::Cause;
            causes.push_back(std::move(group.candidate));
        }
    }

    // Adds the earlier causes that have enough crashes, unless the causes found now explain all of these.
    void addEarlierCauses(
        std::vector<CrashCandidate>& causes, std::span<const std::vector<PromptPart>> earlierCauses) const
    {
        CrashIndices explained;
        for (const CrashCandidate& cause : causes) {
            CrashIndices both;
            std::ranges::set_union(explained, this->crashesWith(cause.parts), std::back_inserter(both));
            explained = std::move(both);
        }
        for (const std::vector<PromptPart>& parts : earlierCauses) {
            const bool isLikelyBystander = std::ranges::any_of(parts, [this](PromptPart part) {
                const auto found = this->likelyBystanders.find(part);
                return found != this->likelyBystanders.end() && found->second;
            });
            Group group = this->makeGroup(parts, this->crashesWith(parts), isLikelyBystander);
            if (isListed(causes, parts) || std::ranges::includes(explained, group.crashes)
                || this->verdictOnCrashes(group) != AttributionVerdict::Cause)
                continue;
            group.candidate.verdict = AttributionVerdict::Cause;
            causes.push_back(std::move(group.candidate));
        }
    }

    // The crashes at which all the parts occur, explained or not.
    CrashIndices crashesWith(const std::vector<PromptPart>& parts) const
    {
        CrashIndices common;
        for (const PromptPart part : parts) {
            const auto found = this->allCrashesByPart.find(part);
            if (found == this->allCrashesByPart.end())
                return {};
            CrashIndices both;
            std::ranges::set_intersection(
                part == parts.front() ? found->second : common, found->second, std::back_inserter(both));
            common = std::move(both);
        }
        return common;
    }

    std::span<const CountedCrash> crashes;
    /** The unexplained crashes of each part that has several, in ascending order. */
    std::unordered_map<PromptPart, CrashIndices> crashesByPart;
    /** The same with the crashes that a cause explains. */
    std::unordered_map<PromptPart, CrashIndices> allCrashesByPart;
    std::unordered_map<PromptPart, bool> likelyBystanders;
};

} // namespace

std::string_view verdictName(AttributionVerdict verdict)
{
    switch (verdict) {
    case AttributionVerdict::Cause:
        return "cause";
    case AttributionVerdict::TooFewCrashes:
        return "too few crashes";
    case AttributionVerdict::SameMoment:
        return "same moment";
    case AttributionVerdict::Ambiguous:
        return "ambiguous";
    }
    return "";
}

std::size_t countMoments(std::span<const CountedCrash* const> crashes)
{
    const auto latestTime
        = [](const CountedCrash* crash) { return std::min(crash->detectedAt, crash->aliveAt + maximumSilence); };
    std::vector<const CountedCrash*> sorted(crashes.begin(), crashes.end());
    std::ranges::sort(sorted, {}, latestTime);
    std::size_t count = 0;
    TimePoint moment = TimePoint::min();
    for (const CountedCrash* const crash : sorted) {
        if (crash->aliveAt <= moment)
            continue;
        ++count;
        moment = latestTime(crash);
    }
    return count;
}

std::vector<CrashCandidate> attributeCrashes(std::span<const CountedCrash> crashes,
    std::span<const std::vector<PromptPart>> earlierCauses, const std::function<bool(PromptPart)>& isLikelyBystander)
{
    return Attribution(crashes, isLikelyBystander).run(earlierCauses);
}

} // namespace Quarantine
