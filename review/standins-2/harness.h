// What the scripts of this review share: a blocking HTTP/1.1 connection, and stand-ins for the platform's store, for
// upstreams and for the process of a gateway. Everything listens on 127.0.0.1.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point startOfRun = Clock::now();

inline double seconds() { return std::chrono::duration<double>(Clock::now() - startOfRun).count(); }

// Whether the script runs with the disruption.
inline bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Writes record.txt, one line for each thing that was sent, answered or run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
        this->file << time << text << '\n' << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline int listenOn(std::uint16_t& port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(socket, 4096) != 0)
        throw std::runtime_error("cannot listen");
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

inline std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(listenOn(port));
    return port;
}

inline int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return socket;
}

struct Ended : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers; // names in lower case; the first of several
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    std::string method() const { return this->firstLine.substr(0, this->firstLine.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = this->firstLine.find(' ') + 1;
        return this->firstLine.substr(begin, this->firstLine.find(' ', begin) - begin);
    }
    int status() const { return this->firstLine.size() < 12 ? 0 : std::atoi(this->firstLine.substr(9, 3).c_str()); }
};

// A connection that reads and writes messages; blocking, with an optional timeout. Throws Ended.
class Connection {
public:
    explicit Connection(int socket)
        : socket(socket)
    {
    }
    Connection(const Connection&) = delete;
    ~Connection() { this->close(); }

    void close()
    {
        if (this->socket >= 0)
            ::close(std::exchange(this->socket, -1));
    }

    void setTimeout(milliseconds timeout) const
    {
        timeval value { timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    }

    void send(const std::string& bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                throw Ended("not sent");
            sent += static_cast<std::size_t>(count);
        }
    }

    Message read(bool isAnswer)
    {
        Message message;
        do
            message.firstLine = this->line();
        while (message.firstLine.empty());
        for (std::string line = this->line(); !line.empty(); line = this->line()) {
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            std::string value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace(std::move(name), std::move(value));
        }
        if (message.header("transfer-encoding").find("chunked") != std::string::npos) {
            for (;;) {
                const std::size_t size = std::strtoul(this->line().c_str(), nullptr, 16);
                if (size == 0)
                    break;
                message.body += this->bytes(size);
                this->line();
            }
            while (!this->line().empty()) { }
        } else if (const std::string length = message.header("content-length"); !length.empty()) {
            message.body = this->bytes(std::strtoul(length.c_str(), nullptr, 10));
        } else if (isAnswer && message.status() >= 200) {
            try {
                for (;;)
                    this->more();
            } catch (const Ended&) {
                message.body = std::exchange(this->buffer, {});
            }
        }
        return message;
    }

    // Reads and drops what arrives until the given time or the end of the connection.
    void readUntil(Clock::time_point end)
    {
        while (Clock::now() < end) {
            this->more();
            this->buffer.clear();
        }
    }

private:
    void more()
    {
        char data[65536];
        const ssize_t count = ::recv(this->socket, data, sizeof(data), 0);
        if (count == 0)
            throw Ended("closed");
        if (count < 0)
            throw Ended(errno == EAGAIN ? "timeout" : "reset");
        this->buffer.append(data, static_cast<std::size_t>(count));
    }

    std::string line()
    {
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) == std::string::npos)
            this->more();
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 1);
        if (line.ends_with('\r'))
            line.pop_back();
        return line;
    }

    std::string bytes(std::size_t count)
    {
        while (this->buffer.size() < count)
            this->more();
        std::string taken = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return taken;
    }

    int socket;
    std::string buffer;
};

// Serves each connection on a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    explicit Server(Handler handler, std::uint16_t port = 0)
        : handler(std::move(handler))
        , number(port)
    {
        this->socket = listenOn(this->number);
        std::thread([this] { this->run(); }).detach();
    }

    std::uint16_t port() const { return this->number; }

private:
    void run()
    {
        for (;;) {
            const int accepted = ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int yes = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            std::thread([this, accepted] {
                Connection connection(accepted);
                try {
                    this->handler(connection);
                } catch (const Ended&) {
                }
            }).detach();
        }
    }

    Handler handler;
    std::uint16_t number;
    int socket = -1;
};

inline std::string reply(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string parameter(const std::string& target, const std::string& name)
{
    const std::size_t found = target.find(name + "=");
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

// The platform's store: keyed topics with one partition.
class Store {
public:
    Store()
        : server([this](Connection& connection) { this->serve(connection); })
    {
    }

    std::uint16_t port() const { return this->server.port(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].push_back(static_cast<char>(key.size()) + key + value);
        this->changed.notify_all();
    }

private:
    void serve(Connection& connection)
    {
        for (;;) {
            const Message call = connection.read(false);
            connection.send(this->answer(call));
        }
    }

    std::string answer(const Message& call)
    {
        const std::string target = call.target();
        std::unique_lock lock(this->mutex);
        std::vector<std::string>& records = this->topics[parameter(target, "topic")];
        if (target.starts_with("/log-newest")) {
            std::map<std::string, std::pair<std::size_t, std::string>> newest;
            for (std::size_t i = 0; i < records.size(); ++i) {
                const auto size = static_cast<unsigned char>(records[i][0]);
                newest[records[i].substr(1, size)] = { i, records[i].substr(1 + size) };
            }
            Json items = Json::array();
            for (const auto& [key, entry] : newest) {
                if (!entry.second.empty())
                    items.push_back({ { "key", key }, { "value", base64(entry.second) }, { "offset", entry.first } });
            }
            const Json body = { { "items", items }, { "has_more", false }, { "end_offset", records.size() } };
            return reply(200, "Content-Type: application/json\r\n", body.dump());
        }
        if (target.starts_with("/log-read")) {
            const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
            const milliseconds wait(std::atoi(parameter(target, "wait_ms").c_str()));
            this->changed.wait_for(lock, wait, [&] { return records.size() > from; });
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < records.size(); ++i)
                body += bigEndian(records[i].size(), 4) + records[i];
            return reply(200, "Content-Type: application/octet-stream\r\n", body);
        }
        if (target.starts_with("/log-append")) {
            const std::size_t offset = records.size();
            std::size_t at = 0;
            while (at + 4 <= call.body.size()) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(call.body[at++]);
                records.push_back(call.body.substr(at, size));
                at += size;
            }
            this->changed.notify_all();
            const Json body = { { "offset", offset }, { "end_offset", records.size() } };
            return reply(200, "Content-Type: application/json\r\n", body.dump());
        }
        return reply(404, "", "");
    }

    static std::string bigEndian(std::size_t number, int count)
    {
        std::string bytes;
        for (int shift = 8 * (count - 1); shift >= 0; shift -= 8)
            bytes += static_cast<char>(number >> shift & 255);
        return bytes;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<std::string>> topics;
    Server server;
};

// A process of the system, as the deploy file starts it.
class Gateway {
public:
    // output: where standard output goes; -1 for a file in the folder. descriptors: how many the process may have open;
    // 0 for as many as this program.
    Gateway(const std::string& name, std::uint16_t storePort, const std::string& folder, const Json& limits,
        int output = -1, rlim_t descriptors = 0)
        : frontPort(freePort())
        , readinessPort(freePort())
        , controlPort(freePort())
        , settingsPath(folder + "/" + name + ".json")
        , logPath(folder + "/" + name + ".log")
        , output(output)
        , descriptors(descriptors)
    {
        const auto endpoint = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const Json bounds = { { "seed_lag_s", 3 }, { "reuse_after_s", 2 }, { "stability_window_ms", 4000 },
            { "ack_ms", 6000 }, { "catch_up_s", 6 }, { "drain_ms", 3000 }, { "grace_s", 8 }, { "loss_slack_ms", 200 },
            { "config_apply_ms", 3000 }, { "downgrade_slack_ms", 250 }, { "max_skew_ms", 6000 },
            { "revoke_strict", true }, { "revoke_ms", 5000 }, { "retry_budget_ratio", 0.2 }, { "budget_window_s", 10 },
            { "retry_budget_slack", 136 }, { "cold_overrun", 1.5 }, { "cold_slack", 5 }, { "evacuate_ms", 5000 },
            { "recover_s", 15 }, { "pass_ms", 200 }, { "retry_after_s", 0 }, { "stall_ms", 1500 },
            { "hold_max_ms", 20000 }, { "release_ms", 4000 }, { "idle_max_ms", 9000 } };
        const Json settings = { { "logLevel", "debug" }, { "logLinesPerSecond", 500 }, { "metricsPort", freePort() },
            { "node",
                { { "node_name", name }, { "role", "gateway" }, { "machine_class", "edge" }, { "ip", "127.0.0.1" },
                    { "zone", "hcmc-a" }, { "region", "hcmc" },
                    { "zones", { { "hcmc-a", "hcmc" }, { "hcmc-b", "hcmc" }, { "hcmc-c", "hcmc" } } },
                    { "listen",
                        { { "front", endpoint(this->frontPort) }, { "readiness", endpoint(this->readinessPort) },
                            { "control", endpoint(this->controlPort) } } },
                    { "seeds", { endpoint(this->controlPort) } }, { "bootstrap", true }, { "limits", limits },
                    { "bounds", bounds },
                    { "platform", { { "address", endpoint(storePort) }, { "form", "log" } } } } } };
        std::ofstream(this->settingsPath) << settings.dump(1);
        this->start();
    }

    ~Gateway() { this->kill(); }

    void start()
    {
        this->process = ::fork();
        if (this->process != 0)
            return;
        // Ends with this program, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (this->descriptors > 0) {
            const rlimit limit { this->descriptors, this->descriptors };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        const int log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(this->output >= 0 ? this->output : log, 1);
        ::dup2(log, 2);
        ::execl("target/bin/bluebell-gateway", "bluebell-gateway", "--settings", this->settingsPath.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(this->process, number); }

    // Returns whether the process has not ended.
    bool isRunning()
    {
        if (this->process <= 0)
            return false;
        int status = 0;
        if (::waitpid(this->process, &status, WNOHANG) != this->process)
            return true;
        this->endStatus = status;
        this->process = -1;
        return false;
    }

    void kill()
    {
        if (this->process <= 0)
            return;
        this->signal(SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }

    bool waitUntilReady()
    {
        for (int i = 0; i < 200; ++i) {
            const int socket = connectTo(this->readinessPort);
            if (socket >= 0) {
                Connection connection(socket);
                try {
                    connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                    if (connection.read(true).status() == 200)
                        return true;
                } catch (const Ended&) {
                }
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    std::size_t openDescriptors() const
    {
        std::error_code error;
        std::size_t count = 0;
        for (const auto& entry :
            std::filesystem::directory_iterator("/proc/" + std::to_string(this->process) + "/fd", error))
            count += entry.path().empty() ? 0 : 1;
        return count;
    }

    // Returns the resident memory in bytes; 0 if the process has ended.
    std::int64_t residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
        std::int64_t total = 0;
        std::int64_t resident = 0;
        file >> total >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }

    const std::uint16_t frontPort;
    const std::uint16_t readinessPort;
    const std::uint16_t controlPort;
    std::optional<int> endStatus;

private:
    std::string settingsPath;
    std::string logPath;
    int output;
    rlim_t descriptors;
    pid_t process = -1;
};

// A temporary folder for settings and logs.
inline std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "bluebell-review-XXXXXX").string();
    return ::mkdtemp(pattern.data());
}

inline Json engineProfile()
{
    return { { "slots", 16 }, { "kv_capacity", 405000 }, { "kv_token_bytes", 163840 }, { "link_mbps", 400000.0 },
        { "stride", 34 }, { "step_ms", 1.31 }, { "per_seq_ms", 0.000917 }, { "context_per_k", 0.00213 },
        { "read_per_s", 154000.0 }, { "pairs_per_m", 0.162 }, { "chunk", 2048 }, { "report_lag_ms", 200.0 },
        { "hop_ms", 0.1 } };
}

inline Json makeEntry(const std::string& service, std::uint16_t port, const std::string& zone, int slots, int sequence)
{
    return { { "service", service }, { "address", "127.0.0.1:" + std::to_string(port) }, { "zone", zone },
        { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "stage", "combined" },
        { "models", Json::array() }, { "born", 1767000000000 }, { "sequence", sequence } };
}

} // namespace Review
