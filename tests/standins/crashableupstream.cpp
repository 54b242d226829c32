#include "crashableupstream.h"

#include "standinanswer.h"

#include <csignal>
#include <fcntl.h>
#include <optional>
#include <unistd.h>

namespace {

constexpr auto stepInterval = std::chrono::milliseconds(40);
constexpr int lastStep = 5;
// A slow run takes longer than a gateway that stops waits for it.
constexpr auto slowStepInterval = std::chrono::milliseconds(200);
constexpr int lastSlowStep = 60;
constexpr int rejectedSends = 2;
// A late crash comes after two events of a stream.
constexpr int lateCrashStep = 3;
constexpr auto lateCrashDelay = std::chrono::milliseconds(250);
constexpr auto partCrashDelay = std::chrono::milliseconds(100);
constexpr int thirdEvent = 3;
constexpr std::string_view limitPath = "/limit/";
// Longer than the time after which an upstream that is not listed counts as ended.
constexpr auto longPrefillDelay = std::chrono::seconds(7);
// More than the buffers of two connections hold.
constexpr std::size_t largeEventBytes = 6'000'000;

bool hasSegment(const Web::HttpRequest& request, const char* segment)
{
    return request.path.find(segment) != std::string::npos;
}

// The last part of a prompt crashes nothing.
bool hasCrashingPart(const Web::HttpRequest& request)
{
    std::string_view parts = request.header("X-Prefix-Hash");
    for (auto comma = parts.find(','); comma != std::string_view::npos; comma = parts.find(',')) {
        if (parts.starts_with(crashingPartMark))
            return true;
        parts.remove_prefix(comma + 1);
    }
    return false;
}

// How a request crashes the upstream: in place of which step, and how long after the step before.
struct CrashPlan {
    int step = 1;
    std::chrono::milliseconds delay { 0 };
    bool precedesHead = true;
};

std::optional<CrashPlan> planCrash(const Web::HttpRequest& request)
{
    if (hasSegment(request, "/crash/"))
        return hasSegment(request, "/late/") ? CrashPlan { lateCrashStep, lateCrashDelay, false } : CrashPlan {};
    if (!hasSegment(request, "/part/") || !hasCrashingPart(request))
        return std::nullopt;
    if (hasSegment(request, "/third/"))
        return CrashPlan { thirdEvent + 1, partCrashDelay, false };
    return CrashPlan { 1, partCrashDelay, hasSegment(request, "/head/") };
}

} // namespace

struct CrashableUpstream::Run {
    std::shared_ptr<Web::HttpExchange> exchange;
    asio::steady_timer timer;
    bool isStream = false;
    std::optional<CrashPlan> crash;
    int step = 0;
};

CrashableUpstream::CrashableUpstream(
    asio::io_context& context, std::string id, std::uint16_t port, const std::string& runLog)
    : context(context)
    , id(std::move(id))
    , server(context, { "127.0.0.1", port, 16 << 20 },
          [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->handle(exchange); })
    , runLogPath(runLog)
    , runLog(runLog, this->id)
    , leases(context, this->runLog)
{
}

void CrashableUpstream::start()
{
    this->server.start([](const std::string&) { ::_exit(1); });
}

void CrashableUpstream::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    if (request.path.starts_with(limitPath)) {
        this->requestLimit = request.path.substr(limitPath.size());
        exchange->respond({ 200, "text/plain", {}, "", false });
        return;
    }
    if (request.header("X-Expect-Instance") != this->id) {
        exchange->respond({ 421, "text/plain", { { "X-Instance-Id", this->id } }, "", false });
        return;
    }
    if (request.path == "/report") {
        exchange->respond({ 200, "application/json", {}, "{}", false });
        return;
    }
    if (request.path == "/order") {
        this->leases.handleOrder(*exchange);
        return;
    }
    if (this->mustReject(request)) {
        Web::HttpReply rejection
            = this->withOwnHeaders({ 503, "text/plain", { { "X-Not-Executed", "1" } }, "", false });
        if (hasSegment(request, "/unfinished/")) {
            exchange->beginStream(rejection);
            this->unfinishedExchanges.push_back(exchange);
        } else {
            exchange->respond(std::move(rejection));
        }
        return;
    }
    this->runLog.write("begin", request.header("X-Attempt-Id"));
    const auto run = std::make_shared<Run>(Run { exchange, asio::steady_timer(this->context), false, std::nullopt });
    run->isStream = request.path.starts_with("/stream/");
    run->crash = planCrash(request);
    if (run->crash && run->crash->delay.count() == 0)
        this->crash(request);
    if (run->isStream && !(run->crash && run->crash->precedesHead)) {
        Web::HttpReply head = this->withOwnHeaders(makeSignedReply(request, 200, ""));
        head.contentType = "text/event-stream";
        exchange->beginStream(head);
        const std::string_view last = request.header("Last-Event-Id");
        run->step = last.empty() ? 0 : std::stoi(std::string(last));
    }
    this->continueRun(run);
}

Web::HttpReply CrashableUpstream::withOwnHeaders(Web::HttpReply reply) const
{
    if (!this->requestLimit.empty())
        reply.headers.push_back({ "Server-Limit", this->requestLimit });
    return reply;
}

bool CrashableUpstream::mustReject(const Web::HttpRequest& request) const
{
    if (hasSegment(request, "/rejected/"))
        return true;
    if (!hasSegment(request, "/rejected-twice/"))
        return false;
    // The upstreams are processes of their own, so the sends are counted by files beside the run log.
    for (int send = 1; send <= rejectedSends; ++send) {
        const std::string mark
            = this->runLogPath + "." + std::string(request.header("X-Attempt-Id")) + "." + std::to_string(send);
        const int file = ::open(mark.c_str(), O_CREAT | O_EXCL | O_CLOEXEC, 0644);
        if (file < 0)
            continue;
        ::close(file);
        return true;
    }
    return false;
}

void CrashableUpstream::continueRun(const std::shared_ptr<Run>& run)
{
    const bool waitsForCrash = run->crash && run->step + 1 >= run->crash->step;
    const bool isSlow = hasSegment(run->exchange->request(), "/slow/");
    const auto interval = isSlow ? slowStepInterval : stepInterval;
    const int last = isSlow ? lastSlowStep : lastStep;
    const bool isPrefilling = run->step == 0 && hasSegment(run->exchange->request(), "/prefill/");
    const std::size_t eventBytes = hasSegment(run->exchange->request(), "/large/") ? largeEventBytes : 0;
    if (isPrefilling)
        run->timer.expires_after(longPrefillDelay);
    else
        run->timer.expires_after(waitsForCrash ? run->crash->delay : interval);
    run->timer.async_wait([this, run, waitsForCrash, last, eventBytes](const asio::error_code&) {
        const Web::HttpRequest& request = run->exchange->request();
        if (waitsForCrash)
            this->crash(request);
        ++run->step;
        if (run->isStream)
            run->exchange->write(makeEvent(run->step, eventBytes));
        if (run->step < last) {
            this->continueRun(run);
        } else if (run->isStream) {
            run->exchange->finish();
        } else {
            run->exchange->respond(this->withOwnHeaders(makeSignedReply(request, 200, "answer of " + this->id)));
        }
    });
}

void CrashableUpstream::crash(const Web::HttpRequest& request) const
{
    this->runLog.write("crash", request.header("X-Attempt-Id"));
    ::raise(hasSegment(request, "/silence/") ? SIGSTOP : SIGKILL);
}
