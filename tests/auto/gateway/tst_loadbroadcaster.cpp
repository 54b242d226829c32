#include "loadbroadcaster.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

// Simulates a fleet of gateways. Updates between two running gateways are delivered at once.
class Fleet {
public:
    Fleet(std::size_t domains, std::size_t perDomain)
    {
        for (std::size_t d = 0; d < domains; ++d) {
            for (std::size_t i = 0; i < perDomain; ++i) {
                const std::string domain(1, static_cast<char>('a' + d));
                this->members.push_back(std::make_unique<Member>(
                    *this, Membership::LoadRelayCandidate { domain + std::to_string(i), domain, i == 1 ? 0.5 : 0.1 }));
            }
        }
        for (const auto& member : this->members) {
            for (const auto& other : this->members)
                member->relaySelector.add(other->self);
        }
    }

    void publish(const std::string& process, std::int64_t requests)
    {
        Wire::PeerLoad load;
        load.process = process;
        load.usages = { { "u", 0, requests, 0, {} } };
        this->find(process).loadBroadcaster.publish(load);
        this->deliver();
    }

    void run(Foundation::Duration length)
    {
        for (Foundation::Duration passed {}; passed < length; passed += 20ms) {
            this->clock.advance(20ms);
            for (const auto& member : this->members) {
                if (!member->isStopped)
                    member->loadBroadcaster.tick();
            }
            this->deliver();
        }
    }

    /** Returns how many running gateways have received the given load of a process. */
    std::size_t countInformed(const std::string& process, std::int64_t requests) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->members, [&](const auto& member) {
            const auto found = member->requestsByProcess.find(process);
            return member->self.process != process && !member->isStopped && found != member->requestsByProcess.end()
                && found->second == requests;
        }));
    }

    void stop(const std::string& process) { this->find(process).isStopped = true; }

    /** Returns the largest number of messages that one gateway received since the last call. */
    std::size_t takeMaximumReceived()
    {
        std::size_t maximum = 0;
        for (const auto& member : this->members)
            maximum = std::max(maximum, std::exchange(member->received, 0));
        return maximum;
    }

private:
    struct Member {
        Member(Fleet& fleet, const Membership::LoadRelayCandidate& self)
            : self(self)
            , relaySelector(self)
            , loadBroadcaster(fleet.clock, self, this->relaySelector,
                  { [&fleet, this](const std::string& process, const Wire::LoadUpdate& loadUpdate) {
                       fleet.inFlight.push_back({ this->self.process, process, loadUpdate });
                   },
                      [&fleet, this](const Wire::LoadUpdate& loadUpdate, bool isDomainOnly) {
                          for (const auto& member : fleet.members) {
                              const bool isReceiver
                                  = !isDomainOnly || member->self.failureDomain == this->self.failureDomain;
                              if (isReceiver && member.get() != this)
                                  fleet.inFlight.push_back({ this->self.process, member->self.process, loadUpdate });
                          }
                      },
                      [this](const Wire::PeerLoad& load) {
                          if (!load.usages.empty())
                              this->requestsByProcess[load.process] = load.usages.front().requests;
                      } })
        {
        }

        Membership::LoadRelayCandidate self;
        Membership::LoadRelaySelector relaySelector;
        std::map<std::string, std::int64_t> requestsByProcess;
        std::size_t received = 0;
        bool isStopped = false;
        LoadBroadcaster loadBroadcaster;
    };

    struct InFlightUpdate {
        std::string from;
        std::string to;
        Wire::LoadUpdate content;
    };

    Member& find(const std::string& process)
    {
        return **std::ranges::find_if(
            this->members, [&](const auto& member) { return member->self.process == process; });
    }

    void deliver()
    {
        while (!this->inFlight.empty()) {
            InFlightUpdate update = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            Member& receiver = this->find(update.to);
            if (receiver.isStopped || this->find(update.from).isStopped)
                continue;
            ++receiver.received;
            receiver.loadBroadcaster.onUpdate(update.from, std::move(update.content));
        }
    }

    Foundation::ManualClock clock;
    std::vector<std::unique_ptr<Member>> members;
    std::deque<InFlightUpdate> inFlight;
};

} // namespace

TEST_GROUP(LoadBroadcasterTest) {};

TEST(LoadBroadcasterTest, aSmallFleetSendsUpdatesDirectly)
{
    Fleet fleet(3, 2);
    fleet.publish("a0", 7);
    LONGS_EQUAL(5, fleet.countInformed("a0", 7));
}

TEST(LoadBroadcasterTest, loadRelaysForwardUpdatesToAllWithinTwoTicks)
{
    Fleet fleet(3, 10);
    fleet.run(1s);
    fleet.publish("b7", 3);
    fleet.publish("c1", 4);
    fleet.run(40ms);
    LONGS_EQUAL(29, fleet.countInformed("b7", 3));
    LONGS_EQUAL(29, fleet.countInformed("c1", 4));
}

TEST(LoadBroadcasterTest, receivedMessagesDoNotGrowWithTheFleet)
{
    // Every gateway publishes ten changes a second. A load relay batches the updates of one tick.
    for (const std::size_t perDomain : { 10, 30 }) {
        Fleet fleet(3, perDomain);
        fleet.run(1s);
        fleet.takeMaximumReceived();
        for (int round = 0; round < 10; ++round) {
            for (std::size_t i = 0; i < perDomain; ++i) {
                for (const char* const domain : { "a", "b", "c" })
                    fleet.publish(domain + std::to_string(i), round);
            }
            fleet.run(100ms);
        }
        // A load relay receives the updates of its domain peers and of the other load relays; all other gateways
        // receive at most one message in each tick.
        CHECK_TRUE(fleet.takeMaximumReceived() <= 10 * perDomain + 3 * 50);
    }
}

TEST(LoadBroadcasterTest, anotherGatewayReplacesASilentLoadRelay)
{
    Fleet fleet(3, 10);
    fleet.run(1s);
    fleet.stop("a1");
    fleet.run(1s);
    fleet.publish("a5", 2);
    fleet.publish("c5", 9);
    fleet.run(60ms);
    LONGS_EQUAL(28, fleet.countInformed("a5", 2));
    LONGS_EQUAL(28, fleet.countInformed("c5", 9));
}

TEST(LoadBroadcasterTest, changesAreNotSentAgainWithEachGatewayThatConnects)
{
    Foundation::ManualClock clock;
    clock.advance(10s);
    const Membership::LoadRelayCandidate self { "b500", "b", 0.1 };
    Membership::LoadRelaySelector selector(self);
    for (int i = 100; i < 250; ++i)
        selector.add({ "b" + std::to_string(i), "b", 0.1 });
    std::size_t sent = 0;
    LoadBroadcaster broadcaster(clock, self, selector,
        { [&sent](const std::string&, const Wire::LoadUpdate& update) { sent += update.loads.size(); },
            [](const Wire::LoadUpdate&, bool) {}, [](const Wire::PeerLoad&) {} });
    Wire::PeerLoad load;
    load.process = self.process;
    broadcaster.publish(load);
    for (int i = 0; i < 40; ++i) {
        clock.advance(20ms);
        selector.add({ "a" + std::to_string(i), "b", 0.1 });
        broadcaster.tick();
    }
    // The relay changes with most of them. What was sent within the last second is sent again every half second.
    CHECK_TRUE(sent >= 2);
    CHECK_TRUE(sent <= 3);
}
