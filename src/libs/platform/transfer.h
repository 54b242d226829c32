#pragma once

#include "answerparser.h"
#include "httptransfers.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Platform {

struct CurlDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/** A call in progress, with its libcurl handle. */
struct Transfer {
    CallId id = 0;
    HttpCall call;
    StreamHandlers handlers;
    std::unique_ptr<CURL, CurlDeleter> easy;
    std::unique_ptr<curl_slist, ListDeleter> headerList;
    asio::io_context* context = nullptr;
    HttpCallResult result;
    /** Parses what the current handle receives. */
    std::unique_ptr<AnswerParser> answer;
    /** Whether the call was ended because its answer is only a head, which libcurl does not know of a given method. */
    bool isEndedAfterHead = false;
    /** Why this process ended the call; empty if it did not. */
    std::string_view abortReason;
    /** The bytes that were received for parts of the body which wait for their handler, with the framing of chunks. */
    std::size_t undeliveredBytes = 0;
    bool isPaused = false;
    /** Whether libcurl holds a part of the body back until the call is continued. */
    bool isHeldBack = false;
    /** Delivers a part of the body to the handler. */
    std::function<void(std::string part, std::size_t receivedBytes)> deliver;
    /** Whether a connection was established on which libcurl began to send the call. */
    bool wasSent = false;
    /** Whether the current handle has begun to send the call; it must not do so again. */
    bool wasSentByHandle = false;
    /** Whether the connection on which the current handle sent the call was used before. */
    bool isConnectionUsed = false;
    /** Whether libcurl tried to send the call a second time by itself. */
    bool isLibraryResendRefused = false;
    /** Whether the call was sent again on a new connection. */
    bool isResent = false;
};

/** Sets the options of the handle for the call; the handle calls back into the transfer, which must outlive it. */
void setOptions(Transfer& transfer);

/**
 * Returns whether a reused connection ended before a line of the answer arrived.
 * @param code how libcurl ended the call.
 */
bool isKeptConnectionLost(CURLcode code, const Transfer& transfer);

/** Posts the result of the call to its handler. @param code how libcurl ended the call. */
void deliverResult(Transfer& transfer, CURLcode code);

} // namespace Platform
