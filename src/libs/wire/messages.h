#pragma once

#include <configuration/lengthclass.h>
#include <foundation/resultcode.h>
#include <membership/upstreamload.h>
#include <placement/upstreamusage.h>
#include <quarantine/suspectregistry.h>
#include <storecache/topiccache.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Wire {

/** The version of the protocol between entry and agent. */
constexpr std::uint64_t protocolVersion = 1;

/** The most bytes of a body or answer in one message. */
constexpr std::size_t maximumChunkBytes = 64 * 1024;

/** The most bytes of one message; a configuration document is the largest content. */
constexpr std::size_t maximumMessageBytes = 32 * 1024 * 1024;

/** The most chunks of one body that may be under way without being acknowledged. */
constexpr std::uint64_t bodyWindowChunks = 2;

enum class WorkKind : std::uint8_t {
    Prompt,
    ServiceCall,
};

/** The first message of an entry on a connection. */
struct Hello {
    std::uint64_t protocol = 0;
    std::string token;
    std::string entry;
    std::uint64_t configurationVersion = 0;
};

/** The answer of an agent to Hello. */
struct Welcome {
    std::uint64_t protocol = 0;
    std::string instance;
    std::string incarnation;
    std::uint64_t configurationVersion = 0;
    Membership::UpstreamLoad load;
};

/** Sent by both sides at intervals. */
struct Heartbeat {
    std::uint64_t configurationVersion = 0;
};

/** The state of the upstream; follows each change worth telling. */
struct LoadReport {
    Membership::UpstreamLoad load;
};

/** Asks a peer that is ahead for its configuration. */
struct ConfigurationRequest {
    std::uint64_t documentVersion = 0;
};

/** The configuration as a difference to what the request named. */
struct ConfigurationDifference {
    /** JSON text as Configuration::makeDifference() makes it. */
    std::string difference;
};

/** Requests that were running when an upstream crashed, and requests cleared since. */
struct SuspectNotice {
    std::vector<Quarantine::CrashNotice> crashes;
    std::vector<std::string> cleared;
};

/** Tells that an upstream failed at the sender, so that others need not find out for themselves. */
struct UpstreamNotice {
    /** The run of the upstream. */
    std::string run;
    /** How long it should be left out, in ms. */
    std::int64_t pauseMs = 0;
    /** Whether it only refuses to read parts for other engines. */
    bool isHelpOnly = false;
};

/** Offers a request. A body of one chunk comes with it, a longer one after Granted. */
struct Offer {
    std::string attempt;
    std::string request;
    WorkKind kind = WorkKind::Prompt;
    std::string account;
    std::string model;
    std::string method;
    std::string path;
    std::string contentType;
    std::string idempotencyKey;
    std::string fingerprint;
    bool repeatable = false;
    /** The crash at which the request was running; empty if it is no suspect. */
    std::string suspectCrash;
    std::int64_t budgetMs = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t upstreamCount = 0;
    std::uint64_t bodyBytes = 0;
    std::string body;
};

/** The agent has reserved what the request needs and wants its body. */
struct Granted {
    std::string attempt;
};

struct BodyChunk {
    std::string attempt;
    std::uint64_t sequence = 0;
    bool last = false;
    std::string data;
};

struct BodyAcknowledgement {
    std::string attempt;
    std::uint64_t received = 0;
};

/** The attempt ended without an answer. */
struct Refused {
    std::string attempt;
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
    Foundation::RunOutcome outcome = Foundation::RunOutcome::NotRun;
    std::int64_t retryAfterMs = 0;
    std::string detail;
    Membership::UpstreamLoad load;
};

struct AnswerHead {
    std::string attempt;
    int status = 0;
    std::string contentType;
};

struct AnswerChunk {
    std::string attempt;
    std::uint64_t sequence = 0;
    std::string data;
};

/** The end of a whole answer. */
struct AnswerEnd {
    std::string attempt;
    std::uint64_t count = 0;
    std::uint64_t hash = 0;
    std::int64_t promptTokens = 0;
    Membership::UpstreamLoad load;
};

/** The caller no longer wants the answer. */
struct Cancel {
    std::string attempt;
};

/** Asks that an attempt not be started, if it was not yet. */
struct Revoke {
    std::string attempt;
};

struct RevokeResult {
    std::string attempt;
    Foundation::RunOutcome outcome = Foundation::RunOutcome::MayHaveRun;
};

/** Asks for the rest of an answer after a lost connection. */
struct Resume {
    std::string attempt;
    std::uint64_t nextSequence = 0;
    bool hasHead = false;
};

/** Ends the connection with a reason. */
struct Goodbye {
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
};

/** The first message of a gateway to another one. */
struct PeerHello {
    std::uint64_t protocol = 0;
    std::string process;
    /** Where the sender takes connections of other gateways. */
    std::string address;
    std::string failureDomain;
    /** Tells one run of the process from the next. */
    std::string run;
    /** The cores that its machine gives the sender, in thousandths. */
    std::int64_t processorMillis = 0;
};

/** What one gateway has under way. Later news of the same run have the higher number. */
struct PeerLoad {
    std::string process;
    std::string run;
    std::uint64_t number = 0;
    /** Whether the process has nothing under way at upstreams that are not named. */
    bool isComplete = false;
    std::vector<Placement::UpstreamUsage> shares;
};

/** For whom news of load are. */
enum class NewsScope : std::uint8_t {
    /** For the receiver alone. */
    Receiver,
    /** For the receiver and, through it, for its neighbours in its failure domain. */
    FailureDomain,
    /** For the receiver and, through it, for all other gateways. */
    Everybody,
};

/** What changed of what gateways have under way; empty if a relay has nothing to tell. */
struct LoadNews {
    NewsScope scope = NewsScope::Receiver;
    std::vector<PeerLoad> loads;
};

/** Asks a gateway for what it has read from the store; sent by one that the store does not serve. */
struct KnowledgeQuery {
    /** The ends up to which the sender knows the topics of the operator and of the upstreams. */
    std::uint64_t operatorEnd = 0;
    std::uint64_t upstreamEnd = 0;
};

/** What a gateway knows of the store: an answer to a query, or what it has just read. */
struct KnowledgeReply {
    std::vector<StoreCache::KeyedRecord> operatorRecords;
    std::vector<StoreCache::KeyedRecord> upstreamRecords;
    /** The offsets from which on the records are complete up to the ends. Who knows less has a gap between. */
    std::uint64_t operatorFrom = 0;
    std::uint64_t upstreamFrom = 0;
    std::uint64_t operatorEnd = 0;
    std::uint64_t upstreamEnd = 0;
    /** Whether the sender knows both topics, and the greatest ages of that, in ms. */
    bool isKnown = false;
    std::int64_t operatorAgeMs = 0;
    std::int64_t upstreamAgeMs = 0;
    /** How much longer entries of upstreams that lapsed in an outage may come back, in ms. */
    std::int64_t graceMs = 0;
};

using Message
    = std::variant<Hello, Welcome, Heartbeat, LoadReport, ConfigurationRequest, ConfigurationDifference, SuspectNotice,
        Offer, Granted, BodyChunk, BodyAcknowledgement, Refused, AnswerHead, AnswerChunk, AnswerEnd, Cancel, Revoke,
        RevokeResult, Resume, Goodbye, PeerHello, PeerLoad, KnowledgeQuery, KnowledgeReply, LoadNews, UpstreamNotice>;

} // namespace Wire
