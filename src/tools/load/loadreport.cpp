#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Load {

namespace {

constexpr double msPerSecond = 1000;

std::string describeErrors(const std::map<int, std::size_t>& errors)
{
    std::string text;
    for (const auto& [code, count] : errors)
        text += (text.empty() ? "" : ", ") + std::to_string(code) + ": " + std::to_string(count);
    return text.empty() ? "none" : text;
}

} // namespace

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const std::size_t index = std::min(values.size() - 1, rank == 0 ? 0 : rank - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

std::vector<ClassSummary> summarize(const Workload& workload, std::span<const CallRecord> records)
{
    std::vector<ClassSummary> summaries;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        ClassSummary summary;
        summary.name = workload.classes[i].name;
        std::vector<double> firstBytes;
        std::vector<double> totals;
        for (const CallRecord& record : records) {
            if (record.workClass != i)
                continue;
            ++summary.sent;
            summary.wrong += record.isWrong ? 1 : 0;
            if (!record.isServed) {
                ++summary.errors[record.errorCode];
                continue;
            }
            ++summary.served;
            firstBytes.push_back(record.firstByteMs);
            totals.push_back(record.totalMs);
        }
        summary.firstByteP50Ms = percentile(firstBytes, 0.5);
        summary.firstByteP95Ms = percentile(firstBytes, 0.95);
        summary.firstByteP99Ms = percentile(firstBytes, 0.99);
        summary.totalP95Ms = percentile(totals, 0.95);
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::vector<double> servedShareBySecond(
    std::span<const CallRecord> records, std::size_t workClass, double seconds, double maximumFirstByteMs)
{
    const auto count = static_cast<std::size_t>(std::ceil(seconds));
    std::vector<double> sent(count, 0);
    std::vector<double> served(count, 0);
    for (const CallRecord& record : records) {
        const auto second = static_cast<std::size_t>(record.sentAtMs / msPerSecond);
        if (record.workClass != workClass || second >= count)
            continue;
        sent[second] += 1;
        if (record.isServed && record.firstByteMs <= maximumFirstByteMs)
            served[second] += 1;
    }
    for (std::size_t i = 0; i < count; ++i)
        served[i] = sent[i] == 0 ? 1 : served[i] / sent[i];
    return served;
}

std::string renderTable(std::span<const ClassSummary> summaries)
{
    std::ostringstream out;
    out << "| class | sent | served | first byte p50 ms | p95 ms | p99 ms | total p95 ms | errors by code |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- |\n"
        << std::fixed << std::setprecision(1);
    for (const ClassSummary& summary : summaries) {
        out << "| " << summary.name << " | " << summary.sent << " | " << summary.served << " | "
            << summary.firstByteP50Ms << " | " << summary.firstByteP95Ms << " | " << summary.firstByteP99Ms << " | "
            << summary.totalP95Ms << " | " << describeErrors(summary.errors) << " |\n";
    }
    return out.str();
}

} // namespace Load
