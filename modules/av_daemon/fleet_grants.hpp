#ifndef AV_DAEMON_FLEET_GRANTS_HPP
#define AV_DAEMON_FLEET_GRANTS_HPP

#include <av_daemon/fleet_limit_state.hpp>
#include <av_grants/grant_server.hpp>
#include <av_grants/permit_client.hpp>
#include <av_model/release.hpp>
#include <av_quota/fleet_limit.hpp>
#include <av_quota/limit_key.hpp>
#include <av_settings/settings.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// The part of the daemon for the limits that hold for all VMs together: the
// server for permits if this VM is a grantor, and what the request path needs
// to ask for permits. Does nothing if the settings have no such limits. Runs on
// the thread of the io_context.
class fleet_grants
{
public:
    // The function returns the newest release; null if there is none yet.
    fleet_grants(boost::asio::io_context& context,
                 const settings& value,
                 std::function<std::shared_ptr<const release>()> get_release);
    ~fleet_grants();
    fleet_grants(const fleet_grants&) = delete;
    fleet_grants& operator=(const fleet_grants&) = delete;

    // Starts the server if this VM is a grantor; settings_invalid if its
    // address can't be used.
    absl::Status start();

    // Sets the targets that registered themselves. Without a call, the targets
    // are those of the release.
    void set_targets(const std::map<std::string, target_spec>& targets);

    // Returns what the permit clients of the request path need.
    const permit_client_options& client_options() const;

    // Returns the limit of a key in the newest release; nothing if there is
    // none.
    std::optional<fleet_limit> limit_of(const limit_key& key) const;

    // Returns nothing if the settings have no such limits.
    std::optional<fleet_limit_state> state() const;

private:
    std::optional<fleet_limit> account_limit_of(const release& current,
                                                const std::string& name) const;
    std::optional<fleet_limit> target_limit_of(const release& current,
                                               const std::string& name) const;

    const limit_bounds bounds_;
    const std::function<std::shared_ptr<const release>()> get_release_;
    permit_client_options client_options_;
    // Service of each registered target by the target's name; empty until
    // targets have registered.
    std::optional<absl::flat_hash_map<std::string, std::string>>
        registered_targets_;
    // Null if this VM is not a grantor.
    std::unique_ptr<grant_server> server_;
};

} // namespace anvilturn

#endif
