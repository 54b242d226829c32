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

std::string cborOf(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

// A frame with one message.
std::string frameOf(const nlohmann::json& message) { return cborOf(nlohmann::json::array({ message })); }

} // namespace

TEST_GROUP(Codec) {};

TEST(Codec, keepsEveryFieldOfAnOffer)
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
    const Offer got = roundTrip(offer);
    CHECK_TRUE(got.kind == WorkKind::ServiceCall);
    CHECK_TRUE(got.body == offer.body);
    CHECK_FALSE(got.repeatable);
    STRCMP_EQUAL("x/1", got.suspectCrash.c_str());
    LONGS_EQUAL(77, got.budgetMs);
    LONGS_EQUAL(88, got.promptTokens);
}

TEST(Codec, keepsWhatGatewaysTellEachOther)
{
    PeerLoad load;
    load.isComplete = true;
    load.shares.push_back({ "u", 1'500, 2, 300, { { 250, { 1, 1'600 } }, { 1'000, { 2, 40'000 } } }, 700 });
    load.shares.push_back({ "empty", 0, 0, 0, {}, 0 });
    const PeerLoad gotLoad = roundTrip(load);
    CHECK_TRUE(gotLoad.isComplete);
    CHECK_TRUE(gotLoad.shares == load.shares);

    LoadNews news;
    news.scope = NewsScope::FailureDomain;
    load.process = "gateway-1";
    load.run = "r";
    load.number = 17;
    news.loads = { load, {} };
    const LoadNews gotNews = roundTrip(news);
    CHECK_TRUE(gotNews.scope == NewsScope::FailureDomain);
    LONGS_EQUAL(2, gotNews.loads.size());
    STRCMP_EQUAL("gateway-1", gotNews.loads[0].process.c_str());
    STRCMP_EQUAL("r", gotNews.loads[0].run.c_str());
    LONGS_EQUAL(17, gotNews.loads[0].number);
    CHECK_TRUE(gotNews.loads[0].shares == load.shares);
    CHECK_TRUE(gotNews.loads[1].shares.empty());

    const UpstreamNotice gotNotice = roundTrip(UpstreamNotice { "u/7", 400, true });
    STRCMP_EQUAL("u/7", gotNotice.run.c_str());
    LONGS_EQUAL(400, gotNotice.pauseMs);
    CHECK_TRUE(gotNotice.isHelpOnly);

    KnowledgeReply reply;
    reply.isKnown = true;
    reply.operatorRecords.push_back({ "config", std::string("{\"v\":\x80}\0", 9), 7 });
    reply.upstreamRecords.push_back({ "gone", std::nullopt, 0 });
    reply.operatorEnd = 8;
    reply.operatorAgeMs = 0;
    reply.upstreamAgeMs = 12;
    const KnowledgeReply gotReply = roundTrip(reply);
    CHECK_TRUE(gotReply.isKnown);
    CHECK_TRUE(gotReply.operatorRecords == reply.operatorRecords);
    CHECK_TRUE(gotReply.upstreamRecords == reply.upstreamRecords);
    LONGS_EQUAL(8, gotReply.operatorEnd);
    LONGS_EQUAL(0, gotReply.operatorAgeMs);
    LONGS_EQUAL(12, gotReply.upstreamAgeMs);
}

TEST(Codec, keepsLoadOutcomeAndCode)
{
    Refused refused;
    refused.attempt = "a";
    refused.code = ResultCode::QueueFull;
    refused.outcome = RunOutcome::MayHaveRun;
    refused.load = { Membership::Availability::Draining, 1, 2, 3, 4, 5, 6, 7, 8, 9 };
    const Refused got = roundTrip(refused);
    CHECK_TRUE(got.code == ResultCode::QueueFull);
    CHECK_TRUE(got.outcome == RunOutcome::MayHaveRun);
    CHECK_TRUE(got.load == refused.load);
}

TEST(Codec, keepsSuspects)
{
    const SuspectNotice got = roundTrip(SuspectNotice { { { "f", "c" } }, { "g" } });
    CHECK_TRUE(got.crashes.at(0) == (Quarantine::CrashNotice { "f", "c" }));
    STRCMP_EQUAL("g", got.cleared.at(0).c_str());
}

TEST(Codec, keepsTheOrderOfAFrame)
{
    const std::vector<Message> messages = { AnswerHead { "a", 200, "x" }, AnswerChunk { "a", 0, "d" } };
    const auto got = decode(encode(messages)).value();
    LONGS_EQUAL(2, got.size());
    CHECK_TRUE(std::holds_alternative<AnswerHead>(got[0]));
    STRCMP_EQUAL("d", std::get<AnswerChunk>(got[1]).data.c_str());
}

TEST(Codec, ignoresUnknownFields)
{
    const auto got = decode(frameOf({ { "t", 2 }, { "version", 5 }, { "future", "x" } }));
    LONGS_EQUAL(5, std::get<Heartbeat>(got.value().at(0)).configurationVersion);
}

TEST(Codec, refusesWhatIsNoMessage)
{
    CHECK_FALSE(decode("").has_value());
    CHECK_FALSE(decode(cborOf(nlohmann::json::object())).has_value());
    CHECK_FALSE(decode(frameOf(nlohmann::json::array())).has_value());
    CHECK_FALSE(decode(frameOf({ { "t", 99 } })).has_value());
    CHECK_FALSE(decode(frameOf({ { "t", 11 } })).has_value());
    CHECK_FALSE(decode(frameOf({ { "t", 11 }, { "attempt", "a" }, { "outcome", 9 } })).has_value());
    CHECK_FALSE(decode(frameOf({ { "t", 2 }, { "version", "five" } })).has_value());
}

TEST(Codec, survivesAnyBytes)
{
    CHECK_TRUE(rc::check("no bytes make the decoder fail otherwise than by an error", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        static_cast<void>(decode(bytes));
        const Message chunk = AnswerChunk { "a", 1, "data" };
        std::string damaged = encode(std::span(&chunk, 1));
        damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())] = *rc::gen::arbitrary<char>();
        static_cast<void>(decode(damaged));
    }));
}
