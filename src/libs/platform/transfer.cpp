#include "transfer.h"

#include <asio.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Platform {

namespace {

// libcurl's default of 64 KB for each call with a body is larger than most bodies here.
constexpr long uploadBufferBytes = 16 * 1024;
// A server closes an idle connection without having begun to handle a call that arrives just then. A later reset may as
// well end a call that runs. Allows for a round trip between distant domains.
constexpr curl_off_t unreadResetMicroseconds = 50'000;
// No more is read of an answer while this much of it waits for its handler, so that a fast answer neither fills the
// memory nor holds up the other calls for long.
constexpr std::size_t maximumUndeliveredBytes = 64 * 1024;
std::string answerContentType(CURL* easy)
{
    const char* type = nullptr;
    curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
    return type ? type : "";
}

int answerStatus(CURL* easy)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

// Returns the errno of the last operation on a socket that failed.
long socketError(CURL* easy)
{
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return error;
}

std::string_view findHeader(const Transfer& transfer, std::string_view name)
{
    const auto found = std::ranges::find_if(transfer.result.headers,
        [name](const HttpField& field) { return curl_strequal(field.name.c_str(), name.data()) != 0; });
    return found == transfer.result.headers.end() ? std::string_view() : std::string_view(found->value);
}

bool hasReusedConnection(CURL* easy)
{
    long newConnections = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &newConnections);
    return newConnections == 0;
}

bool belongsToCall(const Transfer& transfer)
{
    const HttpField& expected = transfer.call.answerId;
    if (expected.name.empty())
        return true;
    const std::string_view named = findHeader(transfer, expected.name);
    return named.empty() ? !transfer.isConnectionUsed : named == expected.value;
}

void deliverHead(const Transfer& transfer)
{
    if (!transfer.handlers.onHead)
        return;
    asio::post(*transfer.context,
        [onHead = transfer.handlers.onHead,
            head = HttpAnswerHead { answerStatus(transfer.easy.get()), answerContentType(transfer.easy.get()),
                transfer.result.headers, transfer.answer->framing(), transfer.isConnectionUsed }]() mutable {
            onHead(std::move(head));
        });
}

std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view line(data, size * count);
    if (!transfer.answer->parseHeadLine(line)) {
        transfer.abortReason = transfer.answer->defect();
        return 0;
    }
    if (!transfer.answer->isHeadComplete())
        return line.size();
    transfer.result.headers = transfer.answer->fields();
    deliverHead(transfer);
    if (!belongsToCall(transfer)) {
        transfer.abortReason = "the answer belongs to another call";
        return 0;
    }
    transfer.isEndedAfterHead = transfer.call.method == "HEAD";
    return transfer.isEndedAfterHead ? 0 : line.size();
}

// Called for each new connection of a call.
int setSocketOptions(void* user, curl_socket_t socket, curlsocktype)
{
    auto& transfer = *static_cast<Transfer*>(user);
    // libcurl opens a second connection for a call only to send it again.
    if (transfer.wasSentByHandle) {
        transfer.isLibraryResendRefused = true;
        return CURL_SOCKOPT_ERROR;
    }
    if (transfer.call.unacknowledgedTimeout.count() == 0)
        return CURL_SOCKOPT_OK;
    const unsigned timeoutMs = static_cast<unsigned>(transfer.call.unacknowledgedTimeout.count());
    // A failure is ignored: the timeout of the call also detects a lost connection, only later.
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
    return CURL_SOCKOPT_OK;
}

// Receives the body as it was sent, with the framing of chunks.
std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view bytes(data, size * count);
    if (transfer.deliver) {
        transfer.isHeldBack = transfer.isPaused || transfer.undeliveredBytes >= maximumUndeliveredBytes;
        if (transfer.isHeldBack)
            return CURL_WRITEFUNC_PAUSE;
    }
    std::string content;
    if (!transfer.answer->parseBody(bytes, content)) {
        transfer.abortReason = transfer.answer->defect();
        return 0;
    }
    // The end of the answer is known, but the next answer on the connection would begin with these bytes.
    if (transfer.answer->hasExcess())
        curl_easy_setopt(transfer.easy.get(), CURLOPT_FORBID_REUSE, 1L);
    if (transfer.deliver) {
        if (content.empty())
            return bytes.size();
        transfer.undeliveredBytes += bytes.size();
        transfer.deliver(std::move(content), bytes.size());
        return bytes.size();
    }
    if (transfer.result.body.size() + content.size() > transfer.call.maximumBodyBytes) {
        transfer.abortReason = "the body of the answer is too long";
        return 0;
    }
    transfer.result.body += content;
    return bytes.size();
}

const std::string& bodyOf(const HttpCall& call) { return call.sharedBody ? *call.sharedBody : call.body; }

// Called before each sending of a call.
int onBeforeSend(void* user, char*, char*, int, int)
{
    auto& transfer = *static_cast<Transfer*>(user);
    if (transfer.wasSentByHandle) {
        transfer.isLibraryResendRefused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.wasSent = true;
    transfer.wasSentByHandle = true;
    transfer.isConnectionUsed = hasReusedConnection(transfer.easy.get());
    // Without it, libcurl would take a further pooled connection for a second sending, which is then closed unused.
    curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
    return CURL_PREREQFUNC_OK;
}

// A call that libcurl failed to send was not received as a whole.
bool isLikelyUnread(CURLcode code, const Transfer& transfer)
{
    curl_off_t elapsedMicroseconds = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_TOTAL_TIME_T, &elapsedMicroseconds);
    const bool isResetAtOnce
        = socketError(transfer.easy.get()) == ECONNRESET && elapsedMicroseconds < unreadResetMicroseconds;
    return isKeptConnectionLost(code, transfer)
        && (isResetAtOnce || (code == CURLE_SEND_ERROR && !transfer.isLibraryResendRefused));
}

// A connection that was closed in an answer is no such defect.
bool isMalformed(CURLcode code, const Transfer& transfer)
{
    return !transfer.answer->defect().empty() || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
}

CallOutcome toCallOutcome(CURLcode code, const Transfer& transfer)
{
    if (code == CURLE_OK)
        return transfer.answer->defect().empty() ? CallOutcome::Complete : CallOutcome::Broken;
    // A reused connection may break after the call was sent on it, and libcurl's new connection may be refused.
    if (transfer.wasSent)
        return CallOutcome::Broken;
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_OPERATION_TIMEDOUT:
        return CallOutcome::NotConnected;
    default:
        return CallOutcome::Broken;
    }
}

void useDedicatedConnection(CURL* easy)
{
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

void setBody(Transfer& transfer)
{
    const HttpCall& call = transfer.call;
    CURL* const easy = transfer.easy.get();
    const bool hasBody
        = !bodyOf(call).empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
    if (!hasBody)
        return;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(bodyOf(call).size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, bodyOf(call).data());
}

std::string errorText(CURLcode code, const Transfer& transfer)
{
    if (code == CURLE_OK)
        return std::string(transfer.answer->defect());
    if (isKeptConnectionLost(code, transfer))
        return "the reused connection ended before the answer";
    return transfer.abortReason.empty() ? curl_easy_strerror(code) : std::string(transfer.abortReason);
}

} // namespace

// libcurl sends such a call again by itself unless it failed to send a long body.
bool isKeptConnectionLost(CURLcode code, const Transfer& transfer)
{
    return transfer.wasSentByHandle && transfer.isConnectionUsed && transfer.answer->headBytes() == 0
        && (transfer.isLibraryResendRefused || code == CURLE_SEND_ERROR);
}

void setOptions(Transfer& transfer)
{
    transfer.answer = std::make_unique<AnswerParser>(transfer.call.method);
    CURL* const easy = transfer.easy.get();
    const HttpCall& call = transfer.call;
    const long timeoutMs = std::max<long>(1, static_cast<long>(Foundation::toMilliseconds(call.timeout)));
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMs);
    const auto connectTimeoutMs = static_cast<long>(Foundation::toMilliseconds(call.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, connectTimeoutMs));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(call.maximumIdleAge.count()));
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, uploadBufferBytes);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
    if (call.connectionUse == ConnectionUse::Dedicated)
        useDedicatedConnection(easy);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    // libcurl accepts more than the grammar of chunks allows, so it leaves their framing in the body.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    // An empty name disables the proxies of the environment variables.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    setBody(transfer);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    // Removes the header with which libcurl waits for an interim answer before it sends a long body.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : call.headers)
        list = curl_slist_append(list, header.c_str());
    transfer.headerList.reset(list);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
}

void deliverResult(Transfer& transfer, CURLcode code)
{
    if (transfer.isEndedAfterHead && code == CURLE_WRITE_ERROR)
        code = CURLE_OK;
    transfer.result.isMalformed = isMalformed(code, transfer);
    if (code == CURLE_OK)
        transfer.answer->finish();
    transfer.result.outcome = toCallOutcome(code, transfer);
    transfer.result.status = answerStatus(transfer.easy.get());
    transfer.result.contentType = answerContentType(transfer.easy.get());
    transfer.result.error = errorText(code, transfer);
    transfer.result.isKeptConnectionLost = isKeptConnectionLost(code, transfer);
    transfer.result.isLikelyUnread = isLikelyUnread(code, transfer);
    transfer.result.isRefused
        = code == CURLE_COULDNT_CONNECT && !transfer.wasSent && socketError(transfer.easy.get()) == ECONNREFUSED;
    asio::post(
        *transfer.context, [onEnd = std::move(transfer.handlers.onEnd), result = std::move(transfer.result)]() mutable {
            onEnd(std::move(result));
        });
}

} // namespace Platform
