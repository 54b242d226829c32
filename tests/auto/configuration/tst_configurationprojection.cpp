#include "naiveconfiguration.h"

#include <configuration/configurationprojection.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Configuration;

namespace {

std::string makeDocument(int number) { return R"({"environment": "e)" + std::to_string(number) + "\"}"; }

Target makeTarget(int number)
{
    return { number % 2 == 0 ? TargetKind::FailureDomain : TargetKind::Instance, "t" + std::to_string(number) };
}

// Makes records of concurrent operators: each change is based on an arbitrary earlier state.
std::vector<std::string> makeConcurrentRecords(NaiveConfiguration& naive)
{
    const auto count = *rc::gen::inRange(1, 40);
    std::vector<std::string> texts;
    std::vector<ConfigurationState> history(1);
    ConfigurationProjection writer;
    for (int i = 0; i < count; ++i) {
        const auto index = *rc::gen::inRange<std::size_t>(0, history.size());
        const ConfigurationState& base = history[index];
        const auto action = *rc::gen::inRange(0, 10);
        // Some changes are appended twice, as after a lost answer.
        const std::string id = "c" + std::to_string(action == 9 && i > 0 ? i - 1 : i);
        ConfigurationRecord record;
        if (action < 4) {
            record = DocumentRecord { id, base.documentVersion, makeDocument(i) };
        } else {
            const Target target = makeTarget(*rc::gen::inRange(0, 3));
            const auto state = action % 2 == 0 ? ServiceState::TakenOut : ServiceState::InService;
            record = ServiceStateRecord { id, base.targetVersion(target), target, state };
        }
        naive.append(record);
        texts.push_back(encodeRecord(record));
        writer.apply(static_cast<std::uint64_t>(i), texts.back());
        history.push_back(writer.state());
    }
    return texts;
}

void assertSameState(const ConfigurationProjection& projection, const NaiveConfiguration& naive)
{
    RC_ASSERT(projection.state().version == naive.version());
    RC_ASSERT(projection.state().documentText == naive.document());
    for (int i = 0; i < 3; ++i) {
        const Target target = makeTarget(i);
        const auto found = projection.state().targets.find(target);
        const bool isTakenOut
            = found != projection.state().targets.end() && found->second.state == ServiceState::TakenOut;
        RC_ASSERT(isTakenOut == naive.isTakenOut(target));
    }
}

} // namespace

TEST_GROUP(ConfigurationProjection) {};

TEST(ConfigurationProjection, matchesTheNaiveImplementation)
{
    CHECK_TRUE(rc::check("the projection equals the naive implementation", [] {
        NaiveConfiguration naive;
        const auto texts = makeConcurrentRecords(naive);
        ConfigurationProjection projection;
        std::uint64_t version = 0;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            const bool isAccepted = projection.apply(i, texts[i]) == RecordOutcome::Accepted;
            RC_ASSERT(isAccepted == naive.isAccepted(i));
            RC_ASSERT(projection.state().version >= version);
            version = projection.state().version;
        }
        assertSameState(projection, naive);
    }));
}

TEST(ConfigurationProjection, reachesTheSameStateFromASnapshotAfterRecordsExpired)
{
    CHECK_TRUE(rc::check("a process that starts after records expired reaches the same state from a snapshot", [] {
        NaiveConfiguration naive;
        auto texts = makeConcurrentRecords(naive);
        const auto snapshotOffset = *rc::gen::inRange<std::size_t>(0, texts.size() + 1);
        ConfigurationProjection writer;
        for (std::size_t i = 0; i < snapshotOffset; ++i)
            writer.apply(i, texts[i]);
        // The snapshot is appended after later records, and the reader starts at or before the end of what it covers.
        const auto firstRetained = *rc::gen::inRange<std::size_t>(0, snapshotOffset + 1);
        ConfigurationProjection reader;
        for (std::size_t i = firstRetained; i < texts.size(); ++i)
            reader.apply(i, texts[i]);
        reader.apply(texts.size(), encodeRecord(SnapshotRecord { writer.state() }));
        RC_ASSERT(reader.isReady());
        RC_ASSERT(!reader.hasGap());
        assertSameState(reader, naive);
    }));
}

TEST(ConfigurationProjection, neverLowersTheVersionWithPeerStates)
{
    CHECK_TRUE(rc::check("applying the states of peers in any order never lowers the version", [] {
        NaiveConfiguration naive;
        const auto texts = makeConcurrentRecords(naive);
        std::vector<ConfigurationState> states;
        ConfigurationProjection writer;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            writer.apply(i, texts[i]);
            states.push_back(writer.state());
        }
        ConfigurationProjection projection;
        std::uint64_t version = 0;
        for (int step = 0; step < 30; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, texts.size());
            if (*rc::gen::arbitrary<bool>())
                projection.applyPeerState(states[index]);
            else
                projection.apply(index, texts[index]);
            RC_ASSERT(projection.state().version >= version);
            version = projection.state().version;
        }
        for (std::size_t i = 0; i < texts.size(); ++i)
            projection.apply(i, texts[i]);
        projection.applyPeerState(states.back());
        assertSameState(projection, naive);
    }));
}

TEST(ConfigurationProjection, acceptsOneOfTwoConcurrentDocuments)
{
    ConfigurationProjection projection;
    CHECK_TRUE(
        projection.apply(0, encodeRecord(DocumentRecord { "a", 0, makeDocument(1) })) == RecordOutcome::Accepted);
    CHECK_TRUE(
        projection.apply(1, encodeRecord(DocumentRecord { "b", 1, makeDocument(2) })) == RecordOutcome::Accepted);
    CHECK_TRUE(
        projection.apply(2, encodeRecord(DocumentRecord { "c", 1, makeDocument(3) })) == RecordOutcome::RaceLost);
    CHECK_TRUE(
        projection.apply(3, encodeRecord(DocumentRecord { "b", 1, makeDocument(2) })) == RecordOutcome::Duplicate);
    LONGS_EQUAL(2, projection.state().version);
    CHECK_FALSE(projection.state().findDecidedChange("c")->accepted);
}

TEST(ConfigurationProjection, isNotReadyUntilASnapshotClosesTheGap)
{
    ConfigurationProjection projection;
    const Target target { TargetKind::FailureDomain, "a" };
    const ServiceStateRecord takeOut { "x", 0, target, ServiceState::TakenOut };
    CHECK_TRUE(projection.apply(7, encodeRecord(takeOut)) == RecordOutcome::Pending);
    CHECK_FALSE(projection.isReady());
    ConfigurationState tooOld;
    tooOld.nextOffset = 5;
    projection.apply(8, encodeRecord(SnapshotRecord { tooOld }));
    CHECK_FALSE(projection.isReady());
    ConfigurationState recent;
    recent.nextOffset = 7;
    recent.version = 3;
    recent.documentVersion = 3;
    recent.documentText = makeDocument(1);
    projection.apply(9, encodeRecord(SnapshotRecord { recent }));
    CHECK_TRUE(projection.isReady());
    CHECK_TRUE(projection.state().isTakenOut("i", "a"));
    LONGS_EQUAL(8, projection.state().version);
    LONGS_EQUAL(10, projection.state().nextOffset);
}

TEST(ConfigurationProjection, usesTheOldStateDuringAGap)
{
    ConfigurationProjection projection;
    projection.apply(0, encodeRecord(DocumentRecord { "a", 0, makeDocument(1) }));
    projection.apply(5, encodeRecord(DocumentRecord { "z", 3, makeDocument(9) }));
    CHECK_TRUE(projection.isReady());
    CHECK_TRUE(projection.hasGap());
    LONGS_EQUAL(1, projection.state().version);
}

TEST(ConfigurationProjection, skipsInvalidRecords)
{
    ConfigurationProjection projection;
    CHECK_TRUE(projection.apply(0, "nonsense") == RecordOutcome::Invalid);
    CHECK_TRUE(projection.apply(1, R"({"kind":"document","changeId":"a","base":0,"document":"{\"x\":1}"})")
        == RecordOutcome::Invalid);
    CHECK_TRUE(
        projection.apply(2, encodeRecord(DocumentRecord { "b", 0, makeDocument(1) })) == RecordOutcome::Accepted);
    LONGS_EQUAL(3, projection.state().version);
}
