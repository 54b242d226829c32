#include "metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace Foundation {

namespace {

namespace Accumulators = boost::accumulators;

constexpr std::array<double, 3> reportedQuantiles = { 0.5, 0.95, 0.99 };

using Distribution = Accumulators::accumulator_set<double,
    Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum,
        Accumulators::tag::extended_p_square_quantile>>;

struct MetricKey {
    std::string name;
    std::string labels;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the default for a null pointer.
    auto operator<=>(const MetricKey&) const = default;
};

MetricKey makeKey(std::string_view name, std::string_view labels) { return { std::string(name), std::string(labels) }; }

std::string withBraces(std::string_view labels)
{
    if (labels.empty())
        return {};
    return "{" + std::string(labels) + "}";
}

std::string reasonLabel(ResultCode reason) { return "reason=\"" + std::string(resultCodeEntry(reason).name) + "\""; }

void renderDistribution(std::ostream& out, const MetricKey& key, const Distribution& distribution)
{
    const std::string separator = key.labels.empty() ? "" : ",";
    for (const double quantile : reportedQuantiles) {
        out << key.name << '{' << key.labels << separator << "quantile=\"" << quantile << "\"} "
            << Accumulators::quantile(distribution, Accumulators::quantile_probability = quantile) << '\n';
    }
    out << key.name << "_sum" << withBraces(key.labels) << ' ' << Accumulators::sum(distribution) << '\n';
    out << key.name << "_count" << withBraces(key.labels) << ' ' << Accumulators::count(distribution) << '\n';
}

} // namespace

struct MetricRegistry::State {
    mutable std::mutex mutex;
    std::map<MetricKey, std::unique_ptr<std::atomic<std::uint64_t>>> counters;
    std::map<MetricKey, double> gauges;
    std::map<MetricKey, Distribution> distributions;
};

/**
 * @class MetricRegistry
 * Stores the counters, gauges and distributions of a process. Counters are atomic variables, so a caller can look one
 * up once and keep the reference.
 */
MetricRegistry::MetricRegistry()
    : state(std::make_unique<State>())
{
}

MetricRegistry::~MetricRegistry() = default;

std::atomic<std::uint64_t>& MetricRegistry::counter(std::string_view name, std::string_view labels)
{
    const std::lock_guard lock(this->state->mutex);
    auto& slot = this->state->counters[makeKey(name, labels)];
    if (!slot)
        slot = std::make_unique<std::atomic<std::uint64_t>>(0);
    return *slot;
}

void MetricRegistry::setGauge(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->gauges[makeKey(name, labels)] = value;
}

void MetricRegistry::observe(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(this->state->mutex);
    auto slot = this->state->distributions.find(makeKey(name, labels));
    if (slot == this->state->distributions.end()) {
        Distribution distribution(Accumulators::extended_p_square_probabilities = reportedQuantiles);
        slot = this->state->distributions.emplace(makeKey(name, labels), distribution).first;
    }
    slot->second(value);
}

void MetricRegistry::countRefusal(ResultCode reason)
{
    this->counter("bluebell_refusals_total", reasonLabel(reason)).fetch_add(1, std::memory_order_relaxed);
}

void MetricRegistry::countRetry(ResultCode reason)
{
    this->counter("bluebell_retries_total", reasonLabel(reason)).fetch_add(1, std::memory_order_relaxed);
}

std::string MetricRegistry::render() const
{
    std::ostringstream out;
    const std::lock_guard lock(this->state->mutex);
    for (const auto& [key, value] : this->state->counters)
        out << key.name << withBraces(key.labels) << ' ' << value->load() << '\n';
    for (const auto& [key, value] : this->state->gauges)
        out << key.name << withBraces(key.labels) << ' ' << value << '\n';
    for (const auto& [key, distribution] : this->state->distributions)
        renderDistribution(out, key, distribution);
    return out.str();
}

} // namespace Foundation
