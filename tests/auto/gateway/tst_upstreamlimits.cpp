#include "gatewayfixture.h"

#include <algorithm>
#include <string>

using namespace GatewayTests;

namespace {

constexpr Foundation::Duration limitWindow = 4s;
// What the users' rules allow beyond a limit in a window.
constexpr double allowedFactor = 1.5;
constexpr double allowedExcess = 5;

std::size_t allowedArrivals(double requestsPerSecond)
{
    return static_cast<std::size_t>(
        allowedFactor * requestsPerSecond * Foundation::toSeconds(limitWindow) + allowedExcess);
}

// Returns the largest number of arrivals after a time within a window.
std::size_t mostArrivals(const StandinUpstream& upstream, Foundation::TimePoint begin)
{
    std::size_t most = 0;
    for (const Foundation::TimePoint first : upstream.arrivals) {
        if (first < begin)
            continue;
        most = std::max(most,
            static_cast<std::size_t>(std::ranges::count_if(upstream.arrivals,
                [first](Foundation::TimePoint at) { return at >= first && at < first + limitWindow; })));
    }
    return most;
}

} // namespace

// Upstreams that name the number of requests a second that they take from all gateways together.
TEST_GROUP_BASE(UpstreamLimitsTest, GatewayFixture)
{
    std::size_t answeredCount = 0;
    std::size_t refusedCount = 0;
    /** Sends calls one after the other, with a short pause between them. */
    void callFor(Foundation::Duration length, const std::string& path, const std::string& method)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            const int status = this->call(path, method).result.status;
            this->answeredCount += status == 200 ? 1 : 0;
            this->refusedCount += status == 503 ? 1 : 0;
            this->runFor(20ms);
        }
    }

    void checkLimit(const std::string& service, const std::string& path, const std::string& method)
    {
        this->upstreamOne.requestLimit = this->upstreamTwo.requestLimit = "2";
        this->startGateway(service);
        const auto begin = std::chrono::steady_clock::now();
        this->callFor(6s, path, method);
        for (const StandinUpstream* const upstream : { &this->upstreamOne, &this->upstreamTwo })
            CHECK_TRUE(mostArrivals(*upstream, begin + 500ms) <= allowedArrivals(2));
        // Two upstreams with two requests a second each.
        CHECK_TRUE(this->answeredCount >= 18);
        CHECK_TRUE(this->refusedCount > 0);
    }
};

TEST(UpstreamLimitsTest, callsDoNotExceedWhatTheirUpstreamsAllow) { this->checkLimit("app", "/safe/x", "GET"); }

TEST(UpstreamLimitsTest, promptsDoNotExceedWhatTheirEnginesAllow) { this->checkLimit("llm", "/stream/x", "POST"); }
