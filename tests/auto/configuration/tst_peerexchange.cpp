#include <configuration/peerexchange.h>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace Configuration;

namespace {

ConfigurationState makeState(std::uint64_t version, std::uint64_t documentVersion)
{
    ConfigurationState state;
    state.version = version;
    state.nextOffset = version + 2;
    state.documentVersion = documentVersion;
    state.documentText = R"({"environment": "e"})";
    state.targets[{ TargetKind::Instance, "i" }] = { ServiceState::TakenOut, version };
    state.decidedChanges.push_back({ "c", true, version });
    return state;
}

} // namespace

TEST_GROUP(PeerExchange) {};

TEST(PeerExchange, omitsADocumentThatThePeerHas)
{
    const ConfigurationState own = makeState(3, 2);
    const ConfigurationState ahead = makeState(9, 2);
    const nlohmann::json difference = makeDifference(own.documentVersion, ahead);
    CHECK_FALSE(difference.contains("document"));
    CHECK_TRUE(applyDifference(own, difference).value() == ahead);
}

TEST(PeerExchange, includesADocumentThatThePeerLacks)
{
    const ConfigurationState ahead = makeState(9, 5);
    CHECK_TRUE(applyDifference({}, makeDifference(0, ahead)).value() == ahead);
}

TEST(PeerExchange, rejectsADifferenceWithoutARequiredDocument)
{
    nlohmann::json difference = makeDifference(0, makeState(9, 5));
    difference.erase("document");
    CHECK_FALSE(applyDifference(makeState(3, 2), difference).has_value());
    CHECK_FALSE(applyDifference({}, nlohmann::json::array()).has_value());
}
