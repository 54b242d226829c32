#include "suspecttopicwriter.h"

#include <foundation/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;

constexpr Duration retryDelay = std::chrono::seconds(1);

} // namespace

SuspectTopicWriter::SuspectTopicWriter(PlatformAdapter::StoreClient& store, const Foundation::Clock& clock)
    : store(store)
    , clock(clock)
{
}

void SuspectTopicWriter::queue(const std::string& key, std::optional<std::string> value)
{
    this->pending[key] = std::move(value);
}

void SuspectTopicWriter::postpone(Duration delay)
{
    this->nextAppend = std::max(this->nextAppend, this->clock.now() + delay);
}

void SuspectTopicWriter::tick()
{
    if (this->pending.empty() || this->isAppending || this->clock.now() < this->nextAppend)
        return;
    std::vector<StoreCache::KeyedRecord> records;
    for (const auto& [key, value] : this->pending)
        records.push_back({ key, value, 0 });
    this->isAppending = true;
    this->nextAppend = this->clock.now() + retryDelay;
    this->store.append(PlatformAdapter::Topic::suspects, records, [this, records](bool isDone) {
        this->isAppending = false;
        if (!isDone) {
            logEvent(Event::LogUnavailable, "",
                "topic=" + std::string(PlatformAdapter::Topic::suspects)
                    + " records=" + std::to_string(records.size()));
            return;
        }
        this->nextAppend = {};
        for (const StoreCache::KeyedRecord& record : records) {
            const auto found = this->pending.find(record.key);
            if (found != this->pending.end() && found->second == record.value)
                this->pending.erase(found);
        }
    });
}

} // namespace Gateway
