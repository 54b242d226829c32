#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Foundation {

/** Numbered events of the structured log. docs/EVENTS.md contains the same catalogue. */
enum class Event : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    SettingsReloaded = 103,
    SettingsRejected = 104,
    MachineSuspended = 105,
    LinesDropped = 106,
    LoopDelayed = 107,
    ConfigurationInForce = 200,
    ConfigurationRejected = 201,
    SnapshotAppended = 202,
    LogUnavailable = 203,
    LogAvailable = 204,
    EvacuationChanged = 206,
    StoreHistoryLost = 207,
    OutageWasPartial = 208,
    StoreEraChanged = 209,
    InstanceListUnavailable = 210,
    EntryIgnored = 211,
    KnowledgeFromPeer = 212,
    KnowledgeStale = 213,
    StoreReadPartial = 214,
    AgentConnected = 300,
    AgentDisconnected = 301,
    EntryConnected = 302,
    EntryDisconnected = 303,
    PeerRefused = 304,
    PeerConnected = 305,
    PeerDisconnected = 306,
    RequestAccepted = 400,
    RequestAnswered = 401,
    RequestRefused = 402,
    RequestRetried = 403,
    RequestResumed = 404,
    RequestPlaced = 405,
    RequestBroken = 406,
    CallerLeft = 407,
    AttemptStarted = 410,
    AttemptRefused = 411,
    AttemptFinished = 412,
    AttemptCancelled = 413,
    AttemptInterrupted = 414,
    AttemptSilent = 415,
    SilenceEnded = 416,
    RequestLate = 417,
    ClientRefused = 420,
    ReceiveMemoryFull = 421,
    AcceptFailed = 422,
    UpstreamGeneration = 500,
    UpstreamCold = 501,
    UpstreamDown = 502,
    UpstreamUp = 503,
    ForeignStreamCancelled = 504,
    ModelOrdered = 505,
    UpstreamListed = 506,
    UpstreamDraining = 507,
    UpstreamMissing = 508,
    UpstreamRemoved = 509,
    UpstreamLeftOut = 510,
    UpstreamMisaddressed = 511,
    UpstreamLimited = 512,
    PermitDecided = 513,
    PermitIssuerSelected = 514,
    CrowdPlacement = 520,
    PromptRefusedEarly = 521,
    ClaimWon = 600,
    ClaimLost = 601,
    ClaimReleased = 602,
    ClaimsCaughtUp = 603,
    SuspectAdded = 610,
    RequestQuarantined = 611,
    SuspectCleared = 612,
    PromptPartQuarantined = 613,
    PromptPartReleased = 614,
    CrashCandidates = 615,
};

enum class Severity : std::uint8_t {
    Debug,
    Info,
    Warning,
};

/** An event's entry in the catalogue. */
struct EventEntry {
    Event event;
    std::string_view name;
    Severity severity;
    std::string_view meaning;
};

/** Returns the catalogue in ascending order of the event numbers. */
std::span<const EventEntry> events();

const EventEntry& eventEntry(Event event);

} // namespace Foundation
