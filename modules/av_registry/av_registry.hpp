// Purpose: which targets may be used, from what they register in the store of
// the platform: entries lapse and come back around outages, come from earlier
// starts of a target, or hold nothing that can be read. No I/O.
// Depends on: av_core, av_model.

#ifndef AV_REGISTRY_AV_REGISTRY_HPP
#define AV_REGISTRY_AV_REGISTRY_HPP

#include <av_registry/listed_object.hpp>
#include <av_registry/target_registry.hpp>
#include <av_registry/watcher_choice.hpp>

#endif
