#include <relay/localretrybudget.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;
using namespace std::chrono_literals;

TEST_GROUP(LocalRetryBudgetTest) {};

TEST(LocalRetryBudgetTest, aRetryThatWasNotSentCanBeSpentAgain)
{
    LocalRetryBudget budget({ 0, 2, 10s });
    const Foundation::TimePoint start {};
    CHECK_TRUE(budget.trySpend("s", start));
    CHECK_FALSE(budget.trySpend("s", start + 1s));
    budget.giveBack("s", start);
    CHECK_TRUE(budget.trySpend("s", start + 1s));
    budget.giveBack("s", start);
    CHECK_FALSE(budget.trySpend("s", start + 2s));
}

TEST(LocalRetryBudgetTest, theRetriesOfAllProcessesStayWithinTheLimit)
{
    CHECK_TRUE(rc::check([] {
        const auto processes = *rc::gen::inRange<std::size_t>(1, 6);
        const RetryLimit limit { 0.2, 30, 10s };
        std::vector<LocalRetryBudget> budgets(processes, LocalRetryBudget(limit));
        for (LocalRetryBudget& budget : budgets)
            budget.setProcessCount(processes);
        struct Entry {
            Foundation::TimePoint at;
            bool isRetry;
        };
        std::vector<Entry> history;
        Foundation::TimePoint now {};
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            300, rc::gen::pair(rc::gen::inRange<std::size_t>(0, processes), rc::gen::inRange(0, 400)));
        for (const auto& [process, stepMs] : steps) {
            now += std::chrono::milliseconds(stepMs);
            budgets[process].countRequest("s", now);
            history.push_back({ now, false });
            while (budgets[process].trySpend("s", now))
                history.push_back({ now, true });
        }
        for (const Entry& last : history) {
            double requests = 0;
            double retries = 0;
            for (const Entry& entry : history) {
                if (entry.at > last.at || last.at - entry.at >= limit.window)
                    continue;
                ++(entry.isRetry ? retries : requests);
            }
            RC_ASSERT(retries <= limit.ratio * requests + limit.fixedAllowance);
        }
    }));
}

TEST(LocalRetryBudgetTest, eachServiceHasItsOwnBudget)
{
    LocalRetryBudget budget({ 0, 2, 10s });
    CHECK_TRUE(budget.trySpend("a", {}));
    CHECK_FALSE(budget.trySpend("a", {}));
    CHECK_TRUE(budget.trySpend("b", {}));
    CHECK_TRUE(budget.trySpend("a", Foundation::TimePoint {} + 11s));
}
