#include "claimkeeper.h"

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
 * @class ClaimKeeper
 * Connects the claim manager to the log. Reads the whole key window before the first decision, follows the stream of
 * claims and appends one batch at a time.
 */
ClaimKeeper::ClaimKeeper(
    asio::io_context& context, Platform::LogClient& log, std::string incarnation, DecisionHandler onDecision)
    : log(log)
    , onDecision(std::move(onDecision))
    , desk(std::move(incarnation), initialWindow)
    , retryTimer(context)
    , window(initialWindow)
{
    Platform::LogFollowerHandlers handlers;
    handlers.onPage = [this](const Platform::LogPage& page) { this->onPage(page); };
    handlers.onAvailability = [this](bool available) { this->isLogReadable = available; };
    this->follower
        = std::make_shared<Platform::LogFollower>(context, log, std::string(streamName), std::move(handlers));
}

void ClaimKeeper::start() { this->follower->start(0); }

void ClaimKeeper::stop()
{
    this->follower->stop();
    this->retryTimer.cancel();
}

void ClaimKeeper::setWindow(std::chrono::milliseconds changed)
{
    this->window = changed;
    this->desk.claims().setWindow(changed);
}

ClaimReadiness ClaimKeeper::readiness() const
{
    if (!this->isLogReadable || !this->isLogAppendable)
        return ClaimReadiness::LogUnavailable;
    if (!this->caughtUp)
        return ClaimReadiness::CatchingUp;
    if (!this->isHistoryComplete && this->retention < this->window)
        return ClaimReadiness::WindowUncovered;
    return ClaimReadiness::Ready;
}

std::optional<ClaimDecision> ClaimKeeper::request(const Idempotency::ClaimRequest& request)
{
    auto decision = this->desk.request(request);
    if (!decision)
        this->appendNextBatch();
    return decision;
}

void ClaimKeeper::withdraw(std::string_view attempt) { this->desk.withdraw(attempt); }

void ClaimKeeper::release(std::string_view key, std::string_view attempt)
{
    Foundation::logEvent(Event::ClaimReleased, "", attempt);
    this->desk.release(key, attempt);
    this->appendNextBatch();
}

void ClaimKeeper::keep(Idempotency::StoredAnswer answer)
{
    this->desk.storeAnswer(std::move(answer));
    this->appendNextBatch();
}

void ClaimKeeper::onPage(const Platform::LogPage& page)
{
    this->retention = page.retention;
    const std::uint64_t expected = this->desk.claims().nextOffset();
    const bool hasGap = page.first > expected;
    if (hasGap)
        this->restartAfterGap(page.first);
    else if (expected == 0 && page.first == 0)
        this->isHistoryComplete = true;
    for (const Platform::LogRecord& record : page.records)
        this->deliverDecisions(this->desk.applyRecord(record.offset, record.time, record.data));
    const bool isAtEnd = this->desk.claims().nextOffset() >= page.end;
    if (isAtEnd && !this->caughtUp) {
        this->caughtUp = true;
        Foundation::logEvent(Event::ClaimsCaughtUp, "", std::to_string(this->desk.claims().size()) + " keys");
    }
    this->appendNextBatch();
}

// Continues after records that expired before they were read. These were older than the retention time of the log, so
// the remaining records cover the retention time, which may be shorter than the key window.
void ClaimKeeper::restartAfterGap(std::uint64_t first)
{
    this->isHistoryComplete = false;
    this->caughtUp = false;
    this->desk.claims().resetTo(first);
}

void ClaimKeeper::appendNextBatch()
{
    std::string batch = this->desk.beginBatch();
    if (batch.empty())
        return;
    ++this->appends;
    this->log.append(streamName, std::move(batch),
        [self = this->shared_from_this()](const Platform::AppendResult& result) { self->onAppended(result); });
}

void ClaimKeeper::onAppended(const Platform::AppendResult& result)
{
    if (result.outcome == Platform::AppendOutcome::Appended) {
        this->isLogAppendable = true;
        this->desk.onBatchAppended();
        this->appendNextBatch();
        return;
    }
    this->isLogAppendable = false;
    this->deliverDecisions(this->desk.onBatchResultUnknown());
    if (this->retryScheduled)
        return;
    this->retryScheduled = true;
    this->retryTimer.expires_after(std::chrono::milliseconds(Foundation::jittered(appendRetryDelayMs)));
    this->retryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        self->retryScheduled = false;
        if (error)
            return;
        // Pending releases and answers try the log again now; without any, the next claim does.
        self->isLogAppendable = true;
        self->appendNextBatch();
    });
}

void ClaimKeeper::deliverDecisions(const std::vector<ClaimDecision>& decisions)
{
    for (const ClaimDecision& decision : decisions)
        this->onDecision(decision);
}

} // namespace Agent
