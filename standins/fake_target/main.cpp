// Purpose: fake targets for tests and benchmarks, many in one process.
// Implements the protocol of docs/PROTOCOLS.md and logs executions.

#include <fake_target/target.hpp>

#include <common/standin_program.hpp>

#include <av_core/log_event.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <absl/strings/str_split.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr const char* usage = R"(Fake targets for tests, many in one process.

Usage:
  fake_target --listen ADDRESSES --control ADDRESS [options]
  fake_target --help

Options:
  --listen ADDRESSES      Addresses of the targets, separated by commas.
  --control ADDRESS       Address for control requests.
  --name PREFIX           The targets are PREFIX-1, PREFIX-2 and so on
                          [default: target].
  --slots N               Calls that run concurrently [default: 6].
  --connection-limit N    Connections above N are closed [default: 330].
  --connect-ms T          Delay of each new connection [default: 1].
  --service-ms T          Mean service time [default: 5].
  --distribution NAME     exponential, fixed or lognormal
                          [default: exponential].
  --cold-factor F         Initial service time factor in slow start
                          [default: 1].
  --cold-ms T             Duration of slow start [default: 0].
  --shed-above N          Refuse calls while more than N are queued;
                          never if N < 0 [default: -1].
  --report-lag-ms T       Age of the load in /health and /load
                          [default: 500].
  --probe-ms T            Service time of a probe [default: 6].
  --drain-grace-ms T      Time from the start of draining until calls
                          are refused [default: 500].
  --pauses-per-second R   Mean rate of pauses of all slots, each of
                          2 to 20 ms [default: 0].
  --seed N                Seed of the random numbers [default: 1].

Control requests: POST /control/faults?target=NAME (all targets without it)
with a YAML map of straggle, drain, fail_fast (none, error, reset), close_idle,
refuse_after_body, lie_not_run, truncate, surplus, two_lengths, late_ms,
freeze, mislead, closed_listener, cold, share, shed_above, pauses_per_second;
POST /control/reset; GET /control/executions, /control/counts, /control/probes.
)";

using anvilturn::arguments;
using anvilturn::number_of;
using anvilturn::text_of;
using target_list = std::vector<std::unique_ptr<anvilturn::target>>;

anvilturn::target_options read_options(const arguments& args)
{
    using anvilturn::milliseconds;
    anvilturn::target_options options;
    options.slots_ = static_cast<int>(number_of(args, "--slots"));
    options.connection_limit_ =
        static_cast<int>(number_of(args, "--connection-limit"));
    options.connect_delay_ = milliseconds(number_of(args, "--connect-ms"));
    options.mean_service_time_ = milliseconds(number_of(args, "--service-ms"));
    const auto distribution = args.at("--distribution").asString();
    if (distribution == "fixed")
    {
        options.distribution_ = anvilturn::service_distribution::fixed;
    }
    else if (distribution == "lognormal")
    {
        options.distribution_ = anvilturn::service_distribution::lognormal;
    }
    options.slow_start_factor_ = number_of(args, "--cold-factor");
    options.slow_start_duration_ = milliseconds(number_of(args, "--cold-ms"));
    options.shed_above_ = static_cast<int>(number_of(args, "--shed-above"));
    options.report_lag_ = milliseconds(number_of(args, "--report-lag-ms"));
    options.probe_service_time_ = milliseconds(number_of(args, "--probe-ms"));
    options.drain_grace_ = milliseconds(number_of(args, "--drain-grace-ms"));
    options.pauses_per_second_ = number_of(args, "--pauses-per-second");
    return options;
}

target_list open_targets(boost::asio::io_context& context,
                         const arguments& args)
{
    target_list targets;
    auto options = read_options(args);
    const auto prefix = args.at("--name").asString();
    const auto seed = static_cast<std::uint64_t>(number_of(args, "--seed"));
    const auto listen = args.at("--listen").asString();
    for (const auto address : absl::StrSplit(listen, ','))
    {
        const auto index = targets.size() + 1;
        options.name_ = prefix + '-' + std::to_string(index);
        options.seed_ = seed * 1000 + index;
        targets.push_back(std::make_unique<anvilturn::target>(
            context,
            anvilturn::require_endpoint({address.data(), address.size()}),
            options));
    }
    return targets;
}

void change_target_faults(const target_list& targets,
                          anvilturn::http_session& session)
{
    const auto url = session.request().target();
    const auto name =
        anvilturn::query_value({url.data(), url.size()}, "target");
    int changed_targets = 0;
    try
    {
        for (const auto& target : targets)
        {
            if (name.empty() || name == target->name())
            {
                target->change_faults(session.request().body());
                ++changed_targets;
            }
        }
    }
    catch (const std::exception& failure)
    {
        session.reply_text(400, failure.what());
        return;
    }
    session.reply_text(changed_targets > 0 ? 200 : 404,
                       "changed=" + std::to_string(changed_targets) + '\n');
}

void handle_control(const target_list& targets,
                    anvilturn::http_session& session)
{
    const auto url = session.request().target();
    const auto path = anvilturn::path_of({url.data(), url.size()});
    std::string text;
    if (path == "/control/faults")
    {
        change_target_faults(targets, session);
        return;
    }
    for (const auto& target : targets)
    {
        if (path == "/control/executions")
        {
            target->append_executions(text);
        }
        else if (path == "/control/counts")
        {
            target->append_counts(text);
        }
        else if (path == "/control/probes")
        {
            target->append_probes(text);
        }
        else if (path == "/control/reset")
        {
            target->reset_counts();
        }
        else
        {
            session.reply_text(404, "unknown control path\n");
            return;
        }
    }
    session.reply_text(200, std::move(text));
}

int serve(const arguments& args)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](auto, int)
        {
            context.stop();
        });
    const auto targets = open_targets(context, args);
    const anvilturn::http_server control(
        context,
        anvilturn::require_endpoint(args.at("--control").asString()),
        {},
        [&targets](const auto& session)
        {
            handle_control(targets, *session);
        });
    anvilturn::log_event(anvilturn::log_level::info, "targets_listening")
        .field("count", static_cast<std::uint64_t>(targets.size()))
        .field("control", args.at("--control").asString())
        .write();
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return anvilturn::run_standin("fake_target", usage, argc, argv, serve);
}
