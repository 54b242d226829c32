#include <membership/agentsubset.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Membership;

namespace {

std::vector<Instance> makeInstances(int domains, int perDomain)
{
    std::vector<Instance> instances;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < perDomain; ++i) {
            const std::string id = "d" + std::to_string(domain) + "-" + std::to_string(i);
            instances.push_back({ id, "127.0.0.1:1", "muse", "d" + std::to_string(domain), ListedState::Live });
        }
    }
    return instances;
}

} // namespace

TEST_GROUP(AgentSubset) {};

TEST(AgentSubset, choosesAllInstancesOfASmallFleet)
{
    LONGS_EQUAL(6, chooseSubset("e", makeInstances(3, 2), 48).size());
}

TEST(AgentSubset, spreadsOverFailureDomains)
{
    CHECK_TRUE(rc::check("each domain gets an equal share, within one", [] {
        const auto domains = *rc::gen::inRange(1, 8);
        const auto perDomain = *rc::gen::inRange(1, 20);
        const auto size = *rc::gen::inRange<std::size_t>(1, 30);
        const auto entry = "e" + std::to_string(*rc::gen::inRange(0, 1000));
        const auto instances = makeInstances(domains, perDomain);
        const auto chosen = chooseSubset(entry, instances, size);
        RC_ASSERT(chosen.size() == std::min(size, instances.size()));
        std::map<std::string, int> byDomain;
        for (const std::string& id : chosen)
            ++byDomain[id.substr(0, id.find('-'))];
        int most = 0;
        int least = static_cast<int>(byDomain.size()) == domains ? perDomain : 0;
        for (const auto& [domain, count] : byDomain) {
            most = std::max(most, count);
            least = std::min(least, count);
        }
        RC_ASSERT(most - least <= 1);
    }));
}

TEST(AgentSubset, changesAtMostOneAgentWhenAnInstanceIsRemoved)
{
    const auto instances = makeInstances(3, 20);
    const auto before = chooseSubset("e", instances, 12);
    for (const Instance& removed : instances) {
        auto remaining = instances;
        std::erase(remaining, removed);
        const auto after = chooseSubset("e", remaining, 12);
        std::vector<std::string> common;
        std::ranges::set_intersection(before, after, std::back_inserter(common));
        CHECK_TRUE(common.size() >= 11);
    }
}

TEST(AgentSubset, spreadsEntriesOverAgents)
{
    const auto instances = makeInstances(3, 20);
    std::map<std::string, int> connections;
    for (int entry = 0; entry < 100; ++entry) {
        for (const std::string& id : chooseSubset("entry-" + std::to_string(entry), instances, 12))
            ++connections[id];
    }
    // 100 entries with 12 agents each result in 20 connections per agent on average, with 60 agents.
    for (const auto& [id, count] : connections)
        CHECK_TRUE(count >= 5 && count <= 40);
    LONGS_EQUAL(60, connections.size());
}
