#ifndef AV_DAEMON_PROCESS_USAGE_HPP
#define AV_DAEMON_PROCESS_USAGE_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// CPU time and memory used by this process.
struct process_usage
{
    // CPU time of all threads since the start, in user and system mode.
    milliseconds cpu_time_;
    std::uint64_t resident_bytes_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(cpu_time_, resident_bytes_);
    }
};

// Reads the usage from the operating system; values that it does not provide
// are zero.
process_usage read_process_usage();

} // namespace anvilturn

#endif
