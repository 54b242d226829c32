#include <application/processend.h>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace std::chrono_literals;

TEST_GROUP(ProcessEndTest) {};

TEST(ProcessEndTest, aProcessEndsThoughAnExitHandlerDoesNotReturn)
{
    constexpr int exitCode = 7;
    const pid_t child = fork();
    if (child == 0) {
        std::atexit([] { std::this_thread::sleep_for(1h); });
        Application::endProcess(exitCode);
    }
    int status = 0;
    pid_t ended = 0;
    for (int i = 0; i < 100 && ended == 0; ++i) {
        ended = waitpid(child, &status, WNOHANG);
        if (ended == 0)
            std::this_thread::sleep_for(50ms);
    }
    if (ended == 0) {
        kill(child, SIGKILL);
        waitpid(child, &status, 0);
    }
    LONGS_EQUAL(child, ended);
    CHECK_TRUE(WIFEXITED(status));
    LONGS_EQUAL(exitCode, WEXITSTATUS(status));
}
