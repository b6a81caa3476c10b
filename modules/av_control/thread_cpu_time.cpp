#include <av_control/thread_cpu_time.hpp>

#include <ctime>

namespace anvilturn
{

milliseconds thread_cpu_time()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return milliseconds(static_cast<double>(time.tv_sec) * 1e3 +
                        static_cast<double>(time.tv_nsec) / 1e6);
}

} // namespace anvilturn
