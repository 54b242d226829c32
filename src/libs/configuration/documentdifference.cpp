#include "documentdifference.h"

#include <map>

namespace Configuration {

namespace {

// Maps the kind and name of a definition to a text of all its values; two definitions are equal if the texts are.
using Fingerprints = std::map<std::string, std::string>;

std::string join(const std::vector<std::string>& texts)
{
    std::string joined;
    for (const std::string& text : texts)
        joined += text + ";";
    return joined;
}

std::string fingerprint(const AccountDefinition& account)
{
    return account.keySha256 + "|" + std::to_string(account.weight) + "|" + std::to_string(account.maximumConcurrent)
        + "|" + std::to_string(account.tokensPerSecond);
}

std::string fingerprint(const ModelDefinition& model)
{
    return join(model.upstreams) + "|" + std::to_string(model.bytesPerToken) + "|" + model.version + "|"
        + join(model.adapters);
}

std::string fingerprint(const ServiceDefinition& service)
{
    return service.upstream + "|" + join(service.repeatableCalls) + "|" + join(service.nonRepeatableCalls);
}

std::string fingerprint(const UpstreamDefinition& upstream)
{
    return std::to_string(static_cast<int>(upstream.kind)) + "|" + std::to_string(upstream.memoryTokens) + "|"
        + std::to_string(upstream.maximumConcurrent) + "|" + std::to_string(upstream.prefillTokensPerSecond) + "|"
        + std::to_string(upstream.decodeMicrosecondsPerToken) + "|" + std::to_string(upstream.queueCeiling) + "|"
        + std::to_string(upstream.maximumLongPrefills) + "|" + std::to_string(upstream.transfersCache) + "|"
        + std::to_string(upstream.ramp.initialConcurrent) + "|"
        + std::to_string(upstream.ramp.initialPrefillTokensPerSecond) + "|" + std::to_string(upstream.ramp.coldFactor);
}

std::string fingerprint(const LimitsDefinition& limits)
{
    return std::to_string(limits.defaultTimeoutMs) + "|" + std::to_string(limits.maximumTimeoutMs) + "|"
        + std::to_string(limits.keyWindowSeconds) + "|" + std::to_string(limits.maximumBodyBytes) + "|"
        + std::to_string(limits.retryShare) + "|" + std::to_string(limits.shortPromptTokens) + "|"
        + std::to_string(limits.longPromptTokens) + "|" + std::to_string(limits.subsetSize);
}

std::string fingerprint(const PolicyDefinition& policies)
{
    return std::to_string(static_cast<int>(policies.queue)) + "|" + std::to_string(static_cast<int>(policies.choice))
        + "|" + std::to_string(policies.packsLongPrompts);
}

template <typename Definition>
void collect(Fingerprints& fingerprints, std::string_view kind, const std::vector<Definition>& definitions)
{
    for (const Definition& definition : definitions)
        fingerprints[std::string(kind) + " " + definition.name] = fingerprint(definition);
}

Fingerprints collectAll(const EnvironmentDocument& document)
{
    Fingerprints fingerprints;
    collect(fingerprints, "account", document.accounts);
    collect(fingerprints, "model", document.models);
    collect(fingerprints, "service", document.services);
    collect(fingerprints, "upstream", document.upstreams);
    fingerprints["limits"] = fingerprint(document.limits);
    fingerprints["policies"] = fingerprint(document.policies);
    return fingerprints;
}

} // namespace

std::vector<std::string> describeDifference(const EnvironmentDocument& before, const EnvironmentDocument& after)
{
    const Fingerprints oldFingerprints = collectAll(before);
    const Fingerprints newFingerprints = collectAll(after);
    std::vector<std::string> lines;
    if (before.environment != after.environment)
        lines.push_back("~ environment " + before.environment + " -> " + after.environment);
    for (const auto& [name, value] : oldFingerprints) {
        if (!newFingerprints.contains(name))
            lines.push_back("- " + name);
    }
    for (const auto& [name, value] : newFingerprints) {
        const auto oldEntry = oldFingerprints.find(name);
        if (oldEntry == oldFingerprints.end())
            lines.push_back("+ " + name);
        else if (oldEntry->second != value)
            lines.push_back("~ " + name);
    }
    return lines;
}

} // namespace Configuration
