// A stand-in for the platform's store, as far as a gateway calls it, and a sound worker.
#pragma once

#include "sockets.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Review {

/** Accepts connections for ever and serves each on a thread of its own. */
inline void serve(std::uint16_t port, std::function<void(Connection&)> handler)
{
    const auto listener = std::make_shared<Listener>(port);
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int descriptor = listener->accept();
            if (descriptor < 0)
                continue;
            std::thread([descriptor, handler] {
                Connection connection(descriptor);
                handler(connection);
            }).detach();
        }
    }).detach();
}

struct Request {
    std::string method;
    std::string target;
    Head head;
    std::string body;
};

/** Reads a request with a length or without a body. */
inline std::optional<Request> readRequest(Connection& connection)
{
    const auto deadline = Clock::now() + std::chrono::hours(1);
    const auto text = connection.readUntil("\r\n\r\n", deadline);
    if (!text)
        return std::nullopt;
    Request request;
    request.head = parseHead(*text);
    const std::string& line = request.head.firstLine;
    const std::size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    if (const std::size_t length = request.head.length()) {
        auto body = connection.readBytes(length, deadline);
        if (!body)
            return std::nullopt;
        request.body = std::move(*body);
    }
    return request;
}

inline std::string answer(std::string_view status, std::string_view fields, std::string_view body)
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + std::string(fields)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/** The store: keyed topics with one partition. */
class Store {
public:
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].push_back(static_cast<char>(key.size()) + key + value);
        this->changed.notify_all();
    }

    void handle(Connection& connection)
    {
        while (const auto request = readRequest(connection)) {
            const std::string path = request->target.substr(0, request->target.find('?'));
            std::string reply;
            if (path == "/log-newest")
                reply = this->listing(query(request->target, "topic"));
            else if (path == "/log-read")
                reply = this->range(*request);
            else if (path == "/log-append")
                reply = this->append(*request);
            else
                reply = answer("404 Not Found", "", "");
            if (!connection.send(reply))
                return;
        }
    }

private:
    static std::string query(const std::string& target, const std::string& name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>(number >> shift & 0xff);
        return text;
    }

    static std::string base64(std::string_view bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    std::string listing(const std::string& topic)
    {
        const std::lock_guard lock(this->mutex);
        const std::vector<std::string>& records = this->topics[topic];
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
        for (std::size_t i = 0; i < records.size(); ++i) {
            const std::size_t keySize = static_cast<unsigned char>(records[i][0]);
            const std::string key = records[i].substr(1, keySize);
            const std::string value = records[i].substr(1 + keySize);
            if (value.empty())
                newest.erase(key);
            else
                newest[key] = { value, i };
        }
        std::string items;
        for (const auto& [key, record] : newest)
            items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                + base64(record.first) + R"(","offset":)" + std::to_string(record.second) + "}";
        return answer("200 OK", "Content-Type: application/json\r\n",
            R"({"items":[)" + items + R"(],"has_more":false,"end_offset":)" + std::to_string(records.size()) + "}");
    }

    std::string range(const Request& request)
    {
        const std::string topic = query(request.target, "topic");
        const std::size_t from = std::strtoull(query(request.target, "from").c_str(), nullptr, 10);
        const milliseconds wait(std::strtoll(query(request.target, "wait_ms").c_str(), nullptr, 10));
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, wait, [&] { return this->topics[topic].size() > from; });
        const std::vector<std::string>& records = this->topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size() && i < from + 1024; ++i)
            body += bigEndian(records[i].size(), 4) + records[i];
        return answer("200 OK", "Content-Type: application/octet-stream\r\n", body);
    }

    std::string append(const Request& request)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string>& records = this->topics[query(request.target, "topic")];
        const std::size_t offset = records.size();
        std::string_view rest = request.body;
        while (rest.size() >= 4) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            records.emplace_back(rest.substr(4, size));
            rest.remove_prefix(4 + size);
        }
        this->changed.notify_all();
        return answer("200 OK", "Content-Type: application/json\r\n",
            R"({"offset":)" + std::to_string(offset) + R"(,"end_offset":)" + std::to_string(records.size()) + "}");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<std::string>> topics;
};

/** Lines of what was sent, run and answered, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(path, std::ios::app)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        const auto now = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        this->file << now.count() << ' ' << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

} // namespace Review
