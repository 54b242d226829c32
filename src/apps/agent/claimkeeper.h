#pragma once

#include <idempotency/claimmanager.h>
#include <platform/logfollower.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Agent {

/** Whether claims can be decided now. */
enum class ClaimReadiness : std::uint8_t {
    Ready,
    CatchingUp,
    LogUnavailable,
    WindowUncovered,
};

class ClaimKeeper : public std::enable_shared_from_this<ClaimKeeper> {
public:
    using DecisionHandler = std::function<void(const Idempotency::ClaimDecision&)>;

    /**
     * @param context the context on which everything here runs; one thread may run it.
     * @param log the platform's log; must outlive the keeper.
     * @param incarnation the identifier of this run of the agent.
     * @param onDecision called with each decision that comes later.
     */
    ClaimKeeper(
        asio::io_context& context, Platform::LogClient& log, std::string incarnation, DecisionHandler onDecision);

    void start();
    void stop();

    /**
     * Sets how long keys are remembered.
     * @param window the window that the environment document states.
     */
    void setWindow(std::chrono::milliseconds window);

    ClaimReadiness readiness() const;

    /**
     * Asks for a claim.
     * @param request the request.
     * @return the decision if it can be made at once; else it goes to the handler later.
     */
    std::optional<Idempotency::ClaimDecision> request(const Idempotency::ClaimRequest& request);

    void withdraw(std::string_view attempt);
    void release(std::string_view key, std::string_view attempt);
    void keep(Idempotency::StoredAnswer answer);

    std::size_t keyCount() const { return this->desk.claims().size(); }
    std::uint64_t appendCount() const { return this->appends; }

private:
    void onPage(const Platform::LogPage& page);
    void restartReading(std::uint64_t first);
    void appendNext();
    void onAppended(const Platform::AppendResult& result);
    void deliver(const std::vector<Idempotency::ClaimDecision>& decisions);

    Platform::LogClient& log;
    DecisionHandler onDecision;
    Idempotency::ClaimManager desk;
    std::shared_ptr<Platform::LogFollower> follower;
    asio::steady_timer retryTimer;
    std::chrono::milliseconds window;
    std::chrono::milliseconds retention {};
    bool caughtUp = false;
    bool readable = true;
    bool appendable = true;
    bool historyIsWhole = false;
    bool retryScheduled = false;
    std::uint64_t appends = 0;
};

} // namespace Agent
