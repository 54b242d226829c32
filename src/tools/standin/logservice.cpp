#include "logservice.h"

namespace Standin {

namespace {

constexpr int tooManyRequests = 429;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr std::size_t maximumPageRecords = 500;
constexpr std::int64_t maximumWaitMs = 30'000;
constexpr std::chrono::milliseconds rateWindow = std::chrono::seconds(1);

// Returns NAME of the path /streams/NAME/records; empty for any other path.
std::string streamNameFromPath(std::string_view path)
{
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
        return {};
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

} // namespace

LogService::LogService(asio::io_context& context, const LogServiceSettings& settings)
    : context(context)
    , settings(settings)
{
}

void LogService::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    if (this->faults.handle(*exchange))
        return;
    if (exchange->request().path == "/counters") {
        respondJson(*exchange, { { "appends", this->totalAppends } });
        return;
    }
    const std::string stream = streamNameFromPath(exchange->request().path);
    if (stream.empty())
        respondJson(*exchange, { { "error", "unknown path" } }, notFound);
    else if (this->faults.get("outage") != 0)
        exchange->abort();
    else if (exchange->request().method == "POST")
        this->append(exchange, stream);
    else
        this->read(exchange, stream);
}

void LogService::append(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& stream)
{
    if (!this->acceptAppend()) {
        respondJson(*exchange, { { "error", "too many appends" } }, tooManyRequests);
        return;
    }
    const auto appendRecord = [this, exchange, stream] {
        Stream& target = this->streams[stream];
        target.records.push_back({ target.end++, this->now(), exchange->request().body() });
        ++this->totalAppends;
        if (this->faults.consume("loseAppendAnswers"))
            exchange->abort();
        else
            respondJson(*exchange, { { "offset", target.end - 1 } });
        this->answerWaitingReaders(stream);
    };
    const std::int64_t delayMs = this->faults.get("slowMs");
    if (delayMs == 0) {
        appendRecord();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(delayMs));
    timer->async_wait([timer, appendRecord](const std::error_code&) { appendRecord(); });
}

void LogService::read(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& stream)
{
    const Web::HttpRequest& request = exchange->request();
    const auto from
        = static_cast<std::uint64_t>(std::max<std::int64_t>(0, parseIntegerOr(request.parameter("from"), 0)));
    const std::int64_t waitMs = std::min(maximumWaitMs, parseIntegerOr(request.parameter("waitMs"), 0));
    Stream& target = this->streams[stream];
    this->removeExpiredRecords(target);
    if (from < target.end || waitMs <= 0) {
        this->respondRecords(*exchange, stream, from);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(waitMs));
    const auto reader = this->waitingReaders.insert(this->waitingReaders.end(), { exchange, stream, from, timer });
    timer->async_wait([this, reader](const std::error_code& error) {
        if (error)
            return;
        this->respondRecords(*reader->exchange, reader->stream, reader->from);
        this->waitingReaders.erase(reader);
    });
}

void LogService::respondRecords(Web::HttpExchange& exchange, const std::string& stream, std::uint64_t from)
{
    if (this->faults.get("outage") != 0) {
        exchange.respond({ unavailable, "text/plain", {}, "outage\n" });
        return;
    }
    Stream& target = this->streams[stream];
    this->removeExpiredRecords(target);
    nlohmann::json records = nlohmann::json::array();
    for (const Record& record : target.records) {
        if (record.offset < from)
            continue;
        if (records.size() == maximumPageRecords)
            break;
        records.push_back({ { "offset", record.offset }, { "timeMs", record.time.count() }, { "data", record.data } });
    }
    const std::uint64_t first = target.records.empty() ? target.end : target.records.front().offset;
    respondJson(exchange,
        { { "first", first }, { "end", target.end }, { "retentionMs", this->settings.retention.count() },
            { "records", records } });
}

void LogService::answerWaitingReaders(const std::string& stream)
{
    for (auto reader = this->waitingReaders.begin(); reader != this->waitingReaders.end();) {
        if (reader->stream != stream || reader->timer->cancel() == 0) {
            ++reader;
            continue;
        }
        this->respondRecords(*reader->exchange, stream, reader->from);
        reader = this->waitingReaders.erase(reader);
    }
}

void LogService::removeExpiredRecords(Stream& stream)
{
    while (!stream.records.empty() && this->now() - stream.records.front().time >= this->settings.retention)
        stream.records.pop_front();
}

bool LogService::acceptAppend()
{
    const std::chrono::milliseconds time = this->now();
    if (time - this->rateWindowStart >= rateWindow) {
        this->rateWindowStart = time;
        this->appendsInWindow = 0;
    }
    return ++this->appendsInWindow <= this->settings.appendsPerSecond;
}

std::chrono::milliseconds LogService::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace Standin
