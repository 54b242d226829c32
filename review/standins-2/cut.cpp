// A gateway is cut off from the store for 12 s while the operator writes versions of a large document, one of which
// takes a key away. After the cut the store returns the backlog in parts. No request with the key may run then.

#include "harness.h"

using namespace Review;

namespace {

constexpr int routeCount = 1'400;
constexpr milliseconds cutTime { 12'000 };
constexpr milliseconds changeInterval { 1'000 };
constexpr milliseconds revokeLimit { 5'000 };
// What a read returns at most (max_size), as whole records.
constexpr std::size_t maximumReadBytes = 1'024 * 1'024;
// The link of the machine carries 20 Mbit/s.
constexpr std::size_t linkBytesPerMs = 20'000 / 8;
constexpr milliseconds requestInterval { 5 };

// A store that can be cut off from its callers, and sends no faster than the link of the machine.
class CutStore {
public:
    CutStore()
        : server([this](Connection& connection) { this->serve(connection); })
    {
    }

    std::uint16_t port() const { return this->server.port(); }
    void setCut(bool newValue) { this->isCut = newValue; }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].push_back(static_cast<char>(key.size()) + key + value);
        this->changed.notify_all();
    }

    std::function<void(const std::string&)> onRead;

private:
    void serve(Connection& connection)
    {
        for (;;) {
            const Message call = connection.read(false);
            const std::string answer = this->answer(call);
            // What was asked or answered in the cut does not arrive.
            if (this->isCut || answer.empty()) {
                while (this->isCut)
                    std::this_thread::sleep_for(milliseconds(10));
                return;
            }
            constexpr std::size_t part = 16 * 1024;
            for (std::size_t at = 0; at < answer.size(); at += part) {
                if (answer.size() > 2 * part)
                    std::this_thread::sleep_for(milliseconds(part / linkBytesPerMs));
                connection.send(answer.substr(at, part));
            }
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
            const auto end = Clock::now() + milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
            this->changed.wait_until(lock, end, [&] { return records.size() > from; });
            if (this->isCut)
                return {};
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            std::size_t next = from;
            for (; next < records.size() && (next == from || body.size() + records[next].size() <= maximumReadBytes);
                 ++next)
                body += bigEndian(records[next].size(), 4) + records[next];
            if (next > from + 1 && this->onRead)
                this->onRead("store: a read of " + parameter(target, "topic") + " from " + std::to_string(from)
                    + " returns records up to " + std::to_string(next) + ", the end is "
                    + std::to_string(records.size()));
            return reply(200, "Content-Type: application/octet-stream\r\n", body);
        }
        if (target.starts_with("/log-append")) {
            const std::size_t offset = records.size();
            for (std::size_t at = 0; at + 4 <= call.body.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(call.body[at++]);
                records.push_back(call.body.substr(at, size));
                at += size;
            }
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
    std::atomic<bool> isCut { false };
    Server server;
};

std::string makeDocument(int version, bool hasLeavingKey)
{
    Json routes = Json::array();
    for (int i = 0; i < routeCount; ++i) {
        routes.push_back({ { "name", "r-" + std::to_string(i) }, { "host", "h" },
            { "path_prefix", "/r" + std::to_string(i) + "/" }, { "type", "safe" }, { "timeout_ms", 1500 },
            { "goal_ms", 150 }, { "priority", 1 }, { "service", "app" }, { "max_attempts", 2 }, { "public", false } });
    }
    Json keys = { "staying" };
    if (hasLeavingKey)
        keys.push_back("leaving");
    return Json {
        { "version", version }, { "routes", routes },
        { "services", { { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 240 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", { { { "name", "ten" }, { "api_keys", keys }, { "priority", 1 } } } }
    }.dump();
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    const std::string folder = makeFolder();
    CutStore store;
    store.onRead = [&record](const std::string& text) { record.line(text); };
    std::mutex runsMutex;
    std::map<std::string, double> runs;
    const Server app([&](Connection& connection) {
        for (;;) {
            const Message request = connection.read(false);
            const std::string id = request.header("x-attempt-id");
            if (request.header("x-expect-instance") != "i-app") {
                connection.send(reply(421, "X-Instance-Id: i-app\r\n", ""));
                continue;
            }
            {
                const std::lock_guard lock(runsMutex);
                runs[id] = seconds();
            }
            connection.send(reply(200, "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n", "free"));
        }
    });
    int version = 1;
    store.put("keyed.op", "config", makeDocument(version, true));
    std::atomic<int> sequence { 1 };
    const auto writeEntry
        = [&] { store.put("keyed.servers", "i-app", makeEntry("app", app.port(), "hcmc-a", 6, sequence++).dump()); };
    writeEntry();
    std::thread([&] {
        for (;;) {
            std::this_thread::sleep_for(milliseconds(1'200));
            writeEntry();
        }
    }).detach();
    Gateway gateway("edge-hcmc-a-3", store.port(), folder,
        { { "cpu_share", 0.09 }, { "cores", 1 }, { "memory_mb", 160 }, { "max_fds", 4100 }, { "link_mbps", 20.0 },
            { "disk_mb", 0 } });
    if (!gateway.waitUntilReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(5'000));

    // Sends requests with the leaving key, each on a connection of its own.
    std::atomic<bool> isOver { false };
    std::mutex sentMutex;
    std::map<std::string, std::pair<double, std::string>> sent;
    std::thread client([&] {
        for (int i = 0; !isOver; ++i) {
            std::this_thread::sleep_for(requestInterval);
            const std::string id = "k" + std::to_string(i);
            const double sentAt = seconds();
            std::string answer = "no connection";
            Connection connection(connectTo(gateway.frontPort));
            connection.setTimeout(milliseconds(2'000));
            try {
                connection.send("GET /r0/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token leaving\r\nConnection: close\r\n\r\n");
                answer = std::to_string(connection.read(true).status());
            } catch (const Ended& ended) {
                answer = ended.what();
            }
            const std::lock_guard lock(sentMutex);
            sent[id] = { sentAt, answer };
        }
    });
    std::this_thread::sleep_for(milliseconds(500));
    record.line(hasTrouble() ? "the gateway is cut off from the store" : "no cut");
    store.setCut(hasTrouble());
    const auto cutEnd = Clock::now() + cutTime;
    double acknowledgedAt = 0;
    while (Clock::now() + changeInterval < cutEnd) {
        std::this_thread::sleep_for(changeInterval);
        ++version;
        // The fifth change takes the key away.
        store.put("keyed.op", "config", makeDocument(version, version <= 5));
        if (version == 6)
            acknowledgedAt = seconds();
        record.line("the store acknowledges version " + std::to_string(version)
            + (version == 6 ? ", which takes the key away" : ""));
    }
    std::this_thread::sleep_until(cutEnd);
    record.line("the cut ends");
    store.setCut(false);
    std::this_thread::sleep_for(milliseconds(6'000));
    isOver = true;
    client.join();
    gateway.kill();

    const double allowedUntil = acknowledgedAt + std::chrono::duration<double>(revokeLimit).count();
    int broken = 0;
    std::string lastAnswer;
    const std::lock_guard lock(runsMutex);
    for (int i = 0; sent.contains("k" + std::to_string(i)); ++i) {
        const std::string id = "k" + std::to_string(i);
        const auto& [sentAt, answer] = sent[id];
        const bool isBreach = sentAt > allowedUntil && runs.contains(id);
        char text[160];
        std::snprintf(text, sizeof(text), "request %s sent %.3f answered %s%s", id.c_str(), sentAt, answer.c_str(),
            runs.contains(id) ? ", runs" : "");
        if (isBreach || std::exchange(lastAnswer, answer) != answer)
            record.line(text + std::string(isBreach ? ", more than 5,000 ms after the key was taken away" : ""));
        broken += isBreach ? 1 : 0;
    }
    record.line("requests with the key that ran too late: " + std::to_string(broken));
    std::filesystem::remove_all(folder);
    std::quick_exit(broken > 0 ? 1 : 0);
}
