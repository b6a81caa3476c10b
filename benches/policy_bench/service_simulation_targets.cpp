// Events of a call at its target: its place in the queue, its run and its
// response.
#include "service_simulation.hpp"

namespace policy_bench
{

namespace
{

constexpr double straggler_slowdown_factor = 10.0;
constexpr double cold_start_slowdown_factor = 5.0;
constexpr double cold_start_duration_ms = 2000.0;
constexpr double fast_failure_ms = 0.3;

} // namespace

void service_simulation::on_call_at_target(int call_number)
{
    auto& current_attempt = call(call_number);
    if (current_attempt.is_cancelled_)
    {
        return;
    }
    const bool has_fault = current_attempt.target_ == target_with_fault;
    if (has_fault && settings_.fault_ == fault_kind::fast_fail)
    {
        current_attempt.outcome_ = call_outcome::failed;
    }
    if (has_fault && settings_.fault_ == fault_kind::shedding)
    {
        current_attempt.outcome_ = call_outcome::refused;
    }
    auto& target = targets_[static_cast<std::size_t>(current_attempt.target_)];
    if (current_attempt.outcome_ != call_outcome::succeeded)
    {
        current_attempt.report_ = target.report();
        return send_response(call_number, fast_failure_ms);
    }
    if (!target.can_start_at_once(now_ms_))
    {
        ++result_.waited_at_target_;
    }
    target.enqueue(call_number);
    start_calls(current_attempt.target_);
}

double service_simulation::slowdown_factor(int target) const
{
    if (target != target_with_fault)
    {
        return 1.0;
    }
    if (settings_.fault_ == fault_kind::straggler)
    {
        return straggler_slowdown_factor;
    }
    if (settings_.fault_ == fault_kind::cold_start)
    {
        const double remaining_share = 1.0 - now_ms_ / cold_start_duration_ms;
        return 1.0 + std::max(0.0, remaining_share) *
                         (cold_start_slowdown_factor - 1.0);
    }
    return 1.0;
}

void service_simulation::start_calls(int target_number)
{
    auto& target = targets_[static_cast<std::size_t>(target_number)];
    while (const auto call_number = target.start_next(now_ms_))
    {
        auto& current_attempt = call(*call_number);
        current_attempt.end_ms_ = now_ms_ + current_attempt.service_ms_ *
                                                slowdown_factor(target_number);
        add_event(current_attempt.end_ms_, event_kind::call_ends, *call_number);
    }
}

void service_simulation::on_call_ends(int call_number)
{
    auto& current_attempt = call(call_number);
    if (current_attempt.is_cancelled_)
    {
        return;
    }
    if (now_ms_ < current_attempt.end_ms_)
    {
        // A stall has delayed the end of the call.
        return add_event(
            current_attempt.end_ms_, event_kind::call_ends, call_number);
    }
    auto& target = targets_[static_cast<std::size_t>(current_attempt.target_)];
    target.finish(call_number);
    start_calls(current_attempt.target_);
    current_attempt.report_ = target.report();
    send_response(call_number, 0.0);
    if (scheme_.location_ == dispatch_location::central)
    {
        dispatch_central_queue();
    }
}

void service_simulation::send_response(int call_number, double after_ms)
{
    const auto& current_attempt = call(call_number);
    const bool central = scheme_.location_ == dispatch_location::central;
    const int to = domain_of_vm(central ? current_attempt.vm_
                                        : current_attempt.dispatcher_);
    double response_delay_ms =
        delay_ms(domain_of_target(current_attempt.target_), to);
    // The central queue starts calls without the delay to the target, so it is
    // added here.
    response_delay_ms *= central ? 2.0 : 1.0;
    add_event(now_ms_ + after_ms + response_delay_ms,
              event_kind::response_arrives,
              call_number);
}

} // namespace policy_bench
