#include "loadgenerator.h"

#include "answerreader.h"

namespace Load {

namespace {

constexpr double microsecondsPerMs = 1000;
constexpr int firstErrorStatus = 300;
// The call times out later than the request's deadline, to show whether the answer arrives within the deadline.
constexpr std::int64_t callTimeoutMarginMs = 5'000;

} // namespace

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
    this->answers.resize(this->plan.size());
    this->start = std::chrono::steady_clock::now();
    const auto guard = asio::make_work_guard(this->context);
    this->sendDue();
    while (this->nextToSend < this->plan.size() || this->requestsInFlight > 0)
        this->context.run_one();
    return std::move(this->records);
}

void LoadGenerator::sendDue()
{
    while (this->nextToSend < this->plan.size()
        && static_cast<double>(this->plan[this->nextToSend].sendAtUs) <= this->nowMs() * microsecondsPerMs)
        this->send(this->nextToSend++);
    if (this->nextToSend >= this->plan.size())
        return;
    this->timer.expires_at(this->start + std::chrono::microseconds(this->plan[this->nextToSend].sendAtUs));
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
    call.timeout = std::chrono::milliseconds(request.timeoutMs + callTimeoutMarginMs);
    Platform::StreamHandlers handlers;
    handlers.onHead = [](const Platform::HttpAnswerHead&) {};
    handlers.onData = [this, index](const std::string& data) {
        PartialAnswer& answer = this->answers[index];
        if (!answer.hasFirstByte)
            this->records[index].firstByteMs = this->nowMs() - this->records[index].sentAtMs;
        answer.hasFirstByte = true;
        answer.data += data;
        if (answer.data.size() > Platform::defaultMaximumBodyBytes)
            this->transfers.cancel(answer.call);
    };
    handlers.onEnd = [this, index](const Platform::HttpCallResult& result) { this->onEnd(index, result); };
    ++this->requestsInFlight;
    const Platform::CallId id = this->transfers.stream(std::move(call), std::move(handlers));
    this->answers[index].call = id;
    if (request.abandonAfterMs == 0)
        return;
    const auto abandonTimer
        = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(request.abandonAfterMs));
    abandonTimer->async_wait([this, abandonTimer, id, index](const std::error_code&) {
        if (this->records[index].totalMs > 0)
            return;
        this->records[index].isAbandoned = true;
        this->transfers.cancel(id);
    });
}

void LoadGenerator::onEnd(std::size_t index, const Platform::HttpCallResult& result)
{
    --this->requestsInFlight;
    CallRecord& record = this->records[index];
    record.totalMs = this->nowMs() - record.sentAtMs;
    record.status = result.status;
    this->evaluateAnswer(index, result);
    this->answers[index].data.clear();
    this->answers[index].data.shrink_to_fit();
}

void LoadGenerator::evaluateAnswer(std::size_t index, const Platform::HttpCallResult& result)
{
    CallRecord& record = this->records[index];
    const PlannedRequest& request = this->plan[index];
    const std::string& data = this->answers[index].data;
    const bool isComplete = result.outcome == Platform::CallOutcome::Complete;
    if (result.status >= firstErrorStatus || !isComplete || request.kind != WorkKind::Prompt) {
        const StreamedAnswer error
            = result.status >= firstErrorStatus ? parseErrorBody(data) : parseStreamedAnswer(data);
        record.errorCode = error.errorCode;
        record.outcome = error.outcome;
        record.retryAfterMs = error.retryAfterMs;
        record.isServed = isComplete && result.status > 0 && result.status < firstErrorStatus;
        return;
    }
    const StreamedAnswer answer = parseStreamedAnswer(data);
    record.errorCode = answer.errorCode;
    record.outcome = answer.outcome;
    record.isServed = answer.isComplete;
    // A body that ends without [DONE] and without an error would be mistaken for a complete answer.
    const bool looksComplete = answer.isComplete || answer.errorCode == 0;
    const bool isCorrect = answer.isComplete && (!this->answerCheck || this->answerCheck(request, answer.text));
    record.isWrong = looksComplete && !isCorrect;
}

double LoadGenerator::nowMs() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->start).count();
}

} // namespace Load
