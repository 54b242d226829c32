#include <wire/codec.h>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace Wire;
using Foundation::ResultCode;
using Foundation::RunOutcome;

namespace {

template <typename T> T roundTrip(const T& message)
{
    const Message original = message;
    return std::get<T>(decode(encode(std::span(&original, 1))).value().at(0));
}

std::string toCbor(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

std::string singleMessageFrame(const nlohmann::json& message) { return toCbor(nlohmann::json::array({ message })); }

} // namespace

TEST_GROUP(Codec) {};

TEST(Codec, preservesFieldsOfAnOffer)
{
    Offer offer;
    offer.attempt = "a";
    offer.request = "r";
    offer.kind = WorkKind::ServiceCall;
    offer.account = "acc";
    offer.idempotencyKey = "k";
    offer.repeatable = false;
    offer.suspectCrash = "x/1";
    offer.budgetMs = 77;
    offer.promptTokens = 88;
    offer.bodyBytes = 3;
    offer.body = std::string("\x00\xff\x80", 3);
    const Offer decoded = roundTrip(offer);
    CHECK_TRUE(decoded.kind == WorkKind::ServiceCall);
    CHECK_TRUE(decoded.body == offer.body);
    CHECK_FALSE(decoded.repeatable);
    STRCMP_EQUAL("x/1", decoded.suspectCrash.c_str());
    LONGS_EQUAL(77, decoded.budgetMs);
    LONGS_EQUAL(88, decoded.promptTokens);
}

TEST(Codec, preservesLimitsOfUpstreamsAndRequestsForPermits)
{
    using namespace std::chrono_literals;
    const UpstreamLimitNotice notice = roundTrip(UpstreamLimitNotice { { { "u/1", 1.6, 25ms }, { "u/2", {}, 3s } } });
    DOUBLES_EQUAL(1.6, notice.limits.at(0).requestsPerSecond.value_or(0), 0);
    CHECK_TRUE(notice.limits.at(0).age == 25ms);
    CHECK_FALSE(notice.limits.at(1).requestsPerSecond.has_value());
    const PermitRequest request = roundTrip(PermitRequest { 7, true, notice.limits });
    UNSIGNED_LONGS_EQUAL(7, request.number);
    CHECK_TRUE(request.isCallerWaiting);
    STRCMP_EQUAL("u/2", request.upstreams.at(1).upstreamGeneration.c_str());
    const PermitReply reply = roundTrip(PermitReply { 7, "u/1", 40, 90 });
    STRCMP_EQUAL("u/1", reply.upstreamGeneration.c_str());
    LONGS_EQUAL(40, reply.untilRoomMs);
    LONGS_EQUAL(90, reply.retryAfterMs);
    STRCMP_EQUAL("u/1", roundTrip(PermitReturn { "u/1" }).upstreamGeneration.c_str());
    roundTrip(PeerDeparture {});
}

TEST(Codec, preservesMessagesBetweenGateways)
{
    PeerLoad load;
    load.isComplete = true;
    load.permitIssuer = "issuer";
    load.usages.push_back({ "u", 1'500, 2, 300, { { 250, { 1, 1'600 } }, { 1'000, { 2, 40'000 } } }, 700 });
    load.usages.push_back({ "empty", 0, 0, 0, {}, 0 });
    const PeerLoad decodedLoad = roundTrip(load);
    STRCMP_EQUAL("issuer", decodedLoad.permitIssuer.c_str());
    CHECK_TRUE(decodedLoad.isComplete);
    CHECK_TRUE(decodedLoad.usages == load.usages);

    LoadUpdate update;
    update.scope = UpdateScope::FailureDomain;
    load.process = "gateway-1";
    load.incarnation = "r";
    load.number = 17;
    update.loads = { load, {} };
    const LoadUpdate decodedUpdate = roundTrip(update);
    CHECK_TRUE(decodedUpdate.scope == UpdateScope::FailureDomain);
    LONGS_EQUAL(2, decodedUpdate.loads.size());
    STRCMP_EQUAL("gateway-1", decodedUpdate.loads[0].process.c_str());
    STRCMP_EQUAL("r", decodedUpdate.loads[0].incarnation.c_str());
    LONGS_EQUAL(17, decodedUpdate.loads[0].number);
    CHECK_TRUE(decodedUpdate.loads[0].usages == load.usages);
    CHECK_TRUE(decodedUpdate.loads[1].usages.empty());

    const UpstreamFailureNotice decodedNotice = roundTrip(UpstreamFailureNotice { "u/7", 400, true });
    STRCMP_EQUAL("u/7", decodedNotice.generation.c_str());
    LONGS_EQUAL(400, decodedNotice.ejectionMs);
    CHECK_TRUE(decodedNotice.isHelpRefusal);

    StoreCacheReply reply;
    reply.hasCachedState = true;
    reply.operatorUpdate.records.push_back({ "config", std::string("{\"v\":\x80}\0", 9), 7 });
    reply.upstreamUpdate.records.push_back({ "gone", std::nullopt, 0 });
    reply.operatorUpdate.end = 8;
    reply.operatorAgeMs = 0;
    reply.upstreamAgeMs = 12;
    const StoreCacheReply decodedReply = roundTrip(reply);
    CHECK_TRUE(decodedReply.hasCachedState);
    CHECK_TRUE(decodedReply.operatorUpdate.records == reply.operatorUpdate.records);
    CHECK_TRUE(decodedReply.upstreamUpdate.records == reply.upstreamUpdate.records);
    LONGS_EQUAL(8, decodedReply.operatorUpdate.end);
    LONGS_EQUAL(0, decodedReply.operatorAgeMs);
    LONGS_EQUAL(12, decodedReply.upstreamAgeMs);
}

TEST(Codec, preservesLoadOutcomeAndCode)
{
    Refused refused;
    refused.attempt = "a";
    refused.code = ResultCode::QueueFull;
    refused.outcome = RunOutcome::MayHaveRun;
    refused.load = { Membership::Availability::Draining, 1, 2, 3, 4, 5, 6, 7, 8, 9 };
    const Refused decoded = roundTrip(refused);
    CHECK_TRUE(decoded.code == ResultCode::QueueFull);
    CHECK_TRUE(decoded.outcome == RunOutcome::MayHaveRun);
    CHECK_TRUE(decoded.load == refused.load);
}

TEST(Codec, preservesCrashesOfPromptParts)
{
    SuspectNotice notice;
    notice.partCrashes = { { "u/1", Quarantine::CrashCertainty::Suspected, 150, 20, { 1, ~0ull } } };
    notice.partCompletions = { { 7, 30 } };
    notice.partWithdrawn = { "u/2" };
    const SuspectNotice decoded = roundTrip(notice);
    STRCMP_EQUAL("u/1", decoded.partCrashes.at(0).crash.c_str());
    CHECK_TRUE(decoded.partCrashes.at(0).certainty == Quarantine::CrashCertainty::Suspected);
    LONGS_EQUAL(150, decoded.partCrashes.at(0).aliveAgeMs);
    LONGS_EQUAL(20, decoded.partCrashes.at(0).lostAgeMs);
    CHECK_TRUE(decoded.partCrashes.at(0).parts == std::vector<std::uint64_t>({ 1, ~0ull }));
    UNSIGNED_LONGS_EQUAL(7, decoded.partCompletions.at(0).part);
    LONGS_EQUAL(30, decoded.partCompletions.at(0).ageMs);
    STRCMP_EQUAL("u/2", decoded.partWithdrawn.at(0).c_str());
}

TEST(Codec, preservesCompletionsOfRequests)
{
    SuspectNotice notice;
    notice.completed = { { "f", std::chrono::milliseconds(40), 3 } };
    const SuspectNotice decoded = roundTrip(notice);
    STRCMP_EQUAL("f", decoded.completed.at(0).fingerprint.c_str());
    CHECK_TRUE(decoded.completed.at(0).age == std::chrono::milliseconds(40));
    UNSIGNED_LONGS_EQUAL(3, decoded.completed.at(0).count);
}

TEST(Codec, preservesSuspects)
{
    const SuspectNotice decoded = roundTrip(SuspectNotice { { { "f", "c" } }, { "g" }, {}, {} });
    CHECK_TRUE(decoded.crashes.at(0) == (Quarantine::CrashNotice { "f", "c" }));
    STRCMP_EQUAL("g", decoded.cleared.at(0).c_str());
}

TEST(Codec, preservesTheOrderOfMessagesInAFrame)
{
    const std::vector<Message> messages = { AnswerHead { "a", 200, "x" }, AnswerChunk { "a", 0, "d" } };
    const auto decoded = decode(encode(messages)).value();
    LONGS_EQUAL(2, decoded.size());
    CHECK_TRUE(std::holds_alternative<AnswerHead>(decoded[0]));
    STRCMP_EQUAL("d", std::get<AnswerChunk>(decoded[1]).data.c_str());
}

TEST(Codec, ignoresUnknownFields)
{
    const auto decoded = decode(singleMessageFrame({ { "t", 2 }, { "version", 5 }, { "future", "x" } }));
    LONGS_EQUAL(5, std::get<Heartbeat>(decoded.value().at(0)).configurationVersion);
}

TEST(Codec, rejectsMalformedFrames)
{
    CHECK_FALSE(decode("").has_value());
    CHECK_FALSE(decode(toCbor(nlohmann::json::object())).has_value());
    CHECK_FALSE(decode(singleMessageFrame(nlohmann::json::array())).has_value());
    CHECK_FALSE(decode(singleMessageFrame({ { "t", 99 } })).has_value());
    CHECK_FALSE(decode(singleMessageFrame({ { "t", 11 } })).has_value());
    CHECK_FALSE(decode(singleMessageFrame({ { "t", 11 }, { "attempt", "a" }, { "outcome", 9 } })).has_value());
    CHECK_FALSE(decode(singleMessageFrame({ { "t", 2 }, { "version", "five" } })).has_value());
}

TEST(Codec, handlesArbitraryBytes)
{
    CHECK_TRUE(rc::check("arbitrary bytes never make the decoder throw or crash", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        static_cast<void>(decode(bytes));
        const Message chunk = AnswerChunk { "a", 1, "data" };
        std::string damaged = encode(std::span(&chunk, 1));
        damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
        static_cast<void>(decode(damaged));
    }));
}

// Another process could send such a frame, and the decoder must not exhaust the stack.
TEST(Codec, deeplyNestedFramesAreRejected)
{
    constexpr std::size_t depth = 1'000'000;
    for (const char opener : { '\x81', '\x9f', '\xbf', '\xc6' }) {
        CHECK_FALSE(decode(std::string(depth, opener)).has_value());
        CHECK_FALSE(decode(std::string("\x81\xa1\x61\x74", 4) + std::string(depth, opener)).has_value());
    }
    std::string maps;
    for (std::size_t i = 0; i < depth; ++i)
        maps += "\xa1\x61\x74";
    CHECK_FALSE(decode(maps).has_value());
}
