#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Web {

struct HttpHeader {
    std::string name;
    std::string value;
};

/** @return whether two names of headers are the same, whatever their case. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** A request as it arrived. */
struct HttpRequest {
    std::string method;
    /** The request target as it was sent: path and query. */
    std::string target;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;

    /**
     * Finds a header, whatever the case of its name.
     * @param name the header's name.
     * @return its value; empty if there is none.
     */
    std::string_view header(std::string_view name) const;

    /**
     * Finds a parameter of the query. Percent-encoding is not undone.
     * @param name the parameter's name.
     * @return its value; empty if there is none.
     */
    std::string_view parameter(std::string_view name) const;
};

/** A whole answer. */
struct HttpReply {
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
    /** Whether the connection is closed after the answer. */
    bool closesConnection = false;
};

} // namespace Web
