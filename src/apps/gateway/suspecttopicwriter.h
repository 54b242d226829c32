#pragma once

#include <foundation/clock.h>

#include "platform/storeclient.h"

#include <map>
#include <optional>
#include <string>

namespace Gateway {

/** Writes records to the topic of crash notices, again and again until the store acknowledges them. */
class SuspectTopicWriter {
public:
    /** Both parameters must outlive this object. */
    SuspectTopicWriter(PlatformAdapter::StoreClient& store, const Foundation::Clock& clock);

    /** Queues a record in place of an earlier one with the same key. @param value none for a removal. */
    void queue(const std::string& key, std::optional<std::string> value);

    /** Sends nothing for a time, so that the gateways do not write all at once. */
    void postpone(Foundation::Duration delay);

    /** Sends what is queued; called at each tick of the process. */
    void tick();

private:
    PlatformAdapter::StoreClient& store;
    const Foundation::Clock& clock;
    /** Records that the store has not acknowledged; without a value for a removal. */
    std::map<std::string, std::optional<std::string>> pending;
    bool isAppending = false;
    Foundation::TimePoint nextAppend {};
};

} // namespace Gateway
