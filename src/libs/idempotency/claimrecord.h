#pragma once

#include <foundation/resultcode.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Idempotency {

/** Claims the exclusive right to execute the request with an idempotency key. */
struct Claim {
    std::string key;
    std::string attempt;
    /** The incarnation of the claiming agent; only this one may dispatch the request. */
    std::string incarnation;
    /** A digest of the request, which detects that a key is reused for a different request. */
    std::string fingerprint;

    bool operator==(const Claim&) const = default;
};

/** Releases a claim. Only the claimant writes it, and only if it has not dispatched the request and never will. */
struct Release {
    std::string key;
    std::string attempt;

    bool operator==(const Release&) const = default;
};

/** Stores the answer to the request with a key. */
struct StoredAnswer {
    std::string key;
    std::string attempt;
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer&) const = default;
};

using ClaimEntry = std::variant<Claim, Release, StoredAnswer>;

/** Encodes entries as one record of the log, a JSON array. */
std::string encodeClaims(std::span<const ClaimEntry> entries);

/**
 * Decodes a record of the log.
 * @return its entries in order, or MalformedMessage.
 */
Foundation::Result<std::vector<ClaimEntry>> decodeClaims(std::string_view text);

} // namespace Idempotency
