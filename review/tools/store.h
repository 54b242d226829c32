#pragma once

// A stand-in for the platform's store: a log with topics, of which the last record of each key is kept.

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace review {

class Store {
public:
    /** Opens one more address of the store, for instance one for each gateway. @return its port. */
    std::uint16_t addEntrance()
    {
        const std::uint16_t port = findFreePort();
        const std::size_t number = this->isRefused.size();
        this->isRefused.push_back(std::make_unique<std::atomic<bool>>(false));
        this->servers.push_back(
            std::make_unique<Server>(port, [this, number](Connection& connection, const Message& request) {
                return this->handle(number, connection, request);
            }));
        return port;
    }

    /** Writes a record, as the operator and the workers do; one without a value removes its key. @return false while
     * the store is away. */
    bool put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        if (this->isAway)
            return false;
        this->topics[topic].push_back(std::string(1, static_cast<char>(key.size())) + key + value);
        this->changed.notify_all();
        return true;
    }

    void takeCopy()
    {
        const std::lock_guard lock(this->mutex);
        this->copy = this->topics;
    }

    /** Breaks all calls until comeBack(). */
    void goAway()
    {
        const std::lock_guard lock(this->mutex);
        this->isAway = true;
        this->changed.notify_all();
    }

    /** Answers again. @param fromCopy whether what was written since takeCopy() is gone. */
    void comeBack(bool fromCopy)
    {
        const std::lock_guard lock(this->mutex);
        this->isAway = false;
        if (!fromCopy)
            return;
        this->topics = this->copy;
        ++this->era;
    }

    /** Makes the store turn the callers of one entrance away. */
    void refuse(std::size_t entrance, bool isRefusing) { *this->isRefused[entrance] = isRefusing; }

private:
    using Records = std::vector<std::string>;

    bool handle(std::size_t entrance, Connection& connection, const Message& request)
    {
        std::unique_lock lock(this->mutex);
        if (this->isAway)
            return false;
        if (*this->isRefused[entrance])
            return connection.write(this->reply(503, "{}"));
        const std::string path = request.path();
        const std::string topic = request.parameter("topic");
        std::string answer;
        if (path == "/log-read")
            answer = this->read(lock, entrance, request, topic);
        else if (path == "/log-newest")
            answer = this->reply(200, this->newest(this->topics[topic]));
        else if (path == "/log-append")
            answer = this->append(request, topic);
        else
            answer = this->reply(404, "{}");
        lock.unlock();
        return !answer.empty() && connection.write(answer);
    }

    std::string reply(int status, const std::string& body) const
    {
        return makeReply(
            status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(this->era) + "\r\n", body);
    }

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
            text += static_cast<char>(number >> shift & 0xff);
        return text;
    }

    // An answer without text breaks the connection.
    std::string read(
        std::unique_lock<std::mutex>& lock, std::size_t entrance, const Message& request, const std::string& topic)
    {
        const std::size_t from = std::strtoull(request.parameter("from").c_str(), nullptr, 10);
        const Milliseconds wait(std::atoi(request.parameter("wait_ms").c_str()));
        const std::uint64_t eraAtStart = this->era;
        if (from > this->topics[topic].size())
            return this->reply(410, R"({"first_offset":0})");
        this->changed.wait_for(lock, wait, [&] {
            return this->isAway || this->era != eraAtStart || *this->isRefused[entrance]
                || this->topics[topic].size() > from;
        });
        if (this->isAway || this->era != eraAtStart)
            return {};
        if (*this->isRefused[entrance])
            return this->reply(503, "{}");
        const Records& records = this->topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < records.size() && body.size() < 1'000'000; ++i)
            body += bigEndian(records[i].size(), 4) + records[i];
        return this->reply(200, body);
    }

    static std::string encodeBase64(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k)
                group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
        }
        return text;
    }

    static std::string newest(const Records& records)
    {
        std::map<std::string, nlohmann::json> items;
        for (std::size_t i = 0; i < records.size(); ++i) {
            const auto keySize = static_cast<unsigned char>(records[i][0]);
            const std::string key = records[i].substr(1, keySize);
            const std::string value = records[i].substr(1U + keySize);
            if (value.empty())
                items.erase(key);
            else
                items[key] = { { "key", key }, { "value", encodeBase64(value) }, { "offset", i } };
        }
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [key, item] : items)
            list.push_back(item);
        return nlohmann::json { { "items", list }, { "has_more", false }, { "end_offset", records.size() } }.dump();
    }

    std::string append(const Message& request, const std::string& topic)
    {
        if (topic == "keyed.op" || topic == "keyed.servers")
            return this->reply(403, "{}");
        Records& records = this->topics[topic];
        const std::size_t first = records.size();
        std::string_view rest = request.body;
        while (rest.size() >= 4) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            records.emplace_back(rest.substr(4, length));
            rest.remove_prefix(std::min(rest.size(), 4 + length));
        }
        this->changed.notify_all();
        return this->reply(200, nlohmann::json { { "offset", first }, { "end_offset", records.size() } }.dump());
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Records> topics;
    std::map<std::string, Records> copy;
    std::uint64_t era = 1;
    bool isAway = false;
    std::vector<std::unique_ptr<std::atomic<bool>>> isRefused;
    std::vector<std::unique_ptr<Server>> servers;
};

} // namespace review
