#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Web {

struct HttpHeader {
    std::string name;
    std::string value;
};

/** Compares header names case-insensitively. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** A complete request as received. */
struct HttpRequest {
    std::string method;
    /** The request target as received: path and query. */
    std::string target;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    /** The body, which requests to upstreams share; may be null if it is empty. */
    std::shared_ptr<const std::string> sharedBody;

    const std::string& body() const;

    /** Returns the value of a header, or an empty string if there is none. The case of the name is ignored. */
    std::string_view header(std::string_view name) const;

    /** Returns the value of a query parameter, still percent-encoded, or an empty string if there is none. */
    std::string_view parameter(std::string_view name) const;
};

/** A complete response. */
struct HttpReply {
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
    /** Whether the server closes the connection after the response. */
    bool closesConnection = false;
    /** Kept until the response was sent or its connection closed, for whoever accounts for the memory of the body. */
    std::shared_ptr<void> attachment {};
    /** The length that a response to HEAD announces; that of the body, which is not sent, if there is none. */
    std::optional<std::size_t> announcedLength {};
};

} // namespace Web
