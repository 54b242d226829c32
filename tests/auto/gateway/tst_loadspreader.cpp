#include "loadspreader.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

// Gateways that hand each other's news over at once, as long as both run.
class Fleet {
public:
    Fleet(std::size_t domains, std::size_t perDomain)
    {
        for (std::size_t d = 0; d < domains; ++d) {
            for (std::size_t i = 0; i < perDomain; ++i) {
                const std::string domain(1, static_cast<char>('a' + d));
                this->members.push_back(std::make_unique<Member>(
                    *this, Membership::RelayCandidate { domain + std::to_string(i), domain, i == 1 ? 0.5 : 0.1 }));
            }
        }
        for (const auto& member : this->members) {
            for (const auto& other : this->members)
                member->choice.add(other->self);
        }
    }

    void tell(const std::string& process, std::int64_t requests)
    {
        Wire::PeerLoad load;
        load.process = process;
        load.shares = { { "u", 0, requests, 0, {} } };
        this->find(process).spreader.tell(load);
        this->deliver();
    }

    void run(Foundation::Duration length)
    {
        for (Foundation::Duration passed {}; passed < length; passed += 20ms) {
            this->clock.advance(20ms);
            for (const auto& member : this->members) {
                if (!member->isStopped)
                    member->spreader.tick();
            }
            this->deliver();
        }
    }

    /** @return how many running gateways know the load of a process. */
    std::size_t knowing(const std::string& process, std::int64_t requests) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->members, [&](const auto& member) {
            const auto found = member->known.find(process);
            return member->self.process != process && !member->isStopped && found != member->known.end()
                && found->second == requests;
        }));
    }

    void stop(const std::string& process) { this->find(process).isStopped = true; }

    /** @return the most messages that one gateway got since the last call. */
    std::size_t takeMostReceived()
    {
        std::size_t most = 0;
        for (const auto& member : this->members)
            most = std::max(most, std::exchange(member->received, 0));
        return most;
    }

private:
    struct Member {
        Member(Fleet& fleet, const Membership::RelayCandidate& self)
            : self(self)
            , choice(self)
            , spreader(fleet.clock, self, this->choice,
                  { [&fleet, this](const std::string& process, const Wire::LoadNews& news) {
                       fleet.underWay.push_back({ this->self.process, process, news });
                   },
                      [&fleet, this](const Wire::LoadNews& news, bool isForNeighbours) {
                          for (const auto& member : fleet.members) {
                              const bool isMeant
                                  = !isForNeighbours || member->self.failureDomain == this->self.failureDomain;
                              if (isMeant && member.get() != this)
                                  fleet.underWay.push_back({ this->self.process, member->self.process, news });
                          }
                      },
                      [this](const Wire::PeerLoad& load) {
                          if (!load.shares.empty())
                              this->known[load.process] = load.shares.front().requests;
                      } })
        {
        }

        Membership::RelayCandidate self;
        Membership::RelayChoice choice;
        std::map<std::string, std::int64_t> known;
        std::size_t received = 0;
        bool isStopped = false;
        LoadSpreader spreader;
    };

    struct Letter {
        std::string from;
        std::string to;
        Wire::LoadNews news;
    };

    Member& find(const std::string& process)
    {
        return **std::ranges::find_if(
            this->members, [&](const auto& member) { return member->self.process == process; });
    }

    void deliver()
    {
        while (!this->underWay.empty()) {
            Letter letter = std::move(this->underWay.front());
            this->underWay.pop_front();
            Member& receiver = this->find(letter.to);
            if (receiver.isStopped || this->find(letter.from).isStopped)
                continue;
            ++receiver.received;
            receiver.spreader.onNews(letter.from, std::move(letter.news));
        }
    }

    Foundation::ManualClock clock;
    std::vector<std::unique_ptr<Member>> members;
    std::deque<Letter> underWay;
};

} // namespace

TEST_GROUP(LoadSpreaderTest) {};

TEST(LoadSpreaderTest, aFewGatewaysTellEachOtherAtOnce)
{
    Fleet fleet(3, 2);
    fleet.tell("a0", 7);
    LONGS_EQUAL(5, fleet.knowing("a0", 7));
}

TEST(LoadSpreaderTest, relaysBringNewsToAllWithinTwoTicks)
{
    Fleet fleet(3, 10);
    fleet.run(1s);
    fleet.tell("b7", 3);
    fleet.tell("c1", 4);
    fleet.run(40ms);
    LONGS_EQUAL(29, fleet.knowing("b7", 3));
    LONGS_EQUAL(29, fleet.knowing("c1", 4));
}

TEST(LoadSpreaderTest, whatAGatewayHasToReadDoesNotGrowWithTheFleet)
{
    // Every gateway tells ten changes a second. A relay gathers what comes within one tick.
    for (const std::size_t perDomain : { 10, 30 }) {
        Fleet fleet(3, perDomain);
        fleet.run(1s);
        fleet.takeMostReceived();
        for (int round = 0; round < 10; ++round) {
            for (std::size_t i = 0; i < perDomain; ++i) {
                for (const char* const domain : { "a", "b", "c" })
                    fleet.tell(domain + std::to_string(i), round);
            }
            fleet.run(100ms);
        }
        // The relay reads what its neighbours tell and what the other relays pass on; all others read at most one
        // message in each tick.
        CHECK_TRUE(fleet.takeMostReceived() <= 10 * perDomain + 3 * 50);
    }
}

TEST(LoadSpreaderTest, anotherGatewayTakesOverFromARelayThatIsSilent)
{
    Fleet fleet(3, 10);
    fleet.run(1s);
    fleet.stop("a1");
    fleet.run(1s);
    fleet.tell("a5", 2);
    fleet.tell("c5", 9);
    fleet.run(60ms);
    LONGS_EQUAL(28, fleet.knowing("a5", 2));
    LONGS_EQUAL(28, fleet.knowing("c5", 9));
}
