#pragma once

#include <configuration/lengthclass.h>
#include <foundation/clock.h>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Admission {

class PrefillBacklog {
public:
    /** @param tokensPerSecond the configured prefill rate, used until samples are recorded. */
    explicit PrefillBacklog(double tokensPerSecond);

    /** Adds a dispatched prompt. Has no effect if the attempt was added before. */
    void add(std::string_view attempt, Configuration::LengthClass lengthClass, std::int64_t promptTokens);

    /** Removes a prompt whose prefill is complete or whose attempt has ended. */
    void remove(std::string_view attempt);

    /**
     * Updates the estimated rate by a measured time to first token.
     * @param prefillTokens the tokens ahead of the prompt at its dispatch, plus those of the prompt.
     * @param elapsed the time from dispatch to the first token.
     */
    void recordPrefillTime(std::int64_t prefillTokens, Foundation::Duration elapsed);

    /** Returns the tokens at the engine that its priorities place before a new prompt of this class. */
    std::int64_t tokensAhead(Configuration::LengthClass lengthClass) const;

    /** Returns the number of dispatched prompts of this class without a first token. */
    std::int64_t count(Configuration::LengthClass lengthClass) const;

    /** Returns the estimated time that the engine needs to prefill that many tokens. */
    Foundation::Duration prefillTime(std::int64_t prefillTokens) const;

    /** Sets the configured rate. A changed rate discards the estimate. */
    void setRate(double tokensPerSecond);

    void clear();

private:
    struct Prompt {
        Configuration::LengthClass lengthClass;
        std::int64_t tokens;
    };

    std::map<std::string, Prompt, std::less<>> prompts;
    std::array<std::int64_t, Configuration::lengthClassCount> tokens {};
    std::array<std::int64_t, Configuration::lengthClassCount> counts {};
    double rate;
    double configuredRate;
};

} // namespace Admission
