#include "upstreamclient.h"

#include <nlohmann/json.hpp>

namespace Agent {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;
using Platform::HttpCall;
using Platform::HttpCallResult;

constexpr Foundation::Duration controlCallTimeout = std::chrono::milliseconds(800);

Error makeDownError(const HttpCallResult& result) { return { ResultCode::UpstreamDown, result.error }; }

} // namespace

/**
 * @class UpstreamClient
 * Sends requests and control calls to the upstream over HTTP.
 */
UpstreamClient::UpstreamClient(Platform::HttpTransfers& transfers, std::string baseUrl)
    : transfers(transfers)
    , baseUrl(std::move(baseUrl))
{
}

Platform::CallId UpstreamClient::dispatch(const Wire::Offer& offer, std::string body, Foundation::Duration budget,
    int priority, Platform::StreamHandlers handlers)
{
    HttpCall call { offer.method, this->baseUrl + offer.path, {}, std::move(body), budget };
    call.resend = Platform::Resend::Never;
    // A reused connection that the upstream closes as idle would cost the call, which may not be sent again.
    if (call.body.empty())
        call.connectionUse = Platform::ConnectionUse::Dedicated;
    call.headers.push_back("X-Request-Id: " + offer.request);
    if (!offer.contentType.empty())
        call.headers.push_back("Content-Type: " + offer.contentType);
    if (offer.kind == Wire::WorkKind::Prompt) {
        call.headers.push_back("X-Stream-Id: " + offer.attempt);
        call.headers.push_back("X-Priority: " + std::to_string(priority));
    }
    if (!offer.idempotencyKey.empty())
        call.headers.push_back("Idempotency-Key: " + offer.idempotencyKey);
    return this->transfers.stream(std::move(call), std::move(handlers));
}

Platform::CallId UpstreamClient::resume(
    std::string_view attempt, std::uint64_t fromByte, Foundation::Duration budget, Platform::StreamHandlers handlers)
{
    HttpCall call;
    call.url = this->baseUrl + "/v1/streams/" + std::string(attempt) + "?from=" + std::to_string(fromByte);
    call.timeout = budget;
    return this->transfers.stream(std::move(call), std::move(handlers));
}

void UpstreamClient::abandonCall(Platform::CallId call) { this->transfers.cancel(call); }

void UpstreamClient::cancelStream(std::string_view stream, std::function<void(bool)> onEnd)
{
    HttpCall call;
    call.method = "DELETE";
    call.url = this->baseUrl + "/v1/streams/" + std::string(stream);
    call.timeout = controlCallTimeout;
    this->transfers.fetch(
        std::move(call), [onEnd = std::move(onEnd)](const HttpCallResult& result) { onEnd(result.isSuccess()); });
}

void UpstreamClient::readStatus(std::function<void(Result<UpstreamStatus>, bool)> onEnd)
{
    HttpCall call;
    call.url = this->baseUrl + "/v1/status";
    call.timeout = controlCallTimeout;
    this->transfers.fetch(std::move(call), [onEnd = std::move(onEnd)](const HttpCallResult& result) {
        const nlohmann::json value
            = nlohmann::json::parse(result.isSuccess() ? result.body : "", nullptr, /* allow_exceptions */ false);
        if (!value.is_object() || !value.contains("generation") || !value["generation"].is_string())
            onEnd(makeDownError(result), result.isRefused);
        else
            onEnd(UpstreamStatus { value["generation"].get<std::string>(), value.value("leaving", false) },
                /* isRefused */ false);
    });
}

void UpstreamClient::listStreams(std::function<void(Result<std::vector<UpstreamStream>>)> onEnd)
{
    HttpCall call;
    call.url = this->baseUrl + "/v1/streams";
    call.timeout = controlCallTimeout;
    this->transfers.fetch(std::move(call), [onEnd = std::move(onEnd)](const HttpCallResult& result) {
        if (!result.isSuccess()) {
            onEnd(makeDownError(result));
            return;
        }
        std::vector<UpstreamStream> streams;
        try {
            const nlohmann::json list = nlohmann::json::parse(result.body);
            for (const nlohmann::json& item : list.at("streams"))
                streams.push_back({ item.at("id").get<std::string>(), item.at("tokens").get<std::int64_t>() });
        } catch (const std::exception& exception) {
            onEnd(Error { ResultCode::UpstreamDown, exception.what() });
            return;
        }
        onEnd(std::move(streams));
    });
}

} // namespace Agent
