#include "crashevidence.h"

#include <foundation/logging.h>

namespace Gateway {

namespace {

using Foundation::Event;
using Foundation::logEvent;

} // namespace

CrashEvidence::CrashEvidence(ProxyContext& context, const PlatformAdapter::CallerRequest& request)
    : context(context)
    , request(request)
{
}

void CrashEvidence::record(const Attempt& crashed, Quarantine::CrashCertainty certainty, std::string_view ending)
{
    const std::optional<std::string> crash = this->crashName(crashed);
    if (!crash)
        return;
    this->recordPartCrash(crashed, *crash, certainty);
    const Quarantine::CrashNotice notice { this->requestFingerprint, *crash, certainty };
    if (!this->context.suspects.record(notice))
        return;
    this->context.onSuspects({ notice });
    if (certainty == Quarantine::CrashCertainty::Possible)
        return;
    this->context.metrics.counter("bluebell_suspects_total", "ending=\"" + std::string(ending) + "\"").fetch_add(1);
    logEvent(Event::SuspectAdded, this->request.id,
        "fingerprint=" + this->requestFingerprint + " crash=" + *crash + " ending=" + std::string(ending)
            + " certainty=" + std::to_string(static_cast<int>(certainty))
            + " crashes=" + std::to_string(this->context.suspects.crashCount(this->requestFingerprint)));
}

void CrashEvidence::recordPartCrash(
    const Attempt& crashed, const std::string& crash, Quarantine::CrashCertainty certainty)
{
    // A call of 0 means that no upstream has received the attempt.
    if (crashed.call == 0)
        return;
    this->context.partCrashes.onAttemptLost(
        { crash, certainty, crashed.lastDataAt, this->context.clock.now(), this->request.sharedPromptParts });
}

void CrashEvidence::announce(const Attempt& starting)
{
    if (this->context.suspects.status(this->requestFingerprint) != Quarantine::QuarantineStatus::Clear)
        this->record(starting, Quarantine::CrashCertainty::Possible, "announced");
}

void CrashEvidence::withdraw(const Attempt& notRun)
{
    const auto notice = this->possibleCrash(notRun);
    if (notice && this->context.suspects.withdraw(*notice))
        this->context.onSuspectWithdrawn(*notice);
}

std::optional<Quarantine::CrashNotice> CrashEvidence::possibleCrash(const Attempt& silent) const
{
    const std::optional<std::string> crash = this->crashName(silent);
    if (!crash)
        return std::nullopt;
    return Quarantine::CrashNotice { this->requestFingerprint, *crash, Quarantine::CrashCertainty::Possible };
}

std::optional<std::string> CrashEvidence::crashName(const Attempt& crashed) const
{
    return this->context.suspects.crashName(crashed.assignment.upstreamGeneration, crashed.sentAt);
}

void CrashEvidence::exonerate(bool isSuccess)
{
    if (this->context.suspects.exonerate(this->requestFingerprint))
        this->context.onExonerated(this->requestFingerprint);
    // An upstream that fails a request may not have begun to write its answer.
    if (isSuccess)
        this->context.partCrashes.onCompleted(this->request.sharedPromptParts);
}

} // namespace Gateway
