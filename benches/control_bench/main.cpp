// Measures the control plane: runs fleets of increasing size on loopback, one
// control plane per VM, against a platform stub in the same process. Prints one
// line per figure.

#include <av_control/av_control.hpp>
#include <av_control/tests/platform_stub.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_release/release_codec.hpp>

#include <docopt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace
{

using namespace anvilturn;

constexpr char usage[] = R"(Measures the control plane on loopback.

Usage:
  control_bench [--vms=LIST] [--seconds=S] [--targets=T] [--services=V]
                [--repeat=R] [--prefix=P]
  control_bench --help

Options:
  --vms=LIST         Fleet sizes in VMs, comma-separated [default: 3,12,24].
  --seconds=S        Length of the steady-state measurement [default: 20].
  --targets=T        Targets in the release [default: 850].
  --services=V       Services in the release [default: 59].
  --repeat=R         Number of releases distributed and VMs killed
                     [default: 3].
  --prefix=P         First three octets of the loopback addresses
                     [default: 127.0.50].
)";

// Newest release version and member count that one VM received. Written by the
// VM's control thread and read by the bench.
struct received_state
{
    std::atomic<release_version> release_{0};
    std::atomic<std::size_t> members_{0};
};

struct bench_vm
{
    std::string name_;
    std::shared_ptr<received_state> last_received_;
    std::unique_ptr<control_plane> plane_;
};

struct bench_options
{
    std::vector<int> vms_;
    int seconds_ = 0;
    int targets_ = 0;
    int services_ = 0;
    int repeat_ = 0;
    std::string address_prefix_;
};

// Sums over all VMs, and the calls to the platform, at one point of time.
struct totals
{
    double bytes_ = 0.0;
    double calls_ = 0.0;
    double failed_calls_ = 0.0;
    milliseconds cpu_time_;
    double platform_calls_ = 0.0;
    milliseconds read_at_;
};

// Returns a release with one rule per service and the targets spread evenly
// over the services.
release make_release(const bench_options& options, release_version version)
{
    release built_release;
    built_release.version_ = version;
    built_release.note_id_ = "note-" + std::to_string(version);
    for (int i = 0; i < options.services_; ++i)
    {
        service_spec service;
        service.name_ = "service-" + std::to_string(i);
        rule_spec rule;
        rule.name_ = "rule-" + std::to_string(i);
        rule.path_prefix_ = "/service-" + std::to_string(i);
        rule.service_ = service.name_;
        built_release.changed_in_["service/" + service.name_] = version;
        built_release.changed_in_["rule/" + rule.name_] = version;
        built_release.rules_[rule.name_] = rule;
        built_release.services_[service.name_] = service;
    }
    for (int i = 0; i < options.targets_; ++i)
    {
        target_spec target;
        target.name_ = "target-" + std::to_string(i);
        target.service_ = "service-" + std::to_string(i % options.services_);
        target.address_ = "10.1." + std::to_string(i / 200) + "." +
                          std::to_string(i % 200 + 1) + ":8080";
        target.failure_domain_ = "region-1-domain-" + std::to_string(i % 6);
        built_release.changed_in_["target/" + target.name_] = version;
        built_release.targets_[target.name_] = target;
    }
    built_release.recent_notes_[version] = built_release.note_id_;
    return built_release;
}

// Prints the size of the serialized release and the mean time to parse it.
// Exits with status 1 if it does not parse.
void measure_release(const bench_options& options)
{
    constexpr int repeats = 5;
    const std::string text = write_release(make_release(options, 1));
    const milliseconds started_at = monotonic_now();
    for (int i = 0; i < repeats; ++i)
    {
        const auto decoded = parse_release(text, "bench");
        if (!decoded.ok())
        {
            std::fprintf(stderr,
                         "%s\n",
                         std::string(decoded.status().message()).c_str());
            std::exit(1);
        }
    }
    const milliseconds elapsed = monotonic_now() - started_at;
    std::printf("figure=release_size targets=%d services=%d value=%zu "
                "unit=B\n",
                options.targets_,
                options.services_,
                text.size());
    std::printf("figure=release_decoded targets=%d services=%d value=%.3f "
                "unit=ms\n",
                options.targets_,
                options.services_,
                elapsed.count() / repeats);
}

void print(const char* figure, int vms, double value, const char* unit)
{
    std::printf(
        "figure=%s n=%d value=%.3f unit=%s\n", figure, vms, value, unit);
    std::fflush(stdout);
}

double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double size = 0.0;
    double resident = 0.0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Polls until the condition holds. Returns the time it took, or a negative time
// if the condition does not hold within the time limit.
template <typename Condition>
milliseconds time_until(Condition condition)
{
    constexpr milliseconds time_limit{120000.0};
    const milliseconds started_at = monotonic_now();
    while (!condition())
    {
        if (monotonic_now() - started_at > time_limit)
        {
            return milliseconds(-1.0);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return monotonic_now() - started_at;
}

// Runs the control planes of a fleet and times what changes in it.
class bench_fleet
{
public:
    bench_fleet(const bench_options& options, int vms)
        : options_(options)
    {
        for (int i = 0; i < vms; ++i)
        {
            start_vm(i);
        }
    }

    int size() const
    {
        return static_cast<int>(vms_.size());
    }

    // Returns the time until each VM knows all members; negative on time-out.
    milliseconds wait_for_members()
    {
        return time_until(
            [this]
            {
                return all_received(
                    [this](const received_state& last_received)
                    {
                        return last_received.members_ == vms_.size();
                    });
            });
    }

    // Returns the time until a new release has reached all VMs; negative on
    // time-out. With the platform down the release enters at the first VM and
    // spreads between the VMs.
    milliseconds distribute_release(bool platform_down)
    {
        ++version_;
        platform_.set_down(platform_down);
        const std::string text =
            write_release(make_release(options_, version_));
        if (!platform_down)
        {
            platform_.set_release(text);
        }
        else
        {
            vms_.front().plane_->submit_release({0, "", text});
        }
        const auto time = time_until(
            [this]
            {
                return all_received(
                    [this](const received_state& last_received)
                    {
                        return last_received.release_ == version_;
                    });
            });
        platform_.set_down(false);
        return time;
    }

    // Destroys the last VM's control plane. Returns the time until the others
    // have removed it from their members; negative on time-out.
    milliseconds kill_last_vm()
    {
        vms_.pop_back();
        return wait_for_members();
    }

    totals read_totals()
    {
        totals sum;
        for (const auto& vm : vms_)
        {
            const auto state = vm.plane_->read_state();
            const auto& traffic = state.traffic_;
            sum.bytes_ += static_cast<double>(traffic.bytes_sent_ +
                                              traffic.bytes_received_);
            sum.calls_ += static_cast<double>(traffic.calls_sent_ +
                                              traffic.calls_received_);
            sum.failed_calls_ += static_cast<double>(traffic.calls_failed_);
            sum.cpu_time_ = sum.cpu_time_ + traffic.cpu_time_ + state.cpu_time_;
        }
        sum.platform_calls_ = static_cast<double>(platform_.calls());
        sum.read_at_ = monotonic_now();
        return sum;
    }

private:
    template <typename Condition>
    bool all_received(Condition condition)
    {
        return std::all_of(vms_.begin(),
                           vms_.end(),
                           [&](const bench_vm& vm)
                           {
                               return condition(*vm.last_received_);
                           });
    }

    void start_vm(int index)
    {
        constexpr int domains = 6;
        bench_vm vm;
        vm.name_ = "entry-vm-" + std::to_string(index);
        vm.last_received_ = std::make_shared<received_state>();
        control_options options;
        options.self_.name_ = vm.name_;
        options.self_.failure_domain_ =
            "region-1-domain-" + std::to_string(index % domains);
        options.self_.peer_address_ =
            options_.address_prefix_ + "." + std::to_string(index + 1) + ":0";
        options.self_.forward_address_ = "10.100.100.100:8081";
        options.self_.operator_address_ = "10.100.100.100:8082";
        options.deployment_ = "bench";
        options.platform_ = platform_.factory();
        options.decode_ = [](const std::string& text)
        {
            return parse_release(text, "bench");
        };
        auto plane = control_plane::start(std::move(options),
                                          handlers_for(vm.last_received_));
        if (!plane.ok())
        {
            std::fprintf(
                stderr, "%s\n", std::string(plane.status().message()).c_str());
            std::exit(1);
        }
        vm.plane_ = *std::move(plane);
        vm_list_.push_back({vm.name_,
                            vm.plane_->self().failure_domain_,
                            vm.plane_->self().peer_address_,
                            false});
        vms_.push_back(std::move(vm));
        platform_.set_vms(vm_list_);
    }

    static control_handlers
    handlers_for(const std::shared_ptr<received_state>& last_received)
    {
        control_handlers handlers;
        handlers.on_release_ = [last_received](const auto& value)
        {
            last_received->release_ = value->version_;
        };
        handlers.on_fleet_ = [last_received](const auto& value)
        {
            last_received->members_ = value->members_.size();
        };
        return handlers;
    }

    bench_options options_;
    platform_stub platform_;
    std::vector<platform_vm> vm_list_;
    release_version version_ = 0;
    std::vector<bench_vm> vms_;
};

void measure_steady_state(bench_fleet& fleet, const bench_options& options)
{
    const int vms = fleet.size();
    const totals before = fleet.read_totals();
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds_));
    const totals after = fleet.read_totals();
    const double seconds = (after.read_at_ - before.read_at_).count() / 1e3;
    const double scale_per_vm_second = 1.0 / (seconds * vms);
    print("control_bytes",
          vms,
          (after.bytes_ - before.bytes_) * scale_per_vm_second,
          "B/s");
    print("control_calls",
          vms,
          (after.calls_ - before.calls_) * scale_per_vm_second,
          "1/s");
    print("control_failed_calls",
          vms,
          (after.failed_calls_ - before.failed_calls_) * scale_per_vm_second,
          "1/s");
    print("control_cpu",
          vms,
          (after.cpu_time_ - before.cpu_time_).count() / 1e3 *
              scale_per_vm_second * 100.0,
          "percent_of_core");
    print("platform_calls_fleet",
          vms,
          (after.platform_calls_ - before.platform_calls_) / seconds,
          "1/s");
}

// Prints the median and the maximum of repeated time measurements in ms, and
// the figure "..._not_reached" if one of them timed out.
template <typename Measure>
void print_times(const char* figure, int vms, int repeat, Measure measure)
{
    std::vector<double> times;
    for (int i = 0; i < repeat; ++i)
    {
        times.push_back(measure().count());
    }
    std::sort(times.begin(), times.end());
    const std::string name(figure);
    print((name + "_median").c_str(), vms, times[times.size() / 2], "ms");
    print((name + "_max").c_str(), vms, times.back(), "ms");
    if (times.front() < 0.0)
    {
        print((name + "_not_reached").c_str(), vms, 1.0, "count");
    }
}

void measure(const bench_options& options, int vms)
{
    const double before = resident_bytes();
    bench_fleet fleet(options, vms);
    print("members_known", vms, fleet.wait_for_members().count(), "ms");
    fleet.distribute_release(false);
    measure_steady_state(fleet, options);
    print("control_memory", vms, (resident_bytes() - before) / vms / 1e6, "MB");
    print_times("release_by_platform_in_force",
                vms,
                options.repeat_,
                [&]
                {
                    return fleet.distribute_release(false);
                });
    print_times("release_by_peers_in_force",
                vms,
                options.repeat_,
                [&]
                {
                    return fleet.distribute_release(true);
                });
    const int kill_count = std::min(options.repeat_, vms - 2);
    print_times("killed_vm_removed",
                vms,
                kill_count,
                [&]
                {
                    return fleet.kill_last_vm();
                });
}

std::vector<int> parse_numbers(const std::string& text)
{
    std::vector<int> numbers;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        numbers.push_back(std::stoi(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return numbers;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "");
    bench_options options;
    options.vms_ = parse_numbers(arguments["--vms"].asString());
    options.seconds_ = std::stoi(arguments["--seconds"].asString());
    options.targets_ = std::stoi(arguments["--targets"].asString());
    options.services_ = std::stoi(arguments["--services"].asString());
    options.repeat_ = std::stoi(arguments["--repeat"].asString());
    options.address_prefix_ = arguments["--prefix"].asString();
    configure_logging(log_level::warning, "control_bench");
    measure_release(options);
    for (const int vms : options.vms_)
    {
        measure(options, vms);
    }
    return 0;
}
