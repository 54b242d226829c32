#pragma once

#include "logclient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Platform {

struct LogFollowerHandlers {
    /** Called with each page. Its records are in order and start at the requested offset, unless that has expired. */
    std::function<void(const LogPage&)> onPage;
    /** Called when reads start to fail and when they succeed again. */
    std::function<void(bool available)> onAvailability;
};

/** Reads a stream of the log from an offset on, and waits for new records at its end. */
class LogFollower : public std::enable_shared_from_this<LogFollower> {
public:
    /**
     * @param context runs the handlers; only one thread may run it at a time.
     * @param client must outlive the follower.
     */
    LogFollower(asio::io_context& context, LogClient& client, std::string stream, LogFollowerHandlers handlers);

    /** Starts to read at an offset. */
    void start(std::uint64_t from);

    /** Stops reading; no handler is called afterwards. */
    void stop();

    /** Continues at an offset, since the records before it came from another source; ignores offsets already passed. */
    void skipTo(std::uint64_t from);

private:
    void readNextPage();
    void onRead(const Foundation::Result<LogPage>& page);
    void setAvailable(bool isAvailable);

    LogClient& client;
    std::string stream;
    LogFollowerHandlers handlers;
    asio::steady_timer retryTimer;
    std::uint64_t nextOffset = 0;
    bool isLogAvailable = true;
    bool hasRead = false;
    bool isStopped = false;
};

} // namespace Platform
