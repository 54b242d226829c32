#include "childprocess.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Fleet {

namespace {

constexpr int execFailedExitCode = 127;

int decodeWaitStatus(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

} // namespace

ChildProcess::ChildProcess(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(program.c_str()));
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Listeners of this process must not stay open in the child after they were closed here.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(program.c_str(), argv.data());
    ::_exit(execFailedExitCode);
}

ChildProcess::~ChildProcess() { this->kill(); }

void ChildProcess::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

void ChildProcess::kill()
{
    if (this->pid <= 0)
        return;
    this->signal(SIGKILL);
    this->wait();
}

int ChildProcess::wait()
{
    if (this->pid <= 0)
        return this->exitCode;
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->pid = -1;
    this->exitCode = decodeWaitStatus(status);
    return this->exitCode;
}

double ChildProcess::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/stat");
    std::string text;
    std::getline(file, text);
    // The program name in parentheses may contain spaces and parentheses; the fields are counted after it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fieldsBeforeUserTime = 11;
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::int64_t ChildProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

std::int64_t ChildProcess::peakResidentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoll(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
    return 0;
}

std::size_t ChildProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->pid) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool ChildProcess::isRunning()
{
    if (this->pid <= 0)
        return false;
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == 0)
        return true;
    this->pid = -1;
    this->exitCode = decodeWaitStatus(status);
    return false;
}

} // namespace Fleet
