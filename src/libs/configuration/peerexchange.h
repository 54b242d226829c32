#pragma once

#include "configurationstate.h"

#include <nlohmann/json_fwd.hpp>

namespace Configuration {

/**
 * Encodes a state for a peer with an older one.
 * @param peerDocumentVersion the version of the peer's document.
 * @param state the state to send.
 * @return the JSON form of the state, without the document if the peer already has it.
 */
nlohmann::json makeDifference(std::uint64_t peerDocumentVersion, const ConfigurationState& state);

/**
 * Decodes the state that a peer encoded with makeDifference().
 * @param own the state of this process, which provides the document if the difference has none.
 * @return the peer's state, or MalformedMessage.
 */
Foundation::Result<ConfigurationState> applyDifference(const ConfigurationState& own, const nlohmann::json& difference);

} // namespace Configuration
