#include <av_spread/notice_table.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace anvilturn
{
namespace
{

// A target that drains for longer shows it again to the next VM that calls it.
constexpr milliseconds state_retention{120000.0};
constexpr milliseconds probe_retention{2000.0};
// Messages that carry one notice: enough that, passed on at random, it reaches
// every VM of a fleet of hundreds.
constexpr int sends_per_notice = 8;
constexpr std::size_t target_limit = 4096;
constexpr std::size_t refresh_limit = 256;

bool is_probe(const target_notice& notice)
{
    return notice.kind_ == target_notice_kind::probed;
}

milliseconds retention_of(const target_notice& notice)
{
    return is_probe(notice) ? probe_retention : state_retention;
}

bool is_same(const sequenced_notice& a, const sequenced_notice& b)
{
    return a.incarnation_ == b.incarnation_ && a.sequence_ == b.sequence_;
}

// Notices of one VM are ordered by its own count, since ages lose the time
// that messages travel; those of different VMs by their ages.
bool is_newer(const sequenced_notice& news,
              milliseconds learned_at,
              const stored_notice& kept)
{
    if (news.incarnation_ == kept.notice_.incarnation_)
    {
        return news.sequence_ > kept.notice_.sequence_;
    }
    return learned_at > kept.learned_at_;
}

notice_merge_result
keep(notice_table board, const sequenced_notice& news, milliseconds now)
{
    notice_merge_result outcome;
    outcome.notice_ = news;
    const target_notice& notice = news.notice_;
    const milliseconds learned_at = now - notice.age_;
    auto& kept = is_probe(notice) ? board.probes_ : board.states_;
    const auto found = kept.find(notice.target_);
    const bool is_known = found != kept.end();
    const bool should_store =
        notice.age_ < retention_of(notice) &&
        (is_known ? !is_same(news, found->second.notice_) &&
                        is_newer(news, learned_at, found->second)
                  : kept.size() < target_limit);
    if (should_store)
    {
        outcome.is_new_ = true;
        outcome.is_urgent_ =
            !is_probe(notice) &&
            (!is_known || found->second.notice_.notice_.kind_ != notice.kind_);
        kept[notice.target_] = stored_notice{news, learned_at, 0};
    }
    outcome.notice_table_ = std::move(board);
    return outcome;
}

using stored_notice_map = std::map<std::string, stored_notice>;

void select_from(stored_notice_map& kept,
                 std::size_t limit,
                 int sends,
                 milliseconds now,
                 std::vector<sequenced_notice>& taken)
{
    std::vector<stored_notice*> candidates;
    for (auto& [target, entry] : kept)
    {
        if (entry.sent_ < sends)
        {
            candidates.push_back(&entry);
        }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const stored_notice* a, const stored_notice* b)
              {
                  return a->sent_ != b->sent_ ? a->sent_ < b->sent_
                                              : a->learned_at_ > b->learned_at_;
              });
    for (stored_notice* entry : candidates)
    {
        if (taken.size() >= limit)
        {
            return;
        }
        ++entry->sent_;
        taken.push_back(with_current_age(*entry, now));
    }
}

void remove_expired_from(stored_notice_map& kept,
                         milliseconds retention,
                         milliseconds now)
{
    for (auto entry = kept.begin(); entry != kept.end();)
    {
        const bool is_expired = now - entry->second.learned_at_ > retention;
        entry = is_expired ? kept.erase(entry) : std::next(entry);
    }
}

} // namespace

notice_merge_result add_local_notice(notice_table board,
                                     target_notice notice,
                                     std::uint64_t local_incarnation,
                                     milliseconds now)
{
    sequenced_notice own;
    own.notice_ = std::move(notice);
    own.incarnation_ = local_incarnation;
    own.sequence_ = ++board.local_sequence_;
    return keep(std::move(board), own, now);
}

notice_merge_result merge_notice(notice_table board,
                                 const sequenced_notice& notice,
                                 milliseconds now)
{
    return keep(std::move(board), notice, now);
}

std::pair<notice_table, std::vector<sequenced_notice>> select_notices(
    notice_table board, std::size_t limit, bool everything, milliseconds now)
{
    std::vector<sequenced_notice> taken;
    const int sends =
        everything ? std::numeric_limits<int>::max() : sends_per_notice;
    select_from(
        board.states_, everything ? refresh_limit : limit, sends, now, taken);
    select_from(board.probes_, limit, sends_per_notice, now, taken);
    return {std::move(board), std::move(taken)};
}

notice_table remove_expired_notices(notice_table board, milliseconds now)
{
    remove_expired_from(board.states_, state_retention, now);
    remove_expired_from(board.probes_, probe_retention, now);
    return board;
}

sequenced_notice with_current_age(const stored_notice& kept, milliseconds now)
{
    sequenced_notice notice = kept.notice_;
    notice.notice_.age_ = now - kept.learned_at_;
    return notice;
}

} // namespace anvilturn
