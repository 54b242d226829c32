#include "httprequest.h"

#include <algorithm>
#include <cctype>

namespace Web {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto lower = [](unsigned char c) { return std::tolower(c); };
    return std::ranges::equal(a, b, {}, lower, lower);
}

const std::string& HttpRequest::body() const
{
    static const std::string empty;
    return this->sharedBody ? *this->sharedBody : empty;
}

std::string_view HttpRequest::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        this->headers, [name](const HttpHeader& header) { return equalsIgnoringCase(header.name, name); });
    return found == this->headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = this->query;
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return {};
}

} // namespace Web
