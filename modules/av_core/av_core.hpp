// Purpose: basic types that all other modules use: time, typed errors, log
// lines, plug-in registries and published snapshots.
// Depends on: absl (status), easylogging++ (behind log_event.cpp only).

#ifndef AV_CORE_AV_CORE_HPP
#define AV_CORE_AV_CORE_HPP

#include <av_core/comparison.hpp>
#include <av_core/error.hpp>
#include <av_core/http_status.hpp>
#include <av_core/log_event.hpp>
#include <av_core/log_rate_limiter.hpp>
#include <av_core/milliseconds.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_core/plugin_registry.hpp>
#include <av_core/snapshot_cell.hpp>

#endif
