#include "peerexchange.h"

#include <nlohmann/json.hpp>

namespace Configuration {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

} // namespace

nlohmann::json makeDifference(std::uint64_t peerDocumentVersion, const ConfigurationState& state)
{
    nlohmann::json difference = toJson(state);
    // The document is by far the largest part, and most changes concern targets only.
    if (peerDocumentVersion == state.documentVersion)
        difference.erase("document");
    return difference;
}

Result<ConfigurationState> applyDifference(const ConfigurationState& own, const nlohmann::json& difference)
{
    if (!difference.is_object())
        return Error { ResultCode::MalformedMessage, "a configuration difference must be a JSON object" };
    if (difference.contains("document"))
        return stateFromJson(difference);
    nlohmann::json complete = difference;
    complete["document"] = own.documentText;
    const Result<ConfigurationState> state = stateFromJson(complete);
    if (!state)
        return state.error();
    if (state.value().documentVersion != own.documentVersion)
        return Error { ResultCode::MalformedMessage,
            "the configuration difference has no document, and this process has another document version" };
    return state;
}

} // namespace Configuration
