#include "uncontrolledclients.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(kind, "", "part of the name of the kinds of clients to run; all if empty");
DEFINE_uint32(clients, 400, "number of clients");
DEFINE_int32(memory_mb, 260, "memory that the settings of the gateway name");
DEFINE_int32(descriptors, 4100, "maximum number of descriptors that the settings of the gateway name");
DEFINE_uint64(body_limit, 4'194'304, "maximum number of bytes of a body that the operator's document names");

namespace {

bool print(const Proof::ClientKind& kind, const Proof::CrowdPlan& plan, const std::filesystem::path& programs)
{
    const Proof::CrowdResult result = Proof::runClientCrowd(programs, plan, kind);
    const bool isKept = result.isAlive && result.isAnswered && result.peakBytes <= plan.memoryBound()
        && result.peakDescriptors <= plan.descriptorBound();
    std::cout << (isKept ? "kept   " : "broken ") << kind.name << ": " << plan.clients << " clients, "
              << result.peakBytes / 100'000 / 10.0 << " MB held, " << result.peakCountedBytes / 100'000 / 10.0
              << " MB counted, " << result.peakDescriptors << " descriptors, alive " << result.isAlive << ", answered "
              << result.isAnswered << std::endl;
    return isKept;
}

} // namespace

int main(int argc, char** argv)
{
    const std::filesystem::path programs = std::filesystem::absolute(argv[0]).parent_path();
    Application::parseCommandLine("measures a gateway with crowds of clients that keep no limit\n"
                                  "usage: bluebell-prove-clients [flags]",
        argc, argv);
    Proof::CrowdPlan plan { FLAGS_clients, FLAGS_memory_mb, FLAGS_descriptors, FLAGS_body_limit };
    bool isKept = true;
    for (const Proof::ClientKind& kind : Proof::allClientKinds(FLAGS_body_limit)) {
        if (kind.name.find(FLAGS_kind) != std::string::npos)
            isKept = print(kind, plan, programs) && isKept;
    }
    // A body of the full limit is served when nothing else is received.
    plan.clients = 0;
    plan.ordinaryBodyBytes = plan.bodyLimit;
    isKept = print({ "full-body", {} }, plan, programs) && isKept;
    return isKept ? 0 : 1;
}
