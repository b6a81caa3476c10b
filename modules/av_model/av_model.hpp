// Purpose: the value types shared by all modules: services, targets, rules, the
// release in force, VMs, load reports and call outcomes.
// Depends on: av_core.

#ifndef AV_MODEL_AV_MODEL_HPP
#define AV_MODEL_AV_MODEL_HPP

#include <av_model/account_spec.hpp>
#include <av_model/call_outcome.hpp>
#include <av_model/evacuation_spec.hpp>
#include <av_model/fleet_view.hpp>
#include <av_model/load_report.hpp>
#include <av_model/release.hpp>
#include <av_model/rule_spec.hpp>
#include <av_model/service_spec.hpp>
#include <av_model/target_notice.hpp>
#include <av_model/target_spec.hpp>
#include <av_model/traffic_class.hpp>
#include <av_model/vm_description.hpp>
#include <av_model/weighted_service.hpp>

#endif
