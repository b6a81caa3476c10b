// Measures the target-choice policies in a discrete-event simulation of VMs,
// targets and network delays, against an omniscient central queue. It opens no
// connections and starts no processes: it measures decisions, not the programs
// that make them.

#include "bench_settings.hpp"
#include "scheme.hpp"
#include "service_run.hpp"
#include "workload.hpp"

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace
{

constexpr const char* usage =
    R"(Measures target-choice policies against an omniscient central queue.

Usage:
  policy_bench [options]

Options:
  --deployment=NAME   hanoi, kuala_lumpur or design [default: hanoi]
  --load=SHARE        offered load as a share of all slots [default: 0.8]
  --seconds=S         simulated time [default: 20]
  --runs=N            repetitions, each with its own seed [default: 3]
  --seed=N            seed of the first repetition [default: 1]
  --sigma=X           sigma of the log-normal service time [default: 0.7]
  --mean-ms=X         mean service time, 0 for the deployment's [default: 0]
  --vms=N             number of VMs, 0 for the deployment's [default: 0]
  --stalls=X          noisy-neighbour stalls per second and target
                      [default: 2]
  --fault=KIND        none, straggler, fast_fail, shedding, cold_start, step
                      or home_loss [default: none]
  --deadline-ms=X     deadline of a call [default: 2000]
  --mixed-classes     calls of all traffic classes, not just interactive
  --service=NUMBER    only this service of the deployment; -1 for all
                      [default: -1]
  --schemes=LIST      comma-separated names, or all [default: all]
)";

using options = std::map<std::string, docopt::value>;

double number_option(const options& values, const char* name)
{
    return std::stod(values.at(name).asString());
}

deployment_model find_deployment(const std::string& name)
{
    if (name == "hanoi")
    {
        return hanoi();
    }
    if (name == "kuala_lumpur")
    {
        return kuala_lumpur();
    }
    if (name == "design")
    {
        return design_deployment();
    }
    throw std::out_of_range("unknown deployment: " + name);
}

fault_kind find_fault(const std::string& name)
{
    static const std::map<std::string, fault_kind> faults{
        {"none", fault_kind::none},
        {"straggler", fault_kind::straggler},
        {"fast_fail", fault_kind::fast_fail},
        {"shedding", fault_kind::shedding},
        {"cold_start", fault_kind::cold_start},
        {"step", fault_kind::step},
        {"home_loss", fault_kind::home_loss}};
    return faults.at(name);
}

bench_settings parse_settings(const options& values)
{
    bench_settings result;
    result.deployment_ = find_deployment(values.at("--deployment").asString());
    result.load_ = number_option(values, "--load");
    result.seconds_ = number_option(values, "--seconds");
    result.service_time_sigma_ = number_option(values, "--sigma");
    result.stalls_per_second_ = number_option(values, "--stalls");
    result.deadline_ms_ = number_option(values, "--deadline-ms");
    result.fault_ = find_fault(values.at("--fault").asString());
    result.mixed_classes_ = values.at("--mixed-classes").asBool();
    auto& deployment = result.deployment_;
    const auto vms = static_cast<int>(number_option(values, "--vms"));
    deployment.vms_ = vms > 0 ? vms : deployment.vms_;
    const double mean_ms = number_option(values, "--mean-ms");
    for (auto& service : deployment.services_)
    {
        service.mean_service_ms_ =
            mean_ms > 0.0 ? mean_ms : service.mean_service_ms_;
    }
    const auto service_index =
        static_cast<int>(number_option(values, "--service"));
    if (service_index >= 0)
    {
        const auto chosen =
            deployment.services_.at(static_cast<std::size_t>(service_index));
        deployment.services_ = {chosen};
    }
    return result;
}

std::vector<std::string> parse_scheme_names(const std::string& list)
{
    std::vector<std::string> result;
    if (list == "all")
    {
        for (const auto& each : all_schemes())
        {
            result.push_back(each.name_);
        }
        return result;
    }
    std::istringstream names(list);
    for (std::string name; std::getline(names, name, ',');)
    {
        result.push_back(name);
    }
    return result;
}

// Returns the percentile of the latencies, with the fraction from 0 to 1; zero
// if there are none. Reorders the latencies.
double percentile(std::vector<double>& latencies, double fraction)
{
    if (latencies.empty())
    {
        return 0.0;
    }
    const auto rank =
        std::min(latencies.size() - 1,
                 static_cast<std::size_t>(
                     fraction * static_cast<double>(latencies.size())));
    const auto nth = latencies.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(latencies.begin(), nth, latencies.end());
    return *nth;
}

// The values of one figure of one scheme, one per repetition.
using repetition_values = std::vector<double>;

struct figure
{
    std::string name_;
    std::string unit_;
};

bool operator<(const figure& a, const figure& b)
{
    return a.name_ < b.name_;
}

using figures = std::map<figure, repetition_values>;

void append_all(std::vector<double>& to, const std::vector<double>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

// Adds the result of one service to the result of all services.
void append(run_result& all, const run_result& one)
{
    append_all(all.latencies_ms_, one.latencies_ms_);
    append_all(all.excess_ms_, one.excess_ms_);
    for (std::size_t i = 0; i < all.arrived_.size(); ++i)
    {
        all.arrived_[i] += one.arrived_[i];
        all.answered_[i] += one.answered_[i];
    }
    all.refused_ += one.refused_;
    all.failed_ += one.failed_;
    all.late_ += one.late_;
    all.sent_to_other_domain_ += one.sent_to_other_domain_;
    all.sent_ += one.sent_;
    all.waited_at_target_ += one.waited_at_target_;
    all.hedges_ += one.hedges_;
    all.probes_ += one.probes_;
    all.share_messages_ += one.share_messages_;
    all.simulated_seconds_ = one.simulated_seconds_;
    all.targets_ += one.targets_;
}

// Returns part / whole, or zero if whole is zero.
double fraction_of(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

void add_figures(figures& table,
                 run_result& run,
                 const bench_settings& settings)
{
    const auto sum = [](const auto& counts)
    {
        return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    };
    const auto arrived = sum(run.arrived_);
    table[{"tail_p50", "ms"}].push_back(percentile(run.latencies_ms_, 0.5));
    table[{"tail_p99", "ms"}].push_back(percentile(run.latencies_ms_, 0.99));
    table[{"tail_p999", "ms"}].push_back(percentile(run.latencies_ms_, 0.999));
    table[{"excess_p99", "ms"}].push_back(percentile(run.excess_ms_, 0.99));
    table[{"answered", "share"}].push_back(
        fraction_of(sum(run.answered_), arrived));
    table[{"answered_transactional", "share"}].push_back(
        fraction_of(run.answered_[0], run.arrived_[0]));
    table[{"failed", "share"}].push_back(fraction_of(run.failed_, arrived));
    table[{"refused", "share"}].push_back(fraction_of(run.refused_, arrived));
    table[{"other_domain", "share"}].push_back(
        fraction_of(run.sent_to_other_domain_, run.sent_));
    table[{"hedges", "share"}].push_back(fraction_of(run.hedges_, run.sent_));
    table[{"waited_at_target", "share"}].push_back(
        fraction_of(run.waited_at_target_, run.sent_));
    const double target_seconds = run.simulated_seconds_ * run.targets_;
    const double probes = static_cast<double>(run.probes_) / target_seconds;
    table[{"probes", "per_target_second"}].push_back(probes);
    table[{"probe_cost", "slot_ms_per_target_second"}].push_back(
        probes * settings.deployment_.probe_cost_ms_);
    table[{"messages", "per_vm_second"}].push_back(
        static_cast<double>(run.share_messages_) / run.simulated_seconds_ /
        settings.deployment_.vms_);
}

void print(const std::string& policy,
           const bench_settings& settings,
           const figures& table)
{
    for (const auto& entry : table)
    {
        const auto& values = entry.second;
        const double mean = std::accumulate(values.begin(), values.end(), 0.0) /
                            static_cast<double>(values.size());
        const auto extremes = std::minmax_element(values.begin(), values.end());
        std::printf("figure=%s policy=%s deployment=%s load=%.2f value=%.4f "
                    "low=%.4f high=%.4f unit=%s\n",
                    entry.first.name_.c_str(),
                    policy.c_str(),
                    settings.deployment_.name_.c_str(),
                    settings.load_,
                    mean,
                    *extremes.first,
                    *extremes.second,
                    entry.first.unit_.c_str());
    }
}

run_result run_all_services(const bench_settings& settings,
                            const std::string& name)
{
    run_result all;
    const auto count = static_cast<int>(settings.deployment_.services_.size());
    for (int service = 0; service < count; ++service)
    {
        const auto service_workload = generate_workload(settings, service);
        append(all, run_service(settings, find_scheme(name), service_workload));
    }
    return all;
}

int run(const options& values)
{
    auto settings = parse_settings(values);
    const auto names = parse_scheme_names(values.at("--schemes").asString());
    const auto runs =
        static_cast<std::uint64_t>(number_option(values, "--runs"));
    const auto seed =
        static_cast<std::uint64_t>(number_option(values, "--seed"));
    std::map<std::string, figures> tables;
    for (std::uint64_t repetition = 0; repetition < runs; ++repetition)
    {
        settings.seed_ = seed + repetition;
        for (const auto& name : names)
        {
            auto result = run_all_services(settings, name);
            add_figures(tables[name], result, settings);
        }
    }
    for (const auto& name : names)
    {
        print(name, settings, tables[name]);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(docopt::docopt(usage, {argv + 1, argv + argc}));
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "policy_bench: %s\n", error.what());
        return 2;
    }
}
