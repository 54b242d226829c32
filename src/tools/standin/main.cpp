#include "bookingservice.h"
#include "instancelist.h"
#include "logservice.h"
#include "modelengine.h"
#include "weightstore.h"

#include <application/commandline.h>
#include <application/signalwatch.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(role, "", "engine, booking, log, instances or weights");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "TCP port to listen on");
DEFINE_int64(prefill_tokens_per_second, 50000, "engine: prompt tokens prefilled per second when warm");
DEFINE_int64(decode_microseconds_per_token, 5000, "engine: time to decode one token of a stream, in microseconds");
DEFINE_int64(memory_tokens, 400000, "engine: memory capacity in tokens");
DEFINE_int64(chunk_tokens, 2048, "engine: maximum tokens of one prefill chunk");
DEFINE_int64(cold_limit, 2, "engine: concurrent requests that a cold engine sustains");
DEFINE_int64(warm_limit, 64, "engine: concurrent requests that a warm engine sustains");
DEFINE_double(bytes_per_token, 4, "engine: bytes of a request body for each prompt token");
DEFINE_int64(cached_prefixes, 64, "engine: capacity of the prefix cache in prompt prefixes");
DEFINE_int64(service_ms, 5, "booking: time that a POST request takes, in ms");
DEFINE_int64(retention_ms, 86400000, "log: age at which records are removed, in ms");
DEFINE_int64(appends_per_second, 300, "log: maximum appends per second");
DEFINE_int64(pulls_per_second, 4, "weights: maximum pulls per second");

namespace {

constexpr std::uint64_t maximumHttpBody = 80 * 1024 * 1024;

std::unique_ptr<Standin::StandinRole> makeRole(asio::io_context& context)
{
    if (FLAGS_role == "engine") {
        return std::make_unique<Standin::ModelEngine>(context,
            Standin::ModelEngineSettings { FLAGS_prefill_tokens_per_second, FLAGS_decode_microseconds_per_token,
                FLAGS_memory_tokens, FLAGS_chunk_tokens, FLAGS_cold_limit, FLAGS_warm_limit, FLAGS_bytes_per_token,
                static_cast<std::size_t>(FLAGS_cached_prefixes) });
    }
    if (FLAGS_role == "booking")
        return std::make_unique<Standin::BookingService>(context, std::chrono::milliseconds(FLAGS_service_ms));
    if (FLAGS_role == "log") {
        return std::make_unique<Standin::LogService>(context,
            Standin::LogServiceSettings { std::chrono::milliseconds(FLAGS_retention_ms), FLAGS_appends_per_second });
    }
    if (FLAGS_role == "instances")
        return std::make_unique<Standin::InstanceList>(context);
    if (FLAGS_role == "weights")
        return std::make_unique<Standin::WeightStore>(FLAGS_pulls_per_second);
    return nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    using Application::ExitCode;
    Application::parseCommandLine(
        "simulates an external system\nusage: bluebell-standin --role ROLE --port PORT", argc, argv);
    asio::io_context context(1);
    const auto role = makeRole(context);
    if (!role || FLAGS_port <= 0) {
        std::cerr << "--role and --port are needed; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    Web::HttpServer server(context, { FLAGS_address, static_cast<std::uint16_t>(FLAGS_port), maximumHttpBody },
        [&role](const std::shared_ptr<Web::HttpExchange>& exchange) { role->handle(exchange); });
    ExitCode exitCode = ExitCode::Success;
    server.start([&](const std::string& message) {
        std::cerr << "cannot listen: " << message << '\n';
        exitCode = ExitCode::Failure;
        context.stop();
    });
    const Application::SignalWatch signalWatch(context, [&context] { context.stop(); });
    context.run();
    return static_cast<int>(exitCode);
}
