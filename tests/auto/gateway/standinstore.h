#pragma once

#include <knowledge/keyedrecords.h>
#include <web/httpserver.h>

#include <map>
#include <string>
#include <vector>

/** The platform's store as far as the gateway needs it: keyed topics with one partition, read and appended to. */
class StandinStore {
public:
    StandinStore(asio::io_context& context, std::uint16_t port);

    void start();

    /** Writes a record as the operator or an upstream would. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** Drops a key. */
    void drop(const std::string& topic, const std::string& key);

    /** While it is away the store answers every call with 503. */
    void setAway(bool away) { this->isAway = away; }

    /** Forgets records, so that only a listing tells what they left. */
    void dropHistory(const std::string& topic);

    int calls = 0;
    int appends = 0;

private:
    struct Topic {
        std::vector<std::string> contents;
        std::uint64_t first = 0;
    };

    void handle(Web::HttpExchange& exchange);
    Web::HttpReply readRun(const Web::HttpRequest& request);
    Web::HttpReply readListing(const Web::HttpRequest& request);
    Web::HttpReply append(const Web::HttpRequest& request);

    Web::HttpServer server;
    std::map<std::string, Topic, std::less<>> topics;
    bool isAway = false;
};
