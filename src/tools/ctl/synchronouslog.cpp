#include "synchronouslog.h"

#include <optional>

namespace Ctl {

namespace {

constexpr std::string_view streamName = "configuration";

} // namespace

Platform::HttpCallResult CallRunner::fetch(Platform::HttpCall call)
{
    Platform::HttpCallResult result;
    bool isFinished = false;
    this->transfers.fetch(std::move(call), [&](Platform::HttpCallResult received) {
        result = std::move(received);
        isFinished = true;
    });
    while (!isFinished)
        this->context.run_one();
    return result;
}

SynchronousLog::SynchronousLog(CallRunner& runner, std::string url)
    : runner(runner)
    , client(runner.transfers, std::move(url))
{
}

Foundation::Result<void> SynchronousLog::refresh()
{
    while (true) {
        std::optional<Foundation::Result<Platform::LogPage>> page;
        this->client.read(streamName, this->nextOffset, Foundation::Duration::zero(),
            [&page](const Foundation::Result<Platform::LogPage>& received) { page.emplace(received); });
        while (!page)
            this->runner.context.run_one();
        if (!*page)
            return page->error();
        for (const Platform::LogRecord& record : page->value().records) {
            this->configuration.apply(record.offset, record.data);
            this->nextOffset = record.offset + 1;
        }
        if (this->nextOffset >= page->value().end || page->value().records.empty())
            return boost::outcome_v2::success();
    }
}

Platform::AppendOutcome SynchronousLog::append(const Configuration::ConfigurationRecord& record)
{
    std::optional<Platform::AppendResult> result;
    this->client.append(streamName, Configuration::encodeRecord(record),
        [&result](const Platform::AppendResult& received) { result = received; });
    while (!result)
        this->runner.context.run_one();
    return result->outcome;
}

} // namespace Ctl
