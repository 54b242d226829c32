#include "rawserver.h"

#include <platform/httptransfers.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>
#include <vector>

using namespace Platform;
using PlatformTests::RawServer;

// The framing of answers, from the bytes on a connection. An answer whose framing is not that of RFC 9112 may have
// another body than it seems to have, so it must not be taken as one.
TEST_GROUP(AnswerFraming) {
    static std::string withFields(std::string_view fields, std::string_view body = "0123456789") {
        return "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n" + std::string(fields) + "\r\n" + std::string(body);
}

static std::string withChunks(std::string_view chunks) { return withFields("Transfer-Encoding: chunked\r\n", chunks); }

static std::string withStatusLine(std::string_view line)
{
    return std::string(line) + "\r\nContent-Length: 10\r\n\r\n0123456789";
}

static void checkMalformed(const std::vector<std::string>& answers)
{
    for (const std::string& answer : answers) {
        RawServer server(answer);
        const HttpCallResult result = server.fetch();
        CHECK_TRUE_TEXT(result.outcome == CallOutcome::Broken, answer.c_str());
        CHECK_TRUE_TEXT(!result.error.empty(), answer.c_str());
    }
}

static void checkBody(const std::vector<std::string>& answers, const std::string& body)
{
    for (const std::string& answer : answers) {
        RawServer server(answer);
        const HttpCallResult result = server.fetch();
        STRCMP_EQUAL_TEXT("", result.error.c_str(), answer.c_str());
        CHECK_TRUE_TEXT(result.outcome == CallOutcome::Complete, answer.c_str());
        STRCMP_EQUAL_TEXT(body.c_str(), result.body.c_str(), answer.c_str());
    }
}
}
;

TEST(AnswerFraming, aLengthThatIsNoNumberIsNotTakenForItsFirstDigits)
{
    std::vector<std::string> answers;
    for (const std::string value : { "1\x02\x01"
                                     "0",
             "1 0", "1,0", "0xA", "10x", "+10", "-1", "10;", "10.0", "1\t0", "10, 11", "10,", "99999999999999999999",
             "" })
        answers.push_back(withFields("Content-Length: " + value + "\r\n"));
    answers.push_back(withFields("Content-Length: 10\r\nContent-Length: 9\r\n"));
    answers.push_back(
        withFields("Content-Length: 10\r\nTransfer-Encoding: chunked\r\n", "a\r\n0123456789\r\n0\r\n\r\n"));
    answers.push_back(
        withFields("Transfer-Encoding: chunked\r\nContent-Length: 10\r\n", "a\r\n0123456789\r\n0\r\n\r\n"));
    checkMalformed(answers);
}

TEST(AnswerFraming, aFieldThatIsMalformedIsNoField)
{
    checkMalformed({
        withFields("Content\x01Length: 10\r\n"),
        withFields("Content-Length : 10\r\n"),
        withFields("Transfer\x7f"
                   "Encoding: chunked\r\n",
            "a\r\n0123456789\r\n0\r\n\r\n"),
        withFields("Content-Length: 10\r\n: nameless\r\n"),
        withFields("Content-Length: 10\r\nno colon\r\n"),
        withFields("Content-Length: 10\r\nX-Name: a\x01"
                   "b\r\n"),
        withFields("Content-Length: 10\r\nX-Name: a\rb\r\n"),
        withFields("Content-Length: 10\r\nX-Name: a\r\n folded\r\n"),
        withFields("Content-Length:\r\n 10\r\n"),
        withFields("Content-Length: 10\nX-Name: a\r\n"),
        withFields(std::string_view("Content-Length: 10\r\nX-Name: a\0b\r\n", 34)),
    });
}

TEST(AnswerFraming, aCodingThatWasNotOfferedIsNoBody)
{
    std::vector<std::string> answers;
    for (const std::string value :
        { "chunked, chunked", "gzip, chunked", "chunked;q=1", "identity", "chunke", "chun\x01ked", "chunked,", "" })
        answers.push_back(withFields("Transfer-Encoding: " + value + "\r\n", "a\r\n0123456789\r\n0\r\n\r\n"));
    answers.push_back(
        withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "a\r\n0123456789\r\n0\r\n\r\n"));
    answers.push_back("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n");
    checkMalformed(answers);
}

TEST(AnswerFraming, aChunkWhoseSizeIsNoNumberIsNotTakenForItsFirstDigits)
{
    std::vector<std::string> answers;
    for (const std::string size :
        { "a\x01", "0xa", "axyz", "-a", "+a", "", "g", " a", "a ", "a;\x01", "a;=b", "fffffffffffffffff" })
        answers.push_back(withChunks(size + "\r\n0123456789\r\n0\r\n\r\n"));
    checkMalformed(answers);
}

TEST(AnswerFraming, aBodyInChunksThatDoesNotEndInOrderIsNotComplete)
{
    checkMalformed({
        withChunks("a\r\n0123456789"),
        withChunks("a\r\n0123456789\r\n"),
        withChunks("a\r\n0123456789\r\n0\r\n"),
        withChunks("a\r\n0123456789x\r\n0\r\n\r\n"),
        withChunks("9\r\n0123456789\r\n0\r\n\r\n"),
        withChunks("a\n0123456789\n0\n\n"),
        withChunks("a\r\n0123456789\r\n0\r\nX-Trailer\x01: a\r\n\r\n"),
        withChunks("a\r\n0123456789\r\n0\r\nno colon\r\n\r\n"),
        withFields("Content-Length: 11\r\n"),
    });
}

TEST(AnswerFraming, aStatusLineThatIsMalformedBeginsNoAnswer)
{
    checkMalformed({
        withStatusLine("HTTP/1.1 20\x01 OK"),
        withStatusLine("HTTP/1.1  200 OK"),
        withStatusLine("HTTP/1.1 200"),
        withStatusLine("HTTP/1.1 2000 OK"),
        withStatusLine("HTTP/1.1 200 O\x01K"),
        withStatusLine("HTTP/1.x 200 OK"),
        withStatusLine("HTTP/1.1 101 Switching Protocols"),
        withStatusLine("HXTP/1.1 200 OK"),
        withStatusLine("\r\nHTTP/1.1 200 OK"),
    });
}

// RFC 9110, 15. A status of 600 or more was passed on, and one below 100 was taken for an interim answer.
TEST(AnswerFraming, aStatusOutsideTheDefinedClassesIsNoAnswer)
{
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        const std::string line = "HTTP/1.1 " + status + " Status";
        checkMalformed({ withStatusLine(line), line + "\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK") });
    }
    checkBody({ withStatusLine("HTTP/1.1 599 Status"), withStatusLine("HTTP/1.1 200 OK") }, "0123456789");
}

TEST(AnswerFraming, anInterimAnswerThatNothingFollowsIsNoAnswer)
{
    checkMalformed({ "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" });
}

TEST(AnswerFraming, anAnswerWithMoreFramingThanContentIsGivenUp)
{
    std::string interim;
    for (int i = 0; i < 10'000; ++i)
        interim += "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    std::string extensions;
    for (int i = 0; i < 100; ++i)
        extensions += "1;" + std::string(4'000, 'x') + "\r\na\r\n";
    std::string trailers = "a\r\n0123456789\r\n0\r\n";
    for (int i = 0; i < 10'000; ++i)
        trailers += "a: b\r\n";
    std::string fields;
    for (int i = 0; i < 10'000; ++i)
        fields += "a:\r\n";
    checkMalformed({
        interim + withFields("Content-Length: 10\r\n"),
        withChunks(extensions + "0\r\n\r\n"),
        withChunks(trailers + "\r\n"),
        withFields(fields + "Content-Length: 10\r\n"),
        withFields("X-Long: " + std::string(200'000, 'x') + "\r\nContent-Length: 10\r\n"),
    });
}

TEST(AnswerFraming, allWaysToFrameABodyAreRead)
{
    checkBody(
        {
            withFields("Content-Length: 10\r\n"),
            withFields("content-length:10\t\r\n"),
            withFields("Content-Length: 10, 10\r\n"),
            withFields("Content-Length: 10\r\nContent-Length: 10\r\n"),
            withFields("Content-Length: 010\r\n"),
            withFields(""),
            "HTTP/1.0 200 OK\r\n\r\n0123456789",
            withStatusLine("HTTP/1.1 200 "),
            "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n" + withFields("Content-Length: 10\r\n"),
            withChunks("a\r\n0123456789\r\n0\r\n\r\n"),
            withChunks("A\r\n0123456789\r\n0000\r\n\r\n"),
            withChunks("0005;name=\"a;b\";other\r\n01234\r\n5\r\n56789\r\n0;last\r\nX-Trailer: a\r\n\r\n"),
            withFields("Transfer-Encoding: Chunked\r\n", "a\r\n0123456789\r\n0\r\n\r\n"),
        },
        "0123456789");
    checkBody(
        {
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n",
            withFields("Content-Length: 0\r\n", ""),
            withChunks("0\r\n\r\n"),
        },
        "");
}

// The call waited for a body until its timeout.
TEST(AnswerFraming, anAnswerToHeadEndsWithItsHead)
{
    for (const std::string body : { "", "body" }) {
        RawServer server(withFields("Content-Length: 1000\r\n", ""));
        server.isKeptOpen = true;
        HttpCall call = server.makeCall();
        call.method = "HEAD";
        call.body = body;
        const HttpCallResult result = server.run([&](HttpCall, ResultHandler onDone) {
            call.timeout = std::chrono::seconds(2);
            server.transfers.fetch(call, std::move(onDone));
        });
        STRCMP_EQUAL("", result.error.c_str());
        CHECK_TRUE(result.isSuccess());
        STRCMP_EQUAL("", result.body.c_str());
    }
}

TEST(AnswerFraming, aBodyInManySmallChunksIsRead)
{
    std::string chunks;
    for (int i = 0; i < 50'000; ++i)
        chunks += "1\r\nx\r\n";
    checkBody({ withChunks(chunks + "0\r\n\r\n") }, std::string(50'000, 'x'));
    checkMalformed({ withChunks(chunks + chunks + chunks + chunks + "0\r\n\r\n") });
}
