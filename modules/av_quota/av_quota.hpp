// Purpose: limits on calls that hold for all VMs together. Each limit is split
// into equal shares among a few VMs, the grantors; the others get permits from
// them that are valid for a short lease. Decisions without I/O.
// Depends on: av_core, av_model.

#ifndef AV_QUOTA_AV_QUOTA_HPP
#define AV_QUOTA_AV_QUOTA_HPP

#include <av_quota/fleet_limit.hpp>
#include <av_quota/limit_key.hpp>
#include <av_quota/permit_ledger.hpp>
#include <av_quota/permit_stock.hpp>

#endif
