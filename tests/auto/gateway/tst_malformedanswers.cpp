#include "gatewayfixture.h"

#include <optional>
#include <utility>

using namespace GatewayTests;

namespace {

constexpr std::string_view fullBody = "0123456789";

/** An upstream that answers each request with the given fields and bytes, whatever they are. */
struct RawUpstream {
    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::string fields;
    std::string body;
    std::string statusLine = "HTTP/1.1 200 OK";
    /** How long after the answer the connection is reset, with the rest of the request unread; not at all if empty. */
    std::optional<std::chrono::milliseconds> resetDelay;
    int requestCount = 0;
    /** The requests that continue a stream. */
    int resumedCount = 0;

    explicit RawUpstream(asio::io_context& context)
        : context(context)
    {
        // The rest of a long request stays unread.
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
        this->accept();
    }

    std::string entry(const std::string& service)
    {
        return makeUpstreamEntry({ service, this->acceptor.local_endpoint().port(), 1, 4, false });
    }

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket accepted) {
            if (error)
                return;
            this->read(std::make_shared<asio::ip::tcp::socket>(std::move(accepted)));
            this->accept();
        });
    }

    void read(const std::shared_ptr<asio::ip::tcp::socket>& socket)
    {
        const auto request = std::make_shared<std::string>();
        asio::async_read_until(*socket, asio::dynamic_buffer(*request), "\r\n\r\n",
            [this, socket, request](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                ++this->requestCount;
                this->resumedCount += request->find("Last-Event-Id: ") == std::string::npos ? 0 : 1;
                const std::size_t begin = request->find("X-Attempt-Id: ");
                const std::string id = request->substr(begin, request->find("\r\n", begin) - begin);
                const auto answer = std::make_shared<std::string>(this->statusLine + "\r\nX-Response-Signature: s\r\n"
                    + id + "\r\n" + this->fields + "\r\n" + this->body);
                // The connection stays open, as that of an upstream that takes its answer for a sound one.
                asio::async_write(
                    *socket, asio::buffer(*answer), [this, socket, answer](const asio::error_code&, std::size_t) {
                        if (this->resetDelay)
                            this->resetLater(socket);
                        else
                            this->read(socket);
                    });
            });
    }

    void resetLater(const std::shared_ptr<asio::ip::tcp::socket>& socket)
    {
        const auto timer = std::make_shared<asio::steady_timer>(this->context, *this->resetDelay);
        timer->async_wait([timer, socket](const asio::error_code&) {
            socket->set_option(asio::socket_base::linger(true, 0));
            socket->close();
        });
    }
};

} // namespace

// Answers that are no answer in the protocol, although their status and signature are sound.
TEST_GROUP_BASE(MalformedAnswersTest, GatewayFixture)
{
    RawUpstream raw { this->context };

    void startWithRawUpstream(const std::string& fields, std::string_view body)
    {
        this->raw.fields = fields;
        this->raw.body = body;
        this->startGateway("app");
        this->store.put("keyed.servers", "raw", this->raw.entry("app"));
        this->store.removeKey("keyed.servers", "one");
        this->runFor(800ms);
    }

    /** Sends a call whose body the upstream does not read as a whole. */
    Answer upload(const std::string& path)
    {
        const auto answer = std::make_shared<Answer>();
        Platform::HttpCall call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(this->gatewayPort) + path;
        call.headers = { "Host: h", "X-Attempt-Id: u" + std::to_string(++this->lastRequestNumber),
            "X-Deadline-Ms: 2000", "Authorization: Token key", "X-Token-Usage: 1000,50" };
        call.body = std::string(1'000'000, 'x');
        call.connectionUse = Platform::ConnectionUse::Dedicated;
        this->callerTransfers.stream(std::move(call),
            { [](const Platform::HttpAnswerHead&) {}, [answer](const std::string& data) { answer->body += data; },
                [answer](Platform::HttpCallResult result) {
                    answer->result = std::move(result);
                    answer->isFinished = true;
                } });
        CHECK_TRUE(this->runUntil([&] { return answer->isFinished; }));
        return *answer;
    }

    /** Checks that a call fails after one run, or is refused if the upstream is left out by then. */
    template <typename MakeCall> void checkFailure(MakeCall makeCall)
    {
        const int before = this->raw.requestCount;
        const int status = makeCall().result.status;
        const int runs = this->raw.requestCount - before;
        CHECK_TRUE((runs == 1 && status == 502) || (runs == 0 && status == 503));
    }

    void checkThatSafeCallsAreAnsweredElsewhere(const std::string& fields, std::string_view body)
    {
        this->startWithRawUpstream(fields, body);
        for (int i = 0; i < 6; ++i) {
            const Answer answer = this->call("/safe/" + std::to_string(i));
            LONGS_EQUAL(200, answer.result.status);
            STRCMP_EQUAL("answer of two", answer.body.c_str());
        }
        CHECK_TRUE(this->raw.requestCount > 0);
    }
};

TEST(MalformedAnswersTest, aSafeCallWhoseAnswerHasASpoiltLengthIsAnsweredElsewhere)
{
    this->checkThatSafeCallsAreAnsweredElsewhere("Content-Length: 1\x02\x01"
                                                 "0\r\n",
        fullBody);
}

TEST(MalformedAnswersTest, aSafeCallWhoseAnswerHasASpoiltChunkIsAnsweredElsewhere)
{
    this->checkThatSafeCallsAreAnsweredElsewhere(
        "Transfer-Encoding: chunked\r\n", "1\x02\r\n0\r\n9\r\n123456789\r\n0\r\n\r\n");
}

TEST(MalformedAnswersTest, anUnsafeCallWhoseAnswerHasASpoiltLengthFailsAndRunsOnce)
{
    this->startWithRawUpstream("Content-Length: 1\x02\x01"
                               "0\r\n",
        fullBody);
    this->store.removeKey("keyed.servers", "two");
    this->runFor(800ms);
    LONGS_EQUAL(502, this->call("/unsafe/x", "POST").result.status);
    LONGS_EQUAL(1, this->raw.requestCount);
}

// Other systems passed the part that had arrived on as a complete answer.
TEST(MalformedAnswersTest, anAnswerWithoutALengthThatIsResetDuringAnUploadIsNotComplete)
{
    this->startWithRawUpstream("", fullBody);
    this->store.removeKey("keyed.servers", "two");
    this->runFor(800ms);
    for (const auto delay : { 0ms, 1ms, 5ms, 50ms }) {
        this->raw.resetDelay = delay;
        this->checkFailure([this] { return this->upload("/unsafe/x"); });
    }
    CHECK_TRUE(this->raw.requestCount > 0);
}

TEST(MalformedAnswersTest, aSafeCallWhoseAnswerIsResetDuringItsUploadIsAnsweredElsewhere)
{
    this->startWithRawUpstream("", fullBody);
    for (const auto delay : { 0ms, 1ms, 5ms, 50ms }) {
        this->raw.resetDelay = delay;
        const Answer answer = this->upload("/safe/x");
        LONGS_EQUAL(200, answer.result.status);
        STRCMP_EQUAL("answer of two", answer.body.c_str());
    }
    CHECK_TRUE(this->raw.requestCount > 0);
}

TEST(MalformedAnswersTest, aStreamWithoutALengthThatIsResetDuringItsUploadDoesNotLookComplete)
{
    this->raw.fields = "Content-Type: text/event-stream\r\n";
    this->raw.body = "id: 1\ndata: x\n\n";
    this->startGateway("app");
    this->store.put("keyed.servers", "raw", this->raw.entry("llm"));
    this->runFor(800ms);
    for (const auto delay : { 0ms, 5ms, 50ms }) {
        this->raw.resetDelay = delay;
        const Answer answer = this->upload("/stream/x");
        CHECK_FALSE(answer.result.isSuccess());
    }
    CHECK_TRUE(this->raw.requestCount > 0);
}

TEST(MalformedAnswersTest, anInvalidStatusIsNotPassedOn)
{
    this->startWithRawUpstream("Content-Length: 10\r\n", fullBody);
    this->store.removeKey("keyed.servers", "two");
    this->runFor(800ms);
    for (const std::string status : { "000", "099", "600", "999" }) {
        this->raw.statusLine = "HTTP/1.1 " + status + " Status";
        this->checkFailure([this] { return this->call("/unsafe/x", "POST"); });
    }
    CHECK_TRUE(this->raw.requestCount > 0);
}

TEST(MalformedAnswersTest, aResumedStreamThatIsResetDuringItsUploadDoesNotLookComplete)
{
    this->raw.fields = "Content-Type: text/event-stream\r\n";
    this->raw.body = "id: 3\ndata: x\n\n";
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::CloseMidStream;
    this->startGateway("llm");
    this->store.put("keyed.servers", "raw", this->raw.entry("llm"));
    this->store.removeKey("keyed.servers", "two");
    this->runFor(800ms);
    for (int i = 0; i < 12; ++i) {
        this->raw.resetDelay = std::chrono::milliseconds(i % 3 * 10);
        const Answer answer = this->upload("/stream/" + std::to_string(i));
        // The stream is complete only if the sound upstream has sent its end.
        CHECK_TRUE(!answer.result.isSuccess() || answer.body.ends_with("data: e5\n\n"));
        this->runFor(300ms);
    }
    CHECK_TRUE(this->raw.resumedCount > 0);
}
