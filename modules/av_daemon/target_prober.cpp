#include <av_daemon/target_prober.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>
#include <av_platform/platform_client.hpp>
#include <av_platform/platform_keys.hpp>
#include <av_probing/probe_lease_manager.hpp>
#include <av_probing/probe_sender.hpp>
#include <av_probing/shard_assignment.hpp>
#include <av_routing/choice_policy.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

constexpr milliseconds lease_check_interval{1000.0};

probe_lease_store make_lease_store(platform_client& client,
                                   const std::string& deployment)
{
    const auto key = probe_leases_key(deployment);
    probe_lease_store store;
    store.read_ = [&client, key](probe_lease_store::read_callback done)
    {
        client.get(key, std::move(done));
    };
    store.write_ = [&client, key](std::string value,
                                  object_version expected,
                                  probe_lease_store::write_callback done)
    {
        client.put(key, std::move(value), expected, std::move(done));
    };
    return store;
}

bool is_probed(const service_spec& service)
{
    const auto* policy =
        choice_policy_registry::instance().find(service.choice_policy_);
    return policy != nullptr && policy->uses_probes_ &&
           service.probes_per_second_ > 0.0;
}

std::vector<probe_target> probed_targets(const release& value)
{
    std::vector<probe_target> result;
    for (const auto& [name, target] : value.targets_)
    {
        const auto service = value.services_.find(target.service_);
        if (service != value.services_.end() && is_probed(service->second) &&
            !target.draining_)
        {
            result.push_back(
                {name, target.address_, service->second.probes_per_second_});
        }
    }
    return result;
}

} // namespace

class target_prober::implementation
{
public:
    implementation(boost::asio::io_context& context,
                   platform_client& client,
                   const std::string& deployment,
                   const vm_description& self,
                   std::function<void(const target_notice&)> on_result)
        : timer_(context)
        , sender_(context,
                  self.name_,
                  {std::move(on_result),
                   [this]
                   {
                       lease_manager_.drop();
                   }})
        , lease_manager_(make_lease_store(client, deployment),
                         {self.name_, self.incarnation_},
                         monotonic_now,
                         [this](const probe_lease_state& leases)
                         {
                             sender_.set_leases(leases);
                         })
    {
        schedule_tick();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void publish(const release& value)
    {
        auto targets = probed_targets(value);
        has_targets_ = !targets.empty();
        sender_.set_targets(targets);
    }

    void publish(const fleet_view& value)
    {
        candidate_shards_ = candidate_shards(value);
    }

    void relinquish()
    {
        lease_manager_.relinquish();
        lease_manager_.tick(no_candidate_shards());
    }

    std::uint64_t sent() const
    {
        return sender_.sent();
    }

private:
    static std::vector<bool> no_candidate_shards()
    {
        return std::vector<bool>(probe_shard_count);
    }

    void schedule_tick()
    {
        timer_.expires_after(to_duration(lease_check_interval));
        timer_.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                lease_manager_.tick(has_targets_ ? candidate_shards_
                                                 : no_candidate_shards());
                schedule_tick();
            });
    }

    boost::asio::steady_timer timer_;
    std::vector<bool> candidate_shards_ = no_candidate_shards();
    bool has_targets_ = false;
    probe_sender sender_;
    probe_lease_manager lease_manager_;
};

target_prober::target_prober(
    boost::asio::io_context& context,
    platform_client& client,
    const std::string& deployment,
    const vm_description& self,
    std::function<void(const target_notice&)> on_result)
    : implementation_(std::make_unique<implementation>(
          context, client, deployment, self, std::move(on_result)))
{
}

target_prober::~target_prober() = default;

void target_prober::publish(const release& value)
{
    implementation_->publish(value);
}

void target_prober::publish(const fleet_view& value)
{
    implementation_->publish(value);
}

void target_prober::relinquish()
{
    implementation_->relinquish();
}

std::uint64_t target_prober::sent() const
{
    return implementation_->sent();
}

} // namespace anvilturn
