#include <av_daemon/process_usage.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace anvilturn
{
namespace
{

milliseconds to_milliseconds(const timeval& value)
{
    constexpr double milliseconds_per_second = 1e3;
    constexpr double microseconds_per_millisecond = 1e3;
    return milliseconds(
        static_cast<double>(value.tv_sec) * milliseconds_per_second +
        static_cast<double>(value.tv_usec) / microseconds_per_millisecond);
}

std::uint64_t read_resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

process_usage read_process_usage()
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0)
    {
        return {};
    }
    return {to_milliseconds(usage.ru_utime) + to_milliseconds(usage.ru_stime),
            read_resident_bytes()};
}

} // namespace anvilturn
