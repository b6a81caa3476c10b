// Purpose: which target gets a call, and which VM dispatches a service. Pure
// functions over plain structs, and choice policies as plug-ins that register
// themselves.
// Depends on: av_core, av_model.

#ifndef AV_ROUTING_AV_ROUTING_HPP
#define AV_ROUTING_AV_ROUTING_HPP

#include <av_routing/choice_policy.hpp>
#include <av_routing/dispatcher_vm.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/outlier.hpp>
#include <av_routing/random_bits.hpp>
#include <av_routing/slow_start.hpp>
#include <av_routing/split_choice.hpp>
#include <av_routing/target_record.hpp>
#include <av_routing/target_return.hpp>
#include <av_routing/target_summary.hpp>
#include <av_routing/target_view.hpp>

#endif
