#include "suspectregister.h"

#include <algorithm>

namespace Quarantine {

namespace {

constexpr std::size_t maximumSuspects = 4096;
constexpr Foundation::Duration suspectLifetime = std::chrono::hours(6);

} // namespace

/**
 * @class SuspectRegister
 * Tracks which requests were running when upstreams crashed. After one crash, a request is only a suspect, since any
 * request that happened to run at the same time looks the same. A suspect that completes is cleared; a second crash
 * quarantines it.
 */
SuspectRegister::SuspectRegister(const Foundation::Clock& clock, std::size_t crashLimit)
    : clock(clock)
    , crashLimit(crashLimit)
{
}

bool SuspectRegister::note(const CrashNotice& notice)
{
    this->removeExpired();
    Suspect& suspect = this->suspects[notice.fingerprint];
    suspect.lastNotice = this->clock.now();
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
    if (this->clock.now() - found->second.lastNotice >= suspectLifetime)
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

void SuspectRegister::removeExpired()
{
    const Foundation::TimePoint now = this->clock.now();
    std::erase_if(
        this->suspects, [now](const auto& entry) { return now - entry.second.lastNotice >= suspectLifetime; });
    if (this->suspects.size() < maximumSuspects)
        return;
    const auto oldest
        = std::ranges::min_element(this->suspects, {}, [](const auto& entry) { return entry.second.lastNotice; });
    this->suspects.erase(oldest);
}

} // namespace Quarantine
