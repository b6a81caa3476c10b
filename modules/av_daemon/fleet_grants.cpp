#include <av_daemon/fleet_grants.hpp>

#include <av_core/log_event.hpp>
#include <av_daemon/grantors.hpp>

#include <utility>

namespace anvilturn
{

fleet_grants::fleet_grants(
    boost::asio::io_context& context,
    const settings& value,
    std::function<std::shared_ptr<const release>()> get_release)
    : bounds_(limit_bounds_of(value))
    , get_release_(std::move(get_release))
{
    client_options_.vm_name_ = value.vm().name_;
    client_options_.grantors_ = grantor_addresses(value);
    if (client_options_.grantors_.empty())
    {
        return;
    }
    client_options_.counters_ = std::make_shared<permit_counters>();
    if (is_grantor(value))
    {
        grant_server_options options;
        options.address_ = value.listen().grants_;
        options.grantor_count_ = client_options_.grantors_.size();
        server_ = std::make_unique<grant_server>(context,
                                                 std::move(options),
                                                 [this](const limit_key& key)
                                                 {
                                                     return limit_of(key);
                                                 });
    }
}

fleet_grants::~fleet_grants() = default;

absl::Status fleet_grants::start()
{
    if (!server_)
    {
        return absl::OkStatus();
    }
    if (auto status = server_->start(); !status.ok())
    {
        return status;
    }
    log_event(log_level::info, "grantor_started")
        .field("address", server_->address())
        .field("grantors",
               static_cast<std::uint64_t>(client_options_.grantors_.size()))
        .write();
    return absl::OkStatus();
}

void fleet_grants::set_targets(
    const std::map<std::string, target_spec>& targets)
{
    const bool limits_cold_targets =
        bounds_.cold_overrun_ > 0.0 || bounds_.cold_slack_ > 0.0;
    if (!server_ || !limits_cold_targets)
    {
        return;
    }
    registered_targets_.emplace();
    registered_targets_->reserve(targets.size());
    for (const auto& [name, target] : targets)
    {
        registered_targets_->emplace(name, target.service_);
    }
}

const permit_client_options& fleet_grants::client_options() const
{
    return client_options_;
}

std::optional<fleet_limit> fleet_grants::limit_of(const limit_key& key) const
{
    const auto current = get_release_();
    if (!current)
    {
        return std::nullopt;
    }
    switch (key.kind_)
    {
    case limit_kind::account:
        return account_limit_of(*current, key.name_);
    case limit_kind::cold_target:
        return target_limit_of(*current, key.name_);
    }
    // A kind that only newer versions have.
    return std::nullopt;
}

std::optional<fleet_limit>
fleet_grants::account_limit_of(const release& current,
                               const std::string& name) const
{
    const auto account = current.accounts_.find(name);
    return account == current.accounts_.end()
               ? std::nullopt
               : account_limit(account->second, bounds_);
}

std::optional<fleet_limit>
fleet_grants::target_limit_of(const release& current,
                              const std::string& name) const
{
    const std::string* service_name = nullptr;
    if (registered_targets_)
    {
        const auto target = registered_targets_->find(name);
        service_name =
            target == registered_targets_->end() ? nullptr : &target->second;
    }
    else if (const auto target = current.targets_.find(name);
             target != current.targets_.end())
    {
        service_name = &target->second.service_;
    }
    if (service_name == nullptr)
    {
        return std::nullopt;
    }
    const auto service = current.services_.find(*service_name);
    return service == current.services_.end()
               ? std::nullopt
               : cold_target_limit(service->second, bounds_);
}

std::optional<fleet_limit_state> fleet_grants::state() const
{
    if (!client_options_.counters_)
    {
        return std::nullopt;
    }
    const auto& counters = *client_options_.counters_;
    fleet_limit_state result;
    result.grantors_ = client_options_.grantors_;
    result.granted_ = counters.granted_;
    result.over_limit_ = counters.over_limit_;
    result.unavailable_ = counters.unavailable_;
    result.queries_ = counters.queries_;
    result.failed_queries_ = counters.failed_queries_;
    result.unreachable_grantors_ = counters.unreachable_grantors_;
    result.keys_ = counters.keys_;
    if (server_)
    {
        result.server_ = server_->statistics();
    }
    return result;
}

} // namespace anvilturn
