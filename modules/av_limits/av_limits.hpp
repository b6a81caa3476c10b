// Purpose: overload control at one VM: who waits in which order, who is
// refused early, how many calls a target gets at once, and how many extra
// attempts (retries, hedges) are allowed. Pure functions and single-threaded
// values without I/O; each thread of the request path owns its own.
// Depends on: av_core, av_model.

#ifndef AV_LIMITS_AV_LIMITS_HPP
#define AV_LIMITS_AV_LIMITS_HPP

#include <av_limits/admission.hpp>
#include <av_limits/call_queue.hpp>
#include <av_limits/class_scheduling.hpp>
#include <av_limits/concurrency_limit.hpp>
#include <av_limits/hedging.hpp>
#include <av_limits/latency_quantile.hpp>
#include <av_limits/load_profile.hpp>
#include <av_limits/queue_wait_limit.hpp>
#include <av_limits/retry_budget.hpp>
#include <av_limits/retry_decision.hpp>
#include <av_limits/startup_wait.hpp>

#endif
