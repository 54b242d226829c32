#pragma once

#include "httptransfers.h"

#include <foundation/resultcode.h>
#include <membership/instance.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

/** Reads the platform's list of live and draining instances. */
class InstanceListClient {
public:
    /** @param transfers must outlive the client. */
    InstanceListClient(HttpTransfers& transfers, std::string url);

    /** Reads the list; calls the handler with the instances, or with NoUpstream if the list cannot be read. */
    void read(std::function<void(Foundation::Result<std::vector<Membership::Instance>>)> onDone);

private:
    HttpTransfers& transfers;
    std::string url;
};

/** Decodes the instance list from JSON; returns MalformedMessage if a field is missing or has an unexpected type. */
Foundation::Result<std::vector<Membership::Instance>> decodeInstanceList(std::string_view text);

} // namespace Platform
