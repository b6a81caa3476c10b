// Purpose: the order of the steps of a VM's graceful shutdown, as a state
// machine without I/O.
// Depends on: av_core; Boost.MSM (behind shutdown_sequence.cpp).

#ifndef AV_SHUTDOWN_AV_SHUTDOWN_HPP
#define AV_SHUTDOWN_AV_SHUTDOWN_HPP

#include <av_shutdown/shutdown_sequence.hpp>

#endif
