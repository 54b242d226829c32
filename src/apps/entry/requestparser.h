#pragma once

#include "routingtable.h"

#include <configuration/environmentdocument.h>
#include <foundation/resultcode.h>
#include <web/httprequest.h>
#include <wire/messages.h>

#include <memory>
#include <string>

namespace Entry {

/** How the answer is delivered to the caller. */
enum class AnswerMode : std::uint8_t {
    /** In one reply, after it has arrived completely. */
    Buffered,
    /** As a stream, while it arrives. */
    Streamed,
};

/** A request that was parsed and validated. */
struct ParsedRequest {
    std::string id;
    Wire::WorkKind kind = Wire::WorkKind::Prompt;
    Configuration::AccountDefinition account;
    /** The model of a prompt or the service of a call. */
    std::string target;
    std::string method;
    std::string path;
    std::string contentType;
    std::string idempotencyKey;
    /** Identifies the content of the request; equal requests have equal fingerprints. */
    std::string fingerprint;
    Configuration::Repeatability repeatability = Configuration::Repeatability::Repeatable;
    AnswerMode answerMode = AnswerMode::Buffered;
    /** The time from the arrival of the request to its deadline. */
    Foundation::Duration timeout {};
    /** The estimated length of the prompt; 0 for a service call. */
    std::int64_t promptTokens = 0;
    /** The most tokens of the answer; 0 for a service call. */
    std::int64_t outputTokens = 0;
    /** The hash of the beginning of the prompt; 0 if the prompt is too short for prefix caching. */
    std::uint64_t prefixHash = 0;
    Configuration::LengthClass lengthClass = Configuration::LengthClass::Short;
    std::shared_ptr<const std::string> body;

    bool isRepeatable() const { return this->repeatability == Configuration::Repeatability::Repeatable; }
};

/**
 * Parses and validates a caller's request.
 * @return the request without its id, or an error with the result code for the reply.
 */
Foundation::Result<ParsedRequest> parseRequest(const Web::HttpRequest& request, const RoutingTable& table);

/**
 * Finds the client account that owns the API key of a request. The key is sent as bearer token.
 * @return the account, or UnknownAccount.
 */
Foundation::Result<Configuration::AccountDefinition> findAccount(
    const Web::HttpRequest& request, const RoutingTable& table);

} // namespace Entry
