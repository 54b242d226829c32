// Blocking loopback sockets and just enough HTTP/1.1 for the review cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** A connected socket that reads through a buffer. */
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { ::close(this->descriptor); }

    static int connectTo(std::uint16_t port)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (descriptor < 0
            || ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(descriptor);
            throw std::runtime_error("cannot connect to port " + std::to_string(port));
        }
        return descriptor;
    }

    bool send(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t sent = ::send(this->descriptor, data.data(), data.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Reads what has arrived into the buffer; false at the end of the connection or at the deadline. */
    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd waiting { this->descriptor, POLLIN, 0 };
        if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, left))) != 1)
            return false;
        char data[16384];
        const ssize_t count = ::recv(this->descriptor, data, sizeof(data), 0);
        if (count <= 0) {
            this->isEnded = true;
            return false;
        }
        this->buffer.append(data, static_cast<std::size_t>(count));
        return true;
    }

    /** Reads up to and including the given text. */
    std::optional<std::string> readUntil(std::string_view end, Clock::time_point deadline)
    {
        std::size_t found = 0;
        while ((found = this->buffer.find(end)) == std::string::npos) {
            if (!this->fill(deadline))
                return std::nullopt;
        }
        return this->take(found + end.size());
    }

    std::optional<std::string> readBytes(std::size_t count, Clock::time_point deadline)
    {
        while (this->buffer.size() < count) {
            if (!this->fill(deadline))
                return std::nullopt;
        }
        return this->take(count);
    }

    std::string take(std::size_t count)
    {
        std::string taken = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return taken;
    }

    std::string buffer;
    bool isEnded = false;

private:
    int descriptor;
};

/** A listener on a loopback port; 0 picks a free one. */
class Listener {
public:
    explicit Listener(std::uint16_t port)
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = loopback(port);
        if (::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(this->descriptor, 512) != 0)
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener() { ::close(this->descriptor); }

    int accept() const { return ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC); }

    std::uint16_t port() const
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

private:
    int descriptor;
};

/** The first line and the fields of a message, with the names in lower case. */
struct Head {
    std::string firstLine;
    std::map<std::string, std::string> fields;

    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
    std::size_t length() const { return std::strtoull(this->field("content-length").c_str(), nullptr, 10); }
};

inline std::string trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

inline Head parseHead(std::string_view text)
{
    Head head;
    head.firstLine = trimmed(text.substr(0, text.find("\r\n")));
    std::size_t at = text.find("\r\n");
    while (at != std::string_view::npos && at + 2 < text.size()) {
        const std::size_t end = text.find("\r\n", at + 2);
        const std::string_view line = text.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            std::string name(line.substr(0, colon));
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            head.fields[name] = trimmed(line.substr(colon + 1));
        }
        at = end;
    }
    return head;
}

} // namespace Review
