#pragma once

#include <web/httpserver.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Standin {

/** Faults that tests switch at run time with POST /faults and a JSON object of integers. */
class FaultSwitches {
public:
    /** Answers requests to /faults. Returns false for any other request, which stays unanswered. */
    bool handle(Web::HttpExchange& exchange);

    /** Returns the value of a switch; 0 if it was never set. */
    std::int64_t get(std::string_view name) const;

    /** Decrements a switch if it is positive. Returns whether it was positive. */
    bool consume(std::string_view name);

private:
    std::map<std::string, std::int64_t, std::less<>> switches;
};

void respondJson(Web::HttpExchange& exchange, const nlohmann::json& value, int status = 200);

/** Parses a decimal integer. Returns the fallback if the text is not one. */
std::int64_t parseIntegerOr(std::string_view text, std::int64_t fallback);

} // namespace Standin
