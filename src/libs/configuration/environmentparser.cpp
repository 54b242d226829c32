#include "environmentparser.h"

#include <foundation/jsonobjectreader.h>

#include <algorithm>
#include <set>

namespace Configuration {

namespace {

using Foundation::Error;
using Foundation::JsonObjectReader;
using Foundation::LocatedJson;
using Foundation::Result;
using Foundation::ResultCode;

constexpr std::int64_t maximumTokens = 100'000'000;
constexpr std::int64_t maximumConcurrentRequests = 100'000;
constexpr std::int64_t msPerDay = 86'400'000;
constexpr std::int64_t largestBodyBytes = 64 * 1024 * 1024;
constexpr double maximumWeight = 1000;

AccountDefinition readAccount(JsonObjectReader& reader)
{
    AccountDefinition account;
    account.name = reader.text("name");
    account.keySha256 = reader.text("keySha256");
    constexpr std::size_t digestDigits = 64;
    if (!account.keySha256.empty() && account.keySha256.size() != digestDigits)
        reader.fail("keySha256", "must have 64 hexadecimal digits, as 'bluebellctl hash-key' prints them");
    account.weight = reader.number("weight", 0.01, maximumWeight, 1);
    account.maximumConcurrent = reader.integer("maximumConcurrent", 1, maximumConcurrentRequests, 256);
    account.tokensPerSecond = reader.integer("tokensPerSecond", 1, maximumTokens, maximumTokens);
    reader.rejectUnknownKeys();
    return account;
}

ModelDefinition readModel(JsonObjectReader& reader)
{
    ModelDefinition model;
    model.name = reader.text("name");
    model.upstreams = reader.textList("upstreams");
    model.bytesPerToken = reader.number("bytesPerToken", 0.5, 32, 4);
    model.version = reader.text("version", "1");
    model.adapters = reader.textList("adapters");
    if (model.upstreams.empty())
        reader.fail("upstreams", "must list at least one upstream");
    reader.rejectUnknownKeys();
    return model;
}

ServiceDefinition readService(JsonObjectReader& reader)
{
    ServiceDefinition service;
    service.name = reader.text("name");
    service.upstream = reader.text("upstream");
    service.repeatableCalls = reader.textList("repeatable");
    service.nonRepeatableCalls = reader.textList("nonRepeatable");
    reader.rejectUnknownKeys();
    return service;
}

UpstreamKind readKind(JsonObjectReader& reader)
{
    const std::string kind = reader.text("kind", "engine");
    if (kind == "service")
        return UpstreamKind::Service;
    if (kind != "engine")
        reader.fail("kind", "must be engine or service");
    return UpstreamKind::Engine;
}

UpstreamDefinition readUpstream(JsonObjectReader& reader)
{
    UpstreamDefinition upstream;
    upstream.name = reader.text("name");
    upstream.kind = readKind(reader);
    upstream.memoryTokens = reader.integer("memoryTokens", 1, maximumTokens, 400'000);
    upstream.maximumConcurrent = reader.integer("maximumConcurrent", 1, maximumConcurrentRequests, 64);
    upstream.prefillTokensPerSecond = reader.integer("prefillTokensPerSecond", 1, maximumTokens, 50'000);
    upstream.decodeMicrosecondsPerToken = reader.integer("decodeMicrosecondsPerToken", 1, 10'000'000, 20'000);
    upstream.queueCeiling = reader.integer("queueCeiling", 1, maximumConcurrentRequests, 512);
    upstream.maximumLongPrefills = reader.integer("maximumLongPrefills", 1, 64, 1);
    upstream.transfersCache = reader.boolean("transfersCache", false);
    JsonObjectReader ramp = reader.object("ramp");
    upstream.ramp.initialConcurrent = ramp.integer("initialConcurrent", 1, maximumConcurrentRequests, 2);
    upstream.ramp.initialPrefillTokensPerSecond
        = ramp.integer("initialPrefillTokensPerSecond", 1, maximumTokens, 10'000);
    upstream.ramp.coldFactor = ramp.number("coldFactor", 1.5, 100, 4);
    ramp.rejectUnknownKeys();
    reader.rejectUnknownKeys();
    return upstream;
}

LimitsDefinition readLimits(JsonObjectReader reader)
{
    LimitsDefinition limits;
    limits.defaultTimeoutMs = reader.integer("defaultTimeoutMs", 1, msPerDay, 30'000);
    limits.maximumTimeoutMs = reader.integer("maximumTimeoutMs", 1, msPerDay, 600'000);
    limits.keyWindowSeconds = reader.integer("keyWindowSeconds", 1, 7 * 86'400, 3'600);
    limits.maximumBodyBytes = reader.integer("maximumBodyBytes", 1024, largestBodyBytes, 16 * 1024 * 1024);
    limits.retryShare = reader.number("retryShare", 0, 1, 0.1);
    limits.shortPromptTokens = reader.integer("shortPromptTokens", 1, maximumTokens, 8'000);
    limits.longPromptTokens = reader.integer("longPromptTokens", 1, maximumTokens, 100'000);
    limits.subsetSize = reader.integer("subsetSize", 1, 10'000, 48);
    if (limits.longPromptTokens <= limits.shortPromptTokens)
        reader.fail("longPromptTokens", "must be greater than shortPromptTokens");
    // A claim must not expire while a request that depends on it can still run.
    constexpr std::int64_t timeoutsPerKeyWindow = 2;
    constexpr std::int64_t msPerSecond = 1000;
    if (limits.keyWindowSeconds * msPerSecond < timeoutsPerKeyWindow * limits.maximumTimeoutMs)
        reader.fail("keyWindowSeconds", "must be at least twice maximumTimeoutMs");
    reader.rejectUnknownKeys();
    return limits;
}

PolicyDefinition readPolicies(JsonObjectReader reader)
{
    PolicyDefinition policies;
    const std::string queue = reader.text("queue", "fair");
    if (queue == "fifo")
        policies.queue = QueuePolicy::FirstInFirstOut;
    else if (queue != "fair")
        reader.fail("queue", "must be fair or fifo");
    const std::string choice = reader.text("choice", "predicted");
    if (choice == "roundRobin")
        policies.choice = ChoicePolicy::RoundRobin;
    else if (choice != "predicted")
        reader.fail("choice", "must be predicted or roundRobin");
    policies.packsLongPrompts = reader.boolean("packLongPrompts", true);
    reader.rejectUnknownKeys();
    return policies;
}

template <typename Definition>
void rejectDuplicateNames(JsonObjectReader& root, std::string_view list, const std::vector<Definition>& definitions)
{
    std::set<std::string_view> names;
    for (const Definition& definition : definitions) {
        if (!names.insert(definition.name).second)
            root.fail(list, "contains the name '" + definition.name + "' more than once");
    }
}

void checkReferences(JsonObjectReader& root, const EnvironmentDocument& document)
{
    for (const ModelDefinition& model : document.models) {
        for (const std::string& name : model.upstreams) {
            const UpstreamDefinition* const upstream = document.findUpstream(name);
            if (!upstream || upstream->kind != UpstreamKind::Engine)
                root.fail("models", "'" + model.name + "' refers to '" + name + "', which is not an engine upstream");
        }
    }
    for (const ServiceDefinition& service : document.services) {
        const UpstreamDefinition* const upstream = document.findUpstream(service.upstream);
        if (!upstream || upstream->kind != UpstreamKind::Service)
            root.fail("services",
                "'" + service.name + "' refers to '" + service.upstream + "', which is not a service upstream");
    }
    std::set<std::string_view> keys;
    for (const AccountDefinition& account : document.accounts) {
        if (!keys.insert(account.keySha256).second)
            root.fail("accounts", "'" + account.name + "' has the same key as another account");
    }
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

} // namespace

Result<EnvironmentDocument> parseEnvironment(std::string_view fileName, std::string_view text)
{
    const Result<LocatedJson> located = Foundation::parseLocatedJson(fileName, text, ResultCode::DocumentInvalid);
    if (!located)
        return located.error();
    std::vector<std::string> errors;
    JsonObjectReader root(located.value(), "", errors);
    EnvironmentDocument document;
    document.environment = root.text("environment");
    for (JsonObjectReader& reader : root.objects("accounts"))
        document.accounts.push_back(readAccount(reader));
    for (JsonObjectReader& reader : root.objects("upstreams"))
        document.upstreams.push_back(readUpstream(reader));
    for (JsonObjectReader& reader : root.objects("models"))
        document.models.push_back(readModel(reader));
    for (JsonObjectReader& reader : root.objects("services"))
        document.services.push_back(readService(reader));
    document.limits = readLimits(root.object("limits"));
    document.policies = readPolicies(root.object("policies"));
    rejectDuplicateNames(root, "accounts", document.accounts);
    rejectDuplicateNames(root, "upstreams", document.upstreams);
    rejectDuplicateNames(root, "models", document.models);
    rejectDuplicateNames(root, "services", document.services);
    checkReferences(root, document);
    root.rejectUnknownKeys();
    if (!errors.empty())
        return Error { ResultCode::DocumentInvalid, joinLines(errors) };
    std::ranges::sort(document.accounts, {}, &AccountDefinition::keySha256);
    return document;
}

} // namespace Configuration
