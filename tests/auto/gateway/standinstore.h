#pragma once

#include <storecache/topiccache.h>
#include <web/httpserver.h>

#include <map>
#include <string>
#include <vector>

/** Stand-in for the platform's store: keyed topics with one partition, and the calls that a gateway makes. */
class StandinStore {
public:
    StandinStore(asio::io_context& context, std::uint16_t port);

    void start();

    /** Writes a record as the operator or an upstream would. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** Appends a record without a value, which removes the key. */
    void removeKey(const std::string& topic, const std::string& key);

    /** While it is unavailable, the store answers every call with 503. */
    void setUnavailable(bool unavailable) { this->isUnavailable = unavailable; }

    /** Expires all records of a topic, so that its current values can only be read as a listing. */
    void expireHistory(const std::string& topic);

    int calls = 0;
    int appends = 0;

private:
    struct Topic {
        std::vector<std::string> contents;
        std::uint64_t first = 0;
    };

    void handle(Web::HttpExchange& exchange);
    Web::HttpReply readRange(const Web::HttpRequest& request);
    Web::HttpReply readListing(const Web::HttpRequest& request);
    Web::HttpReply append(const Web::HttpRequest& request);

    Web::HttpServer server;
    std::map<std::string, Topic, std::less<>> topics;
    bool isUnavailable = false;
};
