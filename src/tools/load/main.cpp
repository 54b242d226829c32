#include "loadgenerator.h"
#include "loadreport.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(entries, "127.0.0.1:8080", "addresses of the entries on the loopback interface, separated by commas");
DEFINE_string(key, "", "API key");
DEFINE_string(mix, "captions", "captions, mixed, studio or booking");
DEFINE_string(model, "muse-llm", "model of the prompts");
DEFINE_string(service, "booking-app", "service of the browse and booking calls");
DEFINE_double(rate, 50, "requests per second");
DEFINE_double(seconds, 5, "duration of the load in seconds");
DEFINE_uint64(seed, 1, "seed of the plan");

namespace {

constexpr double maximumSeconds = 600;

std::vector<std::string> loopbackAddresses(const std::string& text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string address; std::getline(stream, address, ',');) {
        if (address.starts_with("127."))
            addresses.push_back(address);
    }
    return addresses;
}

} // namespace

int main(int argc, char** argv)
{
    using Application::ExitCode;
    Application::parseCommandLine(
        "sends an open-loop load to entries on this machine\nusage: bluebell-load --entries A,B --key KEY", argc, argv);
    Load::Workload workload;
    workload.classes = Load::namedMix(FLAGS_mix);
    workload.accounts = { { "caller", FLAGS_key, 1 } };
    workload.model = FLAGS_model;
    workload.service = FLAGS_service;
    workload.requestsPerSecond = FLAGS_rate;
    workload.seconds = std::min(FLAGS_seconds, maximumSeconds);
    workload.seed = FLAGS_seed;
    const std::vector<std::string> entries = loopbackAddresses(FLAGS_entries);
    if (entries.empty() || workload.classes.empty() || FLAGS_rate <= 0) {
        std::cerr << "--entries on 127.x.x.x, a known --mix and a positive --rate are needed; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    Load::LoadGenerator generator(workload, entries);
    const std::vector<Load::CallRecord> records = generator.run();
    std::cout << Load::renderTable(Load::summarize(workload, records));
    return static_cast<int>(ExitCode::Success);
}
