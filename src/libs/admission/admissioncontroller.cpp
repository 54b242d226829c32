#include "admissioncontroller.h"

#include <algorithm>

namespace Admission {

namespace {

using Foundation::Duration;
using Foundation::ResultCode;
using Membership::Availability;

constexpr Duration minimumRetryAfter = std::chrono::milliseconds(50);
constexpr Duration defaultRetryAfter = std::chrono::seconds(1);
constexpr double minimumBacklogSeconds = 0.05;
constexpr Duration trialDrainTimeout = std::chrono::seconds(3);

ResultCode refusalCode(Availability availability)
{
    switch (availability) {
    case Availability::Available:
        return ResultCode::Ok;
    case Availability::NotReady:
        return ResultCode::NoConfiguration;
    case Availability::TakenOut:
        return ResultCode::TakenOut;
    case Availability::Draining:
        return ResultCode::Leaving;
    case Availability::ShuttingDown:
        return ResultCode::ShuttingDown;
    case Availability::Down:
        return ResultCode::UpstreamDown;
    }
    return ResultCode::UpstreamDown;
}

} // namespace

/**
 * @class AdmissionController
 * Decides which requests one agent dispatches to its upstream, and when. It combines the queue, the memory ledger, the
 * start-up ramp and the account limits, so that every limit is checked in one place and before dispatch.
 */
AdmissionController::AdmissionController(const Foundation::Clock& clock,
    const Configuration::UpstreamDefinition& upstream, const Configuration::LimitsDefinition& limits)
    : clock(clock)
    , upstream(upstream)
    , limits(limits)
    , ledger(upstream.memoryTokens)
    , ramp(clock, upstream)
    , backlog(static_cast<double>(upstream.prefillTokensPerSecond))
    , prefillRateMonitor(clock)
    , accounts(clock)
{
}

void AdmissionController::reconfigure(const Configuration::UpstreamDefinition& changedUpstream,
    const Configuration::LimitsDefinition& changedLimits, const Configuration::PolicyDefinition& policies)
{
    this->upstream = changedUpstream;
    this->limits = changedLimits;
    this->ledger.setCapacity(changedUpstream.memoryTokens);
    this->ramp.reconfigure(changedUpstream);
    this->backlog.setRate(static_cast<double>(changedUpstream.prefillTokensPerSecond));
    this->queue.setPolicy(policies.queue);
}

void AdmissionController::setAvailability(Availability changed) { this->availability = changed; }

std::optional<Refusal> AdmissionController::offer(const OfferedRequest& request)
{
    if (const auto refusal = this->refusalForState())
        return refusal;
    if (const auto refusal = this->refusalForSize(request))
        return refusal;
    if (const auto refusal = this->refusalForDeadline(request))
        return refusal;
    const bool isSuspect = request.suspicion == Suspicion::Suspect;
    if (isSuspect && (this->trial || !this->runningTrial.empty()))
        return Refusal { ResultCode::SuspectWaiting, defaultRetryAfter };
    const std::int64_t tokens = request.queued.promptTokens + request.outputTokens;
    if (const auto refusal = this->accounts.tryAcquire(request.account, request.upstreamCount, tokens))
        return Refusal { refusal->code, std::max(refusal->retryAfter, minimumRetryAfter) };
    if (isSuspect)
        this->trial = Trial { request.queued, this->clock.now() };
    else
        this->queue.push(request.queued);
    return std::nullopt;
}

std::vector<QueuedRequest> AdmissionController::startReadyRequests()
{
    std::vector<QueuedRequest> started;
    if (this->availability != Availability::Available || this->tryStartTrial(started))
        return started;
    const TryStartFunction start = [this](const QueuedRequest& request) { return this->tryStart(request); };
    while (auto request = this->queue.startNext(this->clock.now(), start)) {
        this->recordStart(*request);
        started.push_back(std::move(*request));
    }
    return started;
}

std::vector<ExpiredRequest> AdmissionController::removeExpired()
{
    std::vector<ExpiredRequest> expired;
    if (auto expiredTrial = this->expireTrial())
        expired.push_back(std::move(*expiredTrial));
    const auto removed
        = this->queue.removeIf([this](const QueuedRequest& request) { return this->isExpired(request); });
    for (const QueuedRequest& request : removed) {
        this->accounts.release(request.account);
        expired.push_back({ request.attempt, this->expiryRefusal(request) });
    }
    return expired;
}

bool AdmissionController::withdraw(std::string_view attempt)
{
    if (this->trial && this->trial->request.attempt == attempt) {
        this->accounts.release(this->trial->request.account);
        this->trial.reset();
        return true;
    }
    const auto removed
        = this->queue.removeIf([attempt](const QueuedRequest& request) { return request.attempt == attempt; });
    for (const QueuedRequest& request : removed)
        this->accounts.release(request.account);
    return !removed.empty();
}

void AdmissionController::revertStart(std::string_view attempt)
{
    if (!this->running.contains(attempt))
        return;
    this->ramp.recordAbort();
    this->removeRunning(attempt);
    this->ledger.release(attempt);
}

bool AdmissionController::recordFirstToken(std::string_view attempt)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end() || found->second.hasFirstToken)
        return false;
    RunningRequest& request = found->second;
    request.hasFirstToken = true;
    const Duration elapsed = this->clock.now() - request.startedAt;
    const Duration expected = this->prefillTimeAtStartupLimit(request.prefillTokens);
    this->backlog.remove(attempt);
    this->prefillRateMonitor.recordPrefilled(request.request.promptTokens);
    const bool becameCold = this->ramp.recordFirstToken(elapsed, expected);
    if (!becameCold)
        this->backlog.recordPrefillTime(request.prefillTokens, elapsed);
    return becameCold;
}

bool AdmissionController::detectSlowPrefill()
{
    std::int64_t longestPrompt = 0;
    std::int64_t prefillingTokens = 0;
    for (const auto& [attempt, request] : this->running) {
        if (request.hasFirstToken)
            continue;
        longestPrompt = std::max(longestPrompt, request.request.promptTokens);
        prefillingTokens += request.request.promptTokens;
    }
    if (prefillingTokens == 0) {
        this->prefillRateMonitor.reset();
        return false;
    }
    const auto expectedRate = static_cast<double>(this->ramp.prefillTokensPerSecond());
    const auto relativeRate = this->prefillRateMonitor.measure(expectedRate, longestPrompt);
    // Under a light load, the measured rate is only the arrival rate of the prompts; a low rate counts only with a
    // backlog.
    const bool hasBacklog = static_cast<double>(prefillingTokens) >= expectedRate * minimumBacklogSeconds;
    return relativeRate && hasBacklog && this->ramp.recordPrefillRate(*relativeRate);
}

std::vector<std::string> AdmissionController::attemptsAboveStartupLimit() const
{
    std::vector<const RunningRequest*> prefilling;
    for (const auto& [attempt, request] : this->running) {
        if (!request.hasFirstToken)
            prefilling.push_back(&request);
    }
    std::ranges::sort(prefilling, std::ranges::greater {}, &RunningRequest::startedAt);
    const std::int64_t excess = this->ramp.running() - this->ramp.concurrentLimit();
    std::vector<std::string> attempts;
    for (const RunningRequest* const request : prefilling) {
        if (static_cast<std::int64_t>(attempts.size()) >= excess)
            break;
        attempts.push_back(request->request.attempt);
    }
    return attempts;
}

void AdmissionController::recordCompletion(std::string_view attempt)
{
    if (this->running.contains(attempt)) {
        this->ramp.recordCompletion();
        this->removeRunning(attempt);
    }
    this->ledger.release(attempt);
}

void AdmissionController::recordAbort(std::string_view attempt)
{
    if (!this->running.contains(attempt))
        return;
    this->removeRunning(attempt);
    this->cancelling.emplace(attempt);
}

void AdmissionController::releaseStream(std::string_view stream)
{
    const auto found = this->cancelling.find(stream);
    if (found != this->cancelling.end()) {
        this->cancelling.erase(found);
        this->ramp.recordAbort();
    }
    this->ledger.release(stream);
}

void AdmissionController::recordForeignStream(std::string_view stream, std::int64_t tokens)
{
    this->ledger.adopt(stream, tokens);
}

void AdmissionController::recordRestart()
{
    for (const auto& [attempt, request] : this->running)
        this->accounts.release(request.request.account);
    this->running.clear();
    this->cancelling.clear();
    this->runningTrial.clear();
    this->ledger.clear();
    this->backlog.clear();
    this->prefillRateMonitor.reset();
    this->ramp.restart();
}

Membership::UpstreamLoad AdmissionController::load() const
{
    Membership::UpstreamLoad load;
    load.availability = this->availability;
    load.running = static_cast<std::int64_t>(this->running.size() + this->cancelling.size());
    load.queued = static_cast<std::int64_t>(this->queue.size());
    load.concurrentLimit = this->ramp.concurrentLimit();
    load.shortWaitMs = Foundation::toMilliseconds(this->expectedWait(Configuration::LengthClass::Short));
    load.longWaitMs = Foundation::toMilliseconds(this->expectedWait(Configuration::LengthClass::Long));
    load.longPrefills = this->backlog.count(Configuration::LengthClass::Long);
    load.freeMemoryTokens = this->ledger.freeTokens();
    load.capacityTokens = this->ledger.capacityTokens();
    load.prefillTokensPerSecond = this->ramp.prefillTokensPerSecond();
    return load;
}

std::optional<Refusal> AdmissionController::refusalForState() const
{
    if (this->availability != Availability::Available)
        return Refusal { refusalCode(this->availability), defaultRetryAfter };
    if (this->queue.size() >= static_cast<std::size_t>(this->upstream.queueCeiling)) {
        const Duration wait = this->expectedWait(Configuration::LengthClass::Long);
        return Refusal { ResultCode::QueueFull, std::max(wait / 2, minimumRetryAfter) };
    }
    return std::nullopt;
}

std::optional<Refusal> AdmissionController::refusalForSize(const OfferedRequest& request) const
{
    if (request.queued.memoryTokens > this->ledger.capacityTokens())
        return Refusal { ResultCode::PromptTooLong, Duration::zero() };
    return std::nullopt;
}

std::optional<Refusal> AdmissionController::refusalForDeadline(const OfferedRequest& request) const
{
    const Duration wait = this->expectedWait(request.queued.lengthClass);
    const Duration prefill = this->backlog.prefillTime(request.queued.promptTokens);
    const Duration rampWait = this->ramp.timeUntilPrefill(request.queued.promptTokens);
    const auto decode = std::chrono::microseconds(this->upstream.decodeMicrosecondsPerToken * request.outputTokens);
    const Duration needed = std::max(wait, rampWait) + prefill + decode;
    if (this->clock.now() + needed <= request.queued.deadline)
        return std::nullopt;
    return Refusal { ResultCode::DeadlineUnreachable, std::max(wait, minimumRetryAfter) };
}

std::int64_t AdmissionController::tokensAhead(Configuration::LengthClass lengthClass) const
{
    return this->queue.tokensAhead(lengthClass) + this->backlog.tokensAhead(lengthClass);
}

Duration AdmissionController::expectedWait(Configuration::LengthClass lengthClass) const
{
    return this->backlog.prefillTime(this->tokensAhead(lengthClass));
}

// A cold upstream is detected by comparison with the rate of its start-up limits. The estimated rate is not
// suitable, since it may have adapted to an upstream that was already slow.
Duration AdmissionController::prefillTimeAtStartupLimit(std::int64_t tokens) const
{
    return Foundation::fromSeconds(
        static_cast<double>(tokens) / static_cast<double>(this->ramp.prefillTokensPerSecond()));
}

bool AdmissionController::tryStart(const QueuedRequest& request)
{
    const bool isLong = request.lengthClass == Configuration::LengthClass::Long;
    if (isLong && this->backlog.count(Configuration::LengthClass::Long) >= this->upstream.maximumLongPrefills)
        return false;
    if (!this->ledger.reserve(request.attempt, request.memoryTokens))
        return false;
    if (this->ramp.tryStart(request.promptTokens))
        return true;
    this->ledger.release(request.attempt);
    return false;
}

// A suspect runs alone, so that another crash can only be caused by the suspect. No other request starts until the
// suspect has started and ended.
bool AdmissionController::tryStartTrial(std::vector<QueuedRequest>& started)
{
    if (!this->runningTrial.empty())
        return true;
    if (!this->trial)
        return false;
    const bool isIdle = this->running.empty() && this->cancelling.empty();
    if (!isIdle || !this->tryStart(this->trial->request))
        return true;
    this->runningTrial = this->trial->request.attempt;
    this->recordStart(this->trial->request);
    started.push_back(std::move(this->trial->request));
    this->trial.reset();
    return true;
}

void AdmissionController::recordStart(const QueuedRequest& request)
{
    const std::int64_t prefillTokens = this->backlog.tokensAhead(request.lengthClass) + request.promptTokens;
    this->backlog.add(request.attempt, request.lengthClass, request.promptTokens);
    this->running[request.attempt] = { request, prefillTokens, this->clock.now(), false };
}

void AdmissionController::removeRunning(std::string_view attempt)
{
    const auto found = this->running.find(attempt);
    this->accounts.release(found->second.request.account);
    this->backlog.remove(attempt);
    this->running.erase(found);
    if (this->runningTrial == attempt)
        this->runningTrial.clear();
}

std::optional<ExpiredRequest> AdmissionController::expireTrial()
{
    if (!this->trial)
        return std::nullopt;
    const bool waitedTooLong = this->clock.now() - this->trial->queuedSince >= trialDrainTimeout;
    if (!waitedTooLong && !this->isExpired(this->trial->request))
        return std::nullopt;
    ExpiredRequest expired { this->trial->request.attempt, this->expiryRefusal(this->trial->request) };
    if (waitedTooLong)
        expired.refusal = { ResultCode::SuspectWaiting, defaultRetryAfter };
    this->accounts.release(this->trial->request.account);
    this->trial.reset();
    return expired;
}

Refusal AdmissionController::expiryRefusal(const QueuedRequest& request) const
{
    if (this->availability != Availability::Available)
        return { refusalCode(this->availability), defaultRetryAfter };
    return { ResultCode::DeadlineUnreachable, std::max(this->expectedWait(request.lengthClass), minimumRetryAfter) };
}

bool AdmissionController::isExpired(const QueuedRequest& request) const
{
    if (this->availability != Availability::Available)
        return true;
    return this->clock.now() + this->backlog.prefillTime(request.promptTokens) > request.deadline;
}

} // namespace Admission
