#pragma once

#include <idempotency/claimmanager.h>
#include <platform/logfollower.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Agent {

/** Whether claims can be decided, or why not. */
enum class ClaimReadiness : std::uint8_t {
    Ready,
    /** The claims in the log have not been read to the end yet. */
    CatchingUp,
    /** The log cannot be read, or the last append failed. */
    LogUnavailable,
    /** The log retains records for a shorter time than the key window, so that claims may be missing. */
    WindowUncovered,
};

class ClaimService : public std::enable_shared_from_this<ClaimService> {
public:
    using DecisionHandler = std::function<void(const Idempotency::ClaimDecision&)>;

    /**
     * @param context runs all handlers; one thread may run it.
     * @param log the log of the platform; must outlive the service.
     * @param incarnation identifies the process of the agent; changes with each start.
     * @param onDecision called with each decision that request() did not return.
     */
    ClaimService(
        asio::io_context& context, Platform::LogClient& log, std::string incarnation, DecisionHandler onDecision);

    void start();
    void stop();

    /** Sets the key window of the environment document: the time for which a key stays claimed. */
    void setWindow(std::chrono::milliseconds window);

    ClaimReadiness readiness() const;

    /**
     * Requests a claim.
     * @return the decision if it can be made at once; otherwise it is passed to onDecision later.
     */
    std::optional<Idempotency::ClaimDecision> request(const Idempotency::ClaimRequest& request);

    /** Withdraws a claim that is not decided yet; its attempt must not be dispatched. */
    void withdraw(std::string_view attempt);
    /** Releases a claim that was won but whose attempt did not reach the upstream. */
    void release(std::string_view key, std::string_view attempt);
    /** Stores the answer of a claimed request in the log. */
    void storeAnswer(Idempotency::StoredAnswer answer);

    std::size_t keyCount() const { return this->claimManager.claims().size(); }
    std::uint64_t appendCount() const { return this->appends; }

private:
    void onPage(const Platform::LogPage& page);
    void restartAfterGap(std::uint64_t first);
    void appendNextBatch();
    void onAppended(const Platform::AppendResult& result);
    void deliverDecisions(const std::vector<Idempotency::ClaimDecision>& decisions);

    Platform::LogClient& log;
    DecisionHandler onDecision;
    Idempotency::ClaimManager claimManager;
    std::shared_ptr<Platform::LogFollower> follower;
    asio::steady_timer retryTimer;
    std::chrono::milliseconds window;
    std::chrono::milliseconds retention {};
    bool caughtUp = false;
    bool isLogReadable = true;
    bool isLogAppendable = true;
    bool isHistoryComplete = false;
    bool retryScheduled = false;
    std::uint64_t appends = 0;
};

} // namespace Agent
