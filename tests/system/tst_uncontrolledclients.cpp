#include "uncontrolledclients.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>

namespace {

#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define BLUEBELL_ADDRESS_SANITIZER
#endif
#endif

// The sanitizer keeps freed memory, so only what the gateway counts itself can be compared with the bound.
#ifdef BLUEBELL_ADDRESS_SANITIZER
constexpr bool isMemoryKept = true;
#else
constexpr bool isMemoryKept = false;
#endif

// Runs a gateway with a small memory and a crowd of clients that keep no limit.
void check(const char* name, const Proof::CrowdPlan& plan)
{
    const std::vector<Proof::ClientKind> kinds = Proof::allClientKinds(plan.bodyLimit);
    const auto kind = std::ranges::find(kinds, name, &Proof::ClientKind::name);
    const Proof::CrowdResult result
        = Proof::runClientCrowd(std::filesystem::canonical("/proc/self/exe").parent_path(), plan, *kind);
    const std::int64_t bound = plan.memoryBound();
    CHECK_TRUE_TEXT(result.isAlive, "the process has ended");
    const std::int64_t peakBytes = isMemoryKept ? result.peakCountedBytes : result.peakBytes;
    CHECK_TRUE_TEXT(peakBytes >= 0, "the gateway does not tell what it counts");
    if (peakBytes > bound)
        FAIL((std::to_string(peakBytes / 1'000) + " KB held, allowed are " + std::to_string(bound / 1'000)).c_str());
    if (result.peakDescriptors > plan.descriptorBound())
        FAIL((std::to_string(result.peakDescriptors) + " descriptors open").c_str());
    CHECK_TRUE_TEXT(result.isAnswered, "an ordinary request was not answered afterwards");
}

// Shows what complete requests occupy.
constexpr Proof::CrowdPlan largeCrowd { .clients = 600, .memoryMb = 64, .descriptors = 1'400 };

} // namespace

TEST_GROUP(UncontrolledClientsTest) {};

TEST(UncontrolledClientsTest, bodiesInLargeChunksThatNeverEndDoNotExhaustTheMemory) { check("large-chunks", {}); }

TEST(UncontrolledClientsTest, bodiesInChunksOfOneByteDoNotExhaustTheMemory) { check("small-chunks", {}); }

TEST(UncontrolledClientsTest, bodiesThatStopShortOfTheirAnnouncedLengthDoNotExhaustTheMemory)
{
    check("announced", {});
}

TEST(UncontrolledClientsTest, announcedBodiesOverTheLimitDoNotExhaustTheMemory) { check("announced-over-limit", {}); }

TEST(UncontrolledClientsTest, chunkedBodiesOverTheLimitDoNotExhaustTheMemory) { check("chunked-over-limit", {}); }

TEST(UncontrolledClientsTest, chunkSizesOfManyDigitsDoNotExhaustTheMemory) { check("long-chunk-sizes", {}); }

TEST(UncontrolledClientsTest, aChunkSizeWithoutEndDoesNotExhaustTheMemory) { check("endless-chunk-size", {}); }

TEST(UncontrolledClientsTest, aChunkExtensionWithoutEndDoesNotExhaustTheMemory)
{
    check("endless-chunk-extension", {});
}

TEST(UncontrolledClientsTest, trailersWithoutEndDoNotExhaustTheMemory) { check("endless-trailers", {}); }

TEST(UncontrolledClientsTest, headsOverTheLimitDoNotExhaustTheMemory) { check("head-over-limit", {}); }

TEST(UncontrolledClientsTest, headsWithoutEndDoNotExhaustTheMemory) { check("endless-head", {}); }

TEST(UncontrolledClientsTest, emptyLinesWithoutEndDoNotExhaustTheMemory) { check("endless-empty-lines", {}); }

TEST(UncontrolledClientsTest, connectionsThatNeverCompleteAHeadDoNotExhaustTheDescriptors)
{
    check("unfinished-heads", { .clients = 300 });
}

TEST_GROUP(WholeRequestCrowdTest) {};

TEST(WholeRequestCrowdTest, largeHeadsThatWaitForUpstreamsDoNotExhaustTheMemory) { check("whole-heads", largeCrowd); }

TEST(WholeRequestCrowdTest, bodiesThatWaitForUpstreamsDoNotExhaustTheDescriptors) { check("whole-bodies", largeCrowd); }

TEST(WholeRequestCrowdTest, largeHeadsWithBodiesThatWaitForUpstreamsDoNotExhaustTheMemory)
{
    check("whole-heads-and-bodies", largeCrowd);
}

TEST(WholeRequestCrowdTest, upgradesThatWaitForUpstreamsDoNotExhaustTheDescriptors) { check("upgrades", largeCrowd); }

TEST(WholeRequestCrowdTest, requestsBehindUnansweredOnesDoNotExhaustTheMemory) { check("second-requests", largeCrowd); }

TEST_GROUP(UnreadAnswerCrowdTest) {};

TEST(UnreadAnswerCrowdTest, streamsThatNobodyReadsDoNotExhaustTheMemory) { check("unread-answers", {}); }

TEST(UnreadAnswerCrowdTest, refusalsThatNobodyReadsDoNotExhaustTheMemory) { check("unread-refusals", {}); }

TEST_GROUP(IdleConnectionCrowdTest) {};

TEST(IdleConnectionCrowdTest, connectionsWithoutRequestsDoNotKeepOutOrdinaryCallers)
{
    check("silent-connections", { .clients = 300 });
}

TEST(IdleConnectionCrowdTest, connectionsWithAnEmptyLineDoNotKeepOutOrdinaryCallers)
{
    check("one-empty-line", { .clients = 300 });
}

TEST_GROUP(ConnectionResetCrowdTest) {};

TEST(ConnectionResetCrowdTest, connectionsThatAreResetAtOnceDoNotEndAccepting) { check("connect-resets", {}); }

TEST(ConnectionResetCrowdTest, connectionsThatAreResetAfterOneByteDoNotEndAccepting) { check("one-byte-resets", {}); }

TEST(ConnectionResetCrowdTest, connectionsThatAreResetInABodyDoNotEndAccepting) { check("body-resets", {}); }

TEST_GROUP(PipeliningCrowdTest) {};

TEST(PipeliningCrowdTest, pipelinedRequestsBeforeAResetDoNotEndTheProcess) { check("pipelined-resets", {}); }

TEST(PipeliningCrowdTest, pipelinedRequestsBeforeACloseDoNotEndTheProcess) { check("pipelined-closes", {}); }

TEST(PipeliningCrowdTest, refusedRequestsBeforeAResetDoNotEndTheProcess) { check("refused-resets", {}); }

TEST(PipeliningCrowdTest, refusedRequestsBeforeACloseDoNotEndTheProcess) { check("refused-closes", {}); }

TEST(PipeliningCrowdTest, largeHeadsBeforeAResetDoNotEndTheProcess) { check("large-head-resets", {}); }

TEST(PipeliningCrowdTest, largeHeadsBeforeACloseDoNotEndTheProcess) { check("large-head-closes", {}); }

TEST_GROUP(MixedCrowdTest) {};

TEST(MixedCrowdTest, allKindsOfClientsTogetherExhaustNothing) { check("mixed", { .clients = 310 }); }

// Freed blocks that the allocator kept took as much as what was counted.
TEST(MixedCrowdTest, manyClientsOfAllKindsWithLargeBodiesStayWithinTheMemory)
{
    check("mixed", { .clients = 620, .memoryMb = 100, .descriptors = 1'800, .bodyLimit = 4 << 20 });
}
