#include "loadgenerator.h"

#include "answerreader.h"

namespace Load {

namespace {

constexpr double microsecondsPerMs = 1000;
constexpr int firstErrorStatus = 300;
// The caller's own patience is longer than the deadline, to see that the answer comes by then.
constexpr std::int64_t patienceMs = 5'000;

} // namespace

/**
 * @class LoadGenerator
 * Sends an open-loop load: requests go out at their planned times, however slowly the answers come.
 */
LoadGenerator::LoadGenerator(Workload workload, std::vector<std::string> entries)
    : workload(std::move(workload))
    , entries(std::move(entries))
{
}

void LoadGenerator::setAnswerCheck(AnswerCheck check) { this->answerCheck = std::move(check); }

std::vector<CallRecord> LoadGenerator::run()
{
    this->plan = planRequests(this->workload);
    this->records.resize(this->plan.size());
    this->calls.resize(this->plan.size());
    this->start = std::chrono::steady_clock::now();
    const auto guard = asio::make_work_guard(this->context);
    this->sendDue();
    while (this->next < this->plan.size() || this->open > 0)
        this->context.run_one();
    return std::move(this->records);
}

void LoadGenerator::sendDue()
{
    while (this->next < this->plan.size()
        && static_cast<double>(this->plan[this->next].sendAtUs) <= this->nowMs() * microsecondsPerMs)
        this->send(this->next++);
    if (this->next >= this->plan.size())
        return;
    this->timer.expires_at(this->start + std::chrono::microseconds(this->plan[this->next].sendAtUs));
    this->timer.async_wait([this](const std::error_code&) { this->sendDue(); });
}

void LoadGenerator::send(std::size_t index)
{
    const PlannedRequest& request = this->plan[index];
    CallRecord& record = this->records[index];
    record.id = request.id;
    record.workClass = request.workClass;
    record.account = request.account;
    record.sentAtMs = this->nowMs();
    Platform::HttpCall call;
    call.method = request.kind == WorkKind::Browse ? "GET" : "POST";
    call.url = "http://" + this->entries[index % this->entries.size()] + request.path;
    call.body = request.body;
    call.headers.push_back("Authorization: Bearer " + this->workload.accounts[request.account].key);
    call.headers.push_back("Content-Type: application/json");
    call.headers.push_back("X-Request-Id: " + request.id);
    call.headers.push_back("X-Request-Timeout-Ms: " + std::to_string(request.timeoutMs));
    if (request.kind == WorkKind::Booking)
        call.headers.push_back("Idempotency-Key: " + request.id);
    call.timeout = std::chrono::milliseconds(request.timeoutMs + patienceMs);
    Platform::StreamHandlers handlers;
    handlers.onHead = [](const Platform::HttpAnswerHead&) {};
    handlers.onData = [this, index](const std::string& data) {
        Call& answer = this->calls[index];
        if (!answer.hasFirstByte)
            this->records[index].firstByteMs = this->nowMs() - this->records[index].sentAtMs;
        answer.hasFirstByte = true;
        answer.data += data;
    };
    handlers.onEnd = [this, index](const Platform::HttpCallResult& result) { this->onEnd(index, result); };
    ++this->open;
    const Platform::CallId id = this->transfers.stream(std::move(call), std::move(handlers));
    if (request.abandonAfterMs == 0)
        return;
    const auto patience
        = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(request.abandonAfterMs));
    patience->async_wait([this, patience, id, index](const std::error_code&) {
        if (this->records[index].totalMs > 0)
            return;
        this->records[index].isAbandoned = true;
        this->transfers.cancel(id);
    });
}

void LoadGenerator::onEnd(std::size_t index, const Platform::HttpCallResult& result)
{
    --this->open;
    CallRecord& record = this->records[index];
    record.totalMs = this->nowMs() - record.sentAtMs;
    record.status = result.status;
    this->judge(index, result);
    this->calls[index].data.clear();
    this->calls[index].data.shrink_to_fit();
}

void LoadGenerator::judge(std::size_t index, const Platform::HttpCallResult& result)
{
    CallRecord& record = this->records[index];
    const PlannedRequest& request = this->plan[index];
    const std::string& data = this->calls[index].data;
    const bool isComplete = result.outcome == Platform::CallOutcome::Complete;
    if (result.status >= firstErrorStatus || !isComplete || request.kind != WorkKind::Prompt) {
        const StreamedAnswer error = result.status >= firstErrorStatus ? readError(data) : readStreamedAnswer(data);
        record.errorCode = error.errorCode;
        record.outcome = error.outcome;
        record.retryAfterMs = error.retryAfterMs;
        record.isServed = isComplete && result.status > 0 && result.status < firstErrorStatus;
        return;
    }
    const StreamedAnswer answer = readStreamedAnswer(data);
    record.errorCode = answer.errorCode;
    record.outcome = answer.outcome;
    record.isServed = answer.isWhole;
    // A body that ended properly without its last mark or an error would pass for a whole one.
    const bool looksWhole = answer.isWhole || answer.errorCode == 0;
    const bool isRight = answer.isWhole && (!this->answerCheck || this->answerCheck(request, answer.text));
    record.isWrong = looksWhole && !isRight;
}

double LoadGenerator::nowMs() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->start).count();
}

} // namespace Load
