#include <membership/instancedirectory.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace Membership;

namespace {

Instance makeInstance(const std::string& id) { return { id, "127.0.0.1:1", "muse", "a", ListedState::Live }; }

} // namespace

TEST_GROUP(InstanceDirectory)
{
    InstanceDirectory directory;

    void setup() override { this->directory.applyList(std::vector { makeInstance("x"), makeInstance("y") }); }
};

TEST(InstanceDirectory, ignoresAnEmptyList)
{
    for (int i = 0; i < 10; ++i)
        this->directory.applyList({});
    LONGS_EQUAL(2, this->directory.view().size());
}

TEST(InstanceDirectory, keepsAnUnlistedInstanceWhileItIsConnected)
{
    this->directory.setLinkState("y", LinkState::Connected);
    for (int i = 0; i < 10; ++i)
        this->directory.applyList(std::vector { makeInstance("x") });
    LONGS_EQUAL(2, this->directory.view().size());
    this->directory.setLinkState("y", LinkState::Disconnected);
    this->directory.applyList(std::vector { makeInstance("x") });
    LONGS_EQUAL(1, this->directory.view().size());
}

TEST(InstanceDirectory, keepsAnInstanceThatFewListsLack)
{
    this->directory.applyList(std::vector { makeInstance("x") });
    this->directory.applyList(std::vector { makeInstance("x"), makeInstance("y") });
    this->directory.applyList(std::vector { makeInstance("x") });
    this->directory.applyList(std::vector { makeInstance("x") });
    LONGS_EQUAL(2, this->directory.view().size());
}

TEST(InstanceDirectory, acceptsRequestsOnlyIfTheAgentReportsIt)
{
    CHECK_FALSE(this->directory.view()[0].acceptsRequests());
    this->directory.setLinkState("x", LinkState::Connected);
    CHECK_FALSE(this->directory.view()[0].acceptsRequests());
    this->directory.setReportedAvailability("x", Availability::Available);
    CHECK_TRUE(this->directory.view()[0].acceptsRequests());
    this->directory.setReportedAvailability("x", Availability::Draining);
    CHECK_FALSE(this->directory.view()[0].acceptsRequests());
}

TEST(InstanceDirectory, discardsTheReportOfAnInstanceWithANewAddress)
{
    this->directory.setLinkState("x", LinkState::Connected);
    this->directory.setReportedAvailability("x", Availability::Available);
    Instance moved = makeInstance("x");
    moved.address = "127.0.0.1:2";
    this->directory.applyList(std::vector { moved, makeInstance("y") });
    CHECK_FALSE(this->directory.view()[0].acceptsRequests());
}
