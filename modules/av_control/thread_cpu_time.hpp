// Private to av_control.

#ifndef AV_CONTROL_THREAD_CPU_TIME_HPP
#define AV_CONTROL_THREAD_CPU_TIME_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the processor time that the calling thread has used.
milliseconds thread_cpu_time();

} // namespace anvilturn

#endif
