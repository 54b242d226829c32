#include "runlog.h"

#include <foundation/clock.h>

#include <fcntl.h>
#include <unistd.h>

RunLog::RunLog(const std::string& path, std::string upstream)
    : upstream(std::move(upstream))
    , descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
{
}

RunLog::~RunLog() { ::close(this->descriptor); }

void RunLog::write(const std::string& what, std::string_view request) const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::string line = what + " " + this->upstream + " " + std::string(request) + " "
        + std::to_string(Foundation::toMilliseconds(now)) + "\n";
    if (::write(this->descriptor, line.data(), line.size()) < 0)
        ::_exit(1);
}
