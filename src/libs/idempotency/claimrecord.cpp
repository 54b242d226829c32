#include "claimrecord.h"

#include <nlohmann/json.hpp>

namespace Idempotency {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

struct EntryEncoder {
    nlohmann::json operator()(const Claim& claim) const
    {
        return { { "claim", claim.key }, { "attempt", claim.attempt }, { "incarnation", claim.incarnation },
            { "fingerprint", claim.fingerprint } };
    }

    nlohmann::json operator()(const Release& release) const
    {
        return { { "release", release.key }, { "attempt", release.attempt } };
    }

    nlohmann::json operator()(const StoredAnswer& answer) const
    {
        return { { "answer", answer.key }, { "attempt", answer.attempt }, { "status", answer.status },
            { "contentType", answer.contentType }, { "body", answer.body } };
    }
};

ClaimEntry decodeEntry(const nlohmann::json& value)
{
    const auto text = [&value](const char* name) { return value.at(name).get<std::string>(); };
    if (value.contains("claim"))
        return Claim { text("claim"), text("attempt"), text("incarnation"), text("fingerprint") };
    if (value.contains("release"))
        return Release { text("release"), text("attempt") };
    return StoredAnswer { text("answer"), text("attempt"), value.at("status").get<int>(), text("contentType"),
        text("body") };
}

} // namespace

std::string encodeClaims(std::span<const ClaimEntry> entries)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ClaimEntry& entry : entries)
        list.push_back(std::visit(EntryEncoder {}, entry));
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<std::vector<ClaimEntry>> decodeClaims(std::string_view text)
{
    std::vector<ClaimEntry> entries;
    try {
        const nlohmann::json list = nlohmann::json::parse(text);
        if (!list.is_array())
            return Error { ResultCode::MalformedMessage, "a claim record must be a JSON array" };
        for (const nlohmann::json& value : list)
            entries.push_back(decodeEntry(value));
    } catch (const std::exception& exception) {
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
    return entries;
}

} // namespace Idempotency
