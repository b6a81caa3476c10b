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

// Access to the platform's object that stores the lease table, with the errors
// of platform_client. Each function must call its callback exactly once,
// asynchronously.
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

// Maintains the probe leases of one VM: reads the object, claims and renews
// leases, one request at a time. Call tick about once a second, on the thread
// on which the store calls back.
class probe_lease_manager
{
public:
    // The clock is monotonic_now outside of tests. The changed callback gets
    // the state after each change, for the probe sender.
    probe_lease_manager(probe_lease_store store,
                        lease_holder self,
                        std::function<milliseconds()> clock,
                        std::function<void(const probe_lease_state&)> changed);
    ~probe_lease_manager();

    probe_lease_manager(const probe_lease_manager&) = delete;
    probe_lease_manager& operator=(const probe_lease_manager&) = delete;

    // Starts the next request if one is due. Candidacy is the result of
    // candidate_shards. A VM that is no candidate and holds no lease sends no
    // requests.
    void tick(const std::vector<bool>& candidates);

    // Stops the use of all leases until a later write is confirmed. Call it
    // after a clock mismatch.
    void drop();

    // Drops all leases and relinquishes them at the platform with the next
    // ticks. No lease is claimed afterwards.
    void relinquish();

    // Returns whether relinquish was called and, as far as this VM knows, no
    // lease is recorded in its name.
    bool is_done() const;

    // Returns the current state, for state dumps.
    const probe_lease_state& state() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
