#include <relay/retryshare.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;
using namespace std::chrono_literals;

TEST_GROUP(RetryShareTest) {};

TEST(RetryShareTest, theSharesOfAllProcessesStayWithinTheBudget)
{
    CHECK_TRUE(rc::check([] {
        const auto processes = *rc::gen::inRange<std::size_t>(1, 6);
        const RetryBound bound { 0.2, 30, 10s };
        std::vector<RetryShare> shares(processes, RetryShare(bound));
        for (RetryShare& share : shares)
            share.setProcessCount(processes);
        struct Happening {
            Foundation::TimePoint at;
            bool isRepeat;
        };
        std::vector<Happening> history;
        Foundation::TimePoint now {};
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            300, rc::gen::pair(rc::gen::inRange<std::size_t>(0, processes), rc::gen::inRange(0, 400)));
        for (const auto& [process, stepMs] : steps) {
            now += std::chrono::milliseconds(stepMs);
            shares[process].noteRequest("s", now);
            history.push_back({ now, false });
            while (shares[process].trySpend("s", now))
                history.push_back({ now, true });
        }
        for (const Happening& last : history) {
            double requests = 0;
            double repeats = 0;
            for (const Happening& happening : history) {
                if (happening.at > last.at || last.at - happening.at >= bound.window)
                    continue;
                ++(happening.isRepeat ? repeats : requests);
            }
            RC_ASSERT(repeats <= bound.ratio * requests + bound.slack);
        }
    }));
}

TEST(RetryShareTest, eachServiceHasItsOwnBudget)
{
    RetryShare share({ 0, 2, 10s });
    CHECK_TRUE(share.trySpend("a", {}));
    CHECK_FALSE(share.trySpend("a", {}));
    CHECK_TRUE(share.trySpend("b", {}));
    CHECK_TRUE(share.trySpend("a", Foundation::TimePoint {} + 11s));
}
