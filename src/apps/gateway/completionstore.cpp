#include "completionstore.h"

#include <foundation/logging.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Quarantine::RequestCompletion;

// Well below the time for which a completion counts.
constexpr Duration writeInterval = std::chrono::seconds(5);
constexpr Duration retryDelay = std::chrono::seconds(1);
// Finding what to write goes through all recent completions.
constexpr Duration checkInterval = std::chrono::seconds(1);
// Two of each failure domain, so that one that has just started or cannot reach the store is no gap.
constexpr std::size_t writersPerDomain = 2;
constexpr std::size_t maximumStored = 64;
constexpr const char* timeField = "writtenMs";
constexpr const char* requestsField = "requests";

std::int64_t toEpochMs(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

bool isValidRequest(const nlohmann::json& item)
{
    return item.is_array() && item.size() == 3 && item[0].is_string() && item[1].is_number_integer()
        && item[2].is_number_unsigned();
}

bool isValid(const nlohmann::json& fields)
{
    return fields.is_object() && fields.contains(timeField) && fields[timeField].is_number_integer()
        && fields.contains(requestsField) && fields[requestsField].is_array()
        && std::ranges::all_of(fields[requestsField], isValidRequest);
}

} // namespace

CompletionStore::CompletionStore(PlatformAdapter::StoreClient& store, const Foundation::Clock& clock,
    const Foundation::WallClock& wallClock, Quarantine::SuspectRegistry& suspects, std::string failureDomain,
    Handlers handlers)
    : store(store)
    , clock(clock)
    , wallClock(wallClock)
    , suspects(suspects)
    , failureDomain(std::move(failureDomain))
    , handlers(std::move(handlers))
{
}

void CompletionStore::tick()
{
    if (this->isCalling || this->clock.now() < this->nextCall || !this->handlers.isStoreReachable())
        return;
    if (!this->isRead) {
        this->read();
        return;
    }
    // What is written replaces what others wrote, so it is read first.
    if (const std::size_t rank = this->handlers.domainRank(); rank < writersPerDomain)
        this->write(rank);
}

void CompletionStore::read()
{
    this->isCalling = true;
    this->store.readListing(PlatformAdapter::Topic::completions, [this](auto listing) {
        this->isCalling = false;
        if (!listing) {
            this->nextCall = this->clock.now() + retryDelay;
            if (!std::exchange(this->isFailing, true))
                logEvent(Event::LogUnavailable, "",
                    "topic=" + std::string(PlatformAdapter::Topic::completions) + " reason=" + listing.error().message);
            return;
        }
        this->isFailing = false;
        this->isRead = true;
        for (const StoreCache::KeyedRecord& record : listing.value().records)
            this->onRecord(record);
    });
}

void CompletionStore::onRecord(const StoreCache::KeyedRecord& record)
{
    if (!record.value)
        return;
    const auto fields = nlohmann::json::parse(*record.value, nullptr, /* allow_exceptions */ false);
    if (!isValid(fields)) {
        logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
        return;
    }
    const std::int64_t storedForMs
        = std::max<std::int64_t>(0, toEpochMs(this->wallClock.now()) - fields[timeField].get<std::int64_t>());
    for (const auto& item : fields[requestsField]) {
        const std::int64_t ageMs = std::max<std::int64_t>(0, item[1].get<std::int64_t>());
        this->suspects.recordCompletion(
            { item[0].get<std::string>(), std::chrono::milliseconds(storedForMs + ageMs), item[2].get<std::size_t>() });
    }
}

void CompletionStore::write(std::size_t rank)
{
    const TimePoint now = this->clock.now();
    this->nextCall = now + checkInterval;
    const std::vector<RequestCompletion> completions = this->suspects.completions(maximumStored);
    if (completions.empty())
        return;
    const TimePoint newest = now - std::ranges::min_element(completions, {}, &RequestCompletion::age)->age;
    if (newest <= this->writtenUpTo)
        return;
    nlohmann::json requests = nlohmann::json::array();
    for (const RequestCompletion& completion : completions)
        requests.push_back({ completion.fingerprint, Foundation::toMilliseconds(completion.age), completion.count });
    const nlohmann::json value { { timeField, toEpochMs(this->wallClock.now()) }, { requestsField, requests } };
    const std::array<StoreCache::KeyedRecord, 1> record {
        { { this->failureDomain + "/" + std::to_string(rank), value.dump(), 0 } }
    };
    this->isCalling = true;
    this->nextCall = now + writeInterval;
    this->store.append(PlatformAdapter::Topic::completions, record, [this, newest](bool isDone) {
        this->isCalling = false;
        if (isDone)
            this->writtenUpTo = newest;
        else if (!this->isFailing)
            logEvent(
                Event::LogUnavailable, "", "topic=" + std::string(PlatformAdapter::Topic::completions) + " records=1");
        this->isFailing = !isDone;
    });
}

} // namespace Gateway
