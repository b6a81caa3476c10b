#include <av_spread/notice_table.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace anvilturn
{
namespace
{

// If a target drains for longer, the next VM that calls it learns of the
// draining again.
constexpr milliseconds state_retention{120000.0};
constexpr milliseconds probe_retention{2000.0};
// Number of messages that carry one notice: enough for it to reach every VM of
// a fleet of hundreds by random forwarding.
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

// Notices of one VM are ordered by its sequence numbers, since ages do not
// include the transit time of messages; notices of different VMs by their ages.
bool is_newer(const sequenced_notice& incoming,
              milliseconds learned_at,
              const stored_notice& stored)
{
    if (incoming.incarnation_ == stored.notice_.incarnation_)
    {
        return incoming.sequence_ > stored.notice_.sequence_;
    }
    return learned_at > stored.learned_at_;
}

notice_merge_result
merge(notice_table table, const sequenced_notice& incoming, milliseconds now)
{
    notice_merge_result outcome;
    outcome.notice_ = incoming;
    const target_notice& notice = incoming.notice_;
    const milliseconds learned_at = now - notice.age_;
    auto& stored = is_probe(notice) ? table.probes_ : table.states_;
    const auto found = stored.find(notice.target_);
    const bool is_known = found != stored.end();
    const bool should_store =
        notice.age_ < retention_of(notice) &&
        (is_known ? !is_same(incoming, found->second.notice_) &&
                        is_newer(incoming, learned_at, found->second)
                  : stored.size() < target_limit);
    if (should_store)
    {
        outcome.is_new_ = true;
        outcome.is_urgent_ =
            !is_probe(notice) &&
            (!is_known || found->second.notice_.notice_.kind_ != notice.kind_);
        stored[notice.target_] = stored_notice{incoming, learned_at, 0};
    }
    outcome.notice_table_ = std::move(table);
    return outcome;
}

using stored_notice_map = std::map<std::string, stored_notice>;

void select_from(stored_notice_map& stored,
                 std::size_t limit,
                 int max_sends,
                 milliseconds now,
                 std::vector<sequenced_notice>& selected)
{
    std::vector<stored_notice*> candidates;
    for (auto& [target, entry] : stored)
    {
        if (entry.sent_count_ < max_sends)
        {
            candidates.push_back(&entry);
        }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const stored_notice* a, const stored_notice* b)
              {
                  return a->sent_count_ != b->sent_count_
                             ? a->sent_count_ < b->sent_count_
                             : a->learned_at_ > b->learned_at_;
              });
    for (stored_notice* entry : candidates)
    {
        if (selected.size() >= limit)
        {
            return;
        }
        ++entry->sent_count_;
        selected.push_back(with_current_age(*entry, now));
    }
}

void remove_expired_from(stored_notice_map& stored,
                         milliseconds retention,
                         milliseconds now)
{
    for (auto entry = stored.begin(); entry != stored.end();)
    {
        const bool is_expired = now - entry->second.learned_at_ > retention;
        entry = is_expired ? stored.erase(entry) : std::next(entry);
    }
}

} // namespace

notice_merge_result add_local_notice(notice_table table,
                                     target_notice notice,
                                     std::uint64_t local_incarnation,
                                     milliseconds now)
{
    sequenced_notice local;
    local.notice_ = std::move(notice);
    local.incarnation_ = local_incarnation;
    local.sequence_ = ++table.local_sequence_;
    return merge(std::move(table), local, now);
}

notice_merge_result merge_notice(notice_table table,
                                 const sequenced_notice& notice,
                                 milliseconds now)
{
    return merge(std::move(table), notice, now);
}

std::pair<notice_table, std::vector<sequenced_notice>>
select_notices(notice_table table,
               std::size_t limit,
               bool include_all_states,
               milliseconds now)
{
    std::vector<sequenced_notice> selected;
    const int max_sends =
        include_all_states ? std::numeric_limits<int>::max() : sends_per_notice;
    select_from(table.states_,
                include_all_states ? refresh_limit : limit,
                max_sends,
                now,
                selected);
    select_from(table.probes_, limit, sends_per_notice, now, selected);
    return {std::move(table), std::move(selected)};
}

notice_table remove_expired_notices(notice_table table, milliseconds now)
{
    remove_expired_from(table.states_, state_retention, now);
    remove_expired_from(table.probes_, probe_retention, now);
    return table;
}

sequenced_notice with_current_age(const stored_notice& stored, milliseconds now)
{
    sequenced_notice notice = stored.notice_;
    notice.notice_.age_ = now - stored.learned_at_;
    return notice;
}

} // namespace anvilturn
