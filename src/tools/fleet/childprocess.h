#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Fleet {

/** A program that an experiment or a test runs on this machine. */
class ChildProcess {
public:
    /**
     * Starts a program. The kernel kills it when this process dies.
     * @param logFile receives its standard output and standard error; an existing file is appended to.
     */
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /** Sends a signal; does nothing after wait() or kill(). */
    void signal(int number) const;

    /** Kills the process and waits until it has exited. */
    void kill();

    /** Waits until the process has exited. Returns its exit code, or the negated number of the fatal signal. */
    int wait();

    /** Returns the user and system time that the process has used. */
    double processorSeconds() const;

    /** Returns the resident set size of the process. */
    std::int64_t residentBytes() const;

    /** Returns the largest resident set size that the process has had. */
    std::int64_t peakResidentBytes() const;

    /** Returns the number of descriptors that the process has open. */
    std::size_t openDescriptors() const;

    bool isRunning();

private:
    pid_t pid = -1;
    int exitCode = 0;
};

} // namespace Fleet
