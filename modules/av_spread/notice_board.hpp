#ifndef AV_SPREAD_NOTICE_BOARD_HPP
#define AV_SPREAD_NOTICE_BOARD_HPP

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
struct kept_notice
{
    sequenced_notice notice_;
    milliseconds learned_at_{0.0};
    // Number of messages of this VM that carried it.
    int sent_ = 0;
};

// The notices that one VM has stored: for each target the newest one about its
// draining or serving state, and the newest probe result.
struct notice_board
{
    std::map<std::string, kept_notice> states_;
    std::map<std::string, kept_notice> probes_;
    std::uint32_t own_sequence_ = 0;
};

// Result of adding a notice to a table.
struct notice_outcome
{
    notice_board board_;
    // The notice was not known and is the newest about its target, so it must
    // be acted on.
    bool is_news_ = false;
    // It changes the target's state and must be pushed to every VM at once.
    bool is_urgent_ = false;
    sequenced_notice notice_;
};

// Adds a notice of this VM, with its next sequence number.
notice_outcome report_notice(notice_board board,
                             target_notice notice,
                             std::uint64_t own_incarnation,
                             milliseconds now);

// Merges a notice that a peer sent. Repeated, older and expired ones are not
// new.
notice_outcome
on_notice(notice_board board, const sequenced_notice& notice, milliseconds now);

// Returns the notices for one message, at most the limit: changes of state
// before probe results, and the least often sent first. With include_all_states
// set, changes of state are included however often they were sent, up to a
// larger limit. Increments the counts of sent messages.
std::pair<notice_board, std::vector<sequenced_notice>> take_notices(
    notice_board board, std::size_t limit, bool everything, milliseconds now);

// Removes the notices whose retention period has ended.
notice_board expire_notices(notice_board board, milliseconds now);

// Returns the notice with its age at the given time.
sequenced_notice aged(const kept_notice& kept, milliseconds now);

} // namespace anvilturn

#endif
