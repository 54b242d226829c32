#pragma once

#include <web/httprequest.h>

#include <cstdint>
#include <string>

/** What a stand-in upstream writes about itself to the store. */
struct StandinEntry {
    std::string service;
    std::uint16_t port = 0;
    std::int64_t startedAtMs = 1;
    int slots = 4;
    bool isDraining = false;
    std::string failureDomain = "a";
};

/** Returns the entry of an upstream of the loopback address in the store's format. */
std::string makeUpstreamEntry(const StandinEntry& entry);

/** Returns an answer that carries the id of its request and the signature of an upstream. */
Web::HttpReply makeSignedReply(const Web::HttpRequest& request, int status, std::string body);

/** Returns an event of a stream. @param paddingBytes how much longer its data is. */
std::string makeEvent(int id, std::size_t paddingBytes = 0);

/** The last event of the streams of stand-ins that run in processes of their own. */
constexpr int lastStandinEvent = 5;

/** Returns the body of calls at such stand-ins. */
std::string standinBody();
