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

// One notice that is kept, by the time at which it was learned.
struct stored_notice
{
    sequenced_notice notice_;
    milliseconds learned_at_{0.0};
    // Messages that carried it from here.
    int sent_ = 0;
};

// What one VM knows of targets through notices: for each target the newest
// sign of draining or serving, and the newest finding of a probe.
struct notice_table
{
    std::map<std::string, stored_notice> states_;
    std::map<std::string, stored_notice> probes_;
    std::uint32_t local_sequence_ = 0;
};

// What taking in a notice led to.
struct notice_merge_result
{
    notice_table notice_table_;
    // It was not known and is the newest: act on it.
    bool is_new_ = false;
    // It is a change that must reach every VM at once.
    bool is_urgent_ = false;
    sequenced_notice notice_;
};

// Adds what this VM learned itself.
notice_merge_result add_local_notice(notice_table board,
                                     target_notice notice,
                                     std::uint64_t local_incarnation,
                                     milliseconds now);

// Takes in a notice that a peer sent. Repeated, older and expired ones are no
// news.
notice_merge_result merge_notice(notice_table board,
                                 const sequenced_notice& notice,
                                 milliseconds now);

// Returns the notices for one message, changes of state before findings of
// probes and the least sent first, at most the limit. With everything set, all
// changes of state are included, however often they were sent.
std::pair<notice_table, std::vector<sequenced_notice>> select_notices(
    notice_table board, std::size_t limit, bool everything, milliseconds now);

// Drops what has expired.
notice_table remove_expired_notices(notice_table board, milliseconds now);

// Returns a notice with its age as of now.
sequenced_notice with_current_age(const stored_notice& kept, milliseconds now);

} // namespace anvilturn

#endif
