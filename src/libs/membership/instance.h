#pragma once

#include <cstdint>
#include <string>

namespace Membership {

/** The state of an instance in the platform's instance list. */
enum class ListedState : std::uint8_t {
    Live,
    Draining,
};

/** An upstream instance with its agent, as listed by the platform. */
struct Instance {
    std::string id;
    /** IP address and port of the agent. */
    std::string address;
    /** The upstream of the environment document that this instance belongs to. */
    std::string upstream;
    std::string failureDomain;
    ListedState state = ListedState::Live;

    bool operator==(const Instance&) const = default;
};

} // namespace Membership
