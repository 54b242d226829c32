#pragma once

#include "messages.h"

#include <concepts>
#include <type_traits>

// Lists the fields of each message, for encoding and decoding. Used by the codec only.

namespace Wire {

template <typename Visitor, typename Load> void visitLoad(Visitor&& visitor, Load& load)
{
    visitor("a", load.availability);
    visitor("r", load.running);
    visitor("q", load.queued);
    visitor("c", load.concurrentLimit);
    visitor("s", load.shortWaitMs);
    visitor("l", load.longWaitMs);
    visitor("p", load.longPrefills);
    visitor("f", load.freeMemoryTokens);
    visitor("m", load.capacityTokens);
    visitor("v", load.prefillTokensPerSecond);
}

template <typename Visitor, typename Load> void visitPeerLoad(Visitor&& visitor, Load& load)
{
    visitor("process", load.process);
    visitor("run", load.incarnation);
    visitor("number", load.number);
    visitor("complete", load.isComplete);
    visitor("shares", load.usages);
    visitor("permits", load.permitIssuer);
}

template <typename T, typename Expected>
concept MessageOf = std::same_as<std::remove_const_t<T>, Expected>;

template <typename V> void visit(V&& visitor, MessageOf<Hello> auto& m)
{
    visitor("protocol", m.protocol);
    visitor("token", m.token);
    visitor("entry", m.entry);
    visitor("version", m.configurationVersion);
}

template <typename V> void visit(V&& visitor, MessageOf<Welcome> auto& m)
{
    visitor("protocol", m.protocol);
    visitor("instance", m.instance);
    visitor("incarnation", m.incarnation);
    visitor("version", m.configurationVersion);
    visitor("load", m.load);
}

template <typename V> void visit(V&& visitor, MessageOf<Heartbeat> auto& m)
{
    visitor("version", m.configurationVersion);
}

template <typename V> void visit(V&& visitor, MessageOf<LoadReport> auto& m) { visitor("load", m.load); }

template <typename V> void visit(V&& visitor, MessageOf<ConfigurationRequest> auto& m)
{
    visitor("document", m.documentVersion);
}

template <typename V> void visit(V&& visitor, MessageOf<ConfigurationDifference> auto& m)
{
    visitor("difference", m.difference);
}

template <typename V> void visit(V&& visitor, MessageOf<SuspectNotice> auto& m)
{
    visitor("crashes", m.crashes);
    visitor("cleared", m.cleared);
    visitor("possible", m.possible);
    visitor("withdrawn", m.withdrawn);
    visitor("partCrashes", m.partCrashes);
    visitor("partCompletions", m.partCompletions);
    visitor("partWithdrawn", m.partWithdrawn);
    visitor("completed", m.completed);
}

template <typename V> void visit(V&& visitor, MessageOf<Offer> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("request", m.request);
    visitor("kind", m.kind);
    visitor("account", m.account);
    visitor("model", m.model);
    visitor("method", m.method);
    visitor("path", m.path);
    visitor("contentType", m.contentType);
    visitor("key", m.idempotencyKey);
    visitor("fingerprint", m.fingerprint);
    visitor("repeatable", m.repeatable);
    visitor("suspect", m.suspectCrash);
    visitor("budget", m.budgetMs);
    visitor("prompt", m.promptTokens);
    visitor("output", m.outputTokens);
    visitor("upstreams", m.upstreamCount);
    visitor("bodyBytes", m.bodyBytes);
    visitor.bytes("body", m.body);
}

template <typename V> void visit(V&& visitor, MessageOf<Granted> auto& m) { visitor("attempt", m.attempt); }

template <typename V> void visit(V&& visitor, MessageOf<BodyChunk> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("sequence", m.sequence);
    visitor("last", m.last);
    visitor.bytes("data", m.data);
}

template <typename V> void visit(V&& visitor, MessageOf<BodyAcknowledgement> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("received", m.received);
}

template <typename V> void visit(V&& visitor, MessageOf<Refused> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("code", m.code);
    visitor("outcome", m.outcome);
    visitor("retryAfter", m.retryAfterMs);
    visitor("detail", m.detail);
    visitor("load", m.load);
}

template <typename V> void visit(V&& visitor, MessageOf<AnswerHead> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("status", m.status);
    visitor("contentType", m.contentType);
}

template <typename V> void visit(V&& visitor, MessageOf<AnswerChunk> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("sequence", m.sequence);
    visitor.bytes("data", m.data);
}

template <typename V> void visit(V&& visitor, MessageOf<AnswerEnd> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("count", m.count);
    visitor("hash", m.hash);
    visitor("prompt", m.promptTokens);
    visitor("load", m.load);
}

template <typename V> void visit(V&& visitor, MessageOf<Cancel> auto& m) { visitor("attempt", m.attempt); }

template <typename V> void visit(V&& visitor, MessageOf<Revoke> auto& m) { visitor("attempt", m.attempt); }

template <typename V> void visit(V&& visitor, MessageOf<RevokeResult> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("outcome", m.outcome);
}

template <typename V> void visit(V&& visitor, MessageOf<Resume> auto& m)
{
    visitor("attempt", m.attempt);
    visitor("next", m.nextSequence);
    visitor("hasHead", m.hasHead);
}

template <typename V> void visit(V&& visitor, MessageOf<Goodbye> auto& m) { visitor("code", m.code); }

template <typename V> void visit(V&& visitor, MessageOf<PeerHello> auto& hello)
{
    visitor("protocol", hello.protocol);
    visitor("process", hello.process);
    visitor("address", hello.address);
    visitor("domain", hello.failureDomain);
    visitor("run", hello.incarnation);
    visitor("processor", hello.cpuMillicores);
}

template <typename V> void visit(V&& visitor, MessageOf<PeerLoad> auto& load) { visitPeerLoad(visitor, load); }

template <typename V> void visit(V&& visitor, MessageOf<UpstreamFailureNotice> auto& notice)
{
    visitor("run", notice.generation);
    visitor("pause", notice.ejectionMs);
    visitor("help", notice.isHelpRefusal);
    visitor("refused", notice.isRefused);
}

template <typename V> void visit(V&& visitor, MessageOf<UpstreamLimitNotice> auto& notice)
{
    visitor("limits", notice.limits);
}

template <typename V> void visit(V&& visitor, MessageOf<PermitRequest> auto& request)
{
    visitor("number", request.number);
    visitor("waiting", request.isCallerWaiting);
    visitor("upstreams", request.upstreams);
}

template <typename V> void visit(V&& visitor, MessageOf<PermitReply> auto& reply)
{
    visitor("number", reply.number);
    visitor("run", reply.upstreamGeneration);
    visitor("full", reply.untilRoomMs);
    visitor("retry", reply.retryAfterMs);
}

template <typename V> void visit(V&& visitor, MessageOf<PermitReturn> auto& returned)
{
    visitor("run", returned.upstreamGeneration);
}

template <typename V> void visit(V&&, MessageOf<PeerDeparture> auto&) { }

template <typename V> void visit(V&& visitor, MessageOf<LoadUpdate> auto& update)
{
    visitor("scope", update.scope);
    visitor("loads", update.loads);
}

template <typename V> void visit(V&& visitor, MessageOf<StoreCacheQuery> auto& query)
{
    visitor("operator", query.operatorEnd);
    visitor("upstreams", query.upstreamEnd);
    visitor("era", query.era);
    visitor("sent", query.sentMs);
}

/** The names of the fields of an update. The era is sent once for all updates of a message. */
struct UpdateFieldNames {
    const char* records;
    const char* from;
    const char* end;
    const char* kind;
};

constexpr UpdateFieldNames operatorFieldNames { "operator", "operatorFrom", "operatorEnd", "operatorKind" };
constexpr UpdateFieldNames upstreamFieldNames { "upstreams", "upstreamFrom", "upstreamEnd", "upstreamKind" };
constexpr UpdateFieldNames suspectFieldNames { "suspects", "suspectFrom", "suspectEnd", "suspectKind" };
constexpr UpdateFieldNames peerFieldNames { "peers", "peerFrom", "peerEnd", "peerKind" };

template <typename Visitor, typename Update>
void visitUpdate(Visitor&& visitor, const UpdateFieldNames& names, Update& update)
{
    visitor(names.records, update.records);
    visitor(names.from, update.from);
    visitor(names.end, update.end);
    visitor(names.kind, update.kind);
}

template <typename V> void visit(V&& visitor, MessageOf<StoreCacheReply> auto& reply)
{
    visitUpdate(visitor, operatorFieldNames, reply.operatorUpdate);
    visitUpdate(visitor, upstreamFieldNames, reply.upstreamUpdate);
    visitor("known", reply.hasCachedState);
    visitor("operatorAge", reply.operatorAgeMs);
    visitor("upstreamAge", reply.upstreamAgeMs);
    visitor("grace", reply.graceMs);
    visitor("currentFor", reply.upstreamCurrentForMs);
    visitor("away", reply.upstreamAwayMs);
    visitor("era", reply.era);
    visitor("settled", reply.isSettled);
    visitor("version", reply.policyVersion);
    visitor("sender", reply.sender);
    visitor("sent", reply.sentMs);
    visitor("querySent", reply.querySentMs);
    visitUpdate(visitor, suspectFieldNames, reply.suspects.update);
    visitor("suspectAge", reply.suspects.ageMs);
    visitUpdate(visitor, peerFieldNames, reply.peers.update);
    visitor("peerAge", reply.peers.ageMs);
}

} // namespace Wire
