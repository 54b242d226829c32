#include <admission/admissioncontroller.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Admission;
using Configuration::LengthClass;
using Foundation::ResultCode;
using Membership::Availability;

namespace {

Configuration::UpstreamDefinition testUpstream()
{
    Configuration::UpstreamDefinition upstream;
    upstream.memoryTokens = 10'000;
    upstream.maximumConcurrent = 8;
    upstream.prefillTokensPerSecond = 10'000;
    upstream.decodeMicrosecondsPerToken = 1'000;
    upstream.queueCeiling = 16;
    upstream.maximumLongPrefills = 1;
    upstream.ramp = { 8, 10'000, 4 };
    return upstream;
}

Configuration::LimitsDefinition testLimits()
{
    Configuration::LimitsDefinition limits;
    limits.shortPromptTokens = 100;
    limits.longPromptTokens = 1'000;
    return limits;
}

OfferedRequest offeredRequest(const Foundation::Clock& clock, const std::string& attempt, std::int64_t tokens,
    Foundation::Duration budget = std::chrono::seconds(30))
{
    OfferedRequest request;
    request.account = { "a", "", 1, 1'000, 100'000'000 };
    request.queued.attempt = attempt;
    request.queued.account = "a";
    request.queued.promptTokens = tokens;
    request.queued.memoryTokens = tokens;
    request.queued.lengthClass = Configuration::lengthClassFor(testLimits(), tokens);
    request.queued.arrival = clock.now();
    request.queued.deadline = clock.now() + budget;
    return request;
}

} // namespace

TEST_GROUP(AdmissionController)
{
    Foundation::ManualClock clock;
    AdmissionController controller { this->clock, testUpstream(), testLimits() };

    void setup() override { this->controller.setAvailability(Availability::Available); }

    std::vector<std::string> started()
    {
        std::vector<std::string> attempts;
        for (const QueuedRequest& request : this->controller.startReadyRequests())
            attempts.push_back(request.attempt);
        return attempts;
    }
};

TEST(AdmissionController, refusesRequestsThatCannotMeetTheirDeadline)
{
    CHECK_TRUE(this->controller.offer(offeredRequest(this->clock, "a", 9'000, std::chrono::milliseconds(800)))->code
        == ResultCode::DeadlineUnreachable);
    CHECK_FALSE(
        this->controller.offer(offeredRequest(this->clock, "b", 9'000, std::chrono::milliseconds(1'000))).has_value());
}

TEST(AdmissionController, includesThePromptsAheadInTheEstimate)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 9'000)).has_value());
    this->started();
    const auto refusal
        = this->controller.offer(offeredRequest(this->clock, "b", 9'000, std::chrono::milliseconds(1'500)));
    CHECK_TRUE(refusal->code == ResultCode::DeadlineUnreachable);
    CHECK_TRUE(refusal->retryAfter > Foundation::Duration::zero());
}

TEST(AdmissionController, expiresQueuedRequestsThatCannotMeetTheirDeadline)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 9'000)).has_value());
    LONGS_EQUAL(1, this->started().size());
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "b", 5'000, std::chrono::seconds(3))).has_value());
    CHECK_TRUE(this->controller.removeExpired().empty());
    this->clock.advance(std::chrono::milliseconds(2'600));
    const auto expired = this->controller.removeExpired();
    LONGS_EQUAL(1, expired.size());
    STRCMP_EQUAL("b", expired[0].attempt.c_str());
}

TEST(AdmissionController, neverReservesMoreThanTheMemoryCapacity)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 6'000)).has_value());
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "b", 6'000)).has_value());
    LONGS_EQUAL(1, this->started().size());
    this->controller.recordFirstToken("a");
    this->clock.advance(std::chrono::seconds(2));
    CHECK_TRUE(this->started().empty());
    this->controller.recordCompletion("a");
    LONGS_EQUAL(1, this->started().size());
}

TEST(AdmissionController, holdsMemoryAndSlotUntilACancelIsAcknowledged)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 6'000)).has_value());
    this->started();
    this->controller.recordAbort("a");
    LONGS_EQUAL(6'000, this->controller.memory().reservedTokens());
    LONGS_EQUAL(1, this->controller.load().running);
    this->controller.releaseStream("a");
    LONGS_EQUAL(0, this->controller.memory().reservedTokens());
    LONGS_EQUAL(0, this->controller.load().running);
}

TEST(AdmissionController, refusesWithTheReasonWhileUnavailable)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 50)).has_value());
    this->controller.setAvailability(Availability::TakenOut);
    CHECK_TRUE(this->controller.offer(offeredRequest(this->clock, "b", 50))->code == ResultCode::TakenOut);
    CHECK_TRUE(this->started().empty());
    const auto expired = this->controller.removeExpired();
    LONGS_EQUAL(1, expired.size());
    CHECK_TRUE(expired[0].refusal.code == ResultCode::TakenOut);
}

TEST(AdmissionController, limitsConcurrentLongPrefills)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "l1", 2'000)).has_value());
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "l2", 2'000)).has_value());
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "s", 50)).has_value());
    LONGS_EQUAL(2, this->started().size());
    this->controller.recordFirstToken("l1");
    LONGS_EQUAL(1, this->started().size());
}

TEST(AdmissionController, refusesRequestsAboveTheQueueCeiling)
{
    for (int i = 0; i < 16; ++i)
        CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, std::to_string(i), 50)).has_value());
    CHECK_TRUE(this->controller.offer(offeredRequest(this->clock, "x", 50))->code == ResultCode::QueueFull);
}

TEST(AdmissionController, runsASuspectAlone)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 50)).has_value());
    this->started();
    OfferedRequest suspect = offeredRequest(this->clock, "s", 50);
    suspect.suspicion = Suspicion::Suspect;
    CHECK_FALSE(this->controller.offer(suspect).has_value());
    suspect.queued.attempt = "s2";
    CHECK_TRUE(this->controller.offer(suspect)->code == ResultCode::SuspectWaiting);
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "b", 50)).has_value());
    CHECK_TRUE(this->started().empty());
    this->controller.recordCompletion("a");
    CHECK_TRUE(this->started() == std::vector<std::string> { "s" });
    CHECK_TRUE(this->started().empty());
    this->controller.recordCompletion("s");
    CHECK_TRUE(this->started() == std::vector<std::string> { "b" });
}

TEST(AdmissionController, expiresASuspectThatBlocksTheQueueTooLong)
{
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "a", 50)).has_value());
    this->started();
    OfferedRequest suspect = offeredRequest(this->clock, "s", 50);
    suspect.suspicion = Suspicion::Suspect;
    CHECK_FALSE(this->controller.offer(suspect).has_value());
    this->clock.advance(std::chrono::seconds(4));
    const auto expired = this->controller.removeExpired();
    LONGS_EQUAL(1, expired.size());
    CHECK_TRUE(expired[0].refusal.code == ResultCode::SuspectWaiting);
    CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, "b", 50)).has_value());
    LONGS_EQUAL(1, this->started().size());
}

TEST(AdmissionController, detectsAnUpstreamThatTurnsColdWithABacklog)
{
    for (int i = 0; i < 8; ++i)
        CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, std::to_string(i), 500)).has_value());
    LONGS_EQUAL(8, this->started().size());
    CHECK_FALSE(this->controller.detectSlowPrefill());
    this->clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(this->controller.detectSlowPrefill());
    this->controller.recordFirstToken("0");
    this->clock.advance(std::chrono::milliseconds(250));
    CHECK_TRUE(this->controller.detectSlowPrefill());
}

TEST(AdmissionController, doesNotDetectALightlyLoadedUpstreamAsCold)
{
    for (int i = 0; i < 200; ++i) {
        const std::string attempt = std::to_string(i);
        CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, attempt, 20)).has_value());
        this->started();
        if (i > 0) {
            this->controller.recordFirstToken(std::to_string(i - 1));
            this->controller.recordCompletion(std::to_string(i - 1));
        }
        this->clock.advance(std::chrono::milliseconds(20));
        CHECK_FALSE(this->controller.detectSlowPrefill());
    }
}

TEST(AdmissionController, doesNotDetectAWarmUpstreamAsCold)
{
    for (int i = 0; i < 8; ++i)
        CHECK_FALSE(this->controller.offer(offeredRequest(this->clock, std::to_string(i), 500)).has_value());
    this->started();
    CHECK_FALSE(this->controller.detectSlowPrefill());
    for (int i = 0; i < 8; ++i) {
        this->clock.advance(std::chrono::milliseconds(60));
        this->controller.recordFirstToken(std::to_string(i));
        CHECK_FALSE(this->controller.detectSlowPrefill());
    }
    this->clock.advance(std::chrono::hours(1));
    CHECK_FALSE(this->controller.detectSlowPrefill());
}

TEST(AdmissionController, keepsAllLimitsUnderRandomEvents)
{
    CHECK_TRUE(rc::check("reserved memory and running requests match a recount after random events", [] {
        Foundation::ManualClock clock;
        AdmissionController controller(clock, testUpstream(), testLimits());
        controller.setAvailability(Availability::Available);
        std::map<std::string, std::int64_t> reservedTokens;
        std::set<std::string> running;
        int nextAttempt = 0;
        const auto randomItem = [](const auto& items) {
            auto item = items.begin();
            std::advance(item, *rc::gen::inRange<std::size_t>(0, items.size()));
            return *item;
        };
        for (int step = 0; step < 300; ++step) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 100)));
            const auto action = *rc::gen::inRange(0, 14);
            if (action < 6) {
                const auto tokens = *rc::gen::inRange<std::int64_t>(1, 6'000);
                controller.offer(offeredRequest(clock, std::to_string(nextAttempt++), tokens, std::chrono::seconds(5)));
            } else if (action < 10 && !running.empty()) {
                const std::string attempt = randomItem(running);
                running.erase(attempt);
                if (action < 8) {
                    controller.recordFirstToken(attempt);
                    controller.recordCompletion(attempt);
                    reservedTokens.erase(attempt);
                } else {
                    controller.recordAbort(attempt);
                }
            } else if (action < 12 && !reservedTokens.empty()) {
                const auto [attempt, tokens] = randomItem(reservedTokens);
                if (running.contains(attempt))
                    continue;
                controller.releaseStream(attempt);
                reservedTokens.erase(attempt);
            } else if (action == 12 && step % 7 == 0) {
                controller.recordRestart();
                reservedTokens.clear();
                running.clear();
            }
            controller.removeExpired();
            for (const QueuedRequest& request : controller.startReadyRequests()) {
                reservedTokens[request.attempt] = request.memoryTokens;
                running.insert(request.attempt);
            }
            std::int64_t totalReservedTokens = 0;
            for (const auto& [attempt, tokens] : reservedTokens)
                totalReservedTokens += tokens;
            RC_ASSERT(controller.memory().reservedTokens() == totalReservedTokens);
            RC_ASSERT(totalReservedTokens <= 10'000);
            RC_ASSERT(controller.startupRamp().running() == static_cast<std::int64_t>(reservedTokens.size()));
            RC_ASSERT(reservedTokens.size() <= 8u);
        }
    }));
}
