#pragma once

#include <configuration/configurationprojection.h>
#include <platform/httptransfers.h>
#include <platform/logclient.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <string>

namespace Ctl {

/** Runs the HTTP calls of a command one at a time and waits for each result. */
struct CallRunner {
    asio::io_context context { 1 };
    // Keeps the context from entering the stopped state between two calls.
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(this->context);
    Platform::HttpTransfers transfers { context };

    /** Makes a call and waits for its result. */
    Platform::HttpCallResult fetch(Platform::HttpCall call);
};

/** Reads and appends to the configuration stream of the log with blocking calls. */
class SynchronousLog {
public:
    /**
     * @param runner must outlive this object.
     * @param url the URL of the log service.
     */
    SynchronousLog(CallRunner& runner, std::string url);

    /**
     * Reads the configuration stream to its end and applies the new records.
     * @return LogUnavailable if a read fails.
     */
    Foundation::Result<void> refresh();

    /** Appends a record to the configuration stream; the record is not applied before the next refresh(). */
    Platform::AppendOutcome append(const Configuration::ConfigurationRecord& record);

    /** Returns the configuration state that results from the records read so far. */
    const Configuration::ConfigurationProjection& projection() const { return this->configuration; }

private:
    CallRunner& runner;
    Platform::LogClient client;
    Configuration::ConfigurationProjection configuration;
    std::uint64_t nextOffset = 0;
};

} // namespace Ctl
