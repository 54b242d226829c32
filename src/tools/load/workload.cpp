#include "workload.h"

#include <algorithm>
#include <cmath>

namespace Load {

namespace {

constexpr std::int64_t bytesPerToken = 4;
constexpr double microsecondsPerSecond = 1e6;
constexpr std::int64_t maximumAbandonMs = 200;

const WorkClass caption { "caption", WorkKind::Prompt, 1, 1'000, 3'000, 16, 10'000 };
const WorkClass deck { "deck", WorkKind::Prompt, 1, 15'000, 60'000, 32, 60'000 };
const WorkClass catalogue { "catalogue", WorkKind::Prompt, 1, 150'000, 300'000, 32, 120'000 };
const WorkClass browse { "browse", WorkKind::Browse, 1, 0, 0, 0, 5'000 };
const WorkClass hold { "hold", WorkKind::Booking, 1, 0, 0, 0, 10'000 };

WorkClass withShare(WorkClass workClass, double share)
{
    workClass.share = share;
    return workClass;
}

template <typename Item> std::size_t drawByShare(const std::vector<Item>& items, std::mt19937_64& random)
{
    std::vector<double> shares;
    for (const Item& item : items)
        shares.push_back(item.share);
    std::discrete_distribution<std::size_t> distribution(shares.begin(), shares.end());
    return distribution(random);
}

// Draws a prompt length that is uniformly distributed on a logarithmic scale.
std::int64_t drawTokens(const WorkClass& workClass, std::mt19937_64& random)
{
    if (workClass.maximumTokens <= workClass.minimumTokens)
        return workClass.minimumTokens;
    std::uniform_real_distribution<double> exponent(
        std::log(static_cast<double>(workClass.minimumTokens)), std::log(static_cast<double>(workClass.maximumTokens)));
    return static_cast<std::int64_t>(std::exp(exponent(random)));
}

void setPathAndBody(
    PlannedRequest& request, const WorkClass& workClass, const Workload& workload, std::mt19937_64& random)
{
    switch (workClass.kind) {
    case WorkKind::Prompt:
        request.path = "/v1/chat/completions";
        request.body = promptBody(workload.model, request.id, drawTokens(workClass, random), workClass.outputTokens);
        return;
    case WorkKind::Browse:
        request.path = "/services/" + workload.service + "/slots";
        return;
    case WorkKind::Booking:
        request.path = "/services/" + workload.service + "/holds";
        request.body = R"({"hold":")" + request.id + "\"}";
        return;
    }
}

} // namespace

std::vector<PlannedRequest> planRequests(const Workload& workload)
{
    std::mt19937_64 random(workload.seed);
    std::exponential_distribution<double> interval(workload.requestsPerSecond);
    std::vector<PlannedRequest> plan;
    double time = interval(random);
    while (time < workload.seconds) {
        PlannedRequest request;
        request.sendAtUs = static_cast<std::int64_t>(time * microsecondsPerSecond);
        request.workClass = drawByShare(workload.classes, random);
        request.account = drawByShare(workload.accounts, random);
        request.id = "load-" + std::to_string(workload.seed) + "-" + std::to_string(plan.size());
        const WorkClass& workClass = workload.classes[request.workClass];
        request.kind = workClass.kind;
        request.outputTokens = workClass.outputTokens;
        request.timeoutMs = workClass.timeoutMs;
        setPathAndBody(request, workClass, workload, random);
        if (std::bernoulli_distribution(workload.abandonShare)(random))
            request.abandonAfterMs = std::uniform_int_distribution<std::int64_t>(1, maximumAbandonMs)(random);
        plan.push_back(std::move(request));
        time += interval(random);
    }
    return plan;
}

std::vector<WorkClass> namedMix(std::string_view name)
{
    if (name == "captions")
        return { withShare(caption, 1) };
    if (name == "mixed")
        return { withShare(caption, 0.93), withShare(deck, 0.05), withShare(catalogue, 0.02) };
    if (name == "studio") {
        return { withShare(caption, 0.60), withShare(deck, 0.04), withShare(catalogue, 0.01), withShare(browse, 0.30),
            withShare(hold, 0.05) };
    }
    if (name == "booking")
        return { withShare(browse, 0.8), withShare(hold, 0.2) };
    return {};
}

std::string promptBody(std::string_view model, std::string_view id, std::int64_t tokens, std::int64_t outputTokens)
{
    std::string body = R"({"model":")" + std::string(model) + R"(","stream":true,"max_tokens":)"
        + std::to_string(outputTokens) + R"(,"messages":[{"role":"user","content":")" + std::string(id) + ": ";
    constexpr std::string_view ending = "\"}]}";
    constexpr std::string_view filler = "the quartet plays at noon ";
    const auto size = static_cast<std::size_t>(std::max<std::int64_t>(0, tokens * bytesPerToken));
    while (body.size() + ending.size() < size)
        body += filler.substr(0, std::min(filler.size(), size - ending.size() - body.size()));
    body += ending;
    return body;
}

} // namespace Load
