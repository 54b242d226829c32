#include "pausingupstream.h"

#include <application/commandline.h>

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

DEFINE_string(id, "", "id of the upstream");
DEFINE_uint32(port, 0, "port on the loopback address");
DEFINE_string(run_log, "", "file to which the runs are appended");

int main(int argc, char** argv)
{
    Application::parseCommandLine("a sound upstream that falls silent now and then\nusage: "
                                  "bluebell-pausing-upstream --id ID --port PORT --run_log FILE",
        argc, argv);
    asio::io_context context(1);
    PausingUpstream upstream(context, FLAGS_id, static_cast<std::uint16_t>(FLAGS_port), FLAGS_run_log);
    upstream.start();
    context.run();
}
