#include "agentsubset.h"

#include "rendezvoushash.h"

#include <algorithm>
#include <map>

namespace Membership {

namespace {

struct RankedInstance {
    std::uint64_t score;
    const Instance* instance;
};

using DomainRanking = std::map<std::string_view, std::vector<RankedInstance>>;

void sortByScore(DomainRanking& domains)
{
    for (auto& [domain, ranking] : domains)
        std::ranges::sort(ranking, std::ranges::greater {}, &RankedInstance::score);
}

// Takes one agent of each failure domain in turn, so that the loss of a domain costs only its share of the agents.
void chooseRoundRobin(const DomainRanking& domains, std::size_t subsetSize, std::vector<std::string>& chosen)
{
    std::size_t count = 0;
    for (std::size_t round = 0; count < subsetSize; ++round) {
        bool hasChosen = false;
        for (const auto& [domain, ranking] : domains) {
            if (round >= ranking.size() || count == subsetSize)
                continue;
            chosen.push_back(ranking[round].instance->id);
            ++count;
            hasChosen = true;
        }
        if (!hasChosen)
            return;
    }
}

} // namespace

std::vector<std::string> chooseSubset(
    std::string_view entry, std::span<const Instance> instances, std::size_t subsetSize)
{
    std::map<std::string_view, DomainRanking> rankings;
    for (const Instance& instance : instances) {
        const std::uint64_t score = rendezvousScore(entry, instance.id);
        rankings[instance.upstream][instance.failureDomain].push_back({ score, &instance });
    }
    std::vector<std::string> chosen;
    for (auto& [upstream, domains] : rankings) {
        sortByScore(domains);
        chooseRoundRobin(domains, subsetSize, chosen);
    }
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace Membership
