#include "gatewayfleet.h"

#include "lateruncounter.h"

#include <fleet/fleet.h>
#include <foundation/identifier.h>
#include <standinanswer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <sstream>

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

constexpr int upstreamSlots = 8;
constexpr const char* upstreamTopic = "keyed.servers";

std::uint16_t nextPort() { return static_cast<std::uint16_t>(Fleet::findFreePort()); }

std::vector<std::uint16_t> nextPorts(std::size_t count)
{
    std::vector<std::uint16_t> ports(count);
    std::ranges::generate(ports, nextPort);
    return ports;
}

std::string failureDomainName(std::size_t failureDomain) { return { static_cast<char>('a' + failureDomain) }; }

nlohmann::json makeRoute(const char* name, const char* type, int timeoutMs, const char* service)
{
    return { { "name", name }, { "host", "h" }, { "path_prefix", std::string("/") + name + "/" }, { "type", type },
        { "timeout_ms", timeoutMs }, { "goal_ms", 200 }, { "service", service }, { "max_attempts", 2 } };
}

} // namespace

std::string GatewayFleet::makeDocument(int version, const std::vector<std::string>& keys)
{
    nlohmann::json stream = makeRoute("stream", "streaming", 8'000, "llm");
    stream["gap_target_ms"] = 250;
    stream["resumable"] = true;
    // For prompts that need the memory of several engines; such a stream may run once.
    nlohmann::json review = makeRoute("stream/review", "streaming", 12'000, "llm");
    review["goal_ms"] = 4'000;
    review["gap_target_ms"] = 250;
    // For prompts whose prefill takes seconds.
    nlohmann::json archive = makeRoute("stream/archive", "streaming", 30'000, "llm");
    archive["goal_ms"] = 20'000;
    archive["gap_target_ms"] = 250;
    const nlohmann::json engine = { { "slots", upstreamSlots }, { "kv_capacity", 405000 }, { "stride", 34 },
        { "step_ms", 1.31 }, { "read_per_s", 154000 }, { "pairs_per_m", 0.162 }, { "chunk", 2048 } };
    const nlohmann::json document = { { "version", version },
        { "routes",
            { makeRoute("safe", "safe", 1'500, "app"), makeRoute("unsafe", "unsafe", 1'500, "app"), stream, review,
                archive } },
        { "services", { { { "name", "app" } }, { { "name", "llm" }, { "engine", engine } } } },
        { "tenants", { { { "name", "tenant" }, { "api_keys", keys } } } } };
    return document.dump();
}

GatewayFleet::GatewayFleet(asio::io_context& context, std::filesystem::path programs, Plan plan, std::uint64_t seed)
    : plan(plan)
    , programs(std::move(programs))
    , folder(std::filesystem::temp_directory_path() / ("bluebell-gateways-" + Foundation::makeIdentifier()))
    , random(seed)
    , storePorts(nextPorts(plan.failureDomains))
    , store(context, this->storePorts.front())
    , httpTransfers(context)
{
    std::filesystem::create_directories(this->folder);
    for (std::size_t i = 1; i < plan.failureDomains; ++i)
        this->store.addEntrance(this->storePorts[i]);
    for (std::size_t i = 0; i < plan.gateways; ++i)
        this->gateways.push_back(
            { "gateway-" + std::to_string(i), nextPort(), nextPort(), nextPort(), nextPort(), nullptr });
    for (std::size_t i = 0; i < plan.applications + plan.engines; ++i) {
        UpstreamProcess upstream;
        upstream.service = i < plan.applications ? "app" : "llm";
        upstream.id = "i-" + std::to_string(++this->lastUpstreamNumber);
        upstream.failureDomain = failureDomainName(i % plan.upstreamFailureDomains);
        upstream.port = nextPort();
        this->upstreams.push_back(std::move(upstream));
    }
}

GatewayFleet::~GatewayFleet()
{
    this->gateways.clear();
    this->upstreams.clear();
    if (!std::getenv("BLUEBELL_KEEP_LOGS"))
        std::filesystem::remove_all(this->folder);
}

void GatewayFleet::start()
{
    this->store.start();
    this->store.put("keyed.op", "config", makeDocument(1, { "key" }));
    const std::string runLog = this->folder / "runs.txt";
    std::ofstream { runLog };
    this->runLogFile.open(runLog);
    for (UpstreamProcess& upstream : this->upstreams)
        this->startUpstream(upstream);
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        this->writeSettings(i);
        this->startGateway(i);
    }
}

bool GatewayFleet::isReady()
{
    for (GatewayProcess& gateway : this->gateways) {
        if (gateway.isReady || std::exchange(gateway.isReadinessPending, true))
            continue;
        Platform::HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(gateway.readinessPort) + "/readyz";
        this->httpTransfers.fetch(std::move(call), [&gateway](const Platform::HttpCallResult& result) {
            gateway.isReady = result.isSuccess();
            gateway.isReadinessPending = false;
        });
    }
    return std::ranges::all_of(this->gateways, &GatewayProcess::isReady);
}

std::string GatewayFleet::gatewayAddress(std::size_t index) const
{
    return "127.0.0.1:" + std::to_string(this->gateways[index].callerPort);
}

std::string GatewayFleet::upstreamAddress(std::size_t index) const
{
    return "127.0.0.1:" + std::to_string(this->upstreams[index].port);
}

std::string GatewayFleet::seeds() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const GatewayProcess& gateway : this->gateways)
        list.push_back("127.0.0.1:" + std::to_string(gateway.peerPort));
    return list.dump();
}

void GatewayFleet::writeSettings(std::size_t index) const
{
    const GatewayProcess& gateway = this->gateways[index];
    nlohmann::json domains;
    for (std::size_t i = 0; i < this->plan.failureDomains; ++i)
        domains[failureDomainName(i)] = "r";
    const auto endpoint = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const nlohmann::json settings = { { "logLevel", "debug" }, { "logLinesPerSecond", 5'000 },
        { "metricsPort", gateway.metricsPort },
        { "node",
            { { "node_name", gateway.name }, { "ip", "127.0.0.1" },
                { "zone", failureDomainName(this->failureDomainOf(index)) }, { "region", "r" }, { "zones", domains },
                { "listen",
                    { { "front", endpoint(gateway.callerPort) }, { "readiness", endpoint(gateway.readinessPort) },
                        { "control", endpoint(gateway.peerPort) } } },
                { "seeds", nlohmann::json::parse(this->seeds()) },
                { "limits",
                    { { "cpu_share", 0.2 }, { "memory_mb", this->plan.gatewayMemoryMb },
                        { "max_fds", this->plan.gatewayDescriptors } } },
                { "bounds",
                    { { "grace_s", 8 }, { "revoke_ms", 30'000 }, { "config_apply_ms", 2'000 },
                        { "retry_budget_ratio", 0.2 }, { "retry_budget_slack", 100 }, { "budget_window_s", 10 } } },
                { "platform", { { "address", endpoint(this->storePorts[this->failureDomainOf(index)]) } } } } } };
    std::ofstream(this->folder / (gateway.name + ".json")) << settings.dump(1);
}

void GatewayFleet::startGateway(std::size_t index)
{
    GatewayProcess& gateway = this->gateways[index];
    gateway.process = std::make_unique<Fleet::ChildProcess>((this->programs / "bluebell-gateway").string(),
        std::vector<std::string> { "--settings", (this->folder / (gateway.name + ".json")).string() },
        (this->folder / (gateway.name + ".log")).string());
    gateway.isRunning = true;
    gateway.lastDisturbance = std::chrono::steady_clock::now();
}

void GatewayFleet::killGateway(std::size_t index)
{
    GatewayProcess& gateway = this->gateways[index];
    gateway.process->kill();
    gateway.isRunning = false;
    gateway.lastDisturbance = std::chrono::steady_clock::now();
}

void GatewayFleet::stopGateway(std::size_t index)
{
    this->gateways[index].process->signal(SIGTERM);
    this->gateways[index].lastDisturbance = std::chrono::steady_clock::now();
}

void GatewayFleet::pauseGateway(std::size_t index)
{
    this->gateways[index].process->signal(SIGSTOP);
    this->gateways[index].lastDisturbance = std::chrono::steady_clock::now();
}

void GatewayFleet::resumeGateway(std::size_t index)
{
    this->gateways[index].process->signal(SIGCONT);
    this->gateways[index].lastDisturbance = std::chrono::steady_clock::now();
}

void GatewayFleet::changeSettings(std::size_t index, int memoryMb)
{
    this->plan.gatewayMemoryMb = memoryMb;
    this->writeSettings(index);
}

void GatewayFleet::sendHangup(std::size_t index) { this->gateways[index].process->signal(SIGHUP); }

std::size_t GatewayFleet::pickRunningGateway(std::mt19937_64& generator) const
{
    const std::size_t first = generator() % this->gateways.size();
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        const std::size_t index = (first + i) % this->gateways.size();
        if (this->gateways[index].isRunning)
            return index;
    }
    return first;
}

Platform::HttpCall GatewayFleet::makeCall(
    std::size_t gateway, const std::string& attemptId, const std::string& path) const
{
    Platform::HttpCall call;
    call.url = "http://" + this->gatewayAddress(gateway) + path;
    call.headers = { "Host: h", "X-Attempt-Id: " + attemptId, "X-Deadline-Ms: 6000", "Authorization: Token key",
        "X-Token-Usage: 1000,50" };
    call.timeout = std::chrono::seconds(8);
    call.connectionUse = Platform::ConnectionUse::Dedicated;
    return call;
}

bool GatewayFleet::isGatewayInTouch(std::size_t index, TimePoint now) const
{
    const GatewayProcess& gateway = this->gateways[index];
    return gateway.isRunning && now - gateway.lastDisturbance >= stabilityWindow;
}

void GatewayFleet::startUpstream(UpstreamProcess& upstream)
{
    upstream.process = std::make_unique<Fleet::ChildProcess>((this->programs / this->plan.upstreamProgram).string(),
        std::vector<std::string> { "--id", upstream.id, "--port", std::to_string(upstream.port), "--run_log",
            (this->folder / "runs.txt").string() },
        (this->folder / (upstream.id + ".log")).string());
    upstream.restartAt.reset();
    this->putEntry(upstream, /* isDraining */ false);
}

void GatewayFleet::putEntry(const UpstreamProcess& upstream, bool isDraining)
{
    this->store.put(upstreamTopic, upstream.id,
        makeUpstreamEntry({ upstream.service, upstream.port, upstream.startedAtMs, upstreamSlots, isDraining,
            upstream.failureDomain }));
}

std::string GatewayFleet::upstreamDomain(const std::string& upstreamId) const
{
    const auto found = std::ranges::find(this->upstreams, upstreamId, &UpstreamProcess::id);
    return found == this->upstreams.end() ? std::string() : found->failureDomain;
}

void GatewayFleet::writeEntry(std::size_t upstream, bool isDraining)
{
    this->putEntry(this->upstreams[upstream], isDraining);
}

void GatewayFleet::removeEntry(std::size_t upstream)
{
    this->store.removeKey(upstreamTopic, this->upstreams[upstream].id);
}

void GatewayFleet::expireUpstreamHistory() { this->store.expireHistory(upstreamTopic); }

void GatewayFleet::crashUpstream(std::size_t index)
{
    this->upstreams[index].process->kill();
    this->onCrash({ "crash", true, this->upstreams[index].id, {}, std::chrono::steady_clock::now() });
}

void GatewayFleet::pauseUpstream(std::size_t index) { this->upstreams[index].process->signal(SIGSTOP); }

void GatewayFleet::resumeUpstream(std::size_t index) { this->upstreams[index].process->signal(SIGCONT); }

void GatewayFleet::restartUpstream(std::size_t upstream)
{
    UpstreamProcess& restarted = this->upstreams[upstream];
    restarted.process->kill();
    ++restarted.startedAtMs;
    this->startUpstream(restarted);
}

void GatewayFleet::tick()
{
    const TimePoint now = std::chrono::steady_clock::now();
    this->runLogFile.clear();
    std::string line;
    while (std::getline(this->runLogFile, line)) {
        if (this->runLogFile.eof()) {
            this->partialLine += line;
            break;
        }
        this->readLogLine(std::exchange(this->partialLine, {}) + line);
    }
    for (UpstreamProcess& upstream : this->upstreams) {
        if (!upstream.restartAt || now < *upstream.restartAt)
            continue;
        upstream.process->kill();
        ++upstream.startedAtMs;
        if (!upstream.keepsId)
            upstream.id = "i-" + std::to_string(++this->lastUpstreamNumber);
        this->startUpstream(upstream);
    }
    std::erase_if(this->expiringEntries, [this, now](const ExpiringEntry& entry) {
        if (now < entry.at)
            return false;
        this->store.removeKey(upstreamTopic, entry.id);
        return true;
    });
}

void GatewayFleet::readLogLine(const std::string& line)
{
    static const std::map<std::string, LeaseEvent> leaseEvents { { "reserve", LeaseEvent::Reserved },
        { "release", LeaseEvent::Released }, { "expire", LeaseEvent::Expired } };
    std::istringstream fields(line);
    std::string what;
    std::string upstream;
    std::string name;
    std::int64_t timeMs = 0;
    fields >> what >> upstream >> name >> timeMs;
    const TimePoint time { std::chrono::milliseconds(timeMs) };
    const auto leaseEvent = leaseEvents.find(what);
    if (leaseEvent != leaseEvents.end()) {
        this->leaseEntries.push_back({ leaseEvent->second, upstream, name, time });
        return;
    }
    this->entries.push_back({ what, what == "crash", upstream, name, time });
    if (this->entries.back().isCrash)
        this->onCrash(this->entries.back());
}

void GatewayFleet::onCrash(const RunLogEntry& entry)
{
    const auto found = std::ranges::find(this->upstreams, entry.upstream, &UpstreamProcess::id);
    if (found == this->upstreams.end() || found->restartAt)
        return;
    std::uniform_int_distribution<std::int64_t> downtime(
        this->plan.shortestDowntime.count(), this->plan.longestDowntime.count());
    found->restartAt = entry.time + std::chrono::milliseconds(downtime(this->random));
    // Most upstreams come back under a new id; the entry of the old one then expires.
    found->keepsId = this->random() % 3 == 0;
    if (!found->keepsId || *found->restartAt - entry.time > entryLifetime)
        this->expiringEntries.push_back({ found->id, entry.time + entryLifetime });
}

} // namespace Proof
