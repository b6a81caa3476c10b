#ifndef AV_REGISTRY_EVACUATED_DOMAINS_HPP
#define AV_REGISTRY_EVACUATED_DOMAINS_HPP

#include <av_model/evacuation_spec.hpp>
#include <av_registry/listed_object.hpp>

#include <set>
#include <string>
#include <vector>

namespace anvilturn
{

// Names of failure domains.
using domain_set = std::set<std::string>;

// Return the evacuated failure domains after a listing of the store's
// evacuations, or after changes of them. An entry counts whatever its content,
// unless its name is one that no failure domain can have.
domain_set
domains_listed(const std::vector<listed_object<evacuation_spec>>& objects);
domain_set domains_after_changes(
    domain_set domains,
    const std::vector<object_change<evacuation_spec>>& changes);

} // namespace anvilturn

#endif
