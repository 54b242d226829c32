#pragma once

#include "attempt.h"
#include "proxycontext.h"

#include <quarantine/suspectregistry.h>

#include "platform/messageheaders.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Gateway {

/** Records and withdraws what the attempts of one request say about crashes of their upstreams. */
class CrashEvidence {
public:
    /** @param context, request must outlive this object. */
    CrashEvidence(ProxyContext& context, const PlatformAdapter::CallerRequest& request);

    /** Sets the name of the request in the crash quarantine: a hash of its target, its client account and its body. */
    void setFingerprint(std::string fingerprint) { this->requestFingerprint = std::move(fingerprint); }
    const std::string& fingerprint() const { return this->requestFingerprint; }

    /** Records that the request was or may have been running when the upstream of an attempt crashed. */
    void record(const Attempt& crashed, Quarantine::CrashCertainty certainty, std::string_view ending);
    /** Tells the other gateways that a suspect is about to run, in case this process ends before the attempt does. */
    void announce(const Attempt& starting);
    /** Takes the announcement back after the attempt turned out not to have run. */
    void withdraw(const Attempt& notRun);
    /** Returns the possible crash at an attempt; none if it was caused before. */
    std::optional<Quarantine::CrashNotice> possibleCrash(const Attempt& silent) const;
    /**
     * Removes what is recorded against the request after it has run to its end.
     * @param isSuccess whether its answer has a status of success.
     */
    void exonerate(bool isSuccess);

private:
    /** Records that the prompt parts of the request were or may have been running at a crash. */
    void recordPartCrash(const Attempt& crashed, const std::string& crash, Quarantine::CrashCertainty certainty);
    /** Returns the name under which a crash at an attempt is recorded; none if it was caused before. */
    std::optional<std::string> crashName(const Attempt& crashed) const;

    ProxyContext& context;
    const PlatformAdapter::CallerRequest& request;
    std::string requestFingerprint;
};

} // namespace Gateway
