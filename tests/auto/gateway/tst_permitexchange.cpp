#include "permitexchange.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

constexpr const char* upstream = "u/1";
constexpr Duration stepLength = 5ms;
constexpr Duration heartbeatInterval = 1'200ms;
// How long a gateway takes to see that another one does not answer any more.
constexpr Duration disconnectDelay = 3'600ms;
constexpr Duration window = 4s;

// Simulates gateways that send to one upstream with a limit.
class Fleet {
public:
    Fleet(std::size_t gateways, double limit, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            this->members.push_back(std::make_unique<Member>(*this, i));
        this->setLimit(limit);
    }

    void setLimit(double limit)
    {
        for (const auto& member : this->members) {
            member->limits.recordAnswer(upstream, limit, this->clock.now(), this->clock.now());
            member->exchange.onLimitChanged(upstream);
        }
    }

    /** @param requestsPerSecond the load of all gateways together. */
    void run(Duration length, double requestsPerSecond)
    {
        const double perStep = requestsPerSecond * Foundation::toSeconds(stepLength);
        for (Duration passed {}; passed < length; passed += stepLength) {
            this->clock.advance(stepLength);
            this->deliver();
            for (const auto& member : this->members) {
                if (member->isFrozen)
                    continue;
                member->exchange.tick();
                if (this->clock.now() >= member->nextHeartbeat)
                    this->sendHeartbeat(*member);
                const double chance = perStep / static_cast<double>(this->members.size());
                if (std::uniform_real_distribution<>(0, 1)(this->random) < chance)
                    this->sendRequest(*member);
            }
        }
    }

    /** Divides the gateways: those before an index reach only each other, and so do the others. */
    void cutAt(std::size_t index)
    {
        for (const auto& member : this->members)
            member->side = member->index < index ? 0 : 1;
        this->dividedAt = this->clock.now();
    }

    /** Cuts the connection between two gateways only. */
    void cutBetween(std::size_t first, std::size_t second)
    {
        this->cutLinks.push_back({ first, second });
        this->dividedAt = this->clock.now();
    }

    void heal()
    {
        for (const auto& member : this->members)
            member->side = 0;
        this->cutLinks.clear();
    }

    void freeze(std::size_t index, bool isFrozen) { this->members[index]->isFrozen = isFrozen; }

    /** Returns the largest number of requests that reached the upstream within four seconds. */
    std::size_t mostArrivals() const
    {
        std::size_t most = 0;
        for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
            std::size_t count = 0;
            for (std::size_t j = i; j < this->arrivals.size() && this->arrivals[j] - this->arrivals[i] < window; ++j)
                ++count;
            most = std::max(most, count);
        }
        return most;
    }

    std::size_t takeArrivalCount() { return std::exchange(this->arrivals, {}).size(); }
    std::size_t undecidedCount() const { return this->requests - this->decided; }

private:
    struct Member {
        Member(Fleet& fleet, std::size_t index)
            : index(index)
            , self { "g" + std::to_string(index), "a", index == 1 ? 0.5 : 0.1 }
            , exchange(fleet.clock, fleet.clock, this->self, this->limits,
                  { [&fleet, this](const std::string& process, const Wire::Message& message) {
                       fleet.inFlight.push_back({ this->index, process, message, fleet.clock.now() + stepLength });
                   },
                      [&fleet, this] { return fleet.reachableFrom(*this); }, [&fleet] { return fleet.members.size(); },
                      [] {} })
        {
        }

        std::size_t index;
        Membership::LoadRelayCandidate self;
        RateLimit::UpstreamLimits limits;
        PermitExchange exchange;
        int side = 0;
        bool isFrozen = false;
        TimePoint nextHeartbeat {};
    };

    struct Transfer {
        std::size_t sender;
        std::string receiver;
        Wire::Message message;
        TimePoint arrivesAt {};
    };

    bool isCut(const Member& a, const Member& b) const
    {
        return a.side != b.side || std::ranges::any_of(this->cutLinks, [&](const auto& link) {
            return std::minmax(link.first, link.second) == std::minmax(a.index, b.index);
        });
    }

    // Connections look open for a while after a cut.
    std::vector<Membership::LoadRelayCandidate> reachableFrom(const Member& member) const
    {
        const bool isCutKnown = this->clock.now() - this->dividedAt >= disconnectDelay;
        std::vector<Membership::LoadRelayCandidate> reachable;
        for (const auto& other : this->members) {
            if (!isCutKnown || !this->isCut(member, *other))
                reachable.push_back(other->self);
        }
        return reachable;
    }

    Member& find(const std::string& process) const
    {
        return **std::ranges::find(this->members, process, [](const auto& member) { return member->self.process; });
    }

    // Messages to a frozen gateway wait until it goes on.
    void deliver()
    {
        std::deque<Transfer> waiting;
        for (std::deque<Transfer> due = std::exchange(this->inFlight, {}); !due.empty(); due.pop_front()) {
            Transfer& transfer = due.front();
            Member& receiver = this->find(transfer.receiver);
            if (this->isCut(*this->members[transfer.sender], receiver))
                continue;
            if (receiver.isFrozen || this->clock.now() < transfer.arrivesAt) {
                waiting.push_back(std::move(transfer));
                continue;
            }
            const std::string& sender = this->members[transfer.sender]->self.process;
            if (const auto* const request = std::get_if<Wire::PermitRequest>(&transfer.message))
                receiver.exchange.onRequest(sender, *request);
            else if (const auto* const reply = std::get_if<Wire::PermitReply>(&transfer.message))
                receiver.exchange.onReply(sender, *reply);
            else if (const auto* const returned = std::get_if<Wire::PermitReturn>(&transfer.message))
                receiver.exchange.onReturn(*returned);
            else if (const auto* const load = std::get_if<Wire::PeerLoad>(&transfer.message))
                receiver.exchange.recordSupport(sender, load->permitIssuer);
        }
        std::ranges::move(waiting, std::back_inserter(this->inFlight));
    }

    void sendHeartbeat(Member& member)
    {
        member.nextHeartbeat = this->clock.now() + heartbeatInterval;
        Wire::PeerLoad load;
        load.permitIssuer = member.exchange.supportedIssuer();
        for (const auto& other : this->members) {
            if (other != this->members[member.index])
                this->inFlight.push_back({ member.index, other->self.process, load, this->clock.now() + stepLength });
        }
    }

    void sendRequest(Member& member)
    {
        ++this->requests;
        if (member.exchange.hasPermit(upstream)) {
            ++this->decided;
            this->arrive(member);
            return;
        }
        member.exchange.request({ upstream }, [this, &member](std::optional<Duration> retryAfter) {
            ++this->decided;
            if (!retryAfter)
                this->arrive(member);
        });
    }

    void arrive(Member& member)
    {
        member.exchange.countRequest(upstream);
        this->arrivals.push_back(this->clock.now());
    }

    Foundation::ManualClock clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Member>> members;
    std::vector<std::pair<std::size_t, std::size_t>> cutLinks;
    TimePoint dividedAt {};
    std::deque<Transfer> inFlight;
    std::vector<TimePoint> arrivals;
    std::size_t requests = 0;
    std::size_t decided = 0;
};

double tolerated(double limit) { return 1.5 * Foundation::toSeconds(window) * limit + 5; }

} // namespace

TEST_GROUP(PermitExchangeTest) {};

TEST(PermitExchangeTest, moreGatewaysThanTheLimitKeepItAndUseIt)
{
    Fleet fleet(40, 1.1, 1);
    fleet.run(20s, 40);
    CHECK_TRUE(static_cast<double>(fleet.mostArrivals()) <= tolerated(1.1));
    CHECK_TRUE(fleet.takeArrivalCount() >= 18);
}

TEST(PermitExchangeTest, bothSidesOfACutTogetherKeepTheLimitAndUseIt)
{
    for (const std::size_t firstSide : { 2, 5, 8 }) {
        Fleet fleet(10, 8, firstSide);
        fleet.run(6s, 100);
        fleet.cutAt(firstSide);
        fleet.run(12s, 100);
        fleet.heal();
        fleet.run(8s, 100);
        CHECK_TRUE(static_cast<double>(fleet.mostArrivals()) <= tolerated(8));
        CHECK_TRUE(static_cast<double>(fleet.takeArrivalCount()) >= 0.75 * 8 * 26);
    }
}

TEST(PermitExchangeTest, aGatewayThatCannotReachTheIssuerDoesNotDoubleTheLimit)
{
    Fleet fleet(5, 10, 1);
    fleet.run(4s, 100);
    fleet.cutBetween(1, 0);
    fleet.run(15s, 100);
    CHECK_TRUE(static_cast<double>(fleet.mostArrivals()) <= tolerated(10));
    CHECK_TRUE(fleet.takeArrivalCount() >= 150);
}

TEST(PermitExchangeTest, anIssuerThatStandsStillIsReplaced)
{
    Fleet fleet(8, 3, 1);
    fleet.run(5s, 50);
    fleet.takeArrivalCount();
    fleet.freeze(1, true);
    fleet.run(8s, 50);
    CHECK_TRUE(fleet.takeArrivalCount() >= 15);
    fleet.freeze(1, false);
    fleet.run(6s, 50);
    CHECK_TRUE(static_cast<double>(fleet.mostArrivals()) <= tolerated(3));
    fleet.run(1s, 0);
    UNSIGNED_LONGS_EQUAL(0, fleet.undecidedCount());
}

TEST(PermitExchangeTest, aGatewayThatStoodStillDoesNotUsePermitsThatRanOut)
{
    Fleet fleet(12, 20, 1);
    fleet.run(3s, 200);
    for (std::size_t i = 2; i < 12; ++i)
        fleet.freeze(i, true);
    fleet.run(5s, 200);
    for (std::size_t i = 2; i < 12; ++i)
        fleet.freeze(i, false);
    fleet.run(6s, 200);
    CHECK_TRUE(static_cast<double>(fleet.mostArrivals()) <= tolerated(20));
}

TEST(PermitExchangeTest, disturbedGatewaysKeepTheLimit)
{
    CHECK_TRUE(rc::check([] {
        const auto gateways = *rc::gen::inRange<std::size_t>(2, 14);
        const double limit = *rc::gen::inRange(5, 150) / 10.0;
        Fleet fleet(gateways, limit, *rc::gen::arbitrary<std::uint64_t>());
        const auto disturbances = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            6, rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(0, gateways)));
        for (const auto& [kind, gateway] : disturbances) {
            if (kind == 0)
                fleet.cutAt(gateway);
            else if (kind == 1)
                fleet.freeze(gateway, true);
            else if (kind == 2)
                fleet.cutBetween(gateway, (gateway + 1) % gateways);
            fleet.run(2500ms, 60);
            if (kind == 1)
                fleet.freeze(gateway, false);
            else if (kind == 3)
                fleet.heal();
        }
        RC_ASSERT(static_cast<double>(fleet.mostArrivals()) <= tolerated(limit));
        RC_ASSERT(fleet.takeArrivalCount() > 0U);
    }));
}
