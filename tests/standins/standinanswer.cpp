#include "standinanswer.h"

#include <nlohmann/json.hpp>

#include <map>

namespace {

/** Rises with each entry of upstreams that were started at the same time. */
std::int64_t nextSequence(std::int64_t startedAtMs)
{
    static std::map<std::int64_t, std::int64_t> sequences;
    return ++sequences[startedAtMs];
}

} // namespace

std::string makeUpstreamEntry(const StandinEntry& entry)
{
    const nlohmann::json fields = { { "service", entry.service },
        { "address", "127.0.0.1:" + std::to_string(entry.port) }, { "zone", entry.failureDomain }, { "version", "v1" },
        { "slots", entry.slots }, { "state", entry.isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 },
        { "born", entry.startedAtMs }, { "sequence", nextSequence(entry.startedAtMs) } };
    return fields.dump();
}

Web::HttpReply makeSignedReply(const Web::HttpRequest& request, int status, std::string body)
{
    return { status, "text/plain",
        { { "X-Attempt-Id", std::string(request.header("X-Attempt-Id")) }, { "X-Response-Signature", "signed" } },
        std::move(body), false };
}

std::string makeEvent(int id, std::size_t paddingBytes)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + std::string(paddingBytes, '.') + "\n\n";
}

std::string standinBody()
{
    std::string body;
    for (int line = 0; line < 40; ++line)
        body += "line " + std::to_string(line) + " of the answer\n";
    return body;
}
