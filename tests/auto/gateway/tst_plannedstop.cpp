#include "gatewayfixture.h"

using namespace GatewayTests;

// A gateway that is told to stop while callers still receive answers.
TEST_GROUP_BASE(PlannedStopTest, GatewayFixture)
{
    bool isStopped = false;

    /** Sends a request on a connection with a small receive buffer. The answer is not read yet. */
    std::unique_ptr<asio::ip::tcp::socket> sendFromSlowCaller(const std::string& path)
    {
        constexpr int receiveBufferBytes = 16 * 1024;
        auto caller = std::make_unique<asio::ip::tcp::socket>(this->context);
        caller->open(asio::ip::tcp::v4());
        caller->set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        caller->connect({ asio::ip::make_address("127.0.0.1"), this->gatewayPort });
        const std::string request = "POST " + path
            + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
              "X-Token-Usage: 1000,50\r\nContent-Length: 0\r\n\r\n";
        asio::write(*caller, asio::buffer(request));
        return caller;
    }

    /** Stops the gateway after it has the whole answer, and lets the caller read only after a while. */
    std::size_t receiveAcrossStop(const std::string& path)
    {
        this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::AnswerLong;
        const auto caller = this->sendFromSlowCaller(path);
        this->runFor(500ms);
        this->core.shutDown([this] { this->isStopped = true; });
        this->runFor(3'500ms);
        CHECK_FALSE(this->isStopped);
        std::string received;
        asio::async_read(*caller, asio::dynamic_buffer(received), asio::transfer_at_least(longAnswerBytes),
            [](const asio::error_code&, std::size_t) {});
        CHECK_TRUE(this->runUntil([&] { return this->isStopped && received.size() >= longAnswerBytes; }));
        return received.size();
    }
};

TEST(PlannedStopTest, anAnswerThatItsCallerReceivesSlowlyIsNotCutOff)
{
    this->startGateway("app");
    CHECK_TRUE(this->receiveAcrossStop("/safe/x") >= longAnswerBytes);
}
