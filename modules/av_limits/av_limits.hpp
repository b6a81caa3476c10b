// Purpose: overload control at one VM: the order of waiting calls, early
// refusal, the number of concurrent calls at a target, and the number of extra
// attempts (retries, hedges). Pure functions and single-threaded values
// without I/O; each thread of the request path has its own.
// Depends on: av_core, av_model.

#ifndef AV_LIMITS_AV_LIMITS_HPP
#define AV_LIMITS_AV_LIMITS_HPP

#include <av_limits/call_queue.hpp>
#include <av_limits/class_scheduling.hpp>
#include <av_limits/concurrency_limit.hpp>
#include <av_limits/drain_rate.hpp>
#include <av_limits/hedging.hpp>
#include <av_limits/latency_quantile.hpp>
#include <av_limits/load_profile.hpp>
#include <av_limits/retry_after.hpp>
#include <av_limits/retry_budget.hpp>
#include <av_limits/retry_decision.hpp>
#include <av_limits/start_schedule.hpp>
#include <av_limits/startup_wait.hpp>
#include <av_limits/work_estimate.hpp>

#endif
