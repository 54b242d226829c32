#include <web/requestreader.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace Web;

namespace {

class FixedClock final : public Foundation::Clock {
public:
    Foundation::TimePoint now() const override { return this->time; }

    Foundation::TimePoint time {};
};

std::string repeat(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

constexpr const char* chunkedHead = "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

/** A reader with low limits and a memory of 200 KB. */
TEST_GROUP(RequestReaderTest)
{
    FixedClock clock;
    std::shared_ptr<ReceiveMemory> memory
        = std::make_shared<ReceiveMemory>(ReceiveMemory::Settings { 200'000, 4 }, this->clock);
    ReceiveLimits limits;
    RequestReader reader;

    void setup() override
    {
        this->limits.maximumHeaderBytes = 1'000;
        this->limits.maximumFields = 10;
        this->limits.maximumBodyBytes = 20'000;
        this->restart(this->reader);
    }

    void restart(RequestReader & restarted, bool* isEvicted = nullptr)
    {
        restarted.restart(this->limits, std::make_shared<ReceiveMemory::Share>(this->memory, [isEvicted] {
            if (isEvicted)
                *isEvicted = true;
        }));
    }

    /** Reads a text in pieces of this size. Returns the result of the last one that was read. */
    RequestReader::Result read(const std::string& text, std::size_t pieceBytes = 100)
    {
        RequestReader::Result result;
        for (std::size_t at = 0; at < text.size() && result.outcome == RequestReader::Outcome::Incomplete;
             at += pieceBytes)
            result = this->reader.read(std::string_view(text).substr(at, pieceBytes));
        return result;
    }

    void checkRefused(const std::string& text, ClientRefusal refusal)
    {
        for (const std::size_t pieceBytes : { std::size_t(7), std::size_t(4'096) }) {
            this->restart(this->reader);
            const RequestReader::Result result = this->read(text, pieceBytes);
            CHECK_TRUE(result.outcome == RequestReader::Outcome::Refused);
            STRCMP_EQUAL(refusalName(refusal).data(), refusalName(result.refusal).data());
        }
    }
};

TEST(RequestReaderTest, aBodyInTinyChunksIsHeldWithoutItsFraming)
{
    for (const std::size_t pieceBytes : { std::size_t(1), std::size_t(4'096) }) {
        this->restart(this->reader);
        const std::string chunks = repeat("1;e=f\r\nx\r\n", 20'000);
        const RequestReader::Result result = this->read(chunkedHead + chunks + "0\r\nT: v\r\n\r\n", pieceBytes);
        CHECK_TRUE(result.outcome == RequestReader::Outcome::Complete);
        STRCMP_EQUAL("POST /a?b HTTP/1.1\r\nHost: h\r\n\r\n", this->reader.takeHead().c_str());
        CHECK_TRUE(*this->reader.takeBody() == std::string(20'000, 'x'));
    }
    CHECK_EQUAL(0U, this->memory->heldBytes());
}

TEST(RequestReaderTest, theNextRequestIsNotTakenForABody)
{
    const std::string first = "\r\nPUT / HTTP/1.1\r\nContent-Length: 2\r\nA: \r\n\r\nhi";
    const RequestReader::Result result = this->read(first + "GET / HTTP/1.1\r\n", 4'096);
    CHECK_TRUE(result.outcome == RequestReader::Outcome::Complete);
    CHECK_EQUAL(first.size(), result.consumed);
    STRCMP_EQUAL("PUT / HTTP/1.1\r\nA: \r\n\r\n", this->reader.takeHead().c_str());
    STRCMP_EQUAL("hi", this->reader.takeBody()->c_str());
}

TEST(RequestReaderTest, anAnnouncedLengthOverTheLimitIsRefusedBeforeTheBodyIsRead)
{
    this->checkRefused("PUT / HTTP/1.1\r\nContent-Length: 20001\r\n\r\n", ClientRefusal::BodyTooLarge);
    this->checkRefused(chunkedHead + std::string("4e21\r\n"), ClientRefusal::BodyTooLarge);
}

TEST(RequestReaderTest, whatNeverEndsIsRefused)
{
    const std::string line = "GET / HTTP/1.1\r\n";
    this->checkRefused(std::string(1'000, '\n'), ClientRefusal::EmptyLines);
    this->checkRefused("GET /" + std::string(20'000, 'x'), ClientRefusal::HeadTooLarge);
    this->checkRefused(line + std::string(2'000, 'x'), ClientRefusal::HeadTooLarge);
    this->checkRefused(line + "A:" + std::string(6'000, ' '), ClientRefusal::HeadTooLarge);
    this->checkRefused(line + repeat("A: b\r\n", 11), ClientRefusal::HeadTooLarge);
    this->checkRefused(chunkedHead + std::string(9'000, '0'), ClientRefusal::ChunkHeadTooLarge);
    this->checkRefused(chunkedHead + ("1;" + std::string(9'000, 'a')), ClientRefusal::ChunkHeadTooLarge);
    this->checkRefused(chunkedHead + ("0\r\n" + repeat("A: b\r\n", 4'000)), ClientRefusal::TrailersTooLarge);
}

TEST(RequestReaderTest, aRequestThatNeedsMemoryEvictsTheOneThatMakesNoProgressAndNotASmallOne)
{
    this->limits.maximumBodyBytes = 1'000'000;
    const std::string head = "PUT / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n";
    RequestReader stalled;
    RequestReader small;
    bool isStalledEvicted = false;
    bool isSmallEvicted = false;
    this->restart(stalled, &isStalledEvicted);
    this->restart(small, &isSmallEvicted);
    stalled.read(head + std::string(89'999, 'x'));
    small.read(head + std::string(10'000, 'x'));
    this->clock.time += std::chrono::seconds(1);
    this->restart(this->reader);
    CHECK_TRUE(this->read(head + std::string(90'000, 'x')).outcome == RequestReader::Outcome::Complete);
    CHECK_TRUE(isStalledEvicted);
    CHECK_FALSE(isSmallEvicted);
    // The last byte may arrive before the client is told.
    CHECK_TRUE(stalled.read("x").outcome == RequestReader::Outcome::Refused);
}

TEST(RequestReaderTest, aRequestThatFindsNoMemoryIsRefusedAndASmallOneIsNot)
{
    this->limits.maximumBodyBytes = 1'000'000;
    this->restart(this->reader);
    const auto result = this->read("PUT / HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + std::string(150'000, 'x'));
    CHECK_TRUE(result.outcome == RequestReader::Outcome::Refused && result.refusal == ClientRefusal::MemoryFull);
    this->reader.clear();
    ReceiveMemory::Share other(this->memory, [] {});
    CHECK_TRUE(other.resize(90'000) && !other.complete(90'000));
    RequestReader small;
    this->restart(small);
    CHECK_TRUE(
        small.read("PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc").outcome == RequestReader::Outcome::Complete);
}

TEST(RequestReaderTest, tooManyUnfinishedRequestsEvictTheOneThatIsIdleForLongest)
{
    std::array<RequestReader, 5> readers;
    std::array<bool, 5> isEvicted {};
    for (std::size_t i = 0; i < readers.size(); ++i) {
        this->restart(readers.at(i), &isEvicted.at(i));
        readers.at(i).read("GET / HTTP/1.1\r\n");
        this->clock.time += std::chrono::milliseconds(1);
    }
    CHECK_TRUE(isEvicted[0] && !isEvicted[1] && !isEvicted[4]);
}

// What a request occupied after it had been received was not counted, and complete requests had no bound.
TEST(RequestReaderTest, completeRequestsThatDoNotFitTogetherAreRefused)
{
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 9; ++i)
        head += "A: " + std::string(90, 'b') + "\r\n";
    std::vector<std::shared_ptr<const std::string>> bodies;
    RequestReader::Result result;
    for (int i = 0; i < 20 && result.outcome != RequestReader::Outcome::Refused; ++i) {
        this->restart(this->reader);
        result = this->read(head + "\r\n");
        if (result.outcome == RequestReader::Outcome::Complete)
            bodies.push_back(this->reader.takeBody());
    }
    CHECK_TRUE(result.outcome == RequestReader::Outcome::Refused && result.refusal == ClientRefusal::MemoryFull);
    CHECK_TRUE(!bodies.empty() && this->memory->heldBytes() <= 200'000 + 16'384);
    bodies.clear();
    this->restart(this->reader);
    CHECK_TRUE(this->read(head + "\r\n").outcome == RequestReader::Outcome::Complete);
}

// A head of 520 short fields was refused, although it was far smaller than the limit that callers know.
TEST(RequestReaderTest, aHeadIsRefusedForItsSizeAndNotForTheNumberOfItsFields)
{
    this->limits = {};
    this->limits.maximumHeaderBytes = 16'384;
    const std::string line = "GET / HTTP/1.1\r\n";
    for (const std::string field : { "a:\r\n", "a:b\r\n", "Name: value\r\n" }) {
        for (const std::size_t pieceBytes : { std::size_t(100), std::size_t(4'096) }) {
            this->memory->setSettings({ 100'000'000, 4 });
            this->restart(this->reader);
            const std::string fields = repeat(field, (16'384 - 2) / field.size());
            CHECK_TRUE(this->read(line + fields + "\r\n", pieceBytes).outcome == RequestReader::Outcome::Complete);
            this->checkRefused(line + repeat(field, 2 * 16'384 / field.size()) + "\r\n", ClientRefusal::HeadTooLarge);
        }
    }
}

// The parser refuses heads of more than 80 KB by itself.
TEST(RequestReaderTest, aHeadOfTheLargestSizeThatSettingsMayNameIsRead)
{
    this->limits = {};
    this->limits.maximumHeaderBytes = 1024 * 1024;
    this->memory->setSettings({ 100'000'000, 4 });
    this->restart(this->reader);
    const std::string fields = repeat("Name: " + std::string(1'000, 'x') + "\r\n", 1'000);
    CHECK_TRUE(this->read("GET / HTTP/1.1\r\n" + fields + "\r\n", 4'096).outcome == RequestReader::Outcome::Complete);
}
