#pragma once

#include "workload.h"

#include <platform/httptransfers.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Load {

/** The result of one request. */
struct CallRecord {
    std::string id;
    std::size_t workClass = 0;
    std::size_t account = 0;
    /** The time from the start of the run. */
    double sentAtMs = 0;
    /** The time from sending to the first byte of the body; 0 if none came. */
    double firstByteMs = 0;
    /** The time from sending to the end of the call. */
    double totalMs = 0;
    int status = 0;
    int errorCode = 0;
    std::string outcome;
    /** Set if the complete answer arrived before the call timed out. */
    bool isServed = false;
    /** Set if an answer ended without an error but is incomplete or failed the answer check. */
    bool isWrong = false;
    /** Set if the caller cancelled the request before the answer ended. */
    bool isAbandoned = false;
    /** The delay before a retry that an error asked for; 0 if it named none. */
    std::int64_t retryAfterMs = 0;
};

/** Returns whether the text is the expected answer to a prompt. */
using AnswerCheck = std::function<bool(const PlannedRequest&, std::string_view text)>;

/** Sends an open-loop load: each request goes out at its planned time, however slow the answers are. */
class LoadGenerator {
public:
    /** @param entries the addresses of the entries, which receive the requests in turn. */
    LoadGenerator(Workload workload, std::vector<std::string> entries);

    /** Sets the check for complete answers to prompts; without one their text is not checked. */
    void setAnswerCheck(AnswerCheck check);

    /** Sends all requests, waits for the answers and returns one record for each request, in the order of the plan. */
    std::vector<CallRecord> run();

    /** Returns the planned requests, in the order of the records. */
    const std::vector<PlannedRequest>& requests() const { return this->plan; }

private:
    struct PartialAnswer {
        Platform::CallId call = 0;
        std::string data;
        bool hasFirstByte = false;
    };

    void sendDue();
    void send(std::size_t index);
    void onEnd(std::size_t index, const Platform::HttpCallResult& result);
    void evaluateAnswer(std::size_t index, const Platform::HttpCallResult& result);
    double nowMs() const;

    Workload workload;
    std::vector<std::string> entries;
    AnswerCheck answerCheck;
    asio::io_context context { 1 };
    Platform::HttpTransfers transfers { context };
    asio::steady_timer timer { context };
    std::vector<PlannedRequest> plan;
    std::vector<CallRecord> records;
    std::vector<PartialAnswer> answers;
    std::size_t nextToSend = 0;
    std::size_t requestsInFlight = 0;
    std::chrono::steady_clock::time_point start;
};

} // namespace Load
