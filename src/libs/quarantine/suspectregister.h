#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Quarantine {

enum class Standing : std::uint8_t {
    /** The request may run like any other. */
    Clear,
    /** The request was running when an upstream crashed; it may run once more, alone. */
    Suspect,
    /** The request was running when two upstreams crashed; it runs no more. */
    Quarantined,
};

/** A crash of an upstream and a request that was running then. */
struct CrashNotice {
    std::string fingerprint;
    /** Identifies the crash: the instance and the generation that ended. */
    std::string crash;

    auto operator<=>(const CrashNotice&) const = default;
};

class SuspectRegister {
public:
    /** The crashes after which a request runs no more, unless told otherwise. */
    static constexpr std::size_t defaultCrashLimit = 2;

    /**
     * @param clock the time source; must outlive the register.
     * @param crashLimit the crashes after which a request runs no more.
     */
    explicit SuspectRegister(const Foundation::Clock& clock, std::size_t crashLimit = defaultCrashLimit);

    /**
     * Notes that a request was running at a crash. Repeats of one notice count once.
     * @param notice the crash and the request.
     * @return whether the notice was new.
     */
    bool note(const CrashNotice& notice);

    /** Clears a suspect, since the request completed. A quarantined request stays quarantined. */
    void clear(std::string_view fingerprint);

    /** @return what is known of a request. */
    Standing standingOf(std::string_view fingerprint) const;

    /** @return the crash at which a suspect was running; empty if the request is no suspect. */
    std::string crashOf(std::string_view fingerprint) const;

    /** @return all notices that still count, for processes that start. */
    std::vector<CrashNotice> notices() const;

    std::size_t size() const { return this->suspects.size(); }

private:
    struct Suspect {
        std::set<std::string> crashes;
        Foundation::TimePoint noted;
    };

    void dropOld();

    const Foundation::Clock& clock;
    std::size_t crashLimit;
    std::map<std::string, Suspect, std::less<>> suspects;
};

} // namespace Quarantine
