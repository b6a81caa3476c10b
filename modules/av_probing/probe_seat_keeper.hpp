#ifndef AV_PROBING_PROBE_SEAT_KEEPER_HPP
#define AV_PROBING_PROBE_SEAT_KEEPER_HPP

#include <av_core/milliseconds.hpp>
#include <av_platform/platform_object.hpp>
#include <av_probing/probe_seats.hpp>

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
struct seat_store
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
class probe_seat_keeper
{
public:
    // The clock is monotonic_now outside of tests. The changed callback gets
    // the state after each change, for the probe sender.
    probe_seat_keeper(seat_store store,
                      seat_owner self,
                      std::function<milliseconds()> clock,
                      std::function<void(const probe_seats&)> changed);
    ~probe_seat_keeper();

    probe_seat_keeper(const probe_seat_keeper&) = delete;
    probe_seat_keeper& operator=(const probe_seat_keeper&) = delete;

    // Starts the next request if one is due. Candidacy is the result of
    // shard_candidacy. A VM that is no candidate and holds no lease sends no
    // requests.
    void tick(const std::vector<bool>& candidacy);

    // Stops the use of all leases until a later write is confirmed. Call it
    // after a clock mismatch.
    void drop();

    // Drops all leases and relinquishes them at the platform with the next
    // ticks. No lease is claimed afterwards.
    void give_back();

    // Returns whether relinquish was called and, as far as this VM knows, no
    // lease is recorded in its name.
    bool is_done() const;

    // Returns the current state, for state dumps.
    const probe_seats& state() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
