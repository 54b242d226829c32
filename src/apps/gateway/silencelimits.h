#pragma once

#include "attempt.h"
#include "proxycontext.h"

#include <policy/trafficpolicy.h>
#include <relay/failoveraction.h>
#include <relay/silencedecision.h>

#include <string>

namespace Gateway {

// A repeatable request whose answer is not a stream fails over after twice its target without data, but not sooner.
constexpr Foundation::Duration minimumCallInactivityTimeout = std::chrono::milliseconds(250);

/** Says how long the upstream of an attempt may stay silent, and from when on its silence counts as a crash. */
class SilenceLimits {
public:
    /** @param context, route must outlive this object. */
    SilenceLimits(const ProxyContext& context, const Policy::Route& route);

    /** Returns what is known about the silence of an attempt. @param failover how the request goes on after it. */
    Relay::SilentAttempt describe(const Attempt& silent, Foundation::TimePoint now, Relay::FailoverAction failover,
        const std::string& service) const;
    /** Returns whether the upstream of an attempt is no longer listed or refuses connections. */
    bool isUpstreamDoubtful(const Attempt& silent) const;
    /** Returns whether the upstream of an attempt has been silent for longer than it is expected to be. */
    bool isUpstreamSilent(const Attempt& silent, Foundation::TimePoint now) const;
    /** Returns whether the upstream of an attempt has been silent for longer than if it were as fast as expected. */
    bool isLate(const Attempt& silent) const;
    /** Returns from when on the silence of an attempt counts as a crash of its upstream. */
    Foundation::TimePoint crashSuspectedFrom(const Attempt& silent) const;
    /** Returns after which silence the work of an attempt does not explain it any more. */
    Foundation::Duration crashSilence(const Attempt& silent) const;
    /** Returns how long an upstream stays silent at most if it is as fast as expected. */
    Foundation::Duration expectedSilence(const Attempt& silent) const;
    /** Returns how long a listed upstream may stay silent. */
    Foundation::Duration inactivityTimeout(const Attempt& silent) const;

    /** Returns whether memory that is reserved elsewhere must not wait for the answer of an attempt any longer. */
    bool isAnswerLost(const Attempt& silent, Foundation::TimePoint now) const;

private:
    /** Returns the silence that the work of an attempt explains. */
    Foundation::Duration answerSilence(const Attempt& silent) const;

    const ProxyContext& context;
    const Policy::Route& route;
};

} // namespace Gateway
