#include <call_load/figures.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <stdexcept>
#include <vector>

namespace anvilturn
{
namespace
{

struct summary
{
    std::uint64_t calls_ = 0;
    std::uint64_t answered_ = 0;
    // Answered within the planned duration of the run.
    std::uint64_t answered_in_time_ = 0;
    std::uint64_t failed_status_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t unreached_ = 0;
    std::vector<float> latencies_ms_;
    // Latency minus the service time that the call requested.
    std::vector<float> wait_times_ms_;
    std::vector<float> send_delays_ms_;
    std::map<std::string, std::uint64_t> reasons_;
};

void add_call(summary& totals,
              const arrival& call,
              const call_result& result,
              milliseconds duration)
{
    ++totals.calls_;
    totals.send_delays_ms_.push_back(result.send_delay_ms_);
    totals.broken_ += result.broken_ ? 1 : 0;
    if (!result.reason_.empty())
    {
        ++totals.reasons_[result.reason_];
    }
    switch (result.outcome_)
    {
    case caller_outcome::answered:
        ++totals.answered_;
        totals.answered_in_time_ +=
            call.start_offset_.count() + result.latency_ms_ <= duration.count()
                ? 1
                : 0;
        totals.failed_status_ += result.status_ >= 500 ? 1 : 0;
        totals.latencies_ms_.push_back(result.latency_ms_);
        totals.wait_times_ms_.push_back(result.latency_ms_ - call.service_ms_);
        break;
    case caller_outcome::not_run:
        ++totals.not_run_;
        break;
    case caller_outcome::unknown:
        ++totals.unknown_;
        break;
    case caller_outcome::unreached:
        ++totals.unreached_;
        break;
    }
}

// Returns the nearest-rank quantile of sorted values; zero if there are none.
double quantile(const std::vector<float>& sorted, double fraction)
{
    if (sorted.empty())
    {
        return 0.0;
    }
    const auto rank =
        static_cast<std::size_t>(std::ceil(fraction * double(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

void print_figure(const std::string& group,
                  const char* name,
                  double value,
                  const char* unit)
{
    std::printf(
        "figure=%s.%s value=%.10g unit=%s\n", group.c_str(), name, value, unit);
}

void print_summary(const std::string& group, summary totals, double seconds)
{
    std::sort(totals.latencies_ms_.begin(), totals.latencies_ms_.end());
    std::sort(totals.wait_times_ms_.begin(), totals.wait_times_ms_.end());
    std::sort(totals.send_delays_ms_.begin(), totals.send_delays_ms_.end());
    print_figure(group, "calls", double(totals.calls_), "calls");
    print_figure(group, "answered", double(totals.answered_), "calls");
    print_figure(
        group, "failed_status", double(totals.failed_status_), "calls");
    print_figure(group, "not_run", double(totals.not_run_), "calls");
    print_figure(group, "unknown", double(totals.unknown_), "calls");
    print_figure(group, "broken", double(totals.broken_), "calls");
    print_figure(group, "unreached", double(totals.unreached_), "calls");
    const double in_time = double(totals.answered_in_time_);
    print_figure(
        group, "goodput", seconds > 0 ? in_time / seconds : 0, "calls/s");
    double sum = 0.0;
    for (const auto latency : totals.latencies_ms_)
    {
        sum += latency;
    }
    const auto count =
        double(std::max<std::size_t>(1, totals.latencies_ms_.size()));
    print_figure(group, "mean", sum / count, "ms");
    print_figure(group, "p50", quantile(totals.latencies_ms_, 0.5), "ms");
    print_figure(group, "p90", quantile(totals.latencies_ms_, 0.9), "ms");
    print_figure(group, "p99", quantile(totals.latencies_ms_, 0.99), "ms");
    print_figure(group, "p999", quantile(totals.latencies_ms_, 0.999), "ms");
    print_figure(group, "max", quantile(totals.latencies_ms_, 1.0), "ms");
    print_figure(group, "wait_p50", quantile(totals.wait_times_ms_, 0.5), "ms");
    print_figure(
        group, "wait_p99", quantile(totals.wait_times_ms_, 0.99), "ms");
    print_figure(
        group, "wait_p999", quantile(totals.wait_times_ms_, 0.999), "ms");
    print_figure(
        group, "send_delay_p99", quantile(totals.send_delays_ms_, 0.99), "ms");
    for (const auto& [reason, calls] : totals.reasons_)
    {
        auto name = "reason." + reason;
        std::replace(name.begin(), name.end(), ' ', '_');
        print_figure(group, name.c_str(), double(calls), "calls");
    }
}

const char* name_of(caller_outcome outcome)
{
    switch (outcome)
    {
    case caller_outcome::answered:
        return "answered";
    case caller_outcome::not_run:
        return "not-run";
    case caller_outcome::unknown:
        return "unknown";
    case caller_outcome::unreached:
        break;
    }
    return "unreached";
}

} // namespace

void print_figures(const load_run& run)
{
    summary all;
    std::vector<summary> streams(run.plan_.streams_.size());
    for (std::size_t i = 0; i < run.arrivals_.size(); ++i)
    {
        add_call(all, run.arrivals_[i], run.results_[i], run.plan_.duration_);
        add_call(streams[run.arrivals_[i].stream_index_],
                 run.arrivals_[i],
                 run.results_[i],
                 run.plan_.duration_);
    }
    const double seconds = run.plan_.duration_.count() / 1000.0;
    if (streams.size() > 1)
    {
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            print_summary(run.plan_.streams_[i].name_, streams[i], seconds);
        }
    }
    print_summary("all", all, seconds);
}

void print_violations(const violation_counts& violations)
{
    const auto print_count = [](const char* name, std::uint64_t value)
    {
        print_figure("violations", name, double(value), "calls");
    };
    print_count("cross_talk", violations.cross_talk_);
    print_count("damaged", violations.damaged_);
    print_count("not_run_but_ran", violations.not_run_but_ran_);
    print_count("ran_twice", violations.ran_twice_);
    print_count("answered_but_not_run", violations.answered_but_not_run_);
    print_count("total", violations.total());
}

void write_calls(const load_run& run, const std::string& path)
{
    std::ofstream file(path);
    for (std::size_t i = 0; i < run.arrivals_.size(); ++i)
    {
        const auto& call = run.arrivals_[i];
        const auto& result = run.results_[i];
        file << call_id(run.run_id_, call) << ' '
             << run.plan_.streams_[call.stream_index_].name_ << ' '
             << call.start_offset_.count() << ' ' << result.latency_ms_ << ' '
             << name_of(result.outcome_) << ' ' << result.status_ << ' '
             << (result.reason_.empty() ? "-" : result.reason_) << '\n';
    }
    if (!file.flush())
    {
        throw std::runtime_error("cannot write call results to " + path);
    }
}

} // namespace anvilturn
