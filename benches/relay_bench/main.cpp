// Purpose: compares the processor time and the latency of a call through the
// request path with those of a direct connection and of a bare relay, which
// uses the same HTTP library and makes no balancing decision.

#include <relay_bench/bare_relay.hpp>
#include <relay_bench/closed_loop.hpp>

#include <common/standin_program.hpp>

#include <av_core/log_event.hpp>
#include <av_proxy/av_proxy.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace anvilturn
{
namespace
{

constexpr const char* usage =
    R"(Compares the request path with a bare relay and a direct connection.

Usage:
  relay_bench [--calls N] [--connections N] [--rounds N]
  relay_bench --help

Options:
  --calls N        Calls in one round [default: 20000].
  --connections N  Concurrent connections [default: 32].
  --rounds N       Rounds of each variant, interleaved [default: 5].
)";

using tcp = boost::asio::ip::tcp;

// Runs an io_context on a separate thread until this object is destroyed.
class context_thread
{
public:
    context_thread()
        : guard_(context_.get_executor())
        , thread_(
              [this]
              {
                  context_.run();
              })
    {
    }

    ~context_thread()
    {
        context_.stop();
        thread_.join();
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    double cpu_seconds()
    {
        clockid_t clock{};
        pthread_getcpuclockid(thread_.native_handle(), &clock);
        timespec time{};
        clock_gettime(clock, &time);
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_nsec) / 1e9;
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    std::thread thread_;
};

double read_clock_seconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

struct variant
{
    const char* name_;
    tcp::endpoint address_;
    double relay_cpu_seconds_ = 0.0;
    std::size_t calls_ = 0;
    std::vector<milliseconds> latencies_{};
};

release make_release(const tcp::endpoint& target)
{
    release value;
    value.version_ = 1;
    service_spec service;
    service.name_ = "kits";
    service.choice_policy_ = "least_load";
    value.services_["kits"] = service;
    // Ten targets, because the choice policy examines each of them for a call.
    // One instant_target serves them all at the same address.
    for (int i = 0; i < 10; ++i)
    {
        target_spec spec;
        spec.name_ = absl::StrCat("kits-", i);
        spec.service_ = "kits";
        spec.address_ =
            absl::StrCat(target.address().to_string(), ":", target.port());
        value.targets_[spec.name_] = spec;
    }
    rule_spec rule;
    rule.name_ = "kits";
    rule.path_prefix_ = "/kits";
    rule.service_ = "kits";
    value.rules_["kits"] = rule;
    return value;
}

std::unique_ptr<request_path> start_request_path(const tcp::endpoint& target)
{
    request_path_settings settings;
    settings.vm_name_ = "vm-1";
    settings.threads_ = 1;
    settings.callers_address_ = "127.0.0.1:0";
    auto path = request_path_builder().settings(settings).build().value();
    path->publish(make_release(target));
    if (!path->start().ok())
    {
        throw std::runtime_error("request path failed to start");
    }
    return path;
}

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

// Makes the calls of one round and adds the processor time of the process that
// neither the callers nor the target used.
void run_round(variant& variant,
               context_thread& target,
               std::size_t connections,
               std::size_t calls)
{
    const double process_seconds_before =
        read_clock_seconds(CLOCK_PROCESS_CPUTIME_ID);
    const double caller_seconds_before =
        read_clock_seconds(CLOCK_THREAD_CPUTIME_ID);
    const double target_seconds_before = target.cpu_seconds();
    const auto latencies =
        run_closed_loop(variant.address_, connections, calls);
    variant.relay_cpu_seconds_ +=
        read_clock_seconds(CLOCK_PROCESS_CPUTIME_ID) - process_seconds_before -
        (read_clock_seconds(CLOCK_THREAD_CPUTIME_ID) - caller_seconds_before) -
        (target.cpu_seconds() - target_seconds_before);
    variant.calls_ += latencies.size();
    variant.latencies_.insert(
        variant.latencies_.end(), latencies.begin(), latencies.end());
}

milliseconds percentile(std::vector<milliseconds>& values, double fraction)
{
    const auto position =
        values.begin() +
        static_cast<std::ptrdiff_t>(fraction * double(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void print_figure(const char* figure,
                  const char* variant,
                  double value,
                  const char* unit)
{
    std::printf("figure=%s policy=%s value=%.4g unit=%s\n",
                figure,
                variant,
                value,
                unit);
}

void print_latency(const char* figure, std::array<variant, 3>& variants)
{
    for (auto& variant : variants)
    {
        print_figure(absl::StrCat(figure, "_p50").c_str(),
                     variant.name_,
                     percentile(variant.latencies_, 0.5).count(),
                     "ms");
        print_figure(absl::StrCat(figure, "_p99").c_str(),
                     variant.name_,
                     percentile(variant.latencies_, 0.99).count(),
                     "ms");
        variant.latencies_.clear();
    }
}

std::size_t count_of(const arguments& args, const char* option)
{
    return static_cast<std::size_t>(number_of(args, option));
}

int run_benchmark(const arguments& args)
{
    const auto rounds = count_of(args, "--rounds");
    const auto calls = count_of(args, "--calls");
    const auto connections = count_of(args, "--connections");
    context_thread target_thread;
    context_thread relay_thread;
    const instant_target target(target_thread.context());
    const bare_relay reference_relay(relay_thread.context(), target.address());
    const auto path = start_request_path(target.address());
    std::array<variant, 3> variants{
        {{"direct", target.address()},
         {"bare_relay", reference_relay.address()},
         {"anvilturn", endpoint_of(path->callers_address())}}};
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (auto& variant : variants)
        {
            run_round(variant, target_thread, 1, calls / 20);
        }
    }
    print_latency("call_latency", variants);
    for (auto& variant : variants)
    {
        variant.relay_cpu_seconds_ = 0.0;
        variant.calls_ = 0;
    }
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (auto& variant : variants)
        {
            run_round(variant, target_thread, connections, calls);
        }
    }
    for (const auto& variant : variants)
    {
        if (std::string(variant.name_) != "direct")
        {
            print_figure("calls_per_core_second",
                         variant.name_,
                         double(variant.calls_) / variant.relay_cpu_seconds_,
                         "1/s");
        }
    }
    return 0;
}

} // namespace
} // namespace anvilturn

int main(int argc, char** argv)
{
    return anvilturn::run_standin(
        "relay_bench", anvilturn::usage, argc, argv, anvilturn::run_benchmark);
}
