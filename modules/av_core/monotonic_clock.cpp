#include <av_core/monotonic_clock.hpp>

#include <ctime>

namespace anvilturn
{
namespace
{

constexpr double milliseconds_per_second = 1e3;
constexpr double nanoseconds_per_millisecond = 1e6;

milliseconds read_clock(clockid_t id) noexcept
{
    timespec time{};
    clock_gettime(id, &time);
    return milliseconds(
        static_cast<double>(time.tv_sec) * milliseconds_per_second +
        static_cast<double>(time.tv_nsec) / nanoseconds_per_millisecond);
}

} // namespace

milliseconds monotonic_now() noexcept
{
    return read_clock(CLOCK_BOOTTIME);
}

milliseconds wall_clock_now() noexcept
{
    return read_clock(CLOCK_REALTIME);
}

} // namespace anvilturn
