#pragma once

#include "loadgenerator.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Load {

/** The results of the requests of one class; times are those of served requests. */
struct ClassSummary {
    std::string name;
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t wrong = 0;
    double firstByteP50Ms = 0;
    double firstByteP95Ms = 0;
    double firstByteP99Ms = 0;
    double totalP95Ms = 0;
    /** The number of requests that were not served, by error code. */
    std::map<int, std::size_t> errors;

    double servedShare() const
    {
        return this->sent == 0 ? 1.0 : static_cast<double>(this->served) / static_cast<double>(this->sent);
    }
};

/**
 * Returns a percentile of the values; 0 without values.
 * @param fraction the fraction of values at or below the result, from 0 to 1.
 */
double percentile(std::vector<double> values, double fraction);

/** Summarizes the records of a run by class. */
std::vector<ClassSummary> summarize(const Workload& workload, std::span<const CallRecord> records);

/**
 * Returns the share of requests served for each second in which they were sent; 1 for a second without requests.
 * @param workClass the index of the class to evaluate.
 * @param seconds the length of the run.
 * @param maximumFirstByteMs a request counts as served only if its first byte arrived within this time.
 */
std::vector<double> servedShareBySecond(
    std::span<const CallRecord> records, std::size_t workClass, double seconds, double maximumFirstByteMs);

/** Renders the results as a Markdown table. */
std::string renderTable(std::span<const ClassSummary> summaries);

} // namespace Load
