#include <application/commandline.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace std::chrono_literals;

TEST_GROUP(HangupTest)
{
    std::string folder = (std::filesystem::temp_directory_path() / "bluebell-hangup-XXXXXX").string();
    std::string path;

    void setup() override
    {
        CHECK_TRUE(mkdtemp(this->folder.data()) != nullptr);
        this->path = this->folder + "/settings";
        LONGS_EQUAL(0, mkfifo(this->path.c_str(), S_IRUSR | S_IWUSR));
    }

    void teardown() override { std::filesystem::remove_all(this->folder); }

    // Returns a descriptor once the process has opened the file for reading; -1 if it does not.
    int openWhenRead() const
    {
        for (int i = 0; i < 1'000; ++i) {
            const int file = open(this->path.c_str(), O_WRONLY | O_NONBLOCK);
            if (file >= 0)
                return file;
            std::this_thread::sleep_for(10ms);
        }
        return -1;
    }
};

// Guards against a process that is ended by a SIGHUP while it reads its settings, before it has a handler.
TEST(HangupTest, aHangupWhileTheSettingsAreReadAtTheStartDoesNotEndTheProcess)
{
    const pid_t child = fork();
    if (child == 0) {
        execl(BLUEBELL_GATEWAY, BLUEBELL_GATEWAY, "--settings", this->path.c_str(), nullptr);
        _exit(EXIT_FAILURE);
    }
    const int file = this->openWhenRead();
    CHECK_TRUE(file >= 0);
    // A write to a process that has ended fails instead of ending the test.
    std::signal(SIGPIPE, SIG_IGN);
    kill(child, SIGHUP);
    LONGS_EQUAL(1, write(file, "?", 1));
    close(file);
    int status = 0;
    LONGS_EQUAL(child, waitpid(child, &status, 0));
    CHECK_TRUE(WIFEXITED(status));
    LONGS_EQUAL(static_cast<int>(Application::ExitCode::SettingsInvalid), WEXITSTATUS(status));
}
