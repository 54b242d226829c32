#include "claimservice.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

namespace Agent {

namespace {

using Foundation::Event;
using Idempotency::ClaimDecision;

constexpr std::string_view streamName = "claims";
constexpr std::chrono::milliseconds initialWindow = std::chrono::hours(1);
constexpr std::int64_t appendRetryDelayMs = 200;

} // namespace

/**
 * @class ClaimService
 * Connects the claim manager to the log. Reads the whole key window before the first decision, follows the stream of
 * claims and appends one batch at a time.
 */
ClaimService::ClaimService(
    asio::io_context& context, Platform::LogClient& log, std::string incarnation, DecisionHandler onDecision)
    : log(log)
    , onDecision(std::move(onDecision))
    , claimManager(std::move(incarnation), initialWindow)
    , retryTimer(context)
    , window(initialWindow)
{
    Platform::LogFollowerHandlers handlers;
    handlers.onPage = [this](const Platform::LogPage& page) { this->onPage(page); };
    handlers.onAvailability = [this](bool available) { this->isLogReadable = available; };
    this->follower
        = std::make_shared<Platform::LogFollower>(context, log, std::string(streamName), std::move(handlers));
}

void ClaimService::start() { this->follower->start(0); }

void ClaimService::stop()
{
    this->follower->stop();
    this->retryTimer.cancel();
}

void ClaimService::setWindow(std::chrono::milliseconds changed)
{
    this->window = changed;
    this->claimManager.claims().setWindow(changed);
}

ClaimReadiness ClaimService::readiness() const
{
    if (!this->isLogReadable || !this->isLogAppendable)
        return ClaimReadiness::LogUnavailable;
    if (!this->caughtUp)
        return ClaimReadiness::CatchingUp;
    if (!this->isHistoryComplete && this->retention < this->window)
        return ClaimReadiness::WindowUncovered;
    return ClaimReadiness::Ready;
}

std::optional<ClaimDecision> ClaimService::request(const Idempotency::ClaimRequest& request)
{
    auto decision = this->claimManager.request(request);
    if (!decision)
        this->appendNextBatch();
    return decision;
}

void ClaimService::withdraw(std::string_view attempt) { this->claimManager.withdraw(attempt); }

void ClaimService::release(std::string_view key, std::string_view attempt)
{
    Foundation::logEvent(Event::ClaimReleased, "", attempt);
    this->claimManager.release(key, attempt);
    this->appendNextBatch();
}

void ClaimService::storeAnswer(Idempotency::StoredAnswer answer)
{
    this->claimManager.storeAnswer(std::move(answer));
    this->appendNextBatch();
}

void ClaimService::onPage(const Platform::LogPage& page)
{
    this->retention = page.retention;
    const std::uint64_t expected = this->claimManager.claims().nextOffset();
    const bool hasGap = page.first > expected;
    if (hasGap)
        this->restartAfterGap(page.first);
    else if (expected == 0 && page.first == 0)
        this->isHistoryComplete = true;
    for (const Platform::LogRecord& record : page.records)
        this->deliverDecisions(this->claimManager.applyRecord(record.offset, record.time, record.data));
    const bool isAtEnd = this->claimManager.claims().nextOffset() >= page.end;
    if (isAtEnd && !this->caughtUp) {
        this->caughtUp = true;
        Foundation::logEvent(Event::ClaimsCaughtUp, "", std::to_string(this->claimManager.claims().size()) + " keys");
    }
    this->appendNextBatch();
}

// Continues after records that expired before they were read. These were older than the retention time of the log, so
// the remaining records cover the retention time, which may be shorter than the key window.
void ClaimService::restartAfterGap(std::uint64_t first)
{
    this->isHistoryComplete = false;
    this->caughtUp = false;
    this->claimManager.claims().resetTo(first);
}

void ClaimService::appendNextBatch()
{
    std::string batch = this->claimManager.beginBatch();
    if (batch.empty())
        return;
    ++this->appends;
    this->log.append(streamName, std::move(batch),
        [self = this->shared_from_this()](const Platform::AppendResult& result) { self->onAppended(result); });
}

void ClaimService::onAppended(const Platform::AppendResult& result)
{
    if (result.outcome == Platform::AppendOutcome::Appended) {
        this->isLogAppendable = true;
        this->claimManager.onBatchAppended();
        this->appendNextBatch();
        return;
    }
    this->isLogAppendable = false;
    this->deliverDecisions(this->claimManager.onBatchResultUnknown());
    if (this->retryScheduled)
        return;
    this->retryScheduled = true;
    this->retryTimer.expires_after(std::chrono::milliseconds(Foundation::jittered(appendRetryDelayMs)));
    this->retryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        self->retryScheduled = false;
        if (error)
            return;
        // Retries the pending releases and answers now; if there are none, the next claim tries the log again.
        self->isLogAppendable = true;
        self->appendNextBatch();
    });
}

void ClaimService::deliverDecisions(const std::vector<ClaimDecision>& decisions)
{
    for (const ClaimDecision& decision : decisions)
        this->onDecision(decision);
}

} // namespace Agent
