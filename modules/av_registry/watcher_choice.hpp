#ifndef AV_REGISTRY_WATCHER_CHOICE_HPP
#define AV_REGISTRY_WATCHER_CHOICE_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// What a VM knows about a watcher, which is a VM that watches the store and
// publishes its changes to subscribers.
struct watcher_record
{
    // Where it accepts subscribers, IP address and port.
    std::string address_;
    // Nothing until the watcher has reported it.
    std::optional<std::string> failure_domain_;
    // When it last failed, nothing if never, and the number of failures so far.
    std::optional<milliseconds> failed_at_;
    int failures_ = 0;
    // When it last reported its status, and whether it reached the store then.
    std::optional<milliseconds> last_contact_at_;
    bool store_reachable_ = false;
    // Whether it is a standby: an ordinary VM that watches the store only while
    // the watchers that the settings name can't.
    bool standby_ = false;
    // Whether this VM must not subscribe to it.
    bool excluded_ = false;
};

// Number of standbys that a watcher appoints, and that a VM remembers.
constexpr std::size_t max_standbys = 2;
constexpr std::size_t max_known_standbys = 6;

// Returns the standbys of a watcher: the current ones that still subscribe, and
// others in their place.
std::vector<std::string>
choose_standbys(const std::vector<std::string>& current,
                const std::vector<std::string>& subscribers);

// Adds the standbys to the records, up to the number to remember; a record of
// an earlier standby that is not in use is replaced. If the local address is
// among them, this VM is a standby, and all other standbys are excluded, since
// standbys that follow each other would follow no one. The records keep their
// places. Returns whether this VM is a standby.
bool record_standbys(std::vector<watcher_record>& watchers,
                     const std::vector<std::string>& standbys,
                     const std::string& local_address,
                     std::optional<std::size_t> in_use);

// Time after a failure during which a watcher is not queried again.
constexpr milliseconds watcher_retry_delay{1000.0};

// How long a status report of a watcher is valid. This is also how often VMs
// whose watcher reports the store unreachable look for one that reaches it.
constexpr milliseconds status_validity{3000.0};

// Records that the watcher was unreachable or reported outdated data.
void record_watcher_failure(watcher_record& watcher, milliseconds now);

// Records a status report of the watcher: whether it reaches the store. If it
// reached the store before and no longer does, or if it reports the store
// unreachable in response to a status query, it gets a backoff as if it had
// failed.
void record_watcher_status(watcher_record& watcher,
                           bool store_reachable,
                           bool was_status_query,
                           milliseconds now);

// Returns whether the watcher has a valid status and reported the store as
// unreachable.
bool reports_store_unreachable(const watcher_record& watcher, milliseconds now);

// Returns whether the watcher's status has to be queried before a snapshot of
// all entries is requested from it. A snapshot is large, and costly to transfer
// from another failure domain.
bool needs_status_query(const watcher_record& watcher, milliseconds now);

// Returns whether a VM should keep its current watcher although that does not
// reach the store. This is so if no other watcher can be better; the current
// one will report the recovery of the store.
bool should_keep_watcher(const std::vector<watcher_record>& watchers,
                         std::size_t current,
                         milliseconds now);

// Returns a record for each of the addresses, or none if the local address is
// among them, because such a VM watches the store itself.
std::vector<watcher_record>
make_watcher_records(const std::vector<std::string>& addresses,
                     const std::string& local_address);

// Returns the index of the watcher to query, or nothing if all have failed
// recently. Prefers watchers that do not report the store as unreachable, then
// those without a backoff, then those that are no standbys, then those in the
// local failure domain, then those in an unknown one. Among equals the first
// one from first_index on is taken: a random index spreads the VMs over the
// watchers, the index of the current watcher keeps that one.
std::optional<std::size_t>
choose_watcher(const std::vector<watcher_record>& watchers,
               const std::string& local_domain,
               std::size_t first_index,
               milliseconds now);

// Returns whether a watcher in a nearer failure domain, or any watcher in place
// of a standby, should be used instead of the current one, which has answered.
// Standbys are no better than others. A watcher that has failed is
// considered only after a backoff, which doubles with each failure up to a
// limit.
bool has_better_watcher(const std::vector<watcher_record>& watchers,
                        std::size_t current,
                        const std::string& local_domain,
                        milliseconds now);

} // namespace anvilturn

#endif
