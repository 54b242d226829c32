#include "naiveconfiguration.h"

using namespace Configuration;

namespace {

std::string changeIdOrEmpty(const ConfigurationRecord& record)
{
    if (const auto* const document = std::get_if<DocumentRecord>(&record))
        return document->changeId;
    if (const auto* const change = std::get_if<ServiceStateRecord>(&record))
        return change->changeId;
    return {};
}

// Returns whether both records change the document, or both change the service state of the same target.
bool changesSameItem(const ConfigurationRecord& a, const ConfigurationRecord& b)
{
    if (a.index() != b.index())
        return false;
    const auto* const change = std::get_if<ServiceStateRecord>(&a);
    return !change || change->target == std::get<ServiceStateRecord>(b).target;
}

} // namespace

void NaiveConfiguration::append(const ConfigurationRecord& record) { this->records.push_back(record); }

std::uint64_t NaiveConfiguration::version() const
{
    for (std::size_t i = this->records.size(); i > 0; --i) {
        if (this->isAccepted(i - 1))
            return i;
    }
    return 0;
}

std::string NaiveConfiguration::document() const
{
    for (std::size_t i = this->records.size(); i > 0; --i) {
        const auto* const document = std::get_if<DocumentRecord>(&this->records[i - 1]);
        if (document && this->isAccepted(i - 1))
            return document->text;
    }
    return {};
}

bool NaiveConfiguration::isTakenOut(const Target& target) const
{
    for (std::size_t i = this->records.size(); i > 0; --i) {
        const auto* const change = std::get_if<ServiceStateRecord>(&this->records[i - 1]);
        if (change && change->target == target && this->isAccepted(i - 1))
            return change->state == ServiceState::TakenOut;
    }
    return false;
}

bool NaiveConfiguration::isAccepted(std::size_t offset) const
{
    const ConfigurationRecord& record = this->records[offset];
    if (std::holds_alternative<SnapshotRecord>(record))
        return false;
    for (std::size_t i = 0; i < offset; ++i) {
        if (changeIdOrEmpty(this->records[i]) == changeIdOrEmpty(record))
            return false;
    }
    const auto* const document = std::get_if<DocumentRecord>(&record);
    const std::uint64_t base = document ? document->base : std::get<ServiceStateRecord>(record).base;
    return base == this->expectedBase(offset);
}

std::uint64_t NaiveConfiguration::expectedBase(std::size_t offset) const
{
    for (std::size_t i = offset; i > 0; --i) {
        if (changesSameItem(this->records[i - 1], this->records[offset]) && this->isAccepted(i - 1))
            return i;
    }
    return 0;
}
