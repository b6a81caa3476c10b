// Purpose: an open-loop load generator with seeded arrivals, which checks each
// response and compares each outcome with the execution logs of the targets.

#include <call_load/figures.hpp>
#include <call_load/load_worker.hpp>
#include <call_load/verification.hpp>

#include <common/http_server.hpp>
#include <common/standin_program.hpp>

#include <absl/strings/str_split.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace
{

constexpr const char* usage =
    R"(Open-loop load generator with arrivals generated in advance.

Usage:
  call_load --plan FILE (--vms ADDRESSES | --direct ADDRESSES | --central MAP)
            [options]
  call_load --help

Options:
  --plan FILE           Plan in YAML: seed, duration_ms and streams with name,
                        host, service, path, method, idempotent, rate,
                        steps (at_ms, rate), service_ms, distribution,
                        answer_bytes, body_bytes, deadline_ms.
  --vms ADDRESSES       Addresses on which the VMs serve callers, separated by
                        commas.
  --direct ADDRESSES    Targets to call directly, separated by commas.
  --central MAP         Dispatch calls to targets from a central queue for each
                        service: NAME=ADDRESSES, further services after a
                        semicolon.
  --balancer-ms T       Query the readiness of the VMs at this interval and
                        send calls only to those that were ready; 0: to all
                        [default: 0].
  --slots N             Concurrent calls to a target, for --central
                        [default: 6].
  --controls ADDRESSES  Control addresses of the targets; outcomes are checked
                        against their execution logs.
  --settle-ms T         Delay before the execution logs are read
                        [default: 1000].
  --timeout-ms T        Longest time until the response is complete
                        [default: 30000].
  --threads N           Threads; always one with --central [default: 2].
  --run ID              Prefix of the call ids; not used before on these targets
                        [default: run].
  --calls FILE          File to write one line to for each call.

Exit status: 0; 1 if a guarantee was violated; 2 if the run failed.
)";

using anvilturn::arguments;
using anvilturn::text_of;
using endpoints = std::vector<boost::asio::ip::tcp::endpoint>;

endpoints read_addresses(const std::string& list)
{
    endpoints result;
    for (const auto part : absl::StrSplit(list, ',', absl::SkipEmpty()))
    {
        result.push_back(
            anvilturn::require_endpoint({part.data(), part.size()}));
    }
    return result;
}

void read_central_queue_map(const std::string& map,
                            anvilturn::load_destinations& destinations)
{
    for (const auto part : absl::StrSplit(map, ';', absl::SkipEmpty()))
    {
        const std::vector<std::string> pair =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.size() != 2)
        {
            throw std::runtime_error(
                "invalid --central: expected NAME=ADDRESSES");
        }
        for (const auto& address : read_addresses(pair[1]))
        {
            destinations.central_queue_addresses_[pair[0]].push_back(
                destinations.addresses_.size());
            destinations.addresses_.push_back(address);
        }
    }
}

anvilturn::load_destinations read_destinations(const arguments& args)
{
    anvilturn::load_destinations destinations;
    destinations.are_targets_ = !args.at("--vms");
    destinations.slots_per_target_ = std::stoi(text_of(args, "--slots"));
    if (args.at("--central"))
    {
        read_central_queue_map(text_of(args, "--central"), destinations);
        return destinations;
    }
    destinations.addresses_ = read_addresses(
        text_of(args, destinations.are_targets_ ? "--direct" : "--vms"));
    if (destinations.addresses_.empty())
    {
        throw std::runtime_error("no addresses in --vms or --direct");
    }
    return destinations;
}

void send_calls(anvilturn::load_run& run, std::size_t thread_count)
{
    // The first arrival must not be due before the threads have started.
    run.start_ =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(
            [&run, i, thread_count]
            {
                anvilturn::load_worker(run, i, thread_count)
                    .run_to_completion();
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

int run_load_test(const arguments& args)
{
    anvilturn::load_run run;
    run.plan_ = anvilturn::read_load_plan(text_of(args, "--plan"));
    run.run_id_ = text_of(args, "--run");
    run.destinations_ = read_destinations(args);
    const auto interval =
        anvilturn::milliseconds(std::stod(text_of(args, "--balancer-ms")));
    if (interval > anvilturn::milliseconds(0.0) &&
        !run.destinations_.are_targets_)
    {
        run.destinations_.balancer_ = std::make_shared<anvilturn::balancer>(
            run.destinations_.addresses_, interval);
    }
    run.call_timeout_ =
        anvilturn::milliseconds(std::stod(text_of(args, "--timeout-ms")));
    run.arrivals_ = anvilturn::generate_arrivals(run.plan_);
    run.results_.resize(run.arrivals_.size());
    const bool has_central_queue =
        !run.destinations_.central_queue_addresses_.empty();
    send_calls(run,
               has_central_queue ? 1 : std::stoul(text_of(args, "--threads")));
    anvilturn::print_figures(run);
    if (args.at("--calls"))
    {
        anvilturn::write_calls(run, text_of(args, "--calls"));
    }
    const auto control_addresses = read_addresses(text_of(args, "--controls"));
    if (!control_addresses.empty())
    {
        std::this_thread::sleep_for(
            std::chrono::milliseconds(std::stol(text_of(args, "--settle-ms"))));
    }
    const auto violations = anvilturn::verify(run, control_addresses);
    anvilturn::print_violations(violations);
    return violations.total() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return anvilturn::run_standin(
        "call_load", usage, argc, argv, run_load_test);
}
