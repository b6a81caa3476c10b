#ifndef BENCHES_CALL_LOAD_VERIFICATION_HPP
#define BENCHES_CALL_LOAD_VERIFICATION_HPP

#include <call_load/load_worker.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace anvilturn
{

// Promises that a run broke, by what the targets say of it.
struct violation_counts
{
    // Answers that belong to another call.
    std::uint64_t cross_talk_ = 0;
    // Answers that were announced as whole and are not.
    std::uint64_t damaged_ = 0;
    std::uint64_t not_run_but_ran_ = 0;
    // Non-idempotent calls that began more than once.
    std::uint64_t ran_twice_ = 0;
    // Answered calls that no target completed.
    std::uint64_t answered_but_not_run_ = 0;

    std::uint64_t total() const noexcept
    {
        return cross_talk_ + damaged_ + not_run_but_ran_ + ran_twice_ +
               answered_but_not_run_;
    }
};

// Compares a run's results with the execution logs at the control addresses.
// Without addresses only the bodies are judged. Throws on network errors.
violation_counts
verify(const load_run& run,
       const std::vector<boost::asio::ip::tcp::endpoint>& control_addresses);

} // namespace anvilturn

#endif
