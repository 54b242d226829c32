#include "httpclient.h"

namespace Fleet {

namespace {

constexpr Foundation::Duration sendTimeout = std::chrono::seconds(60);

} // namespace

Platform::HttpCallResult HttpClient::fetch(Platform::HttpCall call)
{
    Platform::HttpCallResult result;
    bool isFinished = false;
    this->transfers.fetch(std::move(call), [&](Platform::HttpCallResult received) {
        result = std::move(received);
        isFinished = true;
    });
    while (!isFinished)
        this->context.run_one();
    return result;
}

std::string HttpClient::get(const std::string& url)
{
    Platform::HttpCall call;
    call.url = url;
    const Platform::HttpCallResult result = this->fetch(std::move(call));
    return result.isSuccess() ? result.body : std::string();
}

Platform::HttpCallResult HttpClient::send(
    const std::string& method, const std::string& url, const std::string& body, const std::vector<std::string>& headers)
{
    return this->fetch({ method, url, headers, body, sendTimeout });
}

} // namespace Fleet
