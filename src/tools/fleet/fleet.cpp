#include "fleet.h"

#include <load/loadgenerator.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

#include <asio.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace Fleet {

namespace {

constexpr double startTimeoutSeconds = 20;
constexpr auto pollInterval = std::chrono::milliseconds(20);
constexpr std::size_t logTailBytes = 30000;

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string url(int port) { return "http://" + loopback(port); }

/**
 * Keeps other processes that look for free ports away from the ports that this one found and has not bound yet, by
 * datagram sockets on the same numbers.
 */
class PortReservations {
public:
    /** @return whether no other process has reserved the port. */
    bool add(int port)
    {
        asio::ip::udp::socket socket(this->context);
        asio::error_code error;
        socket.open(asio::ip::udp::v4(), error);
        ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
        socket.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port) }, error);
        if (error)
            return false;
        this->sockets.push_back(std::move(socket));
        if (this->sockets.size() > maximumReservations)
            this->sockets.pop_front();
        return true;
    }

private:
    // More than the ports of the fleets that run at a time in one process.
    static constexpr std::size_t maximumReservations = 800;

    asio::io_context context;
    std::deque<asio::ip::udp::socket> sockets;
};

bool startsWith(const std::string& name, const std::string& prefix) { return name.rfind(prefix, 0) == 0; }

} // namespace

int findFreePort()
{
    // The ports are below the ephemeral range, so that no outgoing connection occupies a port before its process binds
    // it. The start depends on the process id, so that fleets of concurrent processes do not choose the same ports.
    static int next = 20'000 + static_cast<int>(::getpid() * 997L % 12'000);
    static PortReservations reservations;
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    asio::io_context context;
    while (true) {
        next = next >= 32'000 ? 20'000 : next + 1;
        // To bind a port that another process has reserved would keep a server of that process from listening on it.
        if (!reservations.add(next))
            continue;
        asio::ip::tcp::acceptor acceptor(context);
        asio::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(next) }, error);
        if (!error)
            return next;
    }
}

RunningFleet::RunningFleet(std::filesystem::path programFolder, FleetPlan fleetPlan)
    : programs(std::move(programFolder))
    , plannedFleet(std::move(fleetPlan))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "bluebell-fleet-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
    this->planInstances();
    this->writeSettings();
}

RunningFleet::~RunningFleet()
{
    this->processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

bool RunningFleet::start()
{
    this->startProcess("log");
    this->startProcess("instances");
    for (const FleetInstance& instance : this->fleetInstances)
        this->startProcess("upstream-" + instance.id);
    const bool isPlatformReachable = this->waitUntilReachable(url(this->logPort) + "/counters")
        && this->waitUntilReachable(url(this->instanceListPort) + "/faults");
    if (!isPlatformReachable)
        return false;
    this->setInstanceList();
    for (const FleetInstance& instance : this->fleetInstances)
        this->startProcess("agent-" + instance.id);
    for (int entry = 0; entry < this->plannedFleet.entries; ++entry)
        this->startProcess("entry-" + std::to_string(entry));
    for (const int port : this->entryPorts) {
        if (!this->waitUntilReachable(url(port) + "/healthz"))
            return false;
    }
    const int published = this->publish(makeEnvironmentDocument(this->plannedFleet));
    return published == 0 && this->waitForAvailableAgents(this->fleetInstances.size(), startTimeoutSeconds);
}

void RunningFleet::startProcess(const std::string& name)
{
    this->processes[name] = std::make_unique<ChildProcess>((this->programs / this->programFor(name)).string(),
        this->argumentsFor(name), (this->folder / (name + ".log")).string());
}

void RunningFleet::killProcess(const std::string& name) { this->process(name).kill(); }

void RunningFleet::suspendProcess(const std::string& name) { this->process(name).signal(SIGSTOP); }

void RunningFleet::resumeProcess(const std::string& name) { this->process(name).signal(SIGCONT); }

void RunningFleet::terminate(const std::string& name) { this->process(name).signal(SIGTERM); }

int RunningFleet::waitForExit(const std::string& name) { return this->process(name).wait(); }

ChildProcess& RunningFleet::process(const std::string& name) { return *this->processes.at(name); }

bool RunningFleet::isRunning(const std::string& name) { return this->process(name).isRunning(); }

void RunningFleet::setFaults(const std::string& name, const std::string& json)
{
    int port = this->logPort;
    if (name == "instances")
        port = this->instanceListPort;
    else if (name != "log")
        port = this->findInstance(name).upstreamPort;
    // A suspended process does not answer; the short timeout keeps the caller from waiting for it.
    this->httpClient.fetch({ "POST", url(port) + "/faults", {}, json, std::chrono::seconds(1) });
}

int RunningFleet::runCtl(const std::vector<std::string>& arguments, std::string* output)
{
    std::string entries;
    for (const std::string& address : this->entryAddresses())
        entries += (entries.empty() ? "" : ",") + address;
    std::vector<std::string> all
        = { "--log=" + url(this->logPort), "--entries=" + entries, std::string("--token=") + fleetToken };
    all.insert(all.end(), arguments.begin(), arguments.end());
    static int counter = 0;
    const std::string logFile = (this->folder / ("ctl-" + std::to_string(++counter) + ".log")).string();
    ChildProcess command((this->programs / "bluebellctl").string(), all, logFile);
    const int code = command.wait();
    if (output) {
        std::ifstream file(logFile);
        std::ostringstream content;
        content << file.rdbuf();
        *output = content.str();
    }
    return code;
}

int RunningFleet::publish(const std::string& document)
{
    this->writeFile("document.json", document);
    return this->runCtl({ "publish", (this->folder / "document.json").string() });
}

void RunningFleet::setInstanceList(const std::set<std::string>& draining, const std::set<std::string>& omitted)
{
    nlohmann::json list = nlohmann::json::array();
    for (const FleetInstance& instance : this->fleetInstances) {
        if (omitted.contains(instance.id))
            continue;
        const auto listed = this->listedPorts.find(instance.id);
        const int port = listed == this->listedPorts.end() ? instance.wirePort : listed->second;
        list.push_back({ { "id", instance.id }, { "address", loopback(port) }, { "upstream", instance.upstream },
            { "failureDomain", instance.domain }, { "leaving", draining.contains(instance.id) } });
    }
    const nlohmann::json document = { { "instances", list } };
    this->httpClient.send("PUT", url(this->instanceListPort) + "/instances", document.dump());
}

bool RunningFleet::waitForAvailableAgents(std::size_t agents, double timeoutSeconds)
{
    for (const std::string& address : this->entryAddresses()) {
        const bool isAvailable = this->waitFor(
            "http://" + address + "/operator/status",
            [agents](const std::string& body) {
                const auto status = nlohmann::json::parse(body, nullptr, /* allow_exceptions */ false);
                if (!status.is_object())
                    return false;
                const auto available = std::ranges::count_if(status["agents"],
                    [](const nlohmann::json& agent) { return agent.value("availability", "") == "available"; });
                return static_cast<std::size_t>(available) == agents;
            },
            timeoutSeconds);
        if (!isAvailable)
            return false;
    }
    return true;
}

bool RunningFleet::waitFor(
    const std::string& address, const std::function<bool(const std::string&)>& condition, double timeoutSeconds)
{
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < std::chrono::duration<double>(timeoutSeconds)) {
        Platform::HttpCall call;
        call.url = address;
        call.headers.push_back(std::string("X-Bluebell-Token: ") + fleetToken);
        const Platform::HttpCallResult result = this->httpClient.fetch(std::move(call));
        if (result.isSuccess() && condition(result.body))
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool RunningFleet::warmUp()
{
    const auto isRampComplete = [](const std::string& body) {
        const auto status = nlohmann::json::parse(body, nullptr, /* allow_exceptions */ false);
        if (!status.is_object())
            return false;
        constexpr std::int64_t warmConcurrentLimit = 64;
        return std::ranges::all_of(status["agents"], [](const nlohmann::json& agent) {
            return agent.value("concurrentLimit", std::int64_t { 0 }) >= warmConcurrentLimit;
        });
    };
    for (std::uint64_t round = 0; round < 20; ++round) {
        Load::Workload workload;
        constexpr std::uint64_t warmUpSeed = 900'000;
        workload.seed = warmUpSeed + round;
        workload.model = "muse-llm";
        workload.service = "booking-app";
        workload.accounts = { { "studio", callerKey, 1 } };
        workload.classes = { { "warm-up", Load::WorkKind::Prompt, 1, 3'000, 3'000, 2, 10'000 } };
        Load::WorkClass browse = Load::namedMix("booking").front();
        browse.share = 1;
        workload.classes.push_back(browse);
        workload.requestsPerSecond = 40.0 * static_cast<double>(this->fleetInstances.size());
        workload.seconds = 1;
        Load::LoadGenerator(workload, this->entryAddresses()).run();
        if (this->waitFor("http://" + this->entryAddress(0) + "/operator/status", isRampComplete, 0.5))
            return true;
    }
    return false;
}

std::string RunningFleet::entryAddress(int entry) const
{
    return loopback(this->entryPorts.at(static_cast<std::size_t>(entry)));
}

std::vector<std::string> RunningFleet::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const int port : this->entryPorts)
        addresses.push_back(loopback(port));
    return addresses;
}

std::string RunningFleet::upstreamUrl(const FleetInstance& instance) const { return url(instance.upstreamPort); }

std::string RunningFleet::agentUrl(const FleetInstance& instance) const { return url(instance.httpPort); }

int RunningFleet::addEntry()
{
    const int entry = static_cast<int>(this->entryPorts.size());
    this->entryPorts.push_back(findFreePort());
    this->writeEntrySettings(entry);
    this->startProcess("entry-" + std::to_string(entry));
    return entry;
}

std::string RunningFleet::logTails() const
{
    std::string tails;
    for (const auto& file : std::filesystem::directory_iterator(this->folder)) {
        if (file.path().extension() != ".log")
            continue;
        std::ifstream stream(file.path());
        std::ostringstream content;
        content << stream.rdbuf();
        const std::string text = content.str();
        tails += "== " + file.path().filename().string() + "\n"
            + text.substr(text.size() > logTailBytes ? text.size() - logTailBytes : 0) + "\n";
    }
    return tails;
}

void RunningFleet::planInstances()
{
    this->logPort = findFreePort();
    this->instanceListPort = findFreePort();
    for (int entry = 0; entry < this->plannedFleet.entries; ++entry)
        this->entryPorts.push_back(findFreePort());
    for (const UpstreamGroup& group : this->plannedFleet.upstreams) {
        for (int i = 0; i < group.count; ++i) {
            const auto& domains = this->plannedFleet.domains;
            const std::string& domain = domains[static_cast<std::size_t>(i) % domains.size()];
            const std::string id = group.name + "-" + domain + "-" + std::to_string(i);
            this->fleetInstances.push_back(
                { id, domain, group.name, group.role, findFreePort(), findFreePort(), findFreePort() });
        }
    }
}

void RunningFleet::writeSettings()
{
    for (const FleetInstance& instance : this->fleetInstances) {
        this->writeFile("agent-" + instance.id + ".json",
            "{ " + this->processSettings(instance.id, instance.domain, instance.httpPort) + R"(, "upstream": ")"
                + instance.upstream + R"(", "upstreamUrl": ")" + url(instance.upstreamPort) + R"(", "wirePort": )"
                + std::to_string(instance.wirePort) + R"(, "monitorIntervalMs": 100)"
                + this->plannedFleet.extraAgentSettings + " }");
    }
    for (int entry = 0; entry < this->plannedFleet.entries; ++entry)
        this->writeEntrySettings(entry);
}

void RunningFleet::writeEntrySettings(int entry)
{
    const std::string name = "entry-" + std::to_string(entry);
    const auto& domains = this->plannedFleet.domains;
    const std::string& domain = domains[static_cast<std::size_t>(entry) % domains.size()];
    this->writeFile(name + ".json",
        "{ " + this->processSettings(name, domain, this->entryPorts[static_cast<std::size_t>(entry)])
            + this->plannedFleet.extraEntrySettings + " }");
}

void RunningFleet::writeFile(const std::string& name, const std::string& text) const
{
    std::ofstream(this->folder / name) << text;
}

std::string RunningFleet::processSettings(const std::string& instance, const std::string& domain, int httpPort) const
{
    return R"("instance": ")" + instance + R"(", "failureDomain": ")" + domain + R"(", "httpPort": )"
        + std::to_string(httpPort) + R"(, "token": ")" + fleetToken + R"(", "logUrl": ")" + url(this->logPort)
        + R"(", "instanceListUrl": ")" + url(this->instanceListPort) + R"(/instances", "logLevel": ")"
        + this->plannedFleet.logLevel + R"(", "heartbeatIntervalMs": )" + std::to_string(this->plannedFleet.heartbeatMs)
        + R"(, "connectionTimeoutMs": )" + std::to_string(this->plannedFleet.connectionTimeoutMs);
}

std::vector<std::string> RunningFleet::argumentsFor(const std::string& name) const
{
    if (name == "log") {
        std::vector<std::string> arguments = { "--role=log", "--port=" + std::to_string(this->logPort) };
        arguments.insert(arguments.end(), this->plannedFleet.logFlags.begin(), this->plannedFleet.logFlags.end());
        return arguments;
    }
    if (name == "instances")
        return { "--role=instances", "--port=" + std::to_string(this->instanceListPort) };
    if (!startsWith(name, "upstream-"))
        return { "--settings=" + (this->folder / (name + ".json")).string() };
    const FleetInstance& instance = this->findInstance(name);
    std::vector<std::string> arguments
        = { "--role=" + instance.role, "--port=" + std::to_string(instance.upstreamPort) };
    for (const UpstreamGroup& group : this->plannedFleet.upstreams) {
        if (group.name == instance.upstream)
            arguments.insert(arguments.end(), group.standinFlags.begin(), group.standinFlags.end());
    }
    return arguments;
}

std::string RunningFleet::programFor(const std::string& name) const
{
    if (startsWith(name, "agent-"))
        return "bluebell-agent";
    return startsWith(name, "entry-") ? "bluebell-entry" : "bluebell-standin";
}

const FleetInstance& RunningFleet::findInstance(const std::string& processName) const
{
    const std::string id = processName.substr(processName.find('-') + 1);
    return *std::ranges::find(this->fleetInstances, id, &FleetInstance::id);
}

bool RunningFleet::waitUntilReachable(const std::string& address)
{
    return this->waitFor(
        address, [](const std::string&) { return true; }, startTimeoutSeconds);
}

} // namespace Fleet
