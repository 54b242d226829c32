#include "event.h"

#include <algorithm>
#include <array>

namespace Foundation {

namespace {

constexpr auto catalogue = std::to_array<EventEntry>({
    { Event::ProcessStarted, "ProcessStarted", Severity::Info, "The process has started and listens." },
    { Event::ProcessStopping, "ProcessStopping", Severity::Info,
        "The process takes no new work and finishes the rest." },
    { Event::ProcessStopped, "ProcessStopped", Severity::Info, "The process ends." },
    { Event::SettingsReloaded, "SettingsReloaded", Severity::Info, "The settings were read again after a change." },
    { Event::SettingsRejected, "SettingsRejected", Severity::Warning,
        "Changed settings could not be used; the old ones stay in force." },
    { Event::MachineSuspended, "MachineSuspended", Severity::Warning,
        "The machine was suspended; what was known before counts as old." },
    { Event::LinesDropped, "LinesDropped", Severity::Warning,
        "Log lines were dropped to keep the volume within its bound." },
    { Event::LoopDelayed, "LoopDelayed", Severity::Warning,
        "The process got to its timers late; its machine is short of time." },
    { Event::ConfigurationInForce, "ConfigurationInForce", Severity::Info,
        "A configuration version is in force here." },
    { Event::ConfigurationRejected, "ConfigurationRejected", Severity::Warning,
        "A configuration record was read and not accepted." },
    { Event::SnapshotAppended, "SnapshotAppended", Severity::Info,
        "The configuration was appended again as a snapshot." },
    { Event::LogUnavailable, "LogUnavailable", Severity::Warning, "A stream of the log cannot be read." },
    { Event::LogAvailable, "LogAvailable", Severity::Info, "A stream of the log can be read again." },
    { Event::EvacuationChanged, "EvacuationChanged", Severity::Info,
        "The failure domains whose upstreams get nothing have changed." },
    { Event::StoreHistoryLost, "StoreHistoryLost", Severity::Info,
        "The store has dropped records; the newest of each key are listed instead." },
    { Event::InstanceListUnavailable, "InstanceListUnavailable", Severity::Warning,
        "The instance list cannot be read." },
    { Event::EntryIgnored, "EntryIgnored", Severity::Info, "An entry of the store names no upstream." },
    { Event::KnowledgeFromPeer, "KnowledgeFromPeer", Severity::Info,
        "What the store holds was learned from another process." },
    { Event::KnowledgeStale, "KnowledgeStale", Severity::Warning,
        "The store has been out of reach for so long that keys are not accepted." },
    { Event::AgentConnected, "AgentConnected", Severity::Info, "The entry has a connection to an agent." },
    { Event::AgentDisconnected, "AgentDisconnected", Severity::Warning, "The entry lost its connection to an agent." },
    { Event::EntryConnected, "EntryConnected", Severity::Info, "An entry has connected to the agent." },
    { Event::EntryDisconnected, "EntryDisconnected", Severity::Info, "The connection of an entry ended." },
    { Event::PeerRefused, "PeerRefused", Severity::Warning, "A peer was refused: wrong token, version or message." },
    { Event::PeerConnected, "PeerConnected", Severity::Info, "A connection to another gateway is open." },
    { Event::PeerDisconnected, "PeerDisconnected", Severity::Warning, "A connection to another gateway has ended." },
    { Event::RequestAccepted, "RequestAccepted", Severity::Debug, "A request arrived at the entry." },
    { Event::RequestAnswered, "RequestAnswered", Severity::Debug, "A request ended with its whole answer." },
    { Event::RequestRefused, "RequestRefused", Severity::Info, "A request ended with an error." },
    { Event::RequestRetried, "RequestRetried", Severity::Info, "A request is tried at another upstream." },
    { Event::RequestResumed, "RequestResumed", Severity::Info, "A stream is resumed after a lost connection." },
    { Event::RequestPlaced, "RequestPlaced", Severity::Debug, "A request was handed to an upstream." },
    { Event::RequestBroken, "RequestBroken", Severity::Warning,
        "An answer was cut after a part of it had been delivered." },
    { Event::CallerLeft, "CallerLeft", Severity::Debug, "The caller closed its connection before the answer ended." },
    { Event::AttemptStarted, "AttemptStarted", Severity::Debug, "An attempt was handed over to the upstream." },
    { Event::AttemptRefused, "AttemptRefused", Severity::Debug, "An attempt was refused before hand-over." },
    { Event::AttemptFinished, "AttemptFinished", Severity::Debug, "An attempt ended." },
    { Event::AttemptCancelled, "AttemptCancelled", Severity::Debug, "An attempt was cancelled at the upstream." },
    { Event::UpstreamGeneration, "UpstreamGeneration", Severity::Warning, "The upstream has restarted." },
    { Event::UpstreamCold, "UpstreamCold", Severity::Warning,
        "The upstream is cold; its start-up limits apply again." },
    { Event::UpstreamDown, "UpstreamDown", Severity::Warning, "The upstream does not answer." },
    { Event::UpstreamUp, "UpstreamUp", Severity::Info, "The upstream answers." },
    { Event::ForeignStreamCancelled, "ForeignStreamCancelled", Severity::Info,
        "A stream that belongs to no attempt of this agent was cancelled." },
    { Event::ModelOrdered, "ModelOrdered", Severity::Info, "The upstream was ordered to load a model." },
    { Event::UpstreamListed, "UpstreamListed", Severity::Info, "An upstream was listed." },
    { Event::UpstreamDraining, "UpstreamDraining", Severity::Info, "An upstream leaves and gets no new requests." },
    { Event::UpstreamMissing, "UpstreamMissing", Severity::Warning,
        "The entry of an upstream lapsed in an outage of the store; it may come back." },
    { Event::UpstreamRemoved, "UpstreamRemoved", Severity::Info, "An upstream is no longer listed." },
    { Event::UpstreamLeftOut, "UpstreamLeftOut", Severity::Warning, "An upstream failed and is left out for a while." },
    { Event::UpstreamMisaddressed, "UpstreamMisaddressed", Severity::Warning,
        "Another upstream answers at the address of this one." },
    { Event::ClaimWon, "ClaimWon", Severity::Debug, "The claim for an idempotency key was won." },
    { Event::ClaimLost, "ClaimLost", Severity::Info, "The claim for an idempotency key belongs to another attempt." },
    { Event::ClaimReleased, "ClaimReleased", Severity::Info, "A claim was given up before hand-over." },
    { Event::ClaimsCaughtUp, "ClaimsCaughtUp", Severity::Info, "The claims of the whole key window were read." },
    { Event::SuspectAdded, "SuspectAdded", Severity::Warning, "A request was running when an upstream crashed." },
    { Event::RequestQuarantined, "RequestQuarantined", Severity::Warning,
        "A request that crashed upstreams was refused." },
});

} // namespace

std::span<const EventEntry> events() { return catalogue; }

const EventEntry& eventEntry(Event event) { return *std::ranges::find(catalogue, event, &EventEntry::event); }

} // namespace Foundation
