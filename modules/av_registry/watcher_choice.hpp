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
};

// Time after a failure in which a watcher is not asked again.
constexpr milliseconds watcher_pause{1000.0};

// Records that the watcher could not be reached or was not in step.
void note_failure(watcher_record& watcher, milliseconds now);

// Returns a record for each of the addresses, or none if the own address is
// among them: such a VM watches the store itself.
std::vector<watcher_record>
watchers_of(const std::vector<std::string>& addresses,
            const std::string& own_address);

// Returns the index of the watcher to ask; nothing if all have failed lately.
// Those of the own failure domain go first, then those of an unknown one. Among
// equals the random number decides, so that VMs spread over the watchers.
std::optional<std::size_t>
choose_watcher(const std::vector<watcher_record>& watchers,
               const std::string& own_domain,
               std::size_t random,
               milliseconds now);

// Returns whether a nearer watcher should be asked rather than this one, which
// was heard. One that has failed is given ever more time before it is.
bool has_better_watcher(const std::vector<watcher_record>& watchers,
                        std::size_t current,
                        const std::string& own_domain,
                        milliseconds now);

} // namespace anvilturn

#endif
