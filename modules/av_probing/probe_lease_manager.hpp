#ifndef AV_PROBING_PROBE_LEASE_MANAGER_HPP
#define AV_PROBING_PROBE_LEASE_MANAGER_HPP

#include <av_core/milliseconds.hpp>
#include <av_platform/platform_object.hpp>
#include <av_probing/probe_lease_state.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// The one object of the platform that holds the seats, as functions with the
// errors of platform_client. Each must call back exactly once, later.
struct probe_lease_store
{
    using read_callback =
        std::function<void(absl::StatusOr<std::optional<platform_object>>)>;
    using write_callback = std::function<void(absl::StatusOr<object_version>)>;

    std::function<void(read_callback done)> read_;
    std::function<void(
        std::string value, object_version expected, write_callback done)>
        write_;
};

// Keeps the probe seats of one VM: reads the object, claims and renews, one
// request at a time. Call tick about once a second on the thread that the store
// calls back on.
class probe_lease_manager
{
public:
    // The clock is monotonic_now outside of tests. Changed is told the state
    // after each change, for the sender of probes.
    probe_lease_manager(probe_lease_store store,
                        lease_holder self,
                        std::function<milliseconds()> clock,
                        std::function<void(const probe_lease_state&)> changed);
    ~probe_lease_manager();

    probe_lease_manager(const probe_lease_manager&) = delete;
    probe_lease_manager& operator=(const probe_lease_manager&) = delete;

    // Starts the next request if one is due. Candidacy is that of
    // seat_candidacy; a VM that is no candidate and holds no seat calls
    // nothing.
    void tick(const std::vector<bool>& candidacy);

    // Stops the use of all seats until a later write is confirmed. Call it
    // when the clocks disagreed.
    void drop();

    // Drops all seats and gives them back to the platform with the next ticks.
    // Never claims again.
    void relinquish();

    // Returns whether give_back was called and no seat is left in this VM's
    // name, as far as it knows.
    bool is_done() const;

    // Returns the present state, for dumps.
    const probe_lease_state& state() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
