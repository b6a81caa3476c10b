#ifndef AV_SPREAD_NOTICE_TABLE_HPP
#define AV_SPREAD_NOTICE_TABLE_HPP

#include <av_core/milliseconds.hpp>
#include <av_spread/sequenced_notice.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// A stored notice and the monotonic time at which its content was learned.
struct stored_notice
{
    sequenced_notice notice_;
    milliseconds learned_at_{0.0};
    // Number of messages of this VM that carried it.
    int sent_count_ = 0;
};

// The notices that one VM has stored: for each target the newest one about its
// draining or serving state, and the newest probe result.
struct notice_table
{
    std::map<std::string, stored_notice> states_;
    std::map<std::string, stored_notice> probes_;
    std::uint32_t local_sequence_ = 0;
};

// Result of adding a notice to a table.
struct notice_merge_result
{
    notice_table notice_table_;
    // The notice was not known and is the newest about its target, so it must
    // be acted on.
    bool is_new_ = false;
    // It changes the target's state and must be pushed to every VM at once.
    bool is_urgent_ = false;
    sequenced_notice notice_;
};

// Adds a notice of this VM, with its next sequence number.
notice_merge_result add_local_notice(notice_table table,
                                     target_notice notice,
                                     std::uint64_t local_incarnation,
                                     milliseconds now);

// Merges a notice that a peer sent. Repeated, older and expired ones are not
// new.
notice_merge_result merge_notice(notice_table table,
                                 const sequenced_notice& notice,
                                 milliseconds now);

// Returns the notices for one message, at most the limit: changes of state
// before probe results, and the least often sent first. With include_all_states
// set, changes of state are included however often they were sent, up to a
// larger limit. Increments the counts of sent messages.
std::pair<notice_table, std::vector<sequenced_notice>>
select_notices(notice_table table,
               std::size_t limit,
               bool include_all_states,
               milliseconds now);

// Removes the notices whose retention period has ended.
notice_table remove_expired_notices(notice_table table, milliseconds now);

// Returns the notice with its age at the given time.
sequenced_notice with_current_age(const stored_notice& stored,
                                  milliseconds now);

} // namespace anvilturn

#endif
