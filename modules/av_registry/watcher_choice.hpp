#ifndef AV_REGISTRY_WATCHER_CHOICE_HPP
#define AV_REGISTRY_WATCHER_CHOICE_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// One VM that watches the store and tells others.
struct watcher_record
{
    // Where it tells, IP number and port.
    std::string address_;
    // Unknown before it was heard.
    std::optional<std::string> failure_domain_;
    // When it last failed, if ever, and how often it has.
    std::optional<milliseconds> failed_at_;
    int failures_ = 0;
    // When it last said where it stands, and whether the store answered it
    // then.
    std::optional<milliseconds> last_contact_at_;
    bool store_reachable_ = false;
};

// Time after a failure in which a watcher is not asked again.
constexpr milliseconds watcher_retry_delay{1000.0};

// How long it counts what a watcher said of the store: VMs whose watcher lost
// the store look so often for another one that has not.
constexpr milliseconds status_validity{3000.0};

// Records that the watcher could not be reached or told what is out of date.
void record_watcher_failure(watcher_record& watcher, milliseconds now);

// Records that the watcher answered, and whether the store answers it. One that
// falls out of step, or is found so by a greeting, loses trust as if it had
// failed.
void record_watcher_status(watcher_record& watcher,
                           bool in_step,
                           bool was_status_query,
                           milliseconds now);

// Whether the watcher said lately that the store does not answer it.
bool reports_store_unreachable(const watcher_record& watcher, milliseconds now);

// Whether where the watcher stands is to be asked before all that it has to
// tell is: that is long, and costly from another failure domain.
bool needs_status_query(const watcher_record& watcher, milliseconds now);

// Whether a VM stays with a watcher that the store does not answer: no other
// one can be better, and this one will tell when the store is back.
bool should_keep_watcher(const std::vector<watcher_record>& watchers,
                         std::size_t current,
                         milliseconds now);

// Returns a record for each of the addresses, or none if the own address is
// among them: such a VM watches the store itself.
std::vector<watcher_record>
watchers_of(const std::vector<std::string>& addresses,
            const std::string& local_address);

// Returns the index of the watcher to ask; nothing if all have failed lately.
// Those that are not out of step go first, then those of the own failure
// domain, then those of an unknown one. Equals are taken from the index first
// on: a random number spreads VMs over the watchers, the index of the one heard
// before keeps to it.
std::optional<std::size_t>
choose_watcher(const std::vector<watcher_record>& watchers,
               const std::string& own_domain,
               std::size_t first,
               milliseconds now);

// Returns whether a nearer watcher should be asked rather than this one, which
// was heard. One that has failed is given ever more time before it is.
bool has_better_watcher(const std::vector<watcher_record>& watchers,
                        std::size_t current,
                        const std::string& own_domain,
                        milliseconds now);

} // namespace anvilturn

#endif
