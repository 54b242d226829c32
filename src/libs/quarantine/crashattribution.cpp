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
// A part whose requests ran to their end lately is most likely a bystander.
constexpr std::size_t minimumCrashesAfterCompletion = 6;
// Crashes at a single moment have a common cause, such as a loss of power. A request that failed over may meet another
// one by chance, so two moments are enough only for many crashes under a part whose requests never ran to their end.
constexpr std::size_t minimumMoments = 3;
constexpr std::size_t minimumCrashesAtTwoMoments = 6;
// A running upstream shows a sign of life to one of its requests within this time.
constexpr Foundation::Duration maximumSilence = std::chrono::seconds(1);
// The weight of a crash under a part with and without completions.
constexpr std::size_t completedWeight = 1;
constexpr std::size_t uncompletedWeight = 4;
// Candidates with fewer crashes are not reported.
constexpr std::size_t minimumReportedCrashes = 2;

using CrashIndices = std::vector<std::size_t>;

struct Group {
    CrashIndices crashes;
    CrashCandidate candidate;

    std::size_t score() const
    {
        return this->crashes.size() * (this->candidate.hasCompletedLately ? completedWeight : uncompletedWeight);
    }

    std::size_t minimumMomentCount() const
    {
        const bool areManyCrashes
            = !this->candidate.hasCompletedLately && this->crashes.size() >= minimumCrashesAtTwoMoments;
        return areManyCrashes ? minimumMoments - 1 : minimumMoments;
    }

    std::size_t minimum() const
    {
        return this->candidate.hasCompletedLately ? minimumCrashesAfterCompletion : minimumCrashes;
    }
};

class Attribution {
public:
    Attribution(std::span<const CountedCrash> crashes, const std::function<bool(PromptPart)>& hasCompletedLately)
        : crashes(crashes)
    {
        for (std::size_t i = 0; i < crashes.size(); ++i) {
            for (const PromptPart part : crashes[i].parts)
                this->crashesByPart[part].push_back(i);
        }
        std::erase_if(
            this->crashesByPart, [](const auto& entry) { return entry.second.size() < minimumReportedCrashes; });
        for (const auto& [part, indices] : this->crashesByPart)
            this->completedLately[part] = hasCompletedLately(part);
    }

    std::vector<CrashCandidate> run()
    {
        std::vector<CrashCandidate> causes;
        std::vector<Group> groups = this->makeGroups();
        for (auto cause = this->judge(groups); cause != groups.end(); cause = this->judge(groups)) {
            causes.push_back(cause->candidate);
            this->markExplained(*cause);
            groups = this->makeGroups();
        }
        for (Group& group : groups)
            causes.push_back(std::move(group.candidate));
        return causes;
    }

private:
    // The groups in descending order of their scores; of equal ones, the one with the newest crash comes first.
    std::vector<Group> makeGroups() const
    {
        std::map<std::pair<CrashIndices, bool>, std::vector<PromptPart>> partsByCrashes;
        for (const auto& [part, indices] : this->crashesByPart)
            partsByCrashes[{ indices, this->completedLately.at(part) }].push_back(part);
        std::vector<Group> groups;
        for (auto& [key, parts] : partsByCrashes) {
            std::ranges::sort(parts);
            Group group { key.first, { std::move(parts), key.first.size(), 0, key.second, {}, {} } };
            for (const std::size_t index : group.crashes)
                group.candidate.lastCrashAt = std::max(group.candidate.lastCrashAt, this->crashes[index].detectedAt);
            groups.push_back(std::move(group));
        }
        std::ranges::sort(groups, std::ranges::greater(),
            [](const Group& group) { return std::pair(group.score(), group.candidate.lastCrashAt); });
        return groups;
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
        if (group.crashes.size() < group.minimum())
            return AttributionVerdict::TooFewCrashes;
        std::vector<const CountedCrash*> counted;
        for (const std::size_t index : group.crashes)
            counted.push_back(&this->crashes[index]);
        group.candidate.momentCount = countMoments(counted);
        if (group.candidate.momentCount < group.minimumMomentCount())
            return AttributionVerdict::SameMoment;
        const bool isAmbiguous = std::ranges::any_of(groups, [&group](const Group& other) {
            return &other != &group && other.score() == group.score() && overlapsMostly(group.crashes, other.crashes);
        });
        return isAmbiguous ? AttributionVerdict::Ambiguous : AttributionVerdict::Cause;
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

    std::span<const CountedCrash> crashes;
    /** The unexplained crashes of each part that has several, in ascending order. */
    std::unordered_map<PromptPart, CrashIndices> crashesByPart;
    std::unordered_map<PromptPart, bool> completedLately;
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

std::vector<CrashCandidate> attributeCrashes(
    std::span<const CountedCrash> crashes, const std::function<bool(PromptPart)>& hasCompletedLately)
{
    return Attribution(crashes, hasCompletedLately).run();
}

} // namespace Quarantine
