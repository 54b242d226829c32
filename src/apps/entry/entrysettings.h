#pragma once

#include <application/processsettings.h>
#include <foundation/resultcode.h>
#include <wire/bodysender.h>

#include <string_view>

namespace Entry {

/** The settings of an entry process. */
struct EntrySettings {
    Application::ProcessSettings process;
    /** The number of threads that serve requests. */
    std::size_t threads = 0;
    /** How long an attempt waits for its agent to be connected again. */
    Foundation::Duration recoveryTime {};
    /** Whether request bodies are sent in acknowledged chunks, so that other messages can be sent in between. */
    Wire::Interleaving interleaving = Wire::Interleaving::On;
};

/**
 * Parses and validates the settings of an entry.
 * @param fileName the file name for error messages.
 * @param text JSON with comments.
 * @return the settings, or SettingsInvalid with one line for each error.
 */
Foundation::Result<EntrySettings> parseEntrySettings(std::string_view fileName, std::string_view text);

} // namespace Entry
