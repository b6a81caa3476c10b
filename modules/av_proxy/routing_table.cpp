#include <av_proxy/routing_table.hpp>

#include <av_routing/dispatcher_vm.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr std::string_view fallback_policy = "least_load";
constexpr int min_connections_per_vm = 2;
constexpr int forward_connections_per_thread = 256;

// Returns the target of the service with that name; null if there is none. The
// targets are in the order of their names.
const target_entry* find_target(const service_entry& service,
                                const std::string& name)
{
    const auto found =
        std::lower_bound(service.targets_.begin(),
                         service.targets_.end(),
                         name,
                         [](const target_entry& target, const std::string& key)
                         {
                             return target.spec_.name_ < key;
                         });
    return found != service.targets_.end() && found->spec_.name_ == name
               ? &*found
               : nullptr;
}

std::shared_ptr<target_state>
reuse_or_create_target_state(const target_spec& spec,
                             const routing_table* previous,
                             bool limits_cold_targets,
                             milliseconds now)
{
    const auto* service =
        previous == nullptr ? nullptr : previous->find_service(spec.service_);
    const auto* known =
        service == nullptr ? nullptr : find_target(*service, spec.name_);
    if (known != nullptr && known->spec_.address_ == spec.address_ &&
        known->spec_.incarnation_ == spec.incarnation_)
    {
        // The time counts from when the entry arrived, so an entry that is the
        // same in a new table says nothing new.
        const bool is_same_entry =
            known->spec_.cold_for_ == spec.cold_for_ &&
            known->spec_.cold_revision_ == spec.cold_revision_;
        if (limits_cold_targets && !is_same_entry)
        {
            record_coldness(*known->state_,
                            spec.cold_for_,
                            coldness_source::store_entry,
                            now);
        }
        return known->state_;
    }
    auto state = std::make_shared<target_state>(
        spec.name_, spec.address_, spec.incarnation_);
    if (limits_cold_targets)
    {
        record_coldness(
            *state, spec.cold_for_, coldness_source::store_entry, now);
    }
    if (service != nullptr)
    {
        state->slow_start_since_ms_.store(now.count());
    }
    return state;
}

std::shared_ptr<service_state>
reuse_or_create_service_state(const std::string& name,
                              std::size_t thread_count,
                              const routing_table* previous)
{
    const auto* service =
        previous == nullptr ? nullptr : previous->find_service(name);
    return service == nullptr
               ? std::make_shared<service_state>(name, thread_count)
               : service->state_;
}

std::shared_ptr<target_state>
reuse_or_create_vm_state(const vm_description& vm,
                         const routing_table* previous)
{
    if (previous != nullptr)
    {
        const auto found = previous->vms_.find(vm.forward_address_);
        if (found != previous->vms_.end())
        {
            return found->second;
        }
    }
    return std::make_shared<target_state>(vm.name_, vm.forward_address_);
}

const choice_policy* policy_of(const service_spec& spec)
{
    const auto& registry = choice_policy_registry::instance();
    const auto* found = registry.find(spec.choice_policy_);
    return found != nullptr ? found : registry.find(fallback_policy);
}

void set_dispatcher(service_entry& service,
                    const fleet_view& fleet,
                    routing_table& table,
                    const routing_table* previous)
{
    if (service.policy_ == nullptr || !service.policy_->uses_dispatcher_vm_)
    {
        return;
    }
    const auto* dispatcher =
        dispatcher_vm(service.spec_.name_, fleet.self_.failure_domain_, fleet);
    if (dispatcher == nullptr || dispatcher->name_ == fleet.self_.name_ ||
        dispatcher->forward_address_.empty())
    {
        service.is_dispatcher_vm_ = true;
        return;
    }
    auto& state = table.vms_[dispatcher->forward_address_];
    if (state == nullptr)
    {
        state = reuse_or_create_vm_state(*dispatcher, previous);
    }
    service.dispatcher_target_.state_ = state;
    service.dispatcher_target_.spec_.name_ = dispatcher->name_;
    service.dispatcher_target_.spec_.address_ = dispatcher->forward_address_;
    service.dispatcher_target_.connections_per_thread_ =
        forward_connections_per_thread;
}

void set_evacuation_and_region(target_entry& target,
                               const routing_table_input& input)
{
    const auto& domain = target.spec_.failure_domain_;
    target.evacuated_ = input.evacuated_domains_ != nullptr &&
                        input.evacuated_domains_->count(domain) > 0;
    if (input.regions_ == nullptr)
    {
        return;
    }
    const auto region = input.regions_->find(domain);
    if (region != input.regions_->end())
    {
        target.region_ = region->second;
    }
}

} // namespace

bool is_permitted(const target_entry& target,
                  const region_limit& limit) noexcept
{
    return !target.evacuated_ && allows(limit, target.region_);
}

bool may_be_called(const service_entry& service,
                   const target_state& target,
                   const region_limit& limit) noexcept
{
    const auto* entry = find_target(service, target.name_);
    return entry != nullptr && entry->state_.get() == &target &&
           !is_leaving_or_replaced(entry->spec_, target) &&
           is_permitted(*entry, limit);
}

bool has_permitted_target(const service_entry& service,
                          const region_limit& limit) noexcept
{
    if (!limit.is_limited_ && !service.has_evacuated_targets_)
    {
        return true;
    }
    return std::any_of(service.targets_.begin(),
                       service.targets_.end(),
                       [&limit](const target_entry& target)
                       {
                           return is_permitted(target, limit);
                       });
}

bool uses_load_queries(const service_entry& service) noexcept
{
    return service.policy_ != nullptr &&
           service.policy_->select_load_queries_ != nullptr;
}

const service_entry* routing_table::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

std::shared_ptr<const routing_table>
build_routing_table(const routing_table_input& input, milliseconds now)
{
    const auto& fleet = input.fleet_;
    const auto threads = input.thread_count_;
    auto table = std::make_shared<routing_table>();
    table->version_ = input.release_.version_;
    table->rules_ = input.rules_;
    table->accounts_ = input.accounts_;
    for (const auto& entry : input.release_.services_)
    {
        auto& service = table->services_[entry.first];
        service.spec_ = entry.second;
        service.policy_ = policy_of(entry.second);
        service.state_ = reuse_or_create_service_state(
            entry.first, threads, input.previous_);
        set_dispatcher(service, fleet, *table, input.previous_);
    }
    for (const auto& entry : input.targets_)
    {
        const auto& spec = entry.second;
        const auto service = table->services_.find(spec.service_);
        if (service == table->services_.end())
        {
            continue;
        }
        target_entry target;
        target.spec_ = spec;
        target.state_ = reuse_or_create_target_state(
            spec,
            input.previous_,
            service->second.spec_.cold_rate_per_second_ > 0.0,
            now);
        target.state_->ejecting_streak_.store(
            service->second.spec_.ejecting_failures_);
        target.same_domain_ =
            spec.failure_domain_ == fleet.self_.failure_domain_;
        target.connections_per_thread_ = connection_share(
            spec.connection_limit_, fleet.members_.size(), threads);
        set_evacuation_and_region(target, input);
        service->second.has_evacuated_targets_ |= target.evacuated_;
        service->second.targets_.push_back(std::move(target));
    }
    return table;
}

int connection_share(int connection_limit,
                     std::size_t vm_count,
                     std::size_t thread_count)
{
    const int vms = std::max(1, static_cast<int>(vm_count));
    const int share = std::max(min_connections_per_vm, connection_limit / vms);
    return std::max(1, share / std::max(1, static_cast<int>(thread_count)));
}

} // namespace anvilturn
