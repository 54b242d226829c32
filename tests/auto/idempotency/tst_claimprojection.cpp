#include <idempotency/claimprojection.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Idempotency;

namespace {

constexpr std::chrono::milliseconds window = std::chrono::milliseconds(1'000);

struct TimedEntry {
    LogTime time;
    ClaimEntry entry;
};

Claim makeClaim(int key, int attempt) { return { "k" + std::to_string(key), "a" + std::to_string(attempt), "i", "f" }; }

// Computes the owner of a key by reading all entries from the start.
std::string findOwnerNaively(const std::vector<TimedEntry>& entries, const std::string& key)
{
    std::string owner;
    LogTime claimedAt {};
    const LogTime lastTime = entries.empty() ? LogTime() : entries.back().time;
    for (const TimedEntry& timed : entries) {
        if (!owner.empty() && timed.time - claimedAt >= window)
            owner.clear();
        if (const auto* const claim = std::get_if<Claim>(&timed.entry)) {
            if (claim->key == key && owner.empty()) {
                owner = claim->attempt;
                claimedAt = timed.time;
            }
        } else if (const auto* const release = std::get_if<Release>(&timed.entry)) {
            if (release->key == key && release->attempt == owner)
                owner.clear();
        }
    }
    if (!owner.empty() && lastTime - claimedAt >= window)
        owner.clear();
    return owner;
}

} // namespace

TEST_GROUP(ClaimProjection) {};

TEST(ClaimProjection, matchesTheNaiveComputation)
{
    CHECK_TRUE(rc::check("the owner of each key equals the one found by reading all entries from the start", [] {
        std::vector<TimedEntry> entries;
        ClaimProjection projection(window);
        LogTime time {};
        const auto count = *rc::gen::inRange(1, 60);
        for (int i = 0; i < count; ++i) {
            time += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            const int key = *rc::gen::inRange(0, 4);
            const int attempt = *rc::gen::inRange(0, 12);
            ClaimEntry entry = makeClaim(key, attempt);
            if (*rc::gen::inRange(0, 3) == 0)
                entry = Release { "k" + std::to_string(key), "a" + std::to_string(attempt) };
            entries.push_back({ time, entry });
            projection.apply(static_cast<std::uint64_t>(i), time, encodeClaims(std::vector { entry }));
            for (int k = 0; k < 4; ++k) {
                const KeyState* const state = projection.find("k" + std::to_string(k));
                RC_ASSERT((state ? state->owner.attempt : std::string())
                    == findOwnerNaively(entries, "k" + std::to_string(k)));
            }
        }
    }));
}

TEST(ClaimProjection, theFirstClaimWinsAndItsAnswerIsStored)
{
    ClaimProjection projection(window);
    const std::vector<ClaimEntry> both = { makeClaim(1, 1), makeClaim(1, 2) };
    projection.apply(0, LogTime(0), encodeClaims(both));
    STRCMP_EQUAL("a1", projection.find("k1")->owner.attempt.c_str());
    const std::vector<ClaimEntry> answers = { StoredAnswer { "k1", "a2", 200, "text/plain", "no" },
        StoredAnswer { "k1", "a1", 201, "text/plain", "yes" } };
    projection.apply(1, LogTime(1), encodeClaims(answers));
    STRCMP_EQUAL("yes", projection.find("k1")->answer->body.c_str());
}

TEST(ClaimProjection, removesKeysAfterTheWindow)
{
    ClaimProjection projection(window);
    for (int i = 0; i < 1000; ++i)
        projection.apply(
            static_cast<std::uint64_t>(i), LogTime(i * 100), encodeClaims(std::vector<ClaimEntry> { makeClaim(i, i) }));
    CHECK_TRUE(projection.size() <= 10);
}

TEST(ClaimProjection, ignoresRepeatedAndInvalidRecords)
{
    ClaimProjection projection(window);
    projection.apply(0, LogTime(0), "nonsense");
    projection.apply(1, LogTime(0), encodeClaims(std::vector<ClaimEntry> { makeClaim(1, 1) }));
    projection.apply(1, LogTime(0), encodeClaims(std::vector<ClaimEntry> { Release { "k1", "a1" } }));
    CHECK_TRUE(projection.find("k1") != nullptr);
    LONGS_EQUAL(2, projection.nextOffset());
}
