#pragma once

#include <configuration/configurationprojection.h>
#include <platform/httptransfers.h>
#include <platform/logclient.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <string>

namespace Ctl {

/** Runs the calls of a command one after the other. */
struct CallRunner {
    asio::io_context context { 1 };
    // Without it the context would stop for good between two calls.
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(this->context);
    Platform::HttpTransfers transfers { context };

    /**
     * Makes a call and waits for its end.
     * @param call the call.
     * @return its result.
     */
    Platform::HttpCallResult fetch(Platform::HttpCall call);
};

class SynchronousLog {
public:
    /**
     * @param runner runs the calls; must outlive the log.
     * @param url the URL of the log service.
     */
    SynchronousLog(CallRunner& runner, std::string url);

    /**
     * Reads the configuration stream to its end.
     * @return nothing, or LogUnavailable.
     */
    Foundation::Result<void> refresh();

    /**
     * Appends a configuration record.
     * @return how far the append got.
     */
    Platform::AppendOutcome append(const Configuration::ConfigurationRecord& record);

    const Configuration::ConfigurationProjection& fold() const { return this->configuration; }

private:
    CallRunner& runner;
    Platform::LogClient client;
    Configuration::ConfigurationProjection configuration;
    std::uint64_t next = 0;
};

} // namespace Ctl
