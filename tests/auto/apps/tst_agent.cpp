#include <agent/agentsettings.h>
#include <agent/answerrecorder.h>
#include <agent/attempttable.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Agent;

TEST_GROUP(AgentParts)
{
    std::vector<Wire::Message> sent;

    void collect(AnswerRecorder & recorder)
    {
        recorder.sendPending("a", [this](Wire::Message message) { this->sent.push_back(std::move(message)); });
    }
};

TEST(AgentParts, sendsEachChunkOnceAndAgainAfterARewind)
{
    AnswerRecorder recorder;
    recorder.add("early");
    this->collect(recorder);
    LONGS_EQUAL(0, this->sent.size());
    recorder.setHead({ 200, "text/plain", {}, Platform::BodyFraming::Length });
    recorder.add(std::string(Wire::maximumChunkBytes + 1, 'x'));
    this->collect(recorder);
    LONGS_EQUAL(4, this->sent.size());
    this->collect(recorder);
    LONGS_EQUAL(4, this->sent.size());
    recorder.rewind(1, true);
    this->collect(recorder);
    LONGS_EQUAL(6, this->sent.size());
    LONGS_EQUAL(1, std::get<Wire::AnswerChunk>(this->sent[4]).sequence);
    LONGS_EQUAL(3, recorder.makeEnd("a").count);
}

TEST(AgentParts, findsTheReportedPromptTokens)
{
    LONGS_EQUAL(123, reportedPromptTokens(R"(data: {"usage":{"prompt_tokens": 123,"x":1}})"));
    LONGS_EQUAL(0, reportedPromptTokens("nothing"));
}

TEST(AgentParts, removesEndedAttemptsAfterTheirRetention)
{
    Foundation::ManualClock clock;
    AttemptTable table(clock);
    const auto attempt = std::make_shared<Attempt>();
    attempt->offer.attempt = "a";
    table.add(attempt);
    table.end("a", { Foundation::RunOutcome::Ran, std::nullopt, attempt, {} });
    CHECK_TRUE(table.find("a") == nullptr);
    CHECK_TRUE(table.findEnded("a")->answeredAttempt != nullptr);
    clock.advance(std::chrono::seconds(6));
    table.removeExpired();
    CHECK_TRUE(table.findEnded("a")->answeredAttempt == nullptr);
    clock.advance(std::chrono::seconds(60));
    table.removeExpired();
    CHECK_TRUE(table.findEnded("a") == nullptr);
}

TEST(AgentParts, rejectsSettingsWithoutUpstream)
{
    const auto settings = parseAgentSettings(
        "s.json", R"({"instance":"e","failureDomain":"d","token":"t","logUrl":"u","instanceListUrl":"v"})");
    CHECK_FALSE(settings.has_value());
    CHECK_TRUE(settings.error().message.find("'/upstreamUrl' is required") != std::string::npos);
}

TEST(AgentParts, anEventStreamThatEndsInsideAnEventIsBrokenOff)
{
    AnswerRecorder recorder;
    recorder.setHead({ 200, "text/event-stream", {}, Platform::BodyFraming::ConnectionClose });
    CHECK_TRUE(recorder.isBrokenOff());
    recorder.add("data: a\n\ndata");
    CHECK_TRUE(recorder.isBrokenOff());
    recorder.add(": b\n\n");
    CHECK_FALSE(recorder.isBrokenOff());
}

TEST(AgentParts, anAnswerThatIsNoEventStreamHasNoEventsToBreakOffIn)
{
    AnswerRecorder recorder;
    recorder.setHead({ 200, "application/json", {}, Platform::BodyFraming::ConnectionClose });
    recorder.add("{}");
    CHECK_FALSE(recorder.isBrokenOff());
}
