// Purpose: fake platform for tests and benchmarks: versioned objects, watches
// and a VM list that is updated with a delay, with fault injection. Implements
// the protocol of docs/PROTOCOLS.md.

#include <fake_platform/platform.hpp>

#include <common/standin_program.hpp>

#include <av_core/log_event.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <string>

namespace
{

constexpr const char* usage =
    R"(Fake platform for tests: an object store and a VM list.

Usage:
  fake_platform --listen ADDRESS [options]
  fake_platform --help

Options:
  --listen ADDRESS         Address to listen on.
  --list-lag-ms T          Delay until a new VM list shows [default: 1000].
  --latency-ms T           Latency of each response [default: 2].
  --writes-per-second R    Rate limit of write requests [default: 400].
  --reads-per-second R     Rate limit of read requests [default: 2000].

Control requests, not affected by faults: POST /control/faults with a YAML map
of down, black_hole, away, over_rate, slow_ms, lose_answers, stale_read_ms,
reorder_watch, list_lag_ms, writes_per_second, reads_per_second;
POST /control/vms with the VM list; GET /control/counts; POST /control/reset.
)";

using anvilturn::arguments;
using anvilturn::number_of;

int serve(const arguments& args)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](auto, int)
        {
            context.stop();
        });
    anvilturn::platform_options options;
    options.list_lag_ =
        anvilturn::milliseconds(number_of(args, "--list-lag-ms"));
    options.latency_ = anvilturn::milliseconds(number_of(args, "--latency-ms"));
    options.writes_per_second_ = number_of(args, "--writes-per-second");
    options.reads_per_second_ = number_of(args, "--reads-per-second");
    const auto address = args.at("--listen").asString();
    const anvilturn::platform platform(
        context, anvilturn::require_endpoint(address), options);
    anvilturn::log_event(anvilturn::log_level::info, "platform_listening")
        .field("address", address)
        .write();
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return anvilturn::run_standin("fake_platform", usage, argc, argv, serve);
}
