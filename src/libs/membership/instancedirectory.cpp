#include "instancedirectory.h"

#include <algorithm>
#include <set>

namespace Membership {

namespace {

// Consecutive lists that lack a disconnected instance before it is removed.
constexpr int absencesUntilRemoved = 3;

} // namespace

bool InstanceView::acceptsRequests() const
{
    if (this->link != LinkState::Connected)
        return false;
    if (this->instance.state == ListedState::Draining)
        return false;
    return this->reported == Availability::Available;
}

void InstanceDirectory::applyList(std::span<const Instance> listed)
{
    if (listed.empty())
        return;
    std::set<std::string_view> present;
    for (const Instance& instance : listed) {
        present.insert(instance.id);
        Member& member = this->members[instance.id];
        member.absences = 0;
        const bool moved = member.view.instance.address != instance.address;
        if (moved) {
            member.view.link = LinkState::Disconnected;
            member.view.reported.reset();
        }
        member.view.instance = instance;
    }
    for (auto& [id, member] : this->members) {
        if (!present.contains(id))
            ++member.absences;
    }
    this->removeAbsent();
}

void InstanceDirectory::setLinkState(std::string_view instance, LinkState state)
{
    const auto found = this->members.find(instance);
    if (found == this->members.end())
        return;
    found->second.view.link = state;
    if (state == LinkState::Disconnected)
        found->second.view.reported.reset();
}

void InstanceDirectory::setReportedAvailability(std::string_view instance, Availability availability)
{
    const auto found = this->members.find(instance);
    if (found != this->members.end())
        found->second.view.reported = availability;
}

std::vector<InstanceView> InstanceDirectory::view() const
{
    std::vector<InstanceView> views;
    for (const auto& [id, member] : this->members)
        views.push_back(member.view);
    return views;
}

std::int64_t InstanceDirectory::countForUpstream(std::string_view upstream) const
{
    return std::ranges::count_if(
        this->members, [upstream](const auto& entry) { return entry.second.view.instance.upstream == upstream; });
}

void InstanceDirectory::removeAbsent()
{
    std::erase_if(this->members, [](const auto& entry) {
        const Member& member = entry.second;
        return member.absences >= absencesUntilRemoved && member.view.link == LinkState::Disconnected;
    });
}

} // namespace Membership
