#include <foundation/logging.h>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

namespace {

using namespace Foundation;

constexpr int pipeBytes = 64 * 1024;
constexpr int pageBytes = 4'096;

} // namespace

/** A log whose standard output is a pipe that nobody reads. */
TEST_GROUP(LoggingTest)
{
    std::array<int, 2> ends { -1, -1 };
    int originalOutput = -1;

    void setup() override
    {
        std::fflush(stdout);
        CHECK_EQUAL(0, ::pipe(this->ends.data()));
        ::fcntl(this->ends[1], F_SETPIPE_SZ, pipeBytes);
        this->originalOutput = ::dup(STDOUT_FILENO);
        ::dup2(this->ends[1], STDOUT_FILENO);
        // Each start adds an output.
        static const bool isStarted [[maybe_unused]] = [] {
            startLogging("tst_foundation", "test", {});
            return true;
        }();
        setLogLimits({ Severity::Info, 1'000'000 });
    }

    void teardown() override
    {
        setLogLimits({ Severity::Warning, 0 });
        std::fflush(stdout);
        ::dup2(this->originalOutput, STDOUT_FILENO);
        for (const int descriptor : { this->ends[0], this->ends[1], this->originalOutput })
            ::close(descriptor);
    }

    std::string readAll()
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, pageBytes> part;
        for (ssize_t bytes = 0; (bytes = ::read(this->ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(bytes));
        return text;
    }

    /** Returns whether a function ends while the pipe is not read. */
    template <typename Function> bool endsWithoutReader(Function function)
    {
        std::atomic<bool> hasEnded { false };
        std::thread worker([&] {
            function();
            hasEnded = true;
        });
        for (int i = 0; i < 300 && !hasEnded; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        const bool result = hasEnded;
        while (!hasEnded) {
            this->readAll();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        worker.join();
        return result;
    }
};

// A process stood still in the write of a line that was longer than the room that poll() tells of.
TEST(LoggingTest, longIdsDoNotBlockAProcessWhoseLogIsNotRead)
{
    const bool hasEnded = this->endsWithoutReader([] {
        for (int i = 0; i < 100; ++i)
            logEvent(Event::SettingsReloaded, std::string(11'500, 'x'), std::string(11'500, '\x01'));
    });
    const std::string text = this->readAll();
    CHECK_TRUE(hasEnded);
    STRCMP_CONTAINS("x... (11500 bytes)", text.c_str());
    CHECK_TRUE(text.size() <= pipeBytes);
}

TEST(LoggingTest, theLineThatCountsDroppedOnesDoesNotTakeTheRoomOfTheNextOne)
{
    const bool hasEnded = this->endsWithoutReader([this] {
        for (int i = 0; i < 1'000; ++i)
            logEvent(Event::SettingsReloaded, "", std::string(1'900, 'x'));
        // Leaves room for one line.
        std::array<char, pageBytes> page;
        for (int i = 0; i < 20; ++i) {
            CHECK_TRUE(::read(this->ends[0], page.data(), page.size()) > 0);
            logEvent(Event::SettingsReloaded, "", std::string(2'000, 'x'));
        }
    });
    CHECK_TRUE(hasEnded);
}

TEST(LoggingTest, shortLinesAreWrittenWhole)
{
    logEvent(Event::SettingsReloaded, "id", "detail");
    STRCMP_CONTAINS(R"("request":"id","detail":"detail"})", this->readAll().c_str());
}
