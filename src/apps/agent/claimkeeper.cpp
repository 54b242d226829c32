#include "claimkeeper.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

namespace Agent {

namespace {

using Foundation::Event;
using Idempotency::ClaimDecision;

constexpr std::string_view streamName = "claims";
constexpr std::chrono::milliseconds initialWindow = std::chrono::hours(1);
constexpr std::int64_t appendRetryMs = 200;

} // namespace

/**
 * @class ClaimKeeper
 * Connects the claim desk with the log: reads the whole key window before the first decision, follows the stream and
 * appends one batch at a time.
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
    handlers.onAvailability = [this](bool available) { this->readable = available; };
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
    if (!this->readable || !this->appendable)
        return ClaimReadiness::LogUnavailable;
    if (!this->caughtUp)
        return ClaimReadiness::CatchingUp;
    if (!this->historyIsWhole && this->retention < this->window)
        return ClaimReadiness::WindowUncovered;
    return ClaimReadiness::Ready;
}

std::optional<ClaimDecision> ClaimKeeper::request(const Idempotency::ClaimRequest& request)
{
    auto decision = this->desk.request(request);
    if (!decision)
        this->appendNext();
    return decision;
}

void ClaimKeeper::withdraw(std::string_view attempt) { this->desk.withdraw(attempt); }

void ClaimKeeper::release(std::string_view key, std::string_view attempt)
{
    Foundation::logEvent(Event::ClaimReleased, "", attempt);
    this->desk.release(key, attempt);
    this->appendNext();
}

void ClaimKeeper::keep(Idempotency::StoredAnswer answer)
{
    this->desk.storeAnswer(std::move(answer));
    this->appendNext();
}

void ClaimKeeper::onPage(const Platform::LogPage& page)
{
    this->retention = page.retention;
    const std::uint64_t expected = this->desk.claims().nextOffset();
    const bool hasGap = page.first > expected;
    if (hasGap)
        this->restartReading(page.first);
    else if (expected == 0 && page.first == 0)
        this->historyIsWhole = true;
    for (const Platform::LogRecord& record : page.records)
        this->deliver(this->desk.applyRecord(record.offset, record.time, record.data));
    const bool atEnd = this->desk.claims().nextOffset() >= page.end;
    if (atEnd && !this->caughtUp) {
        this->caughtUp = true;
        Foundation::logEvent(Event::ClaimsCaughtUp, "", std::to_string(this->desk.claims().size()) + " keys");
    }
    this->appendNext();
}

// What expired unread was older than the retention time, so reading what is left covers a window that is shorter.
void ClaimKeeper::restartReading(std::uint64_t first)
{
    this->historyIsWhole = false;
    this->caughtUp = false;
    this->desk.claims().resetTo(first);
}

void ClaimKeeper::appendNext()
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
        this->appendable = true;
        this->desk.onBatchAppended();
        this->appendNext();
        return;
    }
    this->appendable = false;
    this->deliver(this->desk.onBatchResultUnknown());
    if (this->retryScheduled)
        return;
    this->retryScheduled = true;
    this->retryTimer.expires_after(std::chrono::milliseconds(Foundation::jittered(appendRetryMs)));
    this->retryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        self->retryScheduled = false;
        if (error)
            return;
        // The next claim tries the log again; until then waiting releases and answers do.
        self->appendable = true;
        self->appendNext();
    });
}

void ClaimKeeper::deliver(const std::vector<ClaimDecision>& decisions)
{
    for (const ClaimDecision& decision : decisions)
        this->onDecision(decision);
}

} // namespace Agent
