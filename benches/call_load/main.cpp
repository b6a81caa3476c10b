// Purpose: open-loop callers with seeded arrivals, which check each answer and
// compare each outcome with the execution logs of the targets.

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
    R"(Callers for tests, with arrivals fixed in advance.

Usage:
  call_load --plan FILE (--vms ADDRESSES | --direct ADDRESSES | --central MAP)
            [options]
  call_load --help

Options:
  --plan FILE           Plan in YAML: seed, duration_ms and streams with name,
                        host, service, path, method, idempotent, rate,
                        steps (at_ms, rate), service_ms, distribution,
                        answer_bytes, body_bytes, deadline_ms.
  --vms ADDRESSES       Callers' addresses of the VMs, separated by commas.
  --direct ADDRESSES    Targets to call with no VM between.
  --central MAP         Be the central queue of each service: NAME=ADDRESSES,
                        more services after a semicolon.
  --balancer-ms T       Give calls only to VMs that were ready when they were
                        asked last, at this interval; 0: to all [default: 0].
  --slots N             Slots of a target, for --central [default: 6].
  --controls ADDRESSES  Control addresses of the targets: checks the outcomes
                        against their execution logs.
  --settle-ms T         Wait before the logs are read [default: 1000].
  --timeout-ms T        Longest wait for an answer [default: 30000].
  --threads N           Threads; one with --central [default: 2].
  --run ID              Prefix of the call ids, unique for the targets
                        [default: run].
  --calls FILE          Writes one line for each call.

Exit status: 0; 1 if a promise was broken; 2 if the run failed.
)";

using anvilturn::arguments;
using anvilturn::text_of;
using endpoints = std::vector<boost::asio::ip::tcp::endpoint>;

endpoints read_addresses(const std::string& list)
{
    endpoints result;
    for (const auto part : absl::StrSplit(list, ',', absl::SkipEmpty()))
    {
        result.push_back(anvilturn::parse_endpoint({part.data(), part.size()}));
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
            throw std::runtime_error("--central wants NAME=ADDRESSES");
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
        throw std::runtime_error("no addresses were given");
    }
    return destinations;
}

void send_calls(anvilturn::load_run& run, std::size_t thread_count)
{
    // Time for the threads to start.
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
