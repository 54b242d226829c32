#include <policy/trafficpolicy.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Policy;

namespace {

Route makeRoute(std::string name, std::string host, std::string prefix)
{
    Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.targets = { { "s", 1 } };
    return route;
}

} // namespace

TEST_GROUP(TrafficPolicyTest) {};

TEST(TrafficPolicyTest, theRouteWithTheLongestPrefixIsFound)
{
    TrafficPolicy::Content content;
    content.routes = { makeRoute("root", "a", "/"), makeRoute("deep", "a", "/x/y/"), makeRoute("middle", "a", "/x/"),
        makeRoute("other", "b", "/x/y/z/") };
    const TrafficPolicy policy(std::move(content));
    STRCMP_EQUAL("deep", policy.findRoute("a", "/x/y/z")->name.c_str());
    STRCMP_EQUAL("middle", policy.findRoute("a", "/x/yy")->name.c_str());
    STRCMP_EQUAL("root", policy.findRoute("a", "/x")->name.c_str());
    POINTERS_EQUAL(nullptr, policy.findRoute("b", "/x/y/"));
    POINTERS_EQUAL(nullptr, policy.findRoute("c", "/"));
}

TEST(TrafficPolicyTest, findRouteAgreesWithASearchOfAllRoutes)
{
    CHECK_TRUE(rc::check([] {
        const auto segmentLists = *rc::gen::container<std::vector<std::vector<int>>>(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)));
        TrafficPolicy::Content content;
        for (const auto& segments : segmentLists) {
            std::string prefix = "/";
            for (const int segment : segments)
                prefix += std::to_string(segment) + "/";
            content.routes.push_back(makeRoute(prefix, "h", prefix));
        }
        const auto routes = content.routes;
        const TrafficPolicy policy(std::move(content));
        const std::string path = *rc::gen::element<std::string>("/0/1/2/0", "/1/1", "/2/", "/0/0/0/0/0", "/");
        std::size_t longest = 0;
        for (const Route& route : routes) {
            if (path.starts_with(route.pathPrefix))
                longest = std::max(longest, route.pathPrefix.size());
        }
        const Route* const found = policy.findRoute("h", path);
        RC_ASSERT((found ? found->pathPrefix.size() : 0) == longest);
    }));
}

TEST(TrafficPolicyTest, servicesAreChosenByWeight)
{
    Route route;
    route.targets = { { "a", 90 }, { "b", 10 } };
    STRCMP_EQUAL("a", chooseService(route, 0).c_str());
    STRCMP_EQUAL("a", chooseService(route, 0.89).c_str());
    STRCMP_EQUAL("b", chooseService(route, 0.91).c_str());
    STRCMP_EQUAL("b", chooseService(route, 0.999999).c_str());
}
