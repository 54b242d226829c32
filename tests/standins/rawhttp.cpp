#include "rawhttp.h"

#include <istream>
#include <string_view>

std::string RawRequest::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::size_t RawRequest::bodyBytes() const
{
    const std::string length = this->header("Content-Length");
    return length.empty() ? 0 : std::stoul(length);
}

RawRequest readRawRequest(std::istream& stream)
{
    RawRequest request;
    std::string method;
    std::string version;
    stream >> method >> request.path >> version;
    std::string line;
    std::getline(stream, line);
    while (std::getline(stream, line) && line != "\r") {
        const std::size_t colon = line.find(": ");
        if (colon != std::string::npos)
            request.headers[line.substr(0, colon)] = line.substr(colon + 2, line.size() - colon - 3);
    }
    return request;
}

std::string makeChunk(const std::string& data)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = data.size(); rest > 0; rest /= digits.size())
        size.insert(size.begin(), digits[rest % digits.size()]);
    return size + "\r\n" + data + "\r\n";
}
