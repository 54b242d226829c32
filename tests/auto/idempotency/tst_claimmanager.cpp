#include <idempotency/claimmanager.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Idempotency;

namespace {

constexpr std::chrono::milliseconds window = std::chrono::hours(1);

/** Agents that share a log. Its appends can fail, lose their answers or arrive after a delay. */
class SimulatedAgents {
public:
    explicit SimulatedAgents(int count)
    {
        for (int i = 0; i < count; ++i)
            this->restart(i);
    }

    void request(int agent, int key)
    {
        const std::string attempt = "t" + std::to_string(this->nextAttempt++);
        this->keyByAttempt[attempt] = key;
        Agent& target = this->agents[agent];
        if (const auto decision
            = target.manager->request({ "k" + std::to_string(key), attempt, "f" + std::to_string(key) }))
            this->handleDecision(agent, *decision);
    }

    // Ends an append with an outcome: 0 appended, 1 not appended, 2 appended but the answer is lost, 3 the answer is
    // lost and the batch is appended after a delay.
    void append(int agent, int outcome)
    {
        Agent& target = this->agents[agent];
        const std::string batch = target.manager->beginBatch();
        if (batch.empty())
            return;
        if (outcome == 0 || outcome == 2)
            this->log.push_back(batch);
        if (outcome == 3)
            this->delayedBatches.push_back(batch);
        if (outcome == 0) {
            target.manager->onBatchAppended();
            return;
        }
        for (const ClaimDecision& decision : target.manager->onBatchResultUnknown())
            this->handleDecision(agent, decision);
    }

    void deliverDelayedBatch()
    {
        if (this->delayedBatches.empty())
            return;
        this->log.push_back(this->delayedBatches.front());
        this->delayedBatches.erase(this->delayedBatches.begin());
    }

    void read(int agent)
    {
        Agent& target = this->agents[agent];
        if (target.nextOffset >= this->log.size())
            return;
        const std::uint64_t offset = target.nextOffset++;
        for (const ClaimDecision& decision : target.manager->applyRecord(offset, LogTime(0), this->log[offset]))
            this->handleDecision(agent, decision);
    }

    // Executes a request whose claim was won and stores its answer, or releases the claim.
    void dispatchOrRelease(int agent, bool shouldDispatch)
    {
        Agent& target = this->agents[agent];
        if (target.wonAttempts.empty())
            return;
        const std::string attempt = target.wonAttempts.back();
        target.wonAttempts.pop_back();
        const std::string key = "k" + std::to_string(this->keyByAttempt[attempt]);
        if (!shouldDispatch) {
            target.manager->release(key, attempt);
            return;
        }
        ++this->runsByKey[key];
        target.manager->storeAnswer({ key, attempt, 201, "text/plain", "done" });
    }

    void restart(int agent)
    {
        Agent& target = this->agents[agent];
        target.manager = std::make_unique<ClaimManager>("i" + std::to_string(this->nextIncarnation++), window);
        target.nextOffset = 0;
        target.wonAttempts.clear();
        while (target.nextOffset < this->log.size())
            this->read(agent);
    }

    int maximumRunsPerKey() const
    {
        int maximum = 0;
        for (const auto& [key, count] : this->runsByKey)
            maximum = std::max(maximum, count);
        return maximum;
    }

    int executedKeyCount() const { return static_cast<int>(this->runsByKey.size()); }

private:
    struct Agent {
        std::unique_ptr<ClaimManager> manager;
        std::uint64_t nextOffset = 0;
        std::vector<std::string> wonAttempts;
    };

    void handleDecision(int agent, const ClaimDecision& decision)
    {
        if (decision.outcome == ClaimOutcome::Won)
            this->agents[agent].wonAttempts.push_back(decision.attempt);
    }

    std::map<int, Agent> agents;
    std::vector<std::string> log;
    std::vector<std::string> delayedBatches;
    std::map<std::string, int> keyByAttempt;
    std::map<std::string, int> runsByKey;
    int nextAttempt = 0;
    int nextIncarnation = 0;
};

} // namespace

TEST_GROUP(ClaimManager) {};

TEST(ClaimManager, noKeyRunsTwiceUnderAnyFaults)
{
    CHECK_TRUE(rc::check("no key is executed twice despite lost answers, delayed appends, pauses and restarts", [] {
        SimulatedAgents agents(3);
        for (int step = 0; step < 300; ++step) {
            const int agent = *rc::gen::inRange(0, 3);
            const auto action = *rc::gen::inRange(0, 24);
            if (action < 6)
                agents.request(agent, *rc::gen::inRange(0, 5));
            else if (action < 11)
                agents.append(agent, *rc::gen::inRange(0, 4));
            else if (action < 17)
                agents.read(agent);
            else if (action < 21)
                agents.dispatchOrRelease(agent, *rc::gen::inRange(0, 4) != 0);
            else if (action < 23)
                agents.deliverDelayedBatch();
            else
                agents.restart(agent);
            RC_ASSERT(agents.maximumRunsPerKey() <= 1);
        }
    }));
}

TEST(ClaimManager, withoutFaultsEveryKeyRuns)
{
    SimulatedAgents agents(2);
    for (int key = 0; key < 20; ++key) {
        agents.request(0, key);
        agents.request(1, key);
    }
    for (int round = 0; round < 3; ++round) {
        for (int agent = 0; agent < 2; ++agent) {
            agents.append(agent, 0);
            for (int i = 0; i < 10; ++i)
                agents.read(agent);
        }
    }
    for (int i = 0; i < 40; ++i)
        agents.dispatchOrRelease(i % 2, true);
    LONGS_EQUAL(20, agents.executedKeyCount());
    LONGS_EQUAL(1, agents.maximumRunsPerKey());
}

TEST(ClaimManager, manyClaimsShareOneAppend)
{
    ClaimManager manager("i", window);
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(manager.request({ "k" + std::to_string(i), "t" + std::to_string(i), "f" }).has_value());
    const std::string batch = manager.beginBatch();
    CHECK_TRUE(manager.beginBatch().empty());
    manager.onBatchAppended();
    LONGS_EQUAL(100, manager.applyRecord(0, LogTime(0), batch).size());
    CHECK_TRUE(manager.beginBatch().empty());
}

TEST(ClaimManager, releasesAnAbandonedClaimThatIsAppendedLater)
{
    ClaimManager manager("i", window);
    manager.request({ "k", "t1", "f" });
    const std::string batch = manager.beginBatch();
    const auto decisions = manager.onBatchResultUnknown();
    CHECK_TRUE(decisions.at(0).outcome == ClaimOutcome::Abandoned);
    CHECK_TRUE(manager.applyRecord(0, LogTime(0), batch).empty());
    CHECK_TRUE(manager.request({ "k", "t2", "f" })->outcome == ClaimOutcome::OwnedByOther);
    manager.applyRecord(1, LogTime(0), manager.beginBatch());
    manager.onBatchAppended();
    CHECK_FALSE(manager.request({ "k", "t3", "f" }).has_value());
}

TEST(ClaimManager, reportsAKeyThatIsReusedForADifferentRequest)
{
    ClaimManager manager("i", window);
    manager.request({ "k", "t1", "f" });
    manager.applyRecord(0, LogTime(0), manager.beginBatch());
    manager.onBatchAppended();
    CHECK_TRUE(manager.request({ "k", "t2", "other" })->outcome == ClaimOutcome::DifferentRequest);
}

TEST(ClaimManager, aWithdrawnClaimIsNeverDecided)
{
    ClaimManager manager("i", window);
    manager.request({ "k", "t1", "f" });
    const std::string batch = manager.beginBatch();
    manager.withdraw("t1");
    manager.onBatchAppended();
    CHECK_TRUE(manager.applyRecord(0, LogTime(0), batch).empty());
    CHECK_FALSE(manager.beginBatch().empty());
}
