#pragma once

// A small HTTP/1.1 server and client over blocking sockets, for the stand-ins of the review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline std::string lowerCase(std::string text)
{
    for (char& c : text)
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    return text;
}

struct Message {
    /** The request line or the status line. */
    std::string startLine;
    /** By names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }

    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i) {
            begin = this->startLine.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return this->startLine.substr(begin, this->startLine.find(' ', begin) - begin);
    }

    std::string method() const { return this->word(0); }
    std::string target() const { return this->word(1); }
    std::string path() const { return this->target().substr(0, this->target().find('?')); }
    int status() const { return std::atoi(this->word(1).c_str()); }

    std::string parameter(const std::string& name) const
    {
        const std::string text = this->target();
        std::size_t at = text.find('?');
        while (at != std::string::npos) {
            const std::size_t end = text.find('&', at + 1);
            const std::string item = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (item.rfind(name + "=", 0) == 0)
                return item.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
};

/** A connected socket that closes itself. */
class Connection {
public:
    explicit Connection(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Connection(Connection&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
        , buffer(std::move(other.buffer))
    {
    }
    ~Connection() { this->close(); }

    bool isOpen() const { return this->descriptor >= 0; }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    /** Closes the connection so that its peer is reset. */
    void reset()
    {
        const linger atOnce { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        this->close();
    }

    bool write(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t sent = ::send(this->descriptor, data.data(), data.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Reads more bytes into the buffer. Returns false at the end of the connection or at the deadline. */
    bool readMore(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd waited { this->descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /** Returns whether the peer has closed the connection. */
    bool isClosedByPeer() const
    {
        pollfd waited { this->descriptor, POLLIN, 0 };
        char byte = 0;
        return ::poll(&waited, 1, 0) > 0 && ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    /** Reads one message; none at the end of the connection or at the deadline, or if it is incomplete. */
    std::optional<Message> readMessage(Clock::time_point deadline)
    {
        Message message;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(deadline))
                return std::nullopt;
        }
        const std::string head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.startLine = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(" \t", colon + 1);
                message.headers[lowerCase(line.substr(0, colon))]
                    = value == std::string::npos ? std::string() : line.substr(value);
            }
            at = next;
        }
        const bool isWhole = message.header("transfer-encoding").empty() ? this->readPlainBody(message, deadline)
                                                                         : this->readChunks(message, deadline);
        return isWhole ? std::optional(std::move(message)) : std::nullopt;
    }

    /** The number of requests that were read from it, on the side of a server. */
    int requestCount = 0;

private:
    bool readPlainBody(Message& message, Clock::time_point deadline)
    {
        const std::size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
        while (this->buffer.size() < length) {
            if (!this->readMore(deadline))
                return false;
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    bool readChunks(Message& message, Clock::time_point deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->readMore(deadline))
                    return false;
            }
            const std::size_t size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->readMore(deadline))
                    return false;
            }
            message.body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int descriptor;
    std::string buffer;
};

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopbackAddress(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

/** Returns a free port below the range from which the system takes those of outgoing connections. */
inline std::uint16_t findFreePort()
{
    static std::mt19937 random { std::random_device {}() };
    static std::map<std::uint16_t, bool> used;
    for (int i = 0; i < 1'000; ++i) {
        const auto port = static_cast<std::uint16_t>(12'000 + random() % 18'000);
        const int descriptor = used[port] ? -1 : listenOn(port);
        if (descriptor < 0)
            continue;
        ::close(descriptor);
        used[port] = true;
        return port;
    }
    throw std::runtime_error("no free port");
}

inline Connection connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return Connection();
    }
    return Connection(descriptor);
}

/** Serves each connection on a thread of its own. Runs until the process ends. */
class Server {
public:
    /** Returns false to close the connection. */
    using Handler = std::function<bool(Connection&, const Message&)>;

    Server(std::uint16_t port, Handler handler)
        : port(port)
        , handler(std::move(handler))
    {
        this->listen();
    }

    void listen()
    {
        const int descriptor = listenOn(this->port);
        if (descriptor < 0)
            throw std::runtime_error("cannot listen on port " + std::to_string(this->port));
        const std::lock_guard lock(this->mutex);
        this->listener = descriptor;
        std::thread([this, descriptor] { this->acceptAll(descriptor); }).detach();
    }

    /** Ends all connections and refuses new ones until listen(), as when the process of the server ends. */
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        this->listener = -1;
        for (const int descriptor : this->open)
            ::shutdown(descriptor, SHUT_RDWR);
    }

private:
    void acceptAll(int listening)
    {
        while (true) {
            const int descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock(this->mutex);
            if (this->listener != listening) {
                if (descriptor >= 0)
                    ::close(descriptor);
                return;
            }
            if (descriptor < 0)
                continue;
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            this->open.insert(descriptor);
            std::thread([this, descriptor] { this->serve(descriptor); }).detach();
        }
    }

    void serve(int descriptor)
    {
        Connection connection(descriptor);
        while (const auto request = connection.readMessage(Clock::now() + std::chrono::minutes(5))) {
            ++connection.requestCount;
            if (!this->handler(connection, *request) || !connection.isOpen())
                break;
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(descriptor);
        connection.close();
    }

    const std::uint16_t port;
    Handler handler;
    std::mutex mutex;
    int listener = -1;
    std::set<int> open;
};

inline std::string makeReply(int status, const std::string& extraHeaders, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
