#include "logclient.h"

#include <nlohmann/json.hpp>

namespace Platform {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

constexpr Foundation::Duration appendTimeout = std::chrono::milliseconds(1500);
// Added to the time for which the log may hold a read.
constexpr Foundation::Duration readTimeoutMargin = std::chrono::milliseconds(1500);

AppendResult toAppendResult(const HttpCallResult& result)
{
    if (result.outcome == CallOutcome::NotConnected)
        return { AppendOutcome::NotAppended, 0 };
    if (result.outcome == CallOutcome::Broken)
        return { AppendOutcome::Unknown, 0 };
    if (!result.isSuccess())
        return { result.status >= 500 ? AppendOutcome::Unknown : AppendOutcome::NotAppended, 0 };
    try {
        return { AppendOutcome::Appended, nlohmann::json::parse(result.body).at("offset").get<std::uint64_t>() };
    } catch (const std::exception&) {
        return { AppendOutcome::Unknown, 0 };
    }
}

} // namespace

LogClient::LogClient(HttpTransfers& transfers, std::string baseUrl)
    : transfers(transfers)
    , baseUrl(std::move(baseUrl))
{
}

void LogClient::append(std::string_view stream, std::string data, std::function<void(AppendResult)> onDone)
{
    HttpCall call { "POST", this->recordsUrl(stream), {}, std::move(data), appendTimeout, Resend::Never };
    this->transfers.fetch(std::move(call),
        [onDone = std::move(onDone)](const HttpCallResult& result) { onDone(toAppendResult(result)); });
}

void LogClient::read(
    std::string_view stream, std::uint64_t from, Foundation::Duration wait, std::function<void(Result<LogPage>)> onDone)
{
    HttpCall call;
    call.url = this->recordsUrl(stream) + "?from=" + std::to_string(from)
        + "&waitMs=" + std::to_string(Foundation::toMilliseconds(wait));
    call.timeout = wait + readTimeoutMargin;
    this->transfers.fetch(std::move(call), [onDone = std::move(onDone)](const HttpCallResult& result) {
        if (result.isSuccess())
            onDone(decodeLogPage(result.body));
        else
            onDone(Error { ResultCode::LogUnavailable, result.error });
    });
}

std::string LogClient::recordsUrl(std::string_view stream) const
{
    return this->baseUrl + "/streams/" + std::string(stream) + "/records";
}

Result<LogPage> decodeLogPage(std::string_view text)
{
    LogPage page;
    try {
        const nlohmann::json value = nlohmann::json::parse(text);
        page.first = value.at("first").get<std::uint64_t>();
        page.end = value.at("end").get<std::uint64_t>();
        page.retention = std::chrono::milliseconds(value.at("retentionMs").get<std::int64_t>());
        for (const nlohmann::json& record : value.at("records")) {
            page.records.push_back({ record.at("offset").get<std::uint64_t>(),
                std::chrono::milliseconds(record.at("timeMs").get<std::int64_t>()),
                record.at("data").get<std::string>() });
        }
    } catch (const std::exception& exception) {
        return Error { ResultCode::LogUnavailable, exception.what() };
    }
    return page;
}

} // namespace Platform
