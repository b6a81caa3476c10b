// Purpose: which targets may be used, according to their registrations in the
// platform's store. Handles entries that expire in an outage of the store and
// return after it, entries of earlier starts of a target, and unreadable ones.
// Also determines which failure domains are evacuated, and selects the watcher
// that a VM gets the registrations from. No I/O.
// Depends on: av_core, av_model.

#ifndef AV_REGISTRY_AV_REGISTRY_HPP
#define AV_REGISTRY_AV_REGISTRY_HPP

#include <av_registry/evacuated_domains.hpp>
#include <av_registry/listed_object.hpp>
#include <av_registry/target_registry.hpp>
#include <av_registry/watcher_choice.hpp>

#endif
