#include "loadspreader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using Wire::LoadNews;
using Wire::NewsScope;

// Up to so many gateways tell each other directly: a relay would save them little and cost them its delay.
constexpr std::size_t mostDirect = 8;
// A relay gathers news for this time, about what an engine takes to read a short prompt.
constexpr Duration gatherTime = std::chrono::milliseconds(15);
// A relay without news lets itself be heard at this interval.
constexpr Duration aliveInterval = std::chrono::milliseconds(150);
// Who was asked to relay goes on for this time.
constexpr Duration dutyTime = std::chrono::seconds(3);

} // namespace

LoadSpreader::LoadSpreader(
    const Foundation::Clock& clock, Membership::RelayCandidate self, Membership::RelayChoice& choice, Handlers handlers)
    : clock(clock)
    , self(std::move(self))
    , choice(choice)
    , handlers(std::move(handlers))
{
}

bool LoadSpreader::isDirect() const
{
    std::size_t count = 0;
    for (const auto& [domain, processes] : this->choice.domains())
        count += processes.size();
    return count <= mostDirect;
}

bool LoadSpreader::isRelay(TimePoint now)
{
    const bool wasAsked = this->lastAskedToRelay != TimePoint {} && now - this->lastAskedToRelay < dutyTime;
    return wasAsked || this->choice.relayOf(this->self.failureDomain, now) == this->self.process;
}

void LoadSpreader::tell(Wire::PeerLoad load)
{
    if (this->isDirect()) {
        this->handlers.broadcast(LoadNews { NewsScope::Receiver, { std::move(load) } }, false);
        return;
    }
    const TimePoint now = this->clock.now();
    const std::string relay = this->choice.relayOf(this->self.failureDomain, now);
    if (relay != this->self.process) {
        this->handlers.send(relay, LoadNews { NewsScope::Everybody, { std::move(load) } });
        return;
    }
    this->ofDomain.push_back(std::move(load));
    this->flushIfDue(now);
}

void LoadSpreader::onNews(std::string_view sender, LoadNews news)
{
    const TimePoint now = this->clock.now();
    for (const Wire::PeerLoad& load : news.loads)
        this->handlers.onLoad(load);
    if (news.scope == NewsScope::Everybody)
        this->lastAskedToRelay = now;
    else
        this->choice.noteHeard(sender, now);
    if (news.scope == NewsScope::Receiver)
        return;
    auto& pending = news.scope == NewsScope::Everybody ? this->ofDomain : this->ofOthers;
    std::ranges::move(news.loads, std::back_inserter(pending));
    this->flushIfDue(now);
}

void LoadSpreader::tick()
{
    const TimePoint now = this->clock.now();
    this->flushIfDue(now);
    if (!this->isDirect() && now - this->lastFlush >= aliveInterval && this->isRelay(now))
        this->flush(now);
}

void LoadSpreader::flushIfDue(TimePoint now)
{
    const bool hasNews = !this->ofDomain.empty() || !this->ofOthers.empty();
    if (hasNews && now - this->lastFlush >= gatherTime)
        this->flush(now);
}

void LoadSpreader::flush(TimePoint now)
{
    this->lastFlush = now;
    LoadNews fromHere { NewsScope::FailureDomain, std::exchange(this->ofDomain, {}) };
    std::vector<std::string> others;
    for (const auto& [domain, processes] : this->choice.domains()) {
        if (domain != this->self.failureDomain)
            others.push_back(domain);
    }
    for (const std::string& domain : others)
        this->handlers.send(this->choice.relayOf(domain, now), fromHere);
    LoadNews forNeighbours { NewsScope::Receiver, std::move(fromHere.loads) };
    std::ranges::move(this->ofOthers, std::back_inserter(forNeighbours.loads));
    this->ofOthers.clear();
    this->handlers.broadcast(forNeighbours, true);
}

} // namespace Gateway
