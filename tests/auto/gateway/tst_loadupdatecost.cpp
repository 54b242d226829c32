#include "loadbroadcaster.h"

#include <wire/codec.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

enum class Failure { None, RelayDies, RelayFreezes, DomainIsPartitioned };

constexpr std::size_t domainCount = 3;
constexpr std::size_t upstreamCount = 60;
constexpr Foundation::Duration step = 10ms;
constexpr Foundation::Duration heartbeatInterval = 1'200ms;

struct Cost {
    double busiestKilobytes = 0;
    double meanKilobytes = 0;
    double busiestMessages = 0;
    double meanMessages = 0;
    /** From a change of a load to its arrival at another gateway that the failure does not cut off, in ms. */
    double meanAge = 0;
    double greatestAge = 0;
    /** Loads that a gateway knows wrongly after all changes have had time to arrive. */
    std::size_t wrong = 0;
};

// Simulates the load updates of a fleet under the demand of the deployments, which does not grow with the number of
// gateways. Updates arrive in the step in which they are sent. Complete loads are counted; only after a
// partition do they repair what is known.
class Fleet {
public:
    Fleet(std::size_t size, double requestsPerSecond)
        : requestsPerStep(requestsPerSecond * Foundation::toSeconds(step))
    {
        for (std::size_t i = 0; i < size; ++i) {
            const std::string domain(1, static_cast<char>('a' + i % domainCount));
            this->members.push_back(std::make_unique<Member>(*this, i,
                Membership::LoadRelayCandidate { "gateway-" + domain + "-" + std::to_string(i), domain, 0.09 }));
            this->indexByProcess[this->members.back()->self.process] = i;
        }
        for (const auto& member : this->members) {
            member->knownNumbers.resize(size);
            for (const auto& other : this->members)
                member->selector.add(other->self);
        }
    }

    Cost measure(Failure newFailure)
    {
        this->run(2s);
        for (const auto& member : this->members)
            member->bytes = member->messages = 0;
        this->ageSum = this->ageCount = this->greatestAge = 0;
        this->fail(newFailure);
        constexpr Foundation::Duration time = 2'400ms;
        this->run(time);
        Cost cost;
        for (const auto& member : this->members) {
            const double kilobytes = member->bytes / 1e3 / Foundation::toSeconds(time);
            const double messages = member->messages / Foundation::toSeconds(time);
            cost.busiestKilobytes = std::max(cost.busiestKilobytes, kilobytes);
            cost.busiestMessages = std::max(cost.busiestMessages, messages);
            cost.meanKilobytes += kilobytes / static_cast<double>(this->members.size());
            cost.meanMessages += messages / static_cast<double>(this->members.size());
        }
        cost.meanAge = this->ageSum / this->ageCount;
        cost.greatestAge = this->greatestAge;
        this->requestsPerStep = 0;
        this->run(newFailure == Failure::DomainIsPartitioned ? 4s : 2s);
        cost.wrong = this->countWrong();
        return cost;
    }

private:
    struct Request {
        std::string upstream;
        Foundation::TimePoint prefilled;
        Foundation::TimePoint end;
    };

    struct Member {
        Member(Fleet& fleet, std::size_t position, const Membership::LoadRelayCandidate& self)
            : index(position)
            , self(self)
            , selector(self)
            , broadcaster(fleet.clock, self, this->selector,
                  { [&fleet, this](const std::string& process, const Wire::LoadUpdate& update) {
                       fleet.send(*this, { fleet.indexByProcess.at(process) }, update);
                   },
                      [&fleet, this](const Wire::LoadUpdate& update, bool isDomainOnly) {
                          std::vector<std::size_t> receivers;
                          for (const auto& other : fleet.members) {
                              if (other.get() != this
                                  && (!isDomainOnly || other->self.failureDomain == this->self.failureDomain))
                                  receivers.push_back(other->index);
                          }
                          fleet.send(*this, receivers, update);
                      },
                      [&fleet, this](const Wire::PeerLoad& load) { fleet.apply(*this, load); } })
        {
        }

        std::size_t index;
        Membership::LoadRelayCandidate self;
        Membership::LoadRelaySelector selector;
        LoadBroadcaster broadcaster;
        bool isDead = false;
        bool isFrozen = false;
        bool isAffected = false;
        double bytes = 0;
        double messages = 0;
        std::size_t heartbeats = 0;
        std::vector<Request> requests;
        std::map<std::string, std::pair<Placement::UpstreamUsage, Foundation::TimePoint>> changed;
        std::map<std::string, Placement::UpstreamUsage> usages;
        /** The times of the changes in each update that was published. */
        std::vector<Foundation::TimePoint> published;
        std::vector<std::uint64_t> knownNumbers;
        std::map<std::pair<std::size_t, std::string>, Placement::UpstreamUsage> known;
        Foundation::TimePoint lastPublished {};
    };

    struct InFlightUpdate {
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<const Wire::LoadUpdate> content;
    };

    static double encodedBytes(const Wire::Message& message)
    {
        // The frame header of a masked WebSocket message.
        constexpr double headerBytes = 8;
        return headerBytes + static_cast<double>(Wire::encode(std::array { message }).size());
    }

    void send(Member& sender, const std::vector<std::size_t>& receivers, const Wire::LoadUpdate& update)
    {
        const auto content = std::make_shared<const Wire::LoadUpdate>(update);
        const double bytes = encodedBytes(update);
        for (const std::size_t receiver : receivers) {
            this->count(sender, *this->members[receiver], bytes);
            this->inFlight.push_back({ sender.index, receiver, content });
        }
    }

    static void count(Member& sender, Member& receiver, double bytes)
    {
        for (Member* const member : { &sender, &receiver }) {
            member->bytes += bytes;
            ++member->messages;
        }
    }

    static bool isAcrossPartition(const Member& from, const Member& to)
    {
        return (from.self.failureDomain == "a") != (to.self.failureDomain == "a");
    }

    void deliver()
    {
        while (!this->inFlight.empty()) {
            const InFlightUpdate update = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            const Member& sender = *this->members[update.from];
            Member& receiver = *this->members[update.to];
            if (sender.isDead || receiver.isDead)
                continue;
            // TCP delivers later what a frozen process or a short partition held up.
            if (receiver.isFrozen || (this->isPartitioned && isAcrossPartition(sender, receiver)))
                this->heldUp.push_back(update);
            else
                receiver.broadcaster.onUpdate(sender.self.process, *update.content);
        }
    }

    void apply(Member& receiver, const Wire::PeerLoad& load)
    {
        const std::size_t index = this->indexByProcess.at(load.process);
        std::uint64_t& number = receiver.knownNumbers[index];
        if (index == receiver.index || load.number <= number)
            return;
        while (number < load.number) {
            const Foundation::TimePoint changed = this->members[index]->published[number++];
            if (receiver.isAffected
                || (this->failure == Failure::DomainIsPartitioned
                    && isAcrossPartition(*this->members[index], receiver)))
                continue;
            const double age = Foundation::toSeconds(this->clock.now() - changed) * 1e3;
            this->ageSum += age;
            this->ageCount += 1;
            this->greatestAge = std::max(this->greatestAge, age);
        }
        for (const Placement::UpstreamUsage& usage : load.usages)
            receiver.known[{ index, usage.upstream }] = usage;
    }

    void addUsage(Member& member, const Placement::UpstreamUsage& added, int sign)
    {
        Placement::UpstreamUsage& usage = member.usages[added.upstream];
        usage.upstream = added.upstream;
        if (sign > 0)
            usage.add(added);
        else
            usage.subtract(added);
        const auto [changed, isNew] = member.changed.try_emplace(added.upstream, usage, this->clock.now());
        changed->second.first = usage;
    }

    void publish(Member& member)
    {
        if (member.changed.empty())
            return;
        member.lastPublished = this->clock.now();
        Foundation::TimePoint oldest = this->clock.now();
        std::vector<Placement::UpstreamUsage> usages;
        for (const auto& [upstream, change] : member.changed) {
            usages.push_back(change.first);
            oldest = std::min(oldest, change.second);
        }
        member.changed.clear();
        member.published.push_back(oldest);
        member.broadcaster.publish({ member.self.process, "1a2b3c4d", member.published.size(), false, usages, "" });
    }

    void serve(Member& member)
    {
        const Foundation::TimePoint now = this->clock.now();
        for (Request& request : member.requests) {
            if (now >= request.prefilled) {
                this->addUsage(member, { request.upstream, 20'000, 0, 0, {}, 20'000 }, -1);
                request.prefilled = Foundation::TimePoint::max();
            }
            if (now >= request.end)
                this->addUsage(member, { request.upstream, 0, 1, 5'400, { { 200, { 1, 1'900 } } }, 0 }, -1);
        }
        std::erase_if(member.requests, [now](const Request& request) { return now >= request.end; });
        if (now - member.lastPublished >= 40ms)
            this->publish(member);
    }

    void dispatch()
    {
        const int arrivals = std::poisson_distribution<int>(std::max(this->requestsPerStep, 1e-9))(this->random);
        for (int i = 0; i < arrivals; ++i) {
            Member& member = *this->members[this->random() % this->members.size()];
            if (member.isDead || member.isFrozen)
                continue;
            const std::string upstream = "engine-" + std::to_string(this->random() % upstreamCount) + "/5e6f7a8b";
            this->addUsage(member, { upstream, 20'000, 1, 5'400, { { 200, { 1, 1'900 } } }, 20'000 }, 1);
            member.requests.push_back({ upstream, this->clock.now() + 150ms, this->clock.now() + 1'500ms });
            this->publish(member);
        }
    }

    void countHeartbeats(Member& sender)
    {
        Wire::PeerLoad complete { sender.self.process, "1a2b3c4d", sender.published.size(), true, {}, "" };
        for (const auto& [upstream, usage] : sender.usages) {
            if (!usage.isEmpty())
                complete.usages.push_back(usage);
        }
        const std::size_t rounds = sender.broadcaster.completeLoadRounds();
        ++sender.heartbeats;
        const double completeBytes = encodedBytes(complete);
        const double emptyBytes = encodedBytes(Wire::PeerLoad {});
        const double replyBytes = encodedBytes(Wire::Heartbeat {});
        for (const auto& receiver : this->members) {
            if (receiver.get() == &sender)
                continue;
            const bool isComplete = (receiver->index + sender.heartbeats) % rounds == 0;
            count(sender, *receiver, isComplete ? completeBytes : emptyBytes);
            count(*receiver, sender, replyBytes);
            const bool isCut = this->isPartitioned && isAcrossPartition(sender, *receiver);
            if (isComplete && !isCut && this->failure == Failure::DomainIsPartitioned)
                applyComplete(*receiver, sender);
        }
    }

    static void applyComplete(Member& receiver, const Member& sender)
    {
        receiver.knownNumbers[sender.index] = sender.published.size();
        std::erase_if(receiver.known, [&](const auto& entry) { return entry.first.first == sender.index; });
        for (const auto& [upstream, usage] : sender.usages)
            receiver.known[{ sender.index, upstream }] = usage;
    }

    void run(Foundation::Duration length)
    {
        for (Foundation::Duration passed {}; passed < length; passed += step) {
            this->clock.advance(step);
            ++this->stepCount;
            this->dispatch();
            for (const auto& member : this->members) {
                if (member->isDead || member->isFrozen)
                    continue;
                this->serve(*member);
                if ((this->stepCount + member->index / domainCount) % 2 == 0)
                    member->broadcaster.tick();
                if ((this->stepCount + member->index) % static_cast<std::size_t>(heartbeatInterval / step) == 0)
                    this->countHeartbeats(*member);
            }
            this->deliver();
            if (this->failureEnd && this->clock.now() >= *this->failureEnd) {
                this->isPartitioned = false;
                for (const auto& member : this->members)
                    member->isFrozen = false;
                this->inFlight = std::exchange(this->heldUp, {});
                this->failureEnd.reset();
            }
        }
    }

    void fail(Failure newFailure)
    {
        this->failure = newFailure;
        Member& relay
            = *this->members[this->indexByProcess.at(this->members[0]->selector.selectRelay("a", this->clock.now()))];
        this->failureEnd = this->clock.now() + 1'500ms;
        this->isPartitioned = this->failure == Failure::DomainIsPartitioned;
        relay.isFrozen = this->failure == Failure::RelayFreezes;
        relay.isDead = this->failure == Failure::RelayDies;
        relay.isAffected = relay.isFrozen || relay.isDead;
        for (const auto& member : this->members) {
            if (relay.isDead && member.get() != &relay)
                member->selector.remove(relay.self.process);
        }
    }

    std::size_t countWrong() const
    {
        std::size_t wrong = 0;
        for (const auto& receiver : this->members) {
            for (const auto& sender : this->members) {
                if (receiver == sender || receiver->isDead || sender->isDead)
                    continue;
                wrong += static_cast<std::size_t>(std::ranges::count_if(sender->usages, [&](const auto& entry) {
                    const auto known = receiver->known.find({ sender->index, entry.first });
                    return known == receiver->known.end() ? !entry.second.isEmpty() : known->second != entry.second;
                }));
            }
        }
        return wrong;
    }

    double requestsPerStep;
    Foundation::ManualClock clock;
    std::mt19937 random { 1 };
    std::map<std::string, std::size_t> indexByProcess;
    std::vector<std::unique_ptr<Member>> members;
    std::deque<InFlightUpdate> inFlight;
    std::deque<InFlightUpdate> heldUp;
    Failure failure = Failure::None;
    std::optional<Foundation::TimePoint> failureEnd;
    std::size_t stepCount = 0;
    bool isPartitioned = false;
    double ageSum = 0;
    double ageCount = 0;
    double greatestAge = 0;
};

Cost measure(std::size_t size, double requestsPerSecond, Failure failure, const char* name)
{
    const Cost cost = Fleet(size, requestsPerSecond).measure(failure);
    std::printf("load updates: gateways=%zu requests_per_s=%.0f failure=%s busiest_kb_s=%.0f mean_kb_s=%.0f "
                "busiest_messages_s=%.0f mean_messages_s=%.0f mean_age_ms=%.0f greatest_age_ms=%.0f wrong=%zu\n",
        size, requestsPerSecond, name, cost.busiestKilobytes, cost.meanKilobytes, cost.busiestMessages,
        cost.meanMessages, cost.meanAge, cost.greatestAge, cost.wrong);
    return cost;
}

} // namespace

TEST_GROUP(LoadUpdateCostTest) {};

TEST(LoadUpdateCostTest, theBusiestGatewayOfThreeHundredStaysBelowItsLimit)
{
    const Cost small = measure(30, 100, Failure::None, "none");
    LONGS_EQUAL(0, small.wrong);
    const Cost large = measure(300, 100, Failure::None, "none");
    CHECK_TRUE(large.busiestKilobytes < 600);
    CHECK_TRUE(large.meanAge < 150);
    LONGS_EQUAL(0, large.wrong);
}

TEST(LoadUpdateCostTest, theCostStaysBelowItsLimitAtThreeTimesTheDemand)
{
    const Cost cost = measure(300, 300, Failure::None, "none");
    CHECK_TRUE(cost.busiestKilobytes < 600);
    CHECK_TRUE(cost.meanAge < 150);
}

TEST(LoadUpdateCostTest, updatesStayRecentInAFleetOfAThousand)
{
    const Cost cost = measure(1'000, 100, Failure::None, "none");
    CHECK_TRUE(cost.meanAge < 150);
    LONGS_EQUAL(0, cost.wrong);
}

TEST(LoadUpdateCostTest, noChangeIsLostWithALoadRelay)
{
    for (const auto& [failure, name] :
        { std::pair(Failure::RelayDies, "relay_dies"), std::pair(Failure::RelayFreezes, "relay_freezes") }) {
        const Cost cost = measure(300, 100, failure, name);
        CHECK_TRUE(cost.meanAge < 150);
        CHECK_TRUE(cost.busiestKilobytes < 600);
        LONGS_EQUAL(0, cost.wrong);
    }
}

TEST(LoadUpdateCostTest, thePartitionOfADomainDoesNotDelayTheOthers)
{
    const Cost cost = measure(300, 100, Failure::DomainIsPartitioned, "partition");
    CHECK_TRUE(cost.busiestKilobytes < 600);
    CHECK_TRUE(cost.meanAge < 150);
    LONGS_EQUAL(0, cost.wrong);
}
