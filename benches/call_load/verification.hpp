#ifndef BENCHES_CALL_LOAD_VERIFICATION_HPP
#define BENCHES_CALL_LOAD_VERIFICATION_HPP

#include <call_load/load_worker.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace anvilturn
{

// Violated guarantees of a run, by the response bodies and the targets'
// execution logs.
struct violation_counts
{
    // Responses whose body belongs to another call, or that were followed by
    // bytes that belong to no request of the connection.
    std::uint64_t cross_talk_ = 0;
    // Complete responses whose body was truncated or altered.
    std::uint64_t damaged_ = 0;
    // Calls reported as not run that a target started.
    std::uint64_t not_run_but_ran_ = 0;
    // Non-idempotent calls that were started more than once.
    std::uint64_t ran_twice_ = 0;
    // Answered calls that no target completed.
    std::uint64_t answered_but_not_run_ = 0;

    std::uint64_t total() const noexcept
    {
        return cross_talk_ + damaged_ + not_run_but_ran_ + ran_twice_ +
               answered_but_not_run_;
    }
};

// Compares a run's results with the targets' execution logs, which it fetches
// from their control addresses. Without addresses, checks only the response
// bodies. Throws boost::system::system_error on network errors.
violation_counts
verify(const load_run& run,
       const std::vector<boost::asio::ip::tcp::endpoint>& control_addresses);

} // namespace anvilturn

#endif
