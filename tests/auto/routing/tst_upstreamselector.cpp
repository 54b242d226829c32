#include <routing/longpromptpacking.h>
#include <routing/predictedlatencyselector.h>
#include <routing/prefixaffinity.h>
#include <routing/roundrobinselector.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Routing;
using Configuration::LengthClass;
using Membership::Availability;

namespace {

const std::vector<std::string> instanceIds = { "a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3" };

std::vector<Candidate> idleCandidates()
{
    std::vector<Candidate> candidates;
    for (const std::string& id : instanceIds) {
        Candidate candidate;
        candidate.instance = id;
        candidate.failureDomain = std::string_view(id).substr(0, 1);
        candidate.locality = id[0] == 'a' ? Locality::Local : Locality::Remote;
        candidate.load = { Availability::Available, 0, 0, 64, 0, 0, 0, 400'000, 400'000, 50'000 };
        candidates.push_back(candidate);
    }
    return candidates;
}

RoutedRequest shortRequest()
{
    RoutedRequest request;
    request.model = "m";
    request.promptTokens = 1'000;
    request.memoryTokens = 1'100;
    return request;
}

std::uint64_t randomFromRapidCheck(std::uint64_t bound) { return *rc::gen::inRange<std::uint64_t>(0, bound); }

struct SeededRandom {
    std::uint64_t state = 1;

    std::uint64_t operator()(std::uint64_t bound)
    {
        this->state = this->state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (this->state >> 33) % bound;
    }
};

} // namespace

TEST_GROUP(UpstreamSelector)
{
    std::vector<Candidate> candidates = idleCandidates();
    PredictedLatencySelector selector { LongPromptPlacement::Packed };
    SeededRandom random;

    std::string choose(const RoutedRequest& request)
    {
        const auto index = this->selector.choose(this->candidates, request, std::ref(this->random));
        return index ? std::string(this->candidates[*index].instance) : std::string();
    }
};

TEST(UpstreamSelector, neverChoosesAnIneligibleUpstream)
{
    CHECK_TRUE(rc::check("unavailable, excluded and too small upstreams are never chosen", [] {
        std::vector<Candidate> candidates = idleCandidates();
        const std::vector<std::string> excluded
            = { instanceIds[*rc::gen::inRange<std::size_t>(0, instanceIds.size())] };
        for (Candidate& candidate : candidates) {
            candidate.load.availability = static_cast<Availability>(*rc::gen::inRange(0, 6));
            candidate.load.capacityTokens = *rc::gen::element<std::int64_t>(500, 400'000);
            candidate.load.shortWaitMs = *rc::gen::inRange(0, 5'000);
        }
        RoutedRequest request = shortRequest();
        request.lengthClass = static_cast<LengthClass>(*rc::gen::inRange(0, 3));
        request.prefixHash = *rc::gen::inRange<std::uint64_t>(0, 3);
        request.excluded = excluded;
        RoundRobinSelector roundRobin;
        PredictedLatencySelector predicted(LongPromptPlacement::Packed);
        for (const auto& index : { predicted.choose(candidates, request, &randomFromRapidCheck),
                 roundRobin.choose(candidates, request, &randomFromRapidCheck) }) {
            RC_ASSERT(index.has_value() == !eligibleIndices(candidates, request).empty());
            if (!index)
                continue;
            RC_ASSERT(candidates[*index].load.availability == Availability::Available);
            RC_ASSERT(candidates[*index].load.capacityTokens >= request.memoryTokens);
            RC_ASSERT(candidates[*index].instance != excluded[0]);
        }
    }));
}

TEST(UpstreamSelector, staysInTheOwnDomainUntilAnotherIsMuchFaster)
{
    for (int i = 0; i < 50; ++i)
        CHECK_TRUE(this->choose(shortRequest()).starts_with("a"));
    for (Candidate& candidate : this->candidates) {
        if (candidate.locality == Locality::Local)
            candidate.load.shortWaitMs = 500;
    }
    for (int i = 0; i < 50; ++i)
        CHECK_TRUE(this->choose(shortRequest()).starts_with("b"));
}

TEST(UpstreamSelector, avoidsTheBusyUpstream)
{
    this->candidates[0].load.shortWaitMs = 400;
    int busy = 0;
    for (int i = 0; i < 400; ++i)
        busy += this->choose(shortRequest()) == "a0" ? 1 : 0;
    CHECK_TRUE(busy < 50);
}

TEST(UpstreamSelector, includesRequestsSentSinceTheLastReport)
{
    for (Candidate& candidate : this->candidates) {
        if (candidate.instance != "a1")
            candidate.unreportedTokens = 200'000;
    }
    int chosen = 0;
    for (int i = 0; i < 200; ++i)
        chosen += this->choose(shortRequest()) == "a1" ? 1 : 0;
    CHECK_TRUE(chosen > 60);
}

TEST(UpstreamSelector, packsLongPromptsOntoFewUpstreams)
{
    RoutedRequest request = shortRequest();
    request.lengthClass = LengthClass::Long;
    std::set<std::string> used;
    for (int i = 0; i < 20; ++i)
        used.insert(this->choose(request));
    LONGS_EQUAL(1, used.size());
    for (Candidate& candidate : this->candidates) {
        if (candidate.instance == *used.begin())
            candidate.load.longWaitMs = 4'000;
    }
    used.insert(this->choose(request));
    LONGS_EQUAL(2, used.size());
}

TEST(UpstreamSelector, choosesTheLeastBusyUpstreamForALongPromptIfAllAreBusy)
{
    RoutedRequest request = shortRequest();
    request.lengthClass = LengthClass::Long;
    for (Candidate& candidate : this->candidates)
        candidate.load.longWaitMs = 3'000;
    this->candidates[5].load.longWaitMs = 2'000;
    STRCMP_EQUAL("b1", this->choose(request).c_str());
}

TEST(UpstreamSelector, sendsAPrefixToOneUpstreamUnlessThatIsBusy)
{
    RoutedRequest request = shortRequest();
    request.prefixHash = 77;
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
        used.insert(this->choose(request));
    LONGS_EQUAL(1, used.size());
    for (Candidate& candidate : this->candidates) {
        if (candidate.instance == *used.begin())
            candidate.load.shortWaitMs = 1'000;
    }
    CHECK_TRUE(this->choose(request) != *used.begin());
}

TEST(UpstreamSelector, prefixesSpreadOverAllUpstreams)
{
    std::map<std::string, int> byUpstream;
    for (std::uint64_t prefix = 1; prefix <= 800; ++prefix) {
        RoutedRequest request = shortRequest();
        request.prefixHash = prefix;
        ++byUpstream[std::string(this->candidates[*findPrefixOwner(this->candidates, request)].instance)];
    }
    for (const auto& [id, count] : byUpstream)
        CHECK_TRUE(count > 60 && count < 150);
    LONGS_EQUAL(0, hashPromptPrefix("short"));
}
