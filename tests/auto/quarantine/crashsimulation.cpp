#include "crashsimulation.h"

#include <algorithm>
#include <utility>

using namespace Quarantine;
using namespace std::chrono_literals;
using Foundation::Duration;
using Foundation::TimePoint;

namespace {

constexpr std::size_t gatewayCount = 3;
constexpr std::size_t upstreamCount = 24;
constexpr std::size_t domainSize = 8;
constexpr int maximumAttempts = 2;
constexpr Duration stabilityWindow = 3s;
// A part with fewer crashes is not stored.
constexpr std::size_t storedCrashes = 2;

std::string generationName(std::size_t upstream, int generation)
{
    return "u" + std::to_string(upstream) + "/" + std::to_string(generation);
}

} // namespace

CrashSimulation::CrashSimulation(const Settings& settings)
    : settings(settings)
    , random(settings.seed)
    , upstreams(upstreamCount)
{
    this->clock.advance(1h);
    for (std::size_t i = 0; i < gatewayCount; ++i)
        this->registries.emplace_back(this->clock);
}

void CrashSimulation::run(Duration length)
{
    const TimePoint end = this->clock.now() + length;
    this->repeat(Duration(1s) / this->settings.soundRate, [this] { this->arrive(0); });
    this->after(this->settings.warmUp, [this] {
        for (int i = 1; i <= this->settings.causeCount; ++i)
            this->repeat(
                Duration(1s) / this->settings.causeRate, [this, i] { this->arrive(static_cast<PromptPart>(i)); });
    });
    const auto crashAny = [this] { this->crash(this->random() % upstreamCount); };
    if (this->settings.unrelatedCrashInterval > 0s)
        this->repeat(this->settings.unrelatedCrashInterval, crashAny);
    if (this->settings.domainLossInterval > 0s)
        this->repeat(this->settings.domainLossInterval, [this] {
            const std::size_t first = this->random() % (upstreamCount / domainSize) * domainSize;
            for (std::size_t i = first; i < first + domainSize; ++i)
                this->crash(i);
        });
    if (this->settings.restartInterval > 0s)
        this->repeat(this->settings.restartInterval, [this] { this->restartGateways(); });
    while (!this->actions.empty() && this->actions.begin()->first < end) {
        auto next = this->actions.extract(this->actions.begin());
        this->clock.advance(std::max(Duration::zero(), next.key() - this->clock.now()));
        next.mapped()();
    }
}

int CrashSimulation::lateRuns() const
{
    constexpr std::size_t fifth = 4;
    std::ptrdiff_t most = 0;
    for (const auto& [cause, crashes] : this->crashesByCause) {
        if (crashes.size() <= fifth)
            continue;
        const TimePoint limit = crashes[fifth] + stabilityWindow;
        most = std::max(most,
            std::ranges::count_if(this->runsByCause.at(cause), [limit](TimePoint sentAt) { return sentAt > limit; }));
    }
    return static_cast<int>(most);
}

void CrashSimulation::after(Duration delay, std::function<void()> action)
{
    this->actions.emplace(this->clock.now() + delay, std::move(action));
}

Duration CrashSimulation::between(Duration minimum, Duration maximum)
{
    const auto range = static_cast<std::uint64_t>((maximum - minimum).count());
    return minimum + Duration(static_cast<Duration::rep>(this->random() * 1000ull % (range + 1)));
}

void CrashSimulation::repeat(Duration interval, std::function<void()> action)
{
    this->after(this->between(0s, 2 * interval), [this, interval, action = std::move(action)] {
        action();
        this->repeat(interval, action);
    });
}

// A few parts of a kind are popular, most are rare.
PromptPart CrashSimulation::pick(int kind, int count)
{
    const int draw = static_cast<int>(this->random() % static_cast<unsigned>(count));
    const int skewed = draw * draw / count;
    return static_cast<PromptPart>(1'000 * kind + skewed);
}

void CrashSimulation::arrive(PromptPart cause)
{
    Request request { { this->pick(1, 2), this->pick(2, 5), this->pick(3, 300) }, cause, this->random() % gatewayCount,
        0 };
    if (cause != 0)
        request.parts.insert(request.parts.begin() + 2, cause);
    if (cause == 0)
        ++this->sound;
    this->registries[request.gateway].recordArrival(request.parts);
    this->send(std::move(request));
}

void CrashSimulation::send(Request request)
{
    if (this->registries[request.gateway].findCause(request.parts)) {
        this->refused += request.cause == 0 && request.attempts == 0;
        return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        if (this->upstreams[i].isUp)
            up.push_back(i);
    }
    if (up.empty())
        return;
    const std::size_t upstream = up[this->random() % up.size()];
    ++request.attempts;
    const auto attempt = std::make_shared<Attempt>(Attempt { std::move(request), this->clock.now() });
    this->upstreams[upstream].attempts.push_back(attempt);
    const Duration prefill = this->between(50ms, 300ms);
    if (attempt->request.cause == 0) {
        this->after(prefill + this->between(100ms, 3s), [=, this] { this->complete(upstream, attempt); });
        return;
    }
    this->runsByCause[attempt->request.cause].push_back(this->clock.now());
    this->after(prefill + this->between(0s, 100ms), [=, this] {
        if (attempt->hasEnded)
            return;
        this->crashesByCause[attempt->request.cause].push_back(this->clock.now());
        this->crash(upstream);
    });
}

void CrashSimulation::complete(std::size_t upstream, const std::shared_ptr<Attempt>& attempt)
{
    if (attempt->hasEnded)
        return;
    attempt->hasEnded = true;
    std::erase(this->upstreams[upstream].attempts, attempt);
    const TimePoint now = this->clock.now();
    const std::size_t gateway = attempt->request.gateway;
    const std::vector<PromptPart> suspected = this->registries[gateway].recordCompletion(attempt->request.parts);
    if (suspected.empty())
        return;
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        if (i != gateway)
            this->after(this->between(1ms, 30ms), [=, this] { this->registries[i].recordCompletion(suspected, now); });
    }
}

void CrashSimulation::crash(std::size_t upstream)
{
    Upstream& crashing = this->upstreams[upstream];
    if (!crashing.isUp)
        return;
    ++this->crashed;
    crashing.isUp = false;
    const std::string generation = generationName(upstream, crashing.generation);
    const std::vector<std::shared_ptr<Attempt>> lost = std::exchange(crashing.attempts, {});
    const Duration detection = this->settings.isSilent ? this->between(400ms, 1300ms) : 5ms;
    for (const auto& attempt : lost) {
        attempt->hasEnded = true;
        this->after(this->settings.isSilent ? detection : this->between(1ms, 20ms),
            [=, this] { this->lose(generation, attempt); });
    }
    if (this->settings.isSilent)
        this->after(detection + 10ms, [=, this] { this->confirm(generation); });
    this->after(this->between(2s, 5s), [this, upstream] {
        ++this->upstreams[upstream].generation;
        this->upstreams[upstream].isUp = true;
    });
}

void CrashSimulation::lose(const std::string& generation, const std::shared_ptr<Attempt>& attempt)
{
    const CrashCertainty certainty = this->settings.isSilent ? CrashCertainty::Possible : CrashCertainty::Suspected;
    const PartCrash crash { generation, certainty, attempt->sentAt, this->clock.now(), attempt->request.parts };
    const std::size_t gateway = attempt->request.gateway;
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        const Duration delay = i == gateway ? 0s : this->between(1ms, this->settings.isSilent ? 300ms : 30ms);
        if (i == gateway)
            this->registries[i].record(crash);
        else
            this->after(delay, [=, this] { this->registries[i].record(crash); });
    }
    if (attempt->request.attempts < maximumAttempts)
        this->send(attempt->request);
}

void CrashSimulation::confirm(const std::string& generation)
{
    const auto hasCrashed = [generation](std::string_view name) { return name == generation; };
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        for (const Duration delay : { 0ms, 400ms })
            this->after(delay + this->between(0ms, 400ms), [=, this] { this->registries[i].confirmEnded(hasCrashed); });
    }
}

void CrashSimulation::restartGateways()
{
    const std::vector<PartCrash> stored = this->registries.front().repeatedCrashes(storedCrashes);
    this->registries.clear();
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        this->registries.emplace_back(this->clock);
        for (const PartCrash& crash : stored)
            this->registries.back().record(crash);
    }
    for (Upstream& upstream : this->upstreams) {
        for (const auto& attempt : std::exchange(upstream.attempts, {}))
            attempt->hasEnded = true;
    }
}
