#pragma once

#include <storecache/keyedrecord.h>
#include <web/httpserver.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/** Stand-in for the platform's store: keyed topics with one partition, and the calls that a gateway makes. */
class StandinStore {
public:
    StandinStore(asio::io_context& context, std::uint16_t port);

    /** Listens on another port, whose callers can be refused on their own. Returns its number; the first port has 0. */
    std::size_t addEntrance(std::uint16_t port);

    void start();

    /** Writes a record as the operator or an upstream would. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** Appends a record without a value, which removes the key. */
    void removeKey(const std::string& topic, const std::string& key);

    /** Copies the records of a topic from another store. */
    void copyTopic(const std::string& topic, const StandinStore& source);

    /** While it is unavailable, the store answers every call with 503, also the reads that it holds. */
    void setUnavailable(bool unavailable);

    /** While an entrance is refused, its callers get 429, also for the reads that are held. */
    void setRefused(std::size_t entrance, bool refused);

    /** Returns whether a key has a value. */
    bool contains(const std::string& topic, const std::string& key) const;

    /** Returns the keys of a topic that have a value. */
    std::set<std::string> keys(const std::string& topic) const;

    /**
     * Names an era in all answers, and takes a copy of all topics.
     * @param emptyTopic a topic that is empty in the copy, as if it had been written to later.
     */
    void takeCopy(const std::string& emptyTopic = {});

    /** Comes back from the copy: what was written since is lost, and its offsets are given out again. */
    void restoreCopy();

    /** Expires all records of a topic, so that its current values can only be read as a listing. */
    void expireHistory(const std::string& topic);

    /** Returns the number of calls in the busiest second since the counting began. */
    std::size_t busiestSecond(bool isAppend) const;
    void restartCounting() { this->callsBySecond.clear(); }

    /** The number of records that a read returns at most. */
    std::size_t maximumReadRecords = std::numeric_limits<std::size_t>::max();
    int calls = 0;
    int appends = 0;

private:
    struct Topic {
        std::vector<std::string> contents;
        std::uint64_t first = 0;
    };

    /** A port, and whether its callers are refused. */
    struct Entrance {
        std::unique_ptr<Web::HttpServer> server;
        bool isRefused = false;
    };

    /** A read that is held until a record is appended or its wait is over. */
    struct HeldRead {
        std::shared_ptr<Web::HttpExchange> exchange;
        std::size_t entrance = 0;
        std::string topic;
        asio::steady_timer timer;
    };

    void count(bool isAppend);
    void respond(Web::HttpExchange& exchange, Web::HttpReply reply) const;
    void handle(std::size_t entrance, const std::shared_ptr<Web::HttpExchange>& exchange);
    bool holdRead(std::size_t entrance, const std::shared_ptr<Web::HttpExchange>& exchange);
    void answerHeldReads(const std::string& topic);
    void appendContent(const std::string& topic, std::string content);
    Web::HttpReply readRange(const Web::HttpRequest& request);
    Web::HttpReply readListing(const Web::HttpRequest& request);
    Web::HttpReply append(const Web::HttpRequest& request);

    asio::io_context& context;
    std::vector<Entrance> entrances;
    std::map<std::string, Topic, std::less<>> topics;
    std::map<std::string, Topic, std::less<>> copiedTopics;
    /** 0 until a copy is taken. */
    std::uint64_t era = 0;
    /** By number, since the end of a wait may be reported after the read was answered. */
    std::map<std::uint64_t, HeldRead> heldReads;
    std::uint64_t lastHeldRead = 0;
    /** The numbers of calls, by whether they append and by second of the steady clock. */
    std::map<std::pair<bool, std::int64_t>, std::size_t> callsBySecond;
    bool isUnavailable = false;
};
