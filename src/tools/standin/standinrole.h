#pragma once

#include <web/httpserver.h>

#include <memory>

namespace Standin {

/** A simulated external system that answers HTTP requests. */
class StandinRole {
public:
    virtual ~StandinRole() = default;

    /** Answers a request, possibly after this call returns. */
    virtual void handle(const std::shared_ptr<Web::HttpExchange>& exchange) = 0;
};

} // namespace Standin
