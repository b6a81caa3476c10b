// Purpose: failure detection. Decides which VMs of the deployment are alive,
// from the heartbeats that the VMs exchange and from the platform's VM list,
// which lags. Pure functions: no I/O, clock or random device.
// Depends on: av_core, av_model.

#ifndef AV_MEMBERSHIP_AV_MEMBERSHIP_HPP
#define AV_MEMBERSHIP_AV_MEMBERSHIP_HPP

#include <av_membership/heartbeat.hpp>
#include <av_membership/listed_vm.hpp>
#include <av_membership/member_record.hpp>
#include <av_membership/membership.hpp>
#include <av_membership/membership_digest.hpp>
#include <av_membership/membership_limits.hpp>
#include <av_membership/membership_state.hpp>

#endif
