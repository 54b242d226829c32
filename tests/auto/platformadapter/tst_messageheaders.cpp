#include "platform/messageheaders.h"

#include <CppUTest/TestHarness.h>

#include <foundation/identifier.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace PlatformAdapter;
using namespace std::chrono_literals;

namespace {

Web::HttpRequest testRequest()
{
    Web::HttpRequest request;
    request.method = "POST";
    request.headers = { { "Host", "h.example:80" }, { "X-Attempt-Id", "a1" }, { "X-Deadline-Ms", "1500" },
        { "Authorization", "Token secret" }, { "X-Token-Usage", "1460,80" }, { "X-Tenant", "forged" },
        { "X-Expect-Instance", "forged" }, { "X-Helpers", "10.0.0.1:1" }, { "Connection", "keep-alive, X-Private" },
        { "X-Private", "1" }, { "Transfer-Encoding", "chunked" }, { "X-Model", "m" }, { "X-Empty", "" },
        { "Last-Event-Id", "12" } };
    return request;
}

bool containsLine(const std::vector<std::string>& lines, std::string_view line)
{
    return std::ranges::find(lines, line) != lines.end();
}

bool containsName(const std::vector<std::string>& lines, std::string_view name)
{
    return std::ranges::any_of(lines, [name](const std::string& line) { return line.starts_with(name); });
}

Platform::HttpAnswerHead makeAnswer(int status, std::vector<Platform::HttpField> headers)
{
    return { status, "", std::move(headers) };
}

std::vector<std::uint64_t> decodeParts(std::string_view list)
{
    Web::HttpRequest request;
    request.headers = { { "X-Prefix-Hash", std::string(list) } };
    return decodeCallerRequest(request).sharedPromptParts;
}

} // namespace

TEST_GROUP(MessageHeadersTest) {};

TEST(MessageHeadersTest, decodesACallerRequest)
{
    const CallerRequest request = decodeCallerRequest(testRequest());
    STRCMP_EQUAL("a1", request.id.c_str());
    STRCMP_EQUAL("h.example", request.host.c_str());
    STRCMP_EQUAL("secret", request.key.c_str());
    CHECK_TRUE(*request.callerTimeout == 1500ms);
    LONGS_EQUAL(1460, request.promptTokens);
    LONGS_EQUAL(80, request.maximumOutputTokens);
}

TEST(MessageHeadersTest, doesNotForwardKeysHopByHopHeadersAndForgedHeaders)
{
    ForwardingHeaders forwarding;
    forwarding.upstream = "i-1";
    forwarding.account = "t";
    forwarding.timeLeft = 900ms;
    const auto lines = encodeForwardingHeaders(testRequest(), forwarding);
    CHECK_FALSE(containsName(lines, "Authorization"));
    CHECK_FALSE(containsName(lines, "Connection"));
    CHECK_FALSE(containsName(lines, "X-Private"));
    CHECK_FALSE(containsName(lines, "Transfer-Encoding"));
    CHECK_FALSE(containsName(lines, "X-Helpers"));
    CHECK_TRUE(containsLine(lines, "X-Tenant: t"));
    CHECK_TRUE(containsLine(lines, "X-Expect-Instance: i-1"));
    CHECK_TRUE(containsLine(lines, "X-Deadline-Ms: 900"));
    CHECK_TRUE(containsLine(lines, "X-Model: m"));
    CHECK_TRUE(containsLine(lines, "X-Empty;"));
    CHECK_TRUE(containsLine(lines, "Last-Event-Id: 12"));
    CHECK_TRUE(containsLine(lines, "Host: h.example:80"));
}

TEST(MessageHeadersTest, resumedStreamSendsOneLastEventId)
{
    ForwardingHeaders forwarding;
    forwarding.upstream = "i-1";
    forwarding.resumeAfter = "17";
    forwarding.helpers = { "10.0.0.1:1", "10.0.0.2:1/t" };
    const auto lines = encodeForwardingHeaders(testRequest(), forwarding);
    CHECK_TRUE(containsLine(lines, "Last-Event-Id: 17"));
    CHECK_FALSE(containsLine(lines, "Last-Event-Id: 12"));
    CHECK_TRUE(containsLine(lines, "X-Helpers: 10.0.0.1:1,10.0.0.2:1/t"));
}

TEST(MessageHeadersTest, detectsAnAnswerToAnotherRequest)
{
    CHECK_TRUE(decodeAnswerHeaders(makeAnswer(200, { { "x-attempt-id", "a1" }, { "X-Response-Signature", "s" } }), "a1")
                   .belongsToRequest);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(200, { { "X-Attempt-Id", "a2" } }), "a1").belongsToRequest);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(200, {}), "a1").belongsToRequest);
}

TEST(MessageHeadersTest, onlyTheUpstreamCanStateThatARequestWasNotExecuted)
{
    CHECK_TRUE(decodeAnswerHeaders(makeAnswer(503, { { "X-Not-Executed", "1" } }), "a").isNotExecuted);
    CHECK_TRUE(decodeAnswerHeaders(makeAnswer(421, {}), "a").isNotExecuted);
    CHECK_TRUE(decodeAnswerHeaders(makeAnswer(421, {}), "a").isMisaddressed);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(503, {}), "a").isNotExecuted);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(504, { { "X-Attempt-Id", "a" } }), "a").isNotExecuted);
}

TEST(MessageHeadersTest, aRejectionWithoutAnIdIsNotBelievedOnAConnectionThatWasUsedBefore)
{
    Platform::HttpAnswerHead answer = makeAnswer(503, { { "X-Not-Executed", "1" } });
    CHECK_TRUE(decodeAnswerHeaders(answer, "a").belongsToRequest);
    answer.isOnUsedConnection = true;
    CHECK_FALSE(decodeAnswerHeaders(answer, "a").belongsToRequest);
    answer.headers.push_back({ "X-Attempt-Id", "a" });
    CHECK_TRUE(decodeAnswerHeaders(answer, "a").belongsToRequest);
}

TEST(MessageHeadersTest, decodesWhatAnUpstreamSaysOfItself)
{
    CHECK_TRUE(decodeAnswerHeaders(makeAnswer(200, { { "Server-Leaving", "1" } }), "a").isLeaving);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(200, { { "Server-Leaving", "0" } }), "a").isLeaving);
    CHECK_FALSE(decodeAnswerHeaders(makeAnswer(200, {}), "a").isLeaving);
    const auto pauseOf = [](int status, const char* text) {
        return decodeAnswerHeaders(makeAnswer(status, { { "Retry-After", text } }), "a").pause;
    };
    CHECK_TRUE(pauseOf(503, "2") == std::optional<Foundation::Duration>(2s));
    CHECK_TRUE(pauseOf(503, "0.25") == std::optional<Foundation::Duration>(250ms));
    CHECK_TRUE(pauseOf(503, "1e300") == std::optional<Foundation::Duration>(1h));
    for (const char* const text : { "", "-1", "nan", "2s", "Fri, 31 Dec 1999 23:59:59 GMT" })
        CHECK_FALSE(pauseOf(503, text).has_value());
    CHECK_FALSE(pauseOf(429, "2").has_value());
    const auto limitOf = [](const char* text) {
        return decodeAnswerHeaders(makeAnswer(200, { { "Server-Limit", text } }), "a").requestsPerSecond;
    };
    DOUBLES_EQUAL(1.6, limitOf("1.6").value_or(-1), 0);
    DOUBLES_EQUAL(0, limitOf("0").value_or(-1), 0);
    for (const char* const text : { "", "-1", "nan", "many" })
        CHECK_FALSE(limitOf(text).has_value());
}

TEST(MessageHeadersTest, generatedAnswersHaveARetryAfterHeader)
{
    const Web::HttpReply reply = encodeLocalReply(503, "a1", 250ms, "NoUpstream");
    const auto found = std::ranges::find(reply.headers, std::string("Retry-After"), &Web::HttpHeader::name);
    STRCMP_EQUAL("0.250", found->value.c_str());
    UNSIGNED_LONGS_EQUAL(0, encodeLocalReply(502, "", {}, "x").headers.size());
}

TEST(MessageHeadersTest, theLastPartOfAPromptIsNotShared)
{
    const std::vector<std::uint64_t> expected { 0x5c1e07a2, 0x91bd3f06 };
    CHECK_TRUE(decodeParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == expected);
    CHECK_TRUE(decodeParts("5C1E07A2:1, 91bd3f06 :2,5c1e07a2:3,e4402b7d") == expected);
    CHECK_TRUE(decodeParts("e4402b7d:250").empty());
    CHECK_TRUE(decodeParts("").empty());
}

TEST(MessageHeadersTest, allPartsOfALongListAreRead)
{
    std::string list;
    for (int i = 1; i <= 81; ++i)
        list += (i == 1 ? "" : ",") + std::to_string(i) + ":10";
    const std::vector<std::uint64_t> parts = decodeParts(list);
    UNSIGNED_LONGS_EQUAL(80, parts.size());
    UNSIGNED_LONGS_EQUAL(0x80, parts.back());
}

// Guards against a part that crashes upstreams and is never found, since it stands behind the parts that are read.
TEST(MessageHeadersTest, aPartBehindAsManyOthersAsAHeadHoldsIsRead)
{
    constexpr std::size_t headBytes = 16'384;
    std::string list;
    std::size_t count = 0;
    while (list.size() + std::string_view("fffff:1,deadbeef:1,0").size() < headBytes) {
        std::array<char, 16> entry {};
        std::snprintf(entry.data(), entry.size(), "%zx:1,", ++count);
        list += entry.data();
    }
    const std::vector<std::uint64_t> parts = decodeParts(list + "deadbeef:1,0");
    UNSIGNED_LONGS_EQUAL(count + 1, parts.size());
    CHECK_TRUE(parts.back() == 0xdeadbeef);
}

TEST(MessageHeadersTest, malformedListsOfPartsAreTolerated)
{
    const std::vector<std::uint64_t> onlyA { 0xa };
    CHECK_TRUE(decodeParts("a,b") == onlyA);
    CHECK_TRUE(decodeParts(",:5,,a:,b:,, ,") == onlyA);
    CHECK_TRUE(decodeParts("a:99999999999999999999999999,b:-1") == onlyA);
    CHECK_TRUE(decodeParts(":1,:2,:3").empty());
    CHECK_TRUE(decodeParts(",,,").empty());
    CHECK_TRUE(decodeParts("123456789ABCDEF01:1,b") == std::vector { Foundation::hash64("123456789abcdef01") });
    CHECK_TRUE(decodeParts("x y:1,b") == std::vector { Foundation::hash64("x y") });
    std::string longList;
    for (int i = 0; i < 100'000; ++i)
        longList += std::to_string(i) + ":1,";
    CHECK_TRUE(decodeParts(longList).size() <= 4'096);
}

TEST(MessageHeadersTest, anyBytesInAListOfPartsDecodeToAFewDistinctParts)
{
    CHECK_TRUE(rc::check([] {
        const auto bytes = *rc::gen::oneOf(rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
            rc::gen::container<std::string>(rc::gen::element('a', 'B', '1', ':', ',', ',', ' ', '\0')));
        const std::vector<std::uint64_t> parts = decodeParts(bytes);
        RC_ASSERT(parts.size() <= 4'096u);
        RC_ASSERT(std::set<std::uint64_t>(parts.begin(), parts.end()).size() == parts.size());
        RC_ASSERT(parts.size() <= static_cast<std::size_t>(std::ranges::count(bytes, ',')));
    }));
}
