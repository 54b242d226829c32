#include "changepublisher.h"
#include "entryclient.h"
#include "synchronouslog.h"

#include <application/commandline.h>
#include <configuration/documentdifference.h>
#include <configuration/environmentparser.h>
#include <foundation/identifier.h>
#include <foundation/sha256.h>

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(log, "http://127.0.0.1:7000", "URL of the log service");
DEFINE_string(entries, "", "addresses of the entries, separated by commas");
DEFINE_string(token, "", "authentication token of the environment");
DEFINE_string(change, "", "identifier of the change; pass the same one to repeat a command whose result is unknown");
DEFINE_bool(json, false, "print JSON");
DEFINE_int32(wait_seconds, 8, "longest time to wait until a change is in force everywhere");

namespace {

using Application::ExitCode;
using Configuration::ConfigurationRecord;
using Configuration::ConfigurationState;
using Ctl::ChangeOutcome;
using Ctl::EntryStatus;

constexpr std::string_view usage = R"(operates an environment of bluebellrelay
usage: bluebellctl [flags] COMMAND
  check FILE                        checks an environment document
  diff FILE                         shows what a document would change
  publish FILE                      publishes a document
  take-out failureDomain|instance NAME
  bring-back failureDomain|instance NAME
  status                            shows the configuration version of each entry and agent
  explain REQUEST                   shows the route of a request and the reasons for it
  hash-key KEY                      prints the digest of an API key for a document
exit codes: 0 success, 1 failure, 2 usage, 4 invalid document, 5 another change came first,
  6 unknown result, 7 log unavailable, 8 not yet in force everywhere, 9 unknown target)";

std::vector<std::string> splitAddresses(const std::string& text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string address; std::getline(stream, address, ',');) {
        if (!address.empty())
            addresses.push_back(address);
    }
    return addresses;
}

int printResult(ExitCode code, const nlohmann::json& fields, std::string_view text)
{
    if (FLAGS_json) {
        nlohmann::json output = fields;
        output["exitCode"] = static_cast<int>(code);
        std::cout << output.dump(2) << '\n';
    } else if (!text.empty()) {
        (code == ExitCode::Success ? std::cout : std::cerr) << text << '\n';
    }
    return static_cast<int>(code);
}

int printError(ExitCode code, std::string_view text) { return printResult(code, { { "error", text } }, text); }

class CommandRunner {
public:
    CommandRunner()
        : log(this->calls, FLAGS_log)
        , entries(this->calls, splitAddresses(FLAGS_entries), FLAGS_token)
    {
    }

    int check(const std::string& file)
    {
        const auto text = Application::readFile(file);
        if (!text)
            return printError(ExitCode::Usage, "cannot read '" + file + "'");
        const auto document = Configuration::parseEnvironment(file, *text);
        if (!document)
            return printError(ExitCode::DocumentInvalid, document.error().message);
        return printResult(ExitCode::Success, { { "valid", true } }, file + " is valid");
    }

    int showDifference(const std::string& file)
    {
        const int checked = this->validateFile(file);
        if (checked != static_cast<int>(ExitCode::Success))
            return checked;
        if (!this->log.refresh())
            return printError(ExitCode::LogUnavailable, "the log cannot be read");
        const auto after = Configuration::parseEnvironment(file, *Application::readFile(file));
        Configuration::EnvironmentDocument before;
        const ConfigurationState& state = this->log.projection().state();
        if (state.documentVersion != 0)
            before = Configuration::parseEnvironment("in force", state.documentText).value();
        const auto lines = Configuration::describeDifference(before, after.value());
        std::string text;
        for (const std::string& line : lines)
            text += line + "\n";
        text += std::to_string(lines.size()) + " differences to version " + std::to_string(state.documentVersion);
        return printResult(ExitCode::Success, { { "differences", lines }, { "base", state.documentVersion } }, text);
    }

    int publish(const std::string& file)
    {
        const int checked = this->validateFile(file);
        if (checked != static_cast<int>(ExitCode::Success))
            return checked;
        const std::string text = *Application::readFile(file);
        return this->publishChange([&text](const std::string& id, const ConfigurationState& state) {
            return ConfigurationRecord(Configuration::DocumentRecord { id, state.documentVersion, text });
        });
    }

    int setServiceState(const std::string& kind, const std::string& name, Configuration::ServiceState state)
    {
        const auto targetKind = Configuration::targetKindFromString(kind);
        if (!targetKind)
            return printError(ExitCode::UnknownTarget, targetKind.error().message);
        const Configuration::Target target { targetKind.value(), name };
        if (!this->isKnownTarget(target))
            return printError(ExitCode::UnknownTarget, "no " + kind + " is called '" + name + "'");
        return this->publishChange([&target, state](const std::string& id, const ConfigurationState& current) {
            return ConfigurationRecord(
                Configuration::ServiceStateRecord { id, current.targetVersion(target), target, state });
        });
    }

    int status()
    {
        const bool isLogRead = this->log.refresh().has_value();
        const ConfigurationState& state = this->log.projection().state();
        const std::vector<EntryStatus> statuses = this->entries.readStatus();
        nlohmann::json fields = { { "logAvailable", isLogRead }, { "version", state.version },
            { "documentVersion", state.documentVersion }, { "entries", nlohmann::json::array() },
            { "takenOut", nlohmann::json::array() } };
        std::ostringstream text;
        text << "log: " << (isLogRead ? "version " + std::to_string(state.version) : std::string("unavailable"));
        for (const auto& [target, targetState] : state.targets) {
            if (targetState.state != Configuration::ServiceState::TakenOut)
                continue;
            fields["takenOut"].push_back(std::string(toString(target.kind)) + " " + target.name);
            text << "\ntaken out: " << toString(target.kind) << ' ' << target.name;
        }
        for (const EntryStatus& entry : statuses)
            describeEntry(entry, fields, text);
        const bool allCurrent = Ctl::EntryClient::describeOutdated(statuses, state.version).empty();
        return printResult(allCurrent ? ExitCode::Success : ExitCode::NotInForce, fields, text.str());
    }

    int explain(const std::string& request)
    {
        const auto trace = this->entries.explain(request);
        if (!trace)
            return printError(ExitCode::UnknownTarget, "no entry has a trace of request '" + request + "'");
        std::string text = "request " + request + " at entry " + trace->value("entry", "");
        for (const auto& step : trace->value("steps", std::vector<std::string>()))
            text += "\n  " + step;
        return printResult(ExitCode::Success, *trace, text);
    }

private:
    using MakeRecord = std::function<ConfigurationRecord(const std::string&, const ConfigurationState&)>;

    int validateFile(const std::string& file)
    {
        const auto text = Application::readFile(file);
        if (!text)
            return printError(ExitCode::Usage, "cannot read '" + file + "'");
        const auto document = Configuration::parseEnvironment(file, *text);
        if (!document)
            return printError(ExitCode::DocumentInvalid, document.error().message);
        return static_cast<int>(ExitCode::Success);
    }

    // The entries report the existing targets; if no entry can be reached, any name is accepted.
    bool isKnownTarget(const Configuration::Target& target)
    {
        bool anyReachable = false;
        for (const EntryStatus& entry : this->entries.readStatus()) {
            anyReachable = anyReachable || entry.reachable;
            for (const nlohmann::json& agent : entry.status.value("agents", nlohmann::json::array())) {
                const bool isDomain = target.kind == Configuration::TargetKind::FailureDomain;
                if (agent.value(isDomain ? "failureDomain" : "instance", "") == target.name)
                    return true;
            }
        }
        const bool isInLog = this->log.refresh() && this->log.projection().state().targetVersion(target) != 0;
        return isInLog || !anyReachable;
    }

    int publishChange(const MakeRecord& makeRecord)
    {
        const std::string id = FLAGS_change.empty() ? Foundation::makeIdentifier() : FLAGS_change;
        Ctl::ChangePublisher publisher(this->log, std::chrono::seconds(FLAGS_wait_seconds));
        const Ctl::ChangeResult result
            = publisher.publish(id, [&](const ConfigurationState& state) { return makeRecord(id, state); });
        const nlohmann::json fields = { { "change", id }, { "version", result.version } };
        switch (result.outcome) {
        case ChangeOutcome::Accepted:
            return this->waitUntilInForce(fields, result.version);
        case ChangeOutcome::RaceLost:
            return printResult(ExitCode::RaceLost, fields,
                "another change was accepted first; check 'bluebellctl diff' and publish again");
        case ChangeOutcome::Invalid:
            return printResult(ExitCode::DocumentInvalid, fields, "the change is invalid and was rejected");
        case ChangeOutcome::NotAppended:
            return printResult(ExitCode::LogUnavailable, fields, "the log is unavailable; nothing was changed");
        case ChangeOutcome::Unconfirmed:
            break;
        }
        return printResult(ExitCode::Unconfirmed, fields,
            "unknown whether the change was accepted; run the command again with --change " + id);
    }

    int waitUntilInForce(const nlohmann::json& fields, std::uint64_t version)
    {
        const auto start = std::chrono::steady_clock::now();
        std::vector<std::string> outdated;
        do {
            outdated = Ctl::EntryClient::describeOutdated(this->entries.readStatus(), version);
            if (outdated.empty()) {
                return printResult(ExitCode::Success, fields,
                    "accepted as version " + std::to_string(version)
                        + ", in force at all queried entries and their agents");
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        } while (std::chrono::steady_clock::now() - start < std::chrono::seconds(FLAGS_wait_seconds));
        nlohmann::json fieldsWithOutdated = fields;
        fieldsWithOutdated["behind"] = outdated;
        std::string text = "accepted as version " + std::to_string(version) + ", not yet in force everywhere";
        for (const std::string& line : outdated)
            text += "\n" + line;
        return printResult(ExitCode::NotInForce, fieldsWithOutdated, text);
    }

    static void describeEntry(const EntryStatus& entry, nlohmann::json& fields, std::ostringstream& text)
    {
        fields["entries"].push_back(
            { { "address", entry.address }, { "reachable", entry.reachable }, { "status", entry.status } });
        text << "\nentry " << entry.address;
        if (!entry.reachable) {
            text << " cannot be reached";
            return;
        }
        text << " version " << entry.status.value("version", 0) << ", active requests "
             << entry.status.value("activeRequests", 0);
        for (const nlohmann::json& agent : entry.status.value("agents", nlohmann::json::array())) {
            text << "\n  " << agent.value("instance", "") << " in " << agent.value("failureDomain", "") << " version "
                 << agent.value("version", 0) << ' ' << agent.value("availability", "") << ", running "
                 << agent.value("running", 0) << " of " << agent.value("concurrentLimit", 0) << ", queued "
                 << agent.value("queued", 0);
        }
    }

    Ctl::CallRunner calls;
    Ctl::SynchronousLog log;
    Ctl::EntryClient entries;
};

int dispatch(const std::vector<std::string>& arguments)
{
    using Configuration::ServiceState;
    const std::string command = arguments.empty() ? "" : arguments[0];
    CommandRunner runner;
    if (command == "check" && arguments.size() == 2)
        return runner.check(arguments[1]);
    if (command == "diff" && arguments.size() == 2)
        return runner.showDifference(arguments[1]);
    if (command == "publish" && arguments.size() == 2)
        return runner.publish(arguments[1]);
    if (command == "take-out" && arguments.size() == 3)
        return runner.setServiceState(arguments[1], arguments[2], ServiceState::TakenOut);
    if (command == "bring-back" && arguments.size() == 3)
        return runner.setServiceState(arguments[1], arguments[2], ServiceState::InService);
    if (command == "status" && arguments.size() == 1)
        return runner.status();
    if (command == "explain" && arguments.size() == 2)
        return runner.explain(arguments[1]);
    if (command == "hash-key" && arguments.size() == 2)
        return printResult(ExitCode::Success, { { "keySha256", Foundation::sha256Hex(arguments[1]) } },
            Foundation::sha256Hex(arguments[1]));
    std::cerr << usage << '\n';
    return static_cast<int>(ExitCode::Usage);
}

} // namespace

int main(int argc, char** argv)
{
    Application::parseCommandLine(usage, argc, argv);
    return dispatch(std::vector<std::string>(argv + 1, argv + argc));
}
