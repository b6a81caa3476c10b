#include <av_spread/notice_board.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace anvilturn
{
namespace
{

// A target that still drains afterwards signals it again to the next VM that
// calls it.
constexpr milliseconds state_retention{120000.0};
constexpr milliseconds probe_retention{2000.0};
// Number of messages that carry one notice: enough for it to reach every VM of
// a fleet of hundreds by random forwarding.
constexpr int sends_per_notice = 8;
constexpr std::size_t target_limit = 4096;
constexpr std::size_t everything_limit = 256;

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

// Notices of one VM are ordered by its sequence numbers, since ages do not
// include the transit time of messages; notices of different VMs by their ages.
bool is_newer(const sequenced_notice& news,
              milliseconds learned_at,
              const kept_notice& kept)
{
    if (news.incarnation_ == kept.notice_.incarnation_)
    {
        return news.sequence_ > kept.notice_.sequence_;
    }
    return learned_at > kept.learned_at_;
}

notice_outcome
keep(notice_board board, const sequenced_notice& news, milliseconds now)
{
    notice_outcome outcome;
    outcome.notice_ = news;
    const target_notice& notice = news.notice_;
    const milliseconds learned_at = now - notice.age_;
    auto& kept = is_probe(notice) ? board.probes_ : board.states_;
    const auto found = kept.find(notice.target_);
    const bool is_known = found != kept.end();
    const bool is_useful =
        notice.age_ < retention_of(notice) &&
        (is_known ? !is_same(news, found->second.notice_) &&
                        is_newer(news, learned_at, found->second)
                  : kept.size() < target_limit);
    if (is_useful)
    {
        outcome.is_news_ = true;
        outcome.is_urgent_ =
            !is_probe(notice) &&
            (!is_known || found->second.notice_.notice_.kind_ != notice.kind_);
        kept[notice.target_] = kept_notice{news, learned_at, 0};
    }
    outcome.board_ = std::move(board);
    return outcome;
}

using kept_map = std::map<std::string, kept_notice>;

void take_from(kept_map& kept,
               std::size_t limit,
               int sends,
               milliseconds now,
               std::vector<sequenced_notice>& taken)
{
    std::vector<kept_notice*> candidates;
    for (auto& [target, entry] : kept)
    {
        if (entry.sent_ < sends)
        {
            candidates.push_back(&entry);
        }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const kept_notice* a, const kept_notice* b)
              {
                  return a->sent_ != b->sent_ ? a->sent_ < b->sent_
                                              : a->learned_at_ > b->learned_at_;
              });
    for (kept_notice* entry : candidates)
    {
        if (taken.size() >= limit)
        {
            return;
        }
        ++entry->sent_;
        taken.push_back(aged(*entry, now));
    }
}

void expire_from(kept_map& kept, milliseconds retention, milliseconds now)
{
    for (auto entry = kept.begin(); entry != kept.end();)
    {
        const bool is_expired = now - entry->second.learned_at_ > retention;
        entry = is_expired ? kept.erase(entry) : std::next(entry);
    }
}

} // namespace

notice_outcome report_notice(notice_board board,
                             target_notice notice,
                             std::uint64_t own_incarnation,
                             milliseconds now)
{
    sequenced_notice own;
    own.notice_ = std::move(notice);
    own.incarnation_ = own_incarnation;
    own.sequence_ = ++board.own_sequence_;
    return keep(std::move(board), own, now);
}

notice_outcome
on_notice(notice_board board, const sequenced_notice& notice, milliseconds now)
{
    return keep(std::move(board), notice, now);
}

std::pair<notice_board, std::vector<sequenced_notice>> take_notices(
    notice_board board, std::size_t limit, bool everything, milliseconds now)
{
    std::vector<sequenced_notice> taken;
    const int sends =
        everything ? std::numeric_limits<int>::max() : sends_per_notice;
    take_from(board.states_,
              everything ? everything_limit : limit,
              sends,
              now,
              taken);
    take_from(board.probes_, limit, sends_per_notice, now, taken);
    return {std::move(board), std::move(taken)};
}

notice_board expire_notices(notice_board board, milliseconds now)
{
    expire_from(board.states_, state_retention, now);
    expire_from(board.probes_, probe_retention, now);
    return board;
}

sequenced_notice aged(const kept_notice& kept, milliseconds now)
{
    sequenced_notice notice = kept.notice_;
    notice.notice_.age_ = now - kept.learned_at_;
    return notice;
}

} // namespace anvilturn
