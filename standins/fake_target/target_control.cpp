// Control functions of a target: faults, counts and the execution log.

#include <fake_target/target.hpp>

#include <common/yaml_values.hpp>

#include <av_core/monotonic_clock.hpp>

#include <yaml-cpp/yaml.h>

#include <iomanip>
#include <sstream>

namespace anvilturn
{
namespace
{

fail_fast_kind read_fail_fast(const std::string& text)
{
    if (text == "error")
    {
        return fail_fast_kind::error;
    }
    return text == "reset" ? fail_fast_kind::reset : fail_fast_kind::none;
}

} // namespace

void target::change_faults(const std::string& yaml)
{
    const auto node = YAML::Load(yaml);
    const bool was_draining = faults_.draining_;
    read_if_present(node, "straggle", faults_.slowdown_);
    read_if_present(node, "drain", faults_.draining_);
    read_if_present(node, "refuse_after_body", faults_.refuse_after_body_);
    read_if_present(node, "lie_not_run", faults_.false_not_run_);
    read_if_present(node, "close_idle", faults_.close_idle_);
    read_if_present(node, "truncate", faults_.truncate_);
    read_if_present(node, "surplus", faults_.extra_response_);
    read_if_present(node, "two_lengths", faults_.conflicting_lengths_);
    read_if_present(node, "mislead", faults_.reports_idle_);
    read_if_present(node, "share", faults_.fault_share_);
    read_if_present(node, "shed_above", options_.shed_above_);
    read_if_present(node, "pauses_per_second", options_.pauses_per_second_);
    if (node["late_ms"])
    {
        faults_.response_delay_ = milliseconds(node["late_ms"].as<double>());
    }
    if (node["fail_fast"])
    {
        faults_.fail_fast_ =
            read_fail_fast(node["fail_fast"].as<std::string>());
    }
    if (node["closed_listener"])
    {
        faults_.closed_listener_ = node["closed_listener"].as<bool>();
        server_.set_listening(!faults_.closed_listener_);
    }
    if (node["cold"] && node["cold"].as<bool>())
    {
        slow_start_began_at_ = monotonic_now();
    }
    if (faults_.draining_ && !was_draining)
    {
        counts_.draining_since_ = monotonic_now();
    }
    if (node["freeze"])
    {
        set_frozen(node["freeze"].as<bool>());
    }
    schedule_pause();
    record_load_snapshot();
}

void target::reset_counts()
{
    executions_.clear();
    const auto draining_since = counts_.draining_since_;
    counts_ = target_counts{};
    counts_.draining_since_ = draining_since;
}

void target::append_executions(std::string& text) const
{
    for (const auto& [id, record] : executions_)
    {
        text += id + ' ' + std::to_string(record.starts_) + ' ' +
                std::to_string(record.completions_) + ' ' + options_.name_ +
                '\n';
    }
}

void target::append_counts(std::string& text) const
{
    std::ostringstream line;
    line << std::fixed << std::setprecision(3);
    line << "target=" << options_.name_ << " received=" << counts_.received_
         << " started=" << counts_.started_
         << " completed=" << counts_.completed_
         << " cancelled_queued=" << counts_.cancelled_queued_
         << " cancelled_running=" << counts_.cancelled_running_
         << " refused=" << counts_.refused_
         << " closed_idle=" << counts_.closed_idle_
         << " probes=" << counts_.probe_times_.size() << " busy=" << busy()
         << " queued=" << queue_.size()
         << " connections=" << server_.state().connections_
         << " most_connections=" << server_.state().peak_connections_
         << " refused_connections=" << server_.state().refused_connections_
         << " last_work_ms=" << counts_.last_call_at_.count()
         << " draining_since_ms=" << counts_.draining_since_.count()
         << " now_ms=" << monotonic_now().count() << '\n';
    text += line.str();
}

void target::append_probes(std::string& text) const
{
    for (const auto time : counts_.probe_times_)
    {
        std::ostringstream line;
        line << std::fixed << std::setprecision(3) << options_.name_ << ' '
             << time.count() << '\n';
        text += line.str();
    }
}

} // namespace anvilturn
