#pragma once

#include <configuration/lengthclass.h>
#include <foundation/resultcode.h>
#include <membership/upstreamload.h>
#include <placement/upstreamusage.h>
#include <quarantine/crashnotice.h>
#include <ratelimit/upstreamlimits.h>
#include <storecache/topicupdate.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Wire {

/** The version of the protocol between entries and agents, and between gateways. */
constexpr std::uint64_t protocolVersion = 1;

/** The maximum size of the part of a body or answer in one message. */
constexpr std::size_t maximumChunkBytes = 64 * 1024;

/** The maximum size of a message. A configuration document is the largest content. */
constexpr std::size_t maximumMessageBytes = 32 * 1024 * 1024;

/** The maximum number of unacknowledged chunks of one body in flight. */
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

/** The response of an agent to Hello. */
struct Welcome {
    std::uint64_t protocol = 0;
    std::string instance;
    std::string incarnation;
    std::uint64_t configurationVersion = 0;
    Membership::UpstreamLoad load;
};

/** Sent periodically by both sides, to show that the connection works. */
struct Heartbeat {
    std::uint64_t configurationVersion = 0;
};

/** The current load of the agent's upstream. Sent after each significant change. */
struct LoadReport {
    Membership::UpstreamLoad load;
};

/** Requests the configuration from a peer that has a newer version. */
struct ConfigurationRequest {
    std::uint64_t documentVersion = 0;
};

/** The configuration as a difference from the version in the request. */
struct ConfigurationDifference {
    /** JSON text in the format of Configuration::makeDifference(). */
    std::string difference;
};

/** A crash of an upstream and the prompt parts of requests that were running at that time; see Quarantine::PartCrash.
 */
struct PartCrashNotice {
    std::string crash;
    Quarantine::CrashCertainty certainty = Quarantine::CrashCertainty::Confirmed;
    /** The time since the upstream was last known to run, in ms. */
    std::int64_t aliveAgeMs = 0;
    /** The time since the attempts were lost, in ms. */
    std::int64_t lostAgeMs = 0;
    std::vector<std::uint64_t> parts;
};

/** A prompt part whose requests run to their end. */
struct PartCompletionNotice {
    std::uint64_t part = 0;
    /** The time since the last of them completed, in ms. */
    std::int64_t ageMs = 0;
};

/** Requests that were running when an upstream crashed, and requests that are no longer suspects. */
struct SuspectNotice {
    std::vector<Quarantine::CrashNotice> crashes;
    /** The fingerprints of the requests that were cleared. */
    std::vector<std::string> cleared;
    /** Notices of crashes that are only possible; apart from the others, which older processes all count. */
    std::vector<Quarantine::CrashNotice> possible;
    /** Earlier possible crashes whose attempts turned out not to have run. */
    std::vector<Quarantine::CrashNotice> withdrawn;
    std::vector<PartCrashNotice> partCrashes {};
    /** Completions of parts that occur in crashes. */
    std::vector<PartCompletionNotice> partCompletions {};
    /** Generations that were silent and have gone on, so that their possible crashes of parts did not happen. */
    std::vector<std::string> partWithdrawn {};
    /** Requests that run to their end, for a process that has seen none do so. */
    std::vector<Quarantine::RequestCompletion> completed {};
};

/** Reports that an upstream failed at the sender, so that other gateways can eject it before they fail there too. */
struct UpstreamFailureNotice {
    /** The generation of the upstream's process. */
    std::string generation;
    /** The ejection time, in ms. */
    std::int64_t ejectionMs = 0;
    /** Whether the upstream failed only as a prefill helper and can still be used otherwise. */
    bool isHelpRefusal = false;
    /** Whether its address refuses connections or another upstream answers there, so that it has probably ended. */
    bool isRefused = false;
};

/** Offers a request to an agent. A body that fits into one chunk is included; a longer one follows after Granted. */
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
    /** The crash during which the request was running; empty if the request is not a suspect. */
    std::string suspectCrash;
    /** The remaining time until the deadline, in ms. */
    std::int64_t budgetMs = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t upstreamCount = 0;
    std::uint64_t bodyBytes = 0;
    std::string body;
};

/** The agent has reserved the resources for the request and asks for its body. */
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

/** Ends an attempt without an answer. */
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

/** Ends a complete answer. The count and hash allow the receiver to check that nothing is missing. */
struct AnswerEnd {
    std::string attempt;
    std::uint64_t count = 0;
    std::uint64_t hash = 0;
    std::int64_t promptTokens = 0;
    Membership::UpstreamLoad load;
};

/** Cancels an attempt whose answer is no longer needed. */
struct Cancel {
    std::string attempt;
};

/** Asks the agent not to start an attempt, unless it has already started. */
struct Revoke {
    std::string attempt;
};

struct RevokeResult {
    std::string attempt;
    Foundation::RunOutcome outcome = Foundation::RunOutcome::MayHaveRun;
};

/** Requests the rest of an answer after a lost connection. */
struct Resume {
    std::string attempt;
    std::uint64_t nextSequence = 0;
    bool hasHead = false;
};

/** States the reason for closing the connection. */
struct Goodbye {
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
};

/** The first message of a gateway to another gateway. */
struct PeerHello {
    std::uint64_t protocol = 0;
    std::string process;
    /** The IP address and port on which the sender accepts connections of other gateways. */
    std::string address;
    std::string failureDomain;
    /** Differs between restarts of the process. */
    std::string incarnation;
    /** The share of the machine's cores that the sender may use, in thousandths of a core. */
    std::int64_t cpuMillicores = 0;
};

/** The load that one gateway causes at upstreams. A later update of the same incarnation has a higher number. */
struct PeerLoad {
    std::string process;
    std::string incarnation;
    std::uint64_t number = 0;
    /** Whether the list covers all upstreams, so that the process uses none of those that are missing in it. */
    bool isComplete = false;
    std::vector<Placement::UpstreamUsage> usages;
    /**
     * In complete updates: the gateway at which the process gets permits for upstreams with a limit; empty if it knows
     * of none.
     */
    std::string permitIssuer;
};

/** The intended receivers of a load update. */
enum class UpdateScope : std::uint8_t {
    /** Only the direct receiver. */
    Receiver,
    /** The receiver, which forwards the update to its domain peers. */
    FailureDomain,
    /** The receiver, which forwards the update to all other gateways. */
    AllGateways,
};

/** Changes of the load of gateways. Empty if a load relay has nothing to forward. */
struct LoadUpdate {
    UpdateScope scope = UpdateScope::Receiver;
    std::vector<PeerLoad> loads;
};

/** Requests store records from another gateway. Sent by a gateway that cannot read from the store itself. */
struct StoreCacheQuery {
    /** The offsets up to which the sender has cached the operator topic and the upstream topic. */
    std::uint64_t operatorEnd = 0;
    std::uint64_t upstreamEnd = 0;
    /** The era of the store to which these offsets belong. */
    std::uint64_t era = 0;
    /** When it was sent, in ms on the sender's boot clock. */
    std::int64_t sentMs = 0;
};

/** Records from the store cache of a gateway: the response to a query, or records that the gateway has just read. */
struct StoreCacheReply {
    /** What a gateway has read of a topic that the gateways of its failure domain then need not read. */
    struct TopicPart {
        StoreCache::TopicUpdate update;
        /** The age of the sender's cache of the topic, in ms, rounded up; 0 if the part is missing. */
        std::int64_t ageMs = 0;
    };

    StoreCache::TopicUpdate operatorUpdate;
    StoreCache::TopicUpdate upstreamUpdate;
    /** Whether the sender has cached both topics. If not, the message contains nothing else. */
    bool hasCachedState = false;
    /** The ages of the two cached topics, in ms, rounded up. */
    std::int64_t operatorAgeMs = 0;
    std::int64_t upstreamAgeMs = 0;
    /** The remaining grace period for entries of upstreams that expired during an outage of the store, in ms. */
    std::int64_t graceMs = 0;
    /** For how long the sender's upstream topic has been current without a gap in which entries could expire, in ms. */
    std::int64_t upstreamCurrentForMs = 0;
    /** The time since the start of the last such gap, in ms; 0 if there was none. */
    std::int64_t upstreamAwayMs = 0;
    /** The era of all updates in the message. */
    std::uint64_t era = 0;
    /** Whether the writers had time to write again what the store lost when the era began. */
    bool isSettled = false;
    /** The version of the document that is in force at the sender; 0 if there is none. */
    std::int64_t policyVersion = 0;
    /** Differs between processes and their restarts; empty if the sender does not name the time. */
    std::string sender;
    /** When it was sent, in ms on the sender's boot clock. */
    std::int64_t sentMs = 0;
    /** When the query that it answers was sent, in ms on the receiver's boot clock; 0 if it answers none. */
    std::int64_t querySentMs = 0;
    /** Sent within a failure domain only. */
    TopicPart suspects;
    TopicPart peers;
};

/** Tells the other gateways what upstreams say of the requests a second that they take from all gateways together. */
struct UpstreamLimitNotice {
    std::vector<RateLimit::LimitNotice> limits;
};

/** Asks for a permit to send a request to one of several upstreams. */
struct PermitRequest {
    /** Identifies the request at its sender. */
    std::uint64_t number = 0;
    /** Whether a caller waits for the decision. */
    bool isCallerWaiting = false;
    /** The upstreams, with what the sender knows of their limits. */
    std::vector<RateLimit::LimitNotice> upstreams;
};

/** The decision on a request for a permit. */
struct PermitReply {
    std::uint64_t number = 0;
    /** The upstream to which a request may be sent; empty if none takes one now. */
    std::string upstreamGeneration;
    /** How long the upstreams take no further request, in ms. */
    std::int64_t untilRoomMs = 0;
    /** When there is room for the caller who waits, in ms. */
    std::int64_t retryAfterMs = 0;
};

/** Returns a permit that was not used. */
struct PermitReturn {
    std::string upstreamGeneration;
};

/** States that the sender stops for good or until it connects again. */
struct PeerDeparture { };

/** Any message. The index of a type in this list is its number on the wire, so the order must not change. */
using Message = std::variant<Hello, Welcome, Heartbeat, LoadReport, ConfigurationRequest, ConfigurationDifference,
    SuspectNotice, Offer, Granted, BodyChunk, BodyAcknowledgement, Refused, AnswerHead, AnswerChunk, AnswerEnd, Cancel,
    Revoke, RevokeResult, Resume, Goodbye, PeerHello, PeerLoad, StoreCacheQuery, StoreCacheReply, LoadUpdate,
    UpstreamFailureNotice, UpstreamLimitNotice, PermitRequest, PermitReply, PermitReturn, PeerDeparture>;

} // namespace Wire
