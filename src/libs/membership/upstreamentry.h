#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Membership {

/** The entry that an upstream publishes about itself in the store. */
struct UpstreamEntry {
    std::string id;
    /** The start of this generation, in ms of the Unix epoch; distinguishes generations with the same id. */
    std::int64_t startedAtMs = 0;
    std::string service;
    /** IP address and port. */
    std::string address;
    std::string failureDomain;
    int slots = 1;
    bool isDraining = false;
    /** The remaining time for which the upstream is cold, counted from the time of the entry. */
    Foundation::Duration coldLeft {};
    /** Rises with each entry that a generation writes. */
    std::int64_t sequence = 0;
};

/** @return a unique name of a generation of an upstream, given the start of that generation. */
std::string makeGenerationId(std::string_view upstream, std::int64_t startedAtMs);

/** @return a hash of an upstream's entry; changes if any field but the id and the sequence changes. */
std::uint64_t entryDigest(const UpstreamEntry& entry);

} // namespace Membership
