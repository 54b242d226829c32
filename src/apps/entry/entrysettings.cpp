#include "entrysettings.h"

namespace Entry {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

Result<EntrySettings> parseEntrySettings(std::string_view fileName, std::string_view text)
{
    const auto located = Foundation::parseLocatedJson(fileName, text, ResultCode::SettingsInvalid);
    if (!located)
        return located.error();
    std::vector<std::string> errors;
    Foundation::JsonObjectReader root(located.value(), "", errors);
    EntrySettings settings;
    settings.process = Application::readProcessSettings(root);
    settings.threads = static_cast<std::size_t>(root.integer("threads", 1, 64, 3));
    settings.recoveryTime = std::chrono::milliseconds(root.integer("recoveryTimeMs", 10, 60'000, 2'000));
    const bool interleave = root.boolean("interleaveBodies", true);
    settings.interleaving = interleave ? Wire::Interleaving::On : Wire::Interleaving::Off;
    root.rejectUnknownKeys();
    if (!errors.empty())
        return Error { ResultCode::SettingsInvalid, Application::joinLines(errors) };
    return settings;
}

} // namespace Entry
