#ifndef AV_DAEMON_TARGET_PROBER_HPP
#define AV_DAEMON_TARGET_PROBER_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_model/target_notice.hpp>
#include <av_model/vm_description.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

class platform_client;

// Sends this VM's share of the probes, within the probe budget of the fleet:
// maintains its probe leases at the platform and probes the targets of the
// probe shards it holds a lease for. Services whose choice policy uses no probe
// results are not probed. Use it on the thread of the io_context.
class target_prober
{
public:
    // The client must outlive the prober. The callback gets the result of each
    // probe.
    target_prober(boost::asio::io_context& context,
                  platform_client& client,
                  const std::string& deployment,
                  const vm_description& self,
                  std::function<void(const target_notice&)> on_result);
    ~target_prober();

    target_prober(const target_prober&) = delete;
    target_prober& operator=(const target_prober&) = delete;

    // Sets the targets that are probed and their probe rates.
    void publish(const release& value);

    // Sets the VMs among which the probe shards are divided.
    void publish(const fleet_view& value);

    // Relinquishes the probe leases at the platform, for a graceful shutdown.
    void relinquish();

    // Returns the number of probes sent so far.
    std::uint64_t sent() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
