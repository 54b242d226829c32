#include "suspectregister.h"

#include <algorithm>

namespace Quarantine {

namespace {

constexpr std::size_t maximumSuspects = 4096;
constexpr Foundation::Duration suspectLifetime = std::chrono::hours(6);

} // namespace

/**
 * @class SuspectRegister
 * Remembers which requests were running when upstreams crashed. One crash makes a request a suspect, since a
 * bystander looks the same; completing clears it, and a second crash quarantines it.
 */
SuspectRegister::SuspectRegister(const Foundation::Clock& clock, std::size_t crashLimit)
    : clock(clock)
    , crashLimit(crashLimit)
{
}

bool SuspectRegister::note(const CrashNotice& notice)
{
    this->dropOld();
    Suspect& suspect = this->suspects[notice.fingerprint];
    suspect.noted = this->clock.now();
    return suspect.crashes.insert(notice.crash).second;
}

void SuspectRegister::clear(std::string_view fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end() && found->second.crashes.size() < this->crashLimit)
        this->suspects.erase(found);
}

Standing SuspectRegister::standingOf(std::string_view fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end())
        return Standing::Clear;
    if (this->clock.now() - found->second.noted >= suspectLifetime)
        return Standing::Clear;
    return found->second.crashes.size() >= this->crashLimit ? Standing::Quarantined : Standing::Suspect;
}

std::string SuspectRegister::crashOf(std::string_view fingerprint) const
{
    if (this->standingOf(fingerprint) != Standing::Suspect)
        return {};
    return *this->suspects.find(fingerprint)->second.crashes.begin();
}

std::vector<CrashNotice> SuspectRegister::notices() const
{
    std::vector<CrashNotice> all;
    for (const auto& [fingerprint, suspect] : this->suspects) {
        for (const std::string& crash : suspect.crashes)
            all.push_back({ fingerprint, crash });
    }
    return all;
}

void SuspectRegister::dropOld()
{
    const Foundation::TimePoint now = this->clock.now();
    std::erase_if(this->suspects, [now](const auto& entry) { return now - entry.second.noted >= suspectLifetime; });
    if (this->suspects.size() < maximumSuspects)
        return;
    const auto oldest
        = std::ranges::min_element(this->suspects, {}, [](const auto& entry) { return entry.second.noted; });
    this->suspects.erase(oldest);
}

} // namespace Quarantine
