// Purpose: decides how news of releases and targets reaches every VM: which
// release is in force, from whom to fetch a newer one, which notices to pass
// on, and which VMs watch the platform. Pure functions: no I/O or clock.
// Depends on: av_core, av_model.

#ifndef AV_SPREAD_AV_SPREAD_HPP
#define AV_SPREAD_AV_SPREAD_HPP

#include <av_spread/notice_table.hpp>
#include <av_spread/platform_watchers.hpp>
#include <av_spread/release_document.hpp>
#include <av_spread/release_spread.hpp>
#include <av_spread/sequenced_notice.hpp>

#endif
