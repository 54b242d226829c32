#include "modelengine.h"

#include "engineanswer.h"

#include <foundation/identifier.h>

#include <algorithm>

namespace Standin {

namespace {

constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr int badRequest = 400;
constexpr Foundation::Duration tickInterval = std::chrono::milliseconds(1);
constexpr std::string_view streamsPath = "/v1/streams";
constexpr std::string_view crashMarker = "CRASH-THE-ENGINE";
constexpr std::size_t prefixBytes = 8 * 1024;
constexpr double minimumSpeedFactor = 0.1;
constexpr Foundation::Duration sustainedOverloadTime = std::chrono::milliseconds(800);
constexpr double decodeSlowdownBesidePrefill = 1.5;
constexpr std::int64_t longPrefillTokens = 20'000;

Web::HttpReply eventStreamHead() { return { 200, "text/event-stream", {}, "" }; }

} // namespace

ModelEngine::ModelEngine(asio::io_context& context, const ModelEngineSettings& settings)
    : settings(settings)
    , generation(Foundation::makeIdentifier())
    , timer(context)
{
}

void ModelEngine::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    if (this->faults.handle(*exchange)) {
        if (this->faults.consume("cold"))
            this->completedSinceStart = 0;
        return;
    }
    const std::string id = request.path.starts_with(streamsPath) && request.path.size() > streamsPath.size() + 1
        ? request.path.substr(streamsPath.size() + 1)
        : std::string();
    if (request.path == "/v1/status")
        respondJson(*exchange, { { "generation", this->generation }, { "leaving", this->faults.get("leaving") != 0 } });
    else if (request.path == "/v1/load")
        this->respondLoad(*exchange);
    else if (request.path == "/counters")
        this->respondCounters(*exchange);
    else if (request.path == streamsPath)
        this->respondStreams(*exchange);
    else if (!id.empty() && request.method == "DELETE")
        this->cancel(*exchange, id);
    else if (!id.empty())
        this->resume(exchange, id);
    else if (request.method == "POST" && request.path.starts_with("/v1/"))
        this->start(exchange);
    else
        respondJson(*exchange, { { "error", "unknown path" } }, notFound);
}

void ModelEngine::start(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    const auto body = nlohmann::json::parse(request.body(), nullptr, /* allow_exceptions */ false);
    if (!body.is_object()) {
        respondJson(*exchange, { { "error", "malformed JSON" } }, badRequest);
        return;
    }
    const auto stream = std::make_shared<Stream>();
    const std::string_view requestedId = request.header("X-Stream-Id");
    stream->id = requestedId.empty() ? Foundation::makeIdentifier() : std::string(requestedId);
    stream->request = request.header("X-Request-Id");
    stream->promptHash = Foundation::hash64(request.body());
    stream->bodyBytes = request.body().size();
    stream->priority = static_cast<int>(parseIntegerOr(request.header("X-Priority"), 0));
    stream->arrivalNumber = ++this->lastArrivalNumber;
    stream->isStreamed = body.value("stream", false);
    stream->crashesEngine = request.body().find(crashMarker) != std::string::npos;
    stream->promptTokens = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(static_cast<double>(request.body().size()) / this->settings.bytesPerToken));
    stream->outputTokens = body.value("max_tokens", std::int64_t { 256 });
    stream->prefillTokensLeft = std::max<std::int64_t>(1, stream->promptTokens - this->cachedTokens(request));
    if (this->usedTokens() + stream->reservedTokens() > this->settings.memoryTokens) {
        ++this->memoryOverruns;
        respondJson(*exchange, { { "error", "out of memory" } }, unavailable);
        return;
    }
    this->startedRequests.push_back(stream->request);
    this->streams[stream->id] = stream;
    this->maximumUsedTokens = std::max(this->maximumUsedTokens, this->usedTokens());
    this->attach(stream, exchange);
    this->ensureTicking();
}

void ModelEngine::resume(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& id)
{
    const auto found = this->streams.find(id);
    if (found == this->streams.end()) {
        respondJson(*exchange, { { "error", "no such stream" } }, notFound);
        return;
    }
    const StreamPtr stream = found->second;
    const auto from
        = static_cast<std::size_t>(std::max<std::int64_t>(0, parseIntegerOr(exchange->request().parameter("from"), 0)));
    this->attach(stream, exchange);
    if (!stream->isStreamed) {
        if (stream->isFinished)
            this->finish(stream);
        return;
    }
    exchange->beginStream(eventStreamHead());
    exchange->write(stream->events.substr(std::min(from, stream->events.size())));
    if (stream->isFinished)
        this->finish(stream);
}

void ModelEngine::cancel(Web::HttpExchange& exchange, const std::string& id)
{
    if (this->faults.get("ignoreCancels") != 0) {
        exchange.abort();
        return;
    }
    const auto found = this->streams.find(id);
    if (found != this->streams.end() && found->second->exchange)
        found->second->exchange->abort();
    this->release(id);
    respondJson(exchange, nlohmann::json::object());
}

void ModelEngine::respondStreams(Web::HttpExchange& exchange) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, stream] : this->streams)
        list.push_back({ { "id", id }, { "tokens", stream->reservedTokens() } });
    respondJson(exchange, { { "generation", this->generation }, { "streams", list } });
}

void ModelEngine::respondLoad(Web::HttpExchange& exchange) const
{
    respondJson(exchange,
        { { "generation", this->generation }, { "running", this->streams.size() },
            { "usedTokens", this->usedTokens() } });
}

void ModelEngine::respondCounters(Web::HttpExchange& exchange) const
{
    respondJson(exchange,
        { { "usedTokens", this->usedTokens() }, { "running", this->streams.size() },
            { "fallOvers", this->overloadRestarts }, { "crashes", this->crashes },
            { "memoryOverruns", this->memoryOverruns }, { "mostUsedTokens", this->maximumUsedTokens },
            { "completed", this->completedRequests }, { "runs", this->startedRequests } });
}

void ModelEngine::attach(const StreamPtr& stream, const std::shared_ptr<Web::HttpExchange>& exchange)
{
    stream->exchange = exchange;
    exchange->setDisconnectHandler([this, weak = std::weak_ptr<Stream>(stream), exchange = exchange.get()] {
        const StreamPtr attached = weak.lock();
        if (attached && attached->exchange.get() == exchange)
            this->detach(attached);
    });
}

void ModelEngine::detach(const StreamPtr& stream) { stream->exchange.reset(); }

void ModelEngine::ensureTicking()
{
    if (this->isTicking)
        return;
    this->isTicking = true;
    this->lastTick = std::chrono::steady_clock::now();
    this->lastSustainableTick = this->lastTick;
    this->prefillCredit = 0;
    this->tick();
}

void ModelEngine::tick()
{
    const Foundation::TimePoint now = std::chrono::steady_clock::now();
    const double seconds = Foundation::toSeconds(now - this->lastTick);
    this->lastTick = now;
    const std::string generationBefore = this->generation;
    this->checkOverload(now);
    this->prefill(seconds);
    if (this->generation == generationBefore) {
        std::vector<StreamPtr> decoding;
        for (const auto& [id, stream] : this->streams) {
            if (stream->prefillTokensLeft == 0 && !stream->isFinished)
                decoding.push_back(stream);
        }
        for (const StreamPtr& stream : decoding)
            this->decode(stream);
    }
    const bool isBusy = std::ranges::any_of(this->streams, [](const auto& entry) { return !entry.second->isFinished; });
    if (!isBusy) {
        this->isTicking = false;
        return;
    }
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const std::error_code& error) {
        if (!error)
            this->tick();
    });
}

// Restarts the engine after a sustained overload, as happens to cold engines; a short overload is tolerated.
void ModelEngine::checkOverload(Foundation::TimePoint now)
{
    const bool isOverloaded = static_cast<std::int64_t>(this->streams.size()) > this->sustainableRequests();
    if (!isOverloaded)
        this->lastSustainableTick = now;
    else if (now - this->lastSustainableTick >= sustainedOverloadTime)
        this->restart(/* isCrash */ false);
}

void ModelEngine::prefill(double seconds)
{
    const double warmFraction
        = static_cast<double>(this->sustainableRequests()) / static_cast<double>(this->settings.warmLimit);
    const std::int64_t slowPercent = std::max<std::int64_t>(100, this->faults.get("slowFactor"));
    const double speedFactor = std::max(minimumSpeedFactor, warmFraction) * 100.0 / static_cast<double>(slowPercent);
    this->prefillCredit += seconds * speedFactor * static_cast<double>(this->settings.prefillTokensPerSecond);
    while (this->prefillCredit >= 1) {
        if (!this->prefillingStream || this->chunkTokensLeft == 0) {
            this->prefillingStream = this->nextPrefillStream();
            if (!this->prefillingStream) {
                this->prefillCredit = 0;
                return;
            }
            this->chunkTokensLeft = std::min(this->settings.chunkTokens, this->prefillingStream->prefillTokensLeft);
        }
        const auto step = std::min(this->chunkTokensLeft, static_cast<std::int64_t>(this->prefillCredit));
        this->prefillCredit -= static_cast<double>(step);
        this->chunkTokensLeft -= step;
        this->prefillingStream->prefillTokensLeft -= step;
        if (this->prefillingStream->prefillTokensLeft > 0)
            continue;
        const StreamPtr prefilled = std::move(this->prefillingStream);
        this->prefillingStream.reset();
        prefilled->nextTokenTime = std::chrono::steady_clock::now();
        if (prefilled->crashesEngine) {
            this->restart(/* isCrash */ true);
            return;
        }
    }
}

ModelEngine::StreamPtr ModelEngine::nextPrefillStream() const
{
    StreamPtr next;
    for (const auto& [id, stream] : this->streams) {
        if (stream->prefillTokensLeft == 0)
            continue;
        const bool precedesNext = !next || stream->priority < next->priority
            || (stream->priority == next->priority && stream->arrivalNumber < next->arrivalNumber);
        if (precedesNext)
            next = stream;
    }
    return next;
}

void ModelEngine::decode(const StreamPtr& stream)
{
    const bool isBesideLongPrefill
        = this->prefillingStream && this->prefillingStream->prefillTokensLeft > longPrefillTokens;
    const double factor = isBesideLongPrefill ? decodeSlowdownBesidePrefill : 1.0;
    const auto perToken = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(this->settings.decodeMicrosecondsPerToken) * factor));
    const Foundation::TimePoint now = std::chrono::steady_clock::now();
    std::string data;
    while (stream->generatedTokens < stream->outputTokens && stream->nextTokenTime <= now) {
        const std::string token = tokenText(stream->promptHash, stream->generatedTokens++);
        stream->nextTokenTime += perToken;
        stream->text += token;
        data += tokenEvent(token);
    }
    if (stream->isStreamed && !data.empty())
        this->send(stream, data);
    if (stream->generatedTokens < stream->outputTokens)
        return;
    stream->isFinished = true;
    if (stream->isStreamed)
        this->send(stream, endEvents(stream->promptTokens, stream->outputTokens));
    this->finish(stream);
}

void ModelEngine::send(const StreamPtr& stream, const std::string& data)
{
    const bool isFirst = stream->events.empty();
    stream->events += data;
    if (!stream->exchange)
        return;
    if (isFirst)
        stream->exchange->beginStream(eventStreamHead());
    if (this->faults.consume("endInsideEvents")) {
        stream->exchange->write(data.substr(0, data.size() / 2));
        stream->exchange->finish();
        this->detach(stream);
        return;
    }
    if (this->faults.consume("endlessAnswers")) {
        this->sendEndlessly(stream->exchange);
        this->detach(stream);
        return;
    }
    stream->exchange->write(data);
    if (this->faults.consume("cutStreams")) {
        stream->exchange->abort();
        this->detach(stream);
    }
}

void ModelEngine::sendEndlessly(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    constexpr std::size_t blockBytes = 256 * 1024;
    const auto pause = std::make_shared<asio::steady_timer>(this->timer.get_executor());
    const auto isClosed = std::make_shared<bool>(false);
    exchange->setDisconnectHandler([isClosed] { *isClosed = true; });
    const auto sendMore = std::make_shared<std::function<void()>>();
    // The handler of the timer keeps the function alive until the connection is closed.
    *sendMore = [exchange, pause, isClosed, weak = std::weak_ptr(sendMore)] {
        if (exchange->unsentBytes() < blockBytes)
            exchange->write("data: " + std::string(blockBytes, 'x') + "\n\n");
        pause->expires_after(std::chrono::milliseconds(1));
        pause->async_wait([isClosed, next = weak.lock()](const asio::error_code& error) {
            if (!error && !*isClosed)
                (*next)();
        });
    };
    (*sendMore)();
}

void ModelEngine::finish(const StreamPtr& stream)
{
    if (!stream->exchange)
        return;
    if (stream->isStreamed)
        stream->exchange->finish();
    else
        stream->exchange->respond(
            { 200, "application/json", {}, completionBody(stream->text, stream->promptTokens, stream->outputTokens) });
    ++this->completedRequests;
    ++this->completedSinceStart;
    this->release(stream->id);
}

void ModelEngine::release(const std::string& id)
{
    const auto found = this->streams.find(id);
    if (found == this->streams.end())
        return;
    found->second->isFinished = true;
    if (this->prefillingStream == found->second)
        this->prefillingStream.reset();
    this->streams.erase(found);
}

void ModelEngine::restart(bool isCrash)
{
    ++(isCrash ? this->crashes : this->overloadRestarts);
    this->generation = Foundation::makeIdentifier();
    this->completedSinceStart = 0;
    this->prefillingStream.reset();
    const auto lost = std::move(this->streams);
    this->streams.clear();
    for (const auto& [id, stream] : lost) {
        stream->isFinished = true;
        if (stream->exchange)
            stream->exchange->abort();
    }
}

std::int64_t ModelEngine::sustainableRequests() const
{
    return std::min(this->settings.warmLimit, this->settings.coldLimit + this->completedSinceStart);
}

std::int64_t ModelEngine::usedTokens() const
{
    std::int64_t used = 0;
    for (const auto& [id, stream] : this->streams)
        used += stream->reservedTokens();
    return used;
}

std::int64_t ModelEngine::cachedTokens(const Web::HttpRequest& request)
{
    if (request.body().size() < prefixBytes)
        return 0;
    const std::uint64_t prefix = Foundation::hash64(std::string_view(request.body()).substr(0, prefixBytes));
    const auto found = std::ranges::find(this->cachedPrefixes, prefix);
    const bool isHit = found != this->cachedPrefixes.end();
    if (isHit)
        this->cachedPrefixes.erase(found);
    this->cachedPrefixes.push_front(prefix);
    if (this->cachedPrefixes.size() > this->settings.cachedPrefixes)
        this->cachedPrefixes.pop_back();
    return isHit ? static_cast<std::int64_t>(static_cast<double>(prefixBytes) / this->settings.bytesPerToken) : 0;
}

} // namespace Standin
