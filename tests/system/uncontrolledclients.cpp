#include "uncontrolledclients.h"

#include "gatewayfleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

namespace Proof {

namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = 20ms;
// Only ends a run that makes no progress.
constexpr auto phaseTimeLimit = 60s;
// A crowd whose bytes are no longer taken has arrived as far as it can.
constexpr auto quietTime = 3s;
constexpr std::size_t largeChunk = 64 * 1024;
// Far beyond what a server may hold for a line.
constexpr std::size_t endlessBytes = 4 << 20;
// Requests that slow upstreams do not answer wait for this long.
constexpr int safeTimeoutMs = 4'000;
// Below the limit of the document.
constexpr std::size_t largeHeadFields = 400;
constexpr std::size_t mediumBodyBytes = 15'000;
constexpr std::size_t returns = 30;
constexpr const char* chunkedHead
    = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string hexadecimal(std::size_t number)
{
    std::string text;
    for (; number > 0; number /= 16)
        text.insert(text.begin(), "0123456789abcdef"[number % 16]);
    return text;
}

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

/** Sends a head, and a piece several times. */
PieceSource repeated(std::string head, std::string piece, std::size_t count, std::string end = {})
{
    return [=](std::size_t index) {
        return index == 0 ? head : index <= count ? piece : index == count + 1 ? end : "";
    };
}

/** Returns a complete request. @param fields its further fields, each with its line end. */
std::string wholeRequest(const std::string& path, const std::string& fields, std::size_t bodyBytes = 0)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Token key\r\nX-Token-Usage: 1000,50\r\n" + fields
        + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

/** Sends one piece and nothing more. */
PieceSource once(std::string piece)
{
    return [piece = std::move(piece)](std::size_t index) { return index == 0 ? piece : std::string(); };
}

std::string announcedHead(std::size_t bytes)
{
    return "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: key\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

PieceSource largeChunks(std::size_t bytes)
{
    const std::string chunk = hexadecimal(largeChunk) + "\r\n" + std::string(largeChunk, 'x') + "\r\n";
    const std::string shortChunk = chunk.substr(0, chunk.size() - 3);
    return repeated(chunkedHead, chunk, bytes / largeChunk - 1, shortChunk);
}

PieceSource endless(const std::string& head, std::string_view text)
{
    const std::size_t repetitions = largeChunk / text.size();
    return repeated(head, repeat(text, repetitions), endlessBytes / largeChunk);
}

/** Runs the context until a condition holds. Returns whether it does. */
template <typename Condition> bool runUntil(asio::io_context& context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + phaseTimeLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_for(pollInterval);
    }
    return true;
}

std::string makeDocument(std::size_t bodyLimit)
{
    nlohmann::json document = nlohmann::json::parse(GatewayFleet::makeDocument(2, { "key" }));
    document["routes"][0]["timeout_ms"] = safeTimeoutMs;
    document["limits"] = { { "max_header_bytes", 16'384 }, { "max_body_bytes", bodyLimit },
        { "header_timeout_ms", 1'000 }, { "idle_timeout_ms", 15'000 } };
    return document.dump();
}

std::int64_t readCountedBytes(const std::string& metrics)
{
    constexpr std::string_view name = "\nbluebell_receive_memory_peak_bytes ";
    const std::size_t found = metrics.find(name);
    return found == std::string::npos ? -1 : static_cast<std::int64_t>(std::stod(metrics.substr(found + name.size())));
}

class CrowdRun {
public:
    CrowdRun(const std::filesystem::path& programs, const CrowdPlan& plan)
        : plan(plan)
        , fleet(this->context, programs, makeFleetPlan(plan), 1)
    {
    }

    CrowdResult run(const ClientKind& kind)
    {
        this->fleet.start();
        if (!runUntil(this->context, [this] { return this->fleet.isReady(); }))
            return {};
        this->fleet.platformStore().put("keyed.op", "config", makeDocument(this->plan.bodyLimit));
        if (!this->waitForDocument() || !this->callOrdinary())
            return {};
        ClientCrowd crowd(this->context, this->fleet.callerPort(0), this->plan.clients, kind.behaviours);
        this->waitFor(crowd);
        CrowdResult result;
        result.isAnswered = this->callOrdinary();
        this->sample();
        result.isAlive = this->fleet.isGatewayAlive(0);
        result.peakBytes = this->peakBytes;
        result.peakDescriptors = this->peakDescriptors;
        result.peakCountedBytes = readCountedBytes(this->fetchMetrics());
        return result;
    }

private:
    static GatewayFleet::Plan makeFleetPlan(const CrowdPlan& plan)
    {
        GatewayFleet::Plan fleetPlan;
        fleetPlan.gateways = 1;
        fleetPlan.applications = 3;
        fleetPlan.engines = 2;
        fleetPlan.gatewayMemoryMb = plan.memoryMb;
        fleetPlan.gatewayDescriptors = plan.descriptors;
        return fleetPlan;
    }

    void sample()
    {
        this->peakBytes = std::max(this->peakBytes, this->fleet.gatewayProcess(0).peakResidentBytes());
        this->peakDescriptors = std::max(this->peakDescriptors, this->fleet.gatewayProcess(0).openDescriptors());
    }

    /** Waits until the gateway uses the document with the limits. */
    bool waitForDocument()
    {
        return runUntil(this->context, [this] {
            std::ifstream log(this->fleet.logFolder() / (this->fleet.gatewayName(0) + ".log"));
            const std::string text { std::istreambuf_iterator<char>(log), {} };
            return text.find("version=2") != std::string::npos;
        });
    }

    void waitFor(const ClientCrowd& crowd)
    {
        std::uint64_t lastProgressSum = 0;
        auto lastProgress = std::chrono::steady_clock::now();
        runUntil(this->context, [&] {
            this->sample();
            const auto now = std::chrono::steady_clock::now();
            if (std::exchange(lastProgressSum, crowd.progress()) != crowd.progress())
                lastProgress = now;
            return crowd.unfinishedClients() == 0 || now - lastProgress > quietTime;
        });
        // What was sent last may not have been read yet.
        const auto end = std::chrono::steady_clock::now() + 1s;
        runUntil(this->context, [&] {
            this->sample();
            return std::chrono::steady_clock::now() > end;
        });
    }

    std::optional<Platform::HttpCallResult> fetch(Platform::HttpCall call)
    {
        std::optional<Platform::HttpCallResult> answer;
        this->fleet.transfers().fetch(
            std::move(call), [&answer](const Platform::HttpCallResult& result) { answer = result; });
        runUntil(this->context, [&] {
            this->sample();
            return answer.has_value();
        });
        return answer;
    }

    /** Sends requests until one is answered; a gateway may refuse some while it rejects the crowd. */
    bool callOrdinary()
    {
        return runUntil(this->context, [this] {
            const std::string id = "ordinary-" + std::to_string(++this->calls);
            Platform::HttpCall call = this->fleet.makeCall(0, id, "/safe/x");
            call.method = "POST";
            call.body = std::string(this->plan.ordinaryBodyBytes, 'x');
            const auto answer = this->fetch(std::move(call));
            return !this->fleet.isGatewayAlive(0) || (answer && answer->isSuccess());
        }) && this->fleet.isGatewayAlive(0);
    }

    std::string fetchMetrics()
    {
        Platform::HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(this->fleet.metricsPort(0)) + "/metrics";
        const auto answer = this->fetch(std::move(call));
        return answer ? answer->body : std::string();
    }

    CrowdPlan plan;
    asio::io_context context { 1 };
    GatewayFleet fleet;
    std::int64_t peakBytes = 0;
    std::size_t peakDescriptors = 0;
    int calls = 0;
};

/** Clients whose requests never end, or exceed limits. */
std::vector<ClientKind> endlessKinds(std::size_t bodyLimit)
{
    const std::string body(largeChunk, 'x');
    const std::string beginning = "POST /safe/x HTTP/1.1\r\nHost: h\r\n";
    const std::size_t blocks = bodyLimit / largeChunk;
    const std::string smallChunks = repeat("1\r\nx\r\n", 10'000);
    const std::string longSizes = repeat("0000000000000001\r\nx\r\n", 4'000);
    return {
        { "large-chunks", { { largeChunks(bodyLimit) } } },
        { "small-chunks", { { repeated(chunkedHead, smallChunks, bodyLimit / 25'000) } } },
        { "announced", { { repeated(announcedHead(bodyLimit), body, blocks - 1, body.substr(1)) } } },
        { "announced-over-limit",
            { { repeated(announcedHead(4 * bodyLimit), body, 4 * blocks - 1, body.substr(1)) } } },
        { "chunked-over-limit", { { largeChunks(4 * bodyLimit) } } },
        { "long-chunk-sizes", { { repeated(chunkedHead, longSizes, bodyLimit / 20'000) } } },
        { "endless-chunk-size", { { endless(chunkedHead, "0") } } },
        { "endless-chunk-extension", { { endless(std::string(chunkedHead) + "1;", "a=b;") } } },
        { "endless-trailers", { { endless(std::string(chunkedHead) + "1\r\nx\r\n0\r\n", "Trailer: value\r\n") } } },
        { "head-over-limit", { { repeated(beginning, "X-Field: " + std::string(4'000, 'x') + "\r\n", 6, "\r\n") } } },
        { "endless-head", { { endless(beginning, "X-Field: value\r\n") } } },
        { "endless-empty-lines", { { endless("\r\n", "\r\n") } } },
        { "unfinished-heads", { { repeated(beginning, "X-Field: value\r\n", 1) } } },
    };
}

/** Clients that send complete requests, or nothing, and stay open. */
std::vector<ClientKind> wholeRequestKinds()
{
    const std::string slowPath = "/safe/slow/x";
    const std::string fields = repeat("X-F: " + std::string(32, 'x') + "\r\n", largeHeadFields);
    const std::string slow = wholeRequest(slowPath, fields);
    return {
        { "whole-heads", { { once(slow) } } },
        { "whole-bodies", { { once(wholeRequest(slowPath, "", mediumBodyBytes)) } } },
        { "whole-heads-and-bodies", { { once(wholeRequest(slowPath, fields, mediumBodyBytes)) } } },
        { "upgrades", { { once(wholeRequest(slowPath, "Connection: Upgrade\r\nUpgrade: websocket\r\n")) } } },
        { "second-requests", { { once(slow + slow) } } },
        { "unread-answers", { { once(wholeRequest("/stream/large/x", "")) } } },
        { "unread-refusals", { { once(repeat(wholeRequest("/none/x", ""), 400)) } } },
        { "silent-connections", { { once("") } } },
        { "one-empty-line", { { once("\r\n") } } },
    };
}

/** Clients that end their connections at once and come back. */
std::vector<ClientKind> returningKinds(std::size_t bodyLimit)
{
    const std::string path = "/safe/x";
    const std::string fields = repeat("X-F: " + std::string(32, 'x') + "\r\n", largeHeadFields);
    const std::string unknownKey = repeat("POST /safe/x HTTP/1.1\r\nHost: h\r\n\r\n", 30);
    const PieceSource pipelined = once(repeat(wholeRequest(path, ""), 30));
    return {
        { "connect-resets", { { once(""), ConnectionEnd::Reset, returns } } },
        { "one-byte-resets", { { once("P"), ConnectionEnd::Reset, returns } } },
        { "body-resets",
            { { once(announcedHead(bodyLimit) + std::string(mediumBodyBytes, 'x')), ConnectionEnd::Reset, returns } } },
        { "pipelined-resets", { { pipelined, ConnectionEnd::Reset, returns } } },
        { "pipelined-closes", { { pipelined, ConnectionEnd::Close, returns } } },
        { "refused-resets", { { once(unknownKey), ConnectionEnd::Reset, returns } } },
        { "refused-closes", { { once(unknownKey), ConnectionEnd::Close, returns } } },
        { "large-head-resets", { { once(repeat(wholeRequest(path, fields), 3)), ConnectionEnd::Reset, returns } } },
        { "large-head-closes", { { once(repeat(wholeRequest(path, fields), 3)), ConnectionEnd::Close, returns } } },
    };
}

} // namespace

std::vector<ClientKind> allClientKinds(std::size_t bodyLimit)
{
    std::vector<ClientKind> kinds = endlessKinds(bodyLimit);
    for (const auto& more : { wholeRequestKinds(), returningKinds(bodyLimit) })
        kinds.insert(kinds.end(), more.begin(), more.end());
    std::vector<ClientBehaviour> all;
    for (const ClientKind& kind : kinds)
        all.insert(all.end(), kind.behaviours.begin(), kind.behaviours.end());
    kinds.push_back({ "mixed", std::move(all) });
    return kinds;
}

CrowdResult runClientCrowd(const std::filesystem::path& programs, const CrowdPlan& plan, const ClientKind& kind)
{
    return CrowdRun(programs, plan).run(kind);
}

} // namespace Proof
