#include "requestparser.h"

#include "promptfields.h"

#include <foundation/identifier.h>
#include <foundation/sha256.h>
#include <routing/prefixaffinity.h>

#include <algorithm>
#include <charconv>

namespace Entry {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

constexpr std::string_view servicePrefix = "/services/";
constexpr std::size_t maximumIdempotencyKeyBytes = 256;

std::string makeFingerprint(std::string_view target, const Web::HttpRequest& request)
{
    const std::uint64_t head = Foundation::hash64(request.method + " " + request.path + "?" + request.query);
    const std::uint64_t first = Foundation::hash64(request.body(), Foundation::hash64(target, head));
    const std::uint64_t second = Foundation::hash64(request.body(), first);
    return std::to_string(first) + "-" + std::to_string(second);
}

Result<Foundation::Duration> parseTimeout(
    const Web::HttpRequest& request, const Configuration::LimitsDefinition& limits)
{
    const std::string_view text = request.header("X-Request-Timeout-Ms");
    std::int64_t milliseconds = limits.defaultTimeoutMs;
    if (!text.empty()) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (error != std::errc() || end != text.data() + text.size() || milliseconds < 1)
            return Error { ResultCode::MalformedRequest, "X-Request-Timeout-Ms must be a positive integer" };
    }
    return Foundation::Duration(std::chrono::milliseconds(std::min(milliseconds, limits.maximumTimeoutMs)));
}

Result<ParsedRequest> parsePrompt(ParsedRequest parsed, const Web::HttpRequest& request, const RoutingTable& table)
{
    const auto fields = parsePromptFields(request.body());
    if (!fields) {
        return Error { ResultCode::MalformedRequest,
            "the body must be a JSON object with a string 'model'; 'stream' must be a boolean and 'max_tokens' an "
            "integer from 1 to 1000000" };
    }
    const ModelRoute* const route = table.findModel(fields->model);
    if (!route)
        return Error { ResultCode::UnknownModel, "there is no model '" + fields->model + "'" };
    parsed.kind = Wire::WorkKind::Prompt;
    parsed.target = fields->model;
    parsed.path = request.path;
    parsed.answerMode = fields->stream ? AnswerMode::Streamed : AnswerMode::Buffered;
    parsed.promptTokens = route->estimator->estimate(request.body().size());
    parsed.outputTokens = fields->maximumTokens;
    parsed.prefixHash = Routing::hashPromptPrefix(request.body());
    parsed.lengthClass = Configuration::lengthClassFor(table.document().limits, parsed.promptTokens);
    return parsed;
}

Result<ParsedRequest> parseServiceCall(ParsedRequest parsed, const Web::HttpRequest& request, const RoutingTable& table)
{
    const std::string_view rest = std::string_view(request.path).substr(servicePrefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    const Configuration::ServiceDefinition* const service = table.document().findService(name);
    if (!service)
        return Error { ResultCode::UnknownService, "there is no service '" + std::string(name) + "'" };
    const std::string path = name.size() == rest.size() ? "/" : std::string(rest.substr(name.size()));
    parsed.kind = Wire::WorkKind::ServiceCall;
    parsed.target = service->name;
    parsed.path = request.query.empty() ? path : path + "?" + request.query;
    parsed.repeatability = Configuration::repeatabilityFor(*service, request.method, path);
    if (!parsed.isRepeatable() && parsed.idempotencyKey.empty())
        parsed.idempotencyKey = Foundation::makeIdentifier();
    return parsed;
}

} // namespace

Result<Configuration::AccountDefinition> findAccount(const Web::HttpRequest& request, const RoutingTable& table)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request.header("Authorization");
    if (!authorization.starts_with(scheme))
        return Error { ResultCode::UnknownAccount,
            "the request needs an API key as bearer token in the Authorization header" };
    const std::string digest = Foundation::sha256Hex(authorization.substr(scheme.size()));
    const Configuration::AccountDefinition* const account = table.document().findAccountByKey(digest);
    if (!account)
        return Error { ResultCode::UnknownAccount, "the API key belongs to no client account" };
    return *account;
}

Result<ParsedRequest> parseRequest(const Web::HttpRequest& request, const RoutingTable& table)
{
    const auto account = findAccount(request, table);
    if (!account)
        return account.error();
    const Configuration::LimitsDefinition& limits = table.document().limits;
    if (request.body().size() > static_cast<std::uint64_t>(limits.maximumBodyBytes))
        return Error { ResultCode::BodyTooLarge,
            "the body exceeds " + std::to_string(limits.maximumBodyBytes) + " bytes" };
    const auto timeout = parseTimeout(request, limits);
    if (!timeout)
        return timeout.error();
    ParsedRequest parsed;
    parsed.account = account.value();
    parsed.timeout = timeout.value();
    parsed.method = request.method;
    parsed.contentType = request.header("Content-Type");
    parsed.idempotencyKey = request.header("Idempotency-Key");
    if (parsed.idempotencyKey.size() > maximumIdempotencyKeyBytes)
        return Error { ResultCode::MalformedRequest, "Idempotency-Key must not exceed 256 bytes" };
    const bool isPrompt = request.path == "/v1/chat/completions" || request.path == "/v1/completions";
    if (isPrompt && request.method != "POST")
        return Error { ResultCode::MalformedRequest, "prompts must be sent with POST" };
    if (!isPrompt && !request.path.starts_with(servicePrefix))
        return Error { ResultCode::UnknownPath, "there is no endpoint at '" + request.path + "'" };
    auto result = isPrompt ? parsePrompt(std::move(parsed), request, table)
                           : parseServiceCall(std::move(parsed), request, table);
    if (!result)
        return result;
    result.value().fingerprint = makeFingerprint(result.value().target, request);
    result.value().body = request.sharedBody ? request.sharedBody : std::make_shared<const std::string>();
    return result;
}

} // namespace Entry
