#pragma once

#include <platform/httptransfers.h>
#include <wire/messages.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Agent {

/** A stream that the engine runs, with the memory that it holds there in tokens. */
struct UpstreamStream {
    std::string id;
    std::int64_t tokens = 0;
};

/** The status that an upstream reports. */
struct UpstreamStatus {
    /** Identifies the process of the upstream; changes with each restart. */
    std::string generation;
    bool draining = false;
};

class UpstreamClient {
public:
    /**
     * @param transfers runs the HTTP calls; must outlive the client.
     * @param baseUrl the URL of the upstream, without a slash at the end.
     */
    UpstreamClient(Platform::HttpTransfers& transfers, std::string baseUrl);

    /**
     * Dispatches a request to the upstream.
     * @param budget the time until the deadline of the request.
     * @param priority the priority at the engine; lower is served first.
     * @param handlers called with the answer.
     * @return the identifier of the call.
     */
    Platform::CallId dispatch(const Wire::Offer& offer, std::string body, Foundation::Duration budget, int priority,
        Platform::StreamHandlers handlers);

    /**
     * Requests the rest of an answer whose call was interrupted.
     * @param attempt the attempt, which is also the identifier of the stream.
     * @param fromByte the number of bytes received so far.
     * @param budget the time until the deadline of the request.
     * @param handlers called with the rest of the answer.
     * @return the identifier of the call.
     */
    Platform::CallId resume(std::string_view attempt, std::uint64_t fromByte, Foundation::Duration budget,
        Platform::StreamHandlers handlers);

    /** Aborts the call of a request. The engine may still run the request. */
    void abandonCall(Platform::CallId call);

    /**
     * Cancels a stream at the engine.
     * @param onEnd called at the end of the call. The engine also acknowledges the cancellation of an unknown stream.
     */
    void cancelStream(std::string_view stream, std::function<void(bool acknowledged)> onEnd);

    /**
     * Reads the status of the upstream.
     * @param onEnd called with the status, or UpstreamDown, and with whether its address refused the connection.
     */
    void readStatus(std::function<void(Foundation::Result<UpstreamStatus>, bool isRefused)> onEnd);

    /**
     * Reads the list of streams that the engine runs.
     * @param onEnd called with the streams, or UpstreamDown.
     */
    void listStreams(std::function<void(Foundation::Result<std::vector<UpstreamStream>>)> onEnd);

private:
    Platform::HttpTransfers& transfers;
    std::string baseUrl;
};

} // namespace Agent
