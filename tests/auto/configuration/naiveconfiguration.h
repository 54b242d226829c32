#pragma once

#include <configuration/configurationrecord.h>

#include <map>
#include <string>
#include <vector>

/** A reference implementation of ConfigurationProjection that evaluates all records anew on each call. */
class NaiveConfiguration {
public:
    void append(const Configuration::ConfigurationRecord& record);

    std::uint64_t version() const;
    std::string document() const;
    bool isTakenOut(const Configuration::Target& target) const;
    bool isAccepted(std::size_t offset) const;

private:
    /** Returns the base version that the change at an offset must have to be accepted. */
    std::uint64_t expectedBase(std::size_t offset) const;

    std::vector<Configuration::ConfigurationRecord> records;
};
