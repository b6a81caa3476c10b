#ifndef AV_GRANTS_PERMIT_CLIENT_STATE_HPP
#define AV_GRANTS_PERMIT_CLIENT_STATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_grants/permit_client.hpp>
#include <av_grants/permit_counters.hpp>
#include <av_quota/limit_key.hpp>
#include <av_quota/permit_stock.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// A grantor that did not respond is not asked for this long, since each query
// that tries it makes calls wait for the time-out. Shorter than the 2 s within
// which one that was restarted must be in use again.
constexpr milliseconds unreachable_retry_interval{500.0};

// Time after which the next grantor is asked.
constexpr milliseconds response_timeout{60.0};
// The same if no other one is left. Longer, since a busy grantor may still
// respond, while the call would be refused otherwise.
constexpr milliseconds last_response_timeout{250.0};

using permit_callback = std::function<void(permit_answer)>;

// A callback and what it is called with.
struct due_answer
{
    permit_callback done_;
    permit_answer answer_;
};

// Returns the answer to a call that may be sent.
inline permit_answer granted_until(milliseconds expires_at)
{
    permit_answer answer;
    answer.result_ = permit_result::granted;
    answer.expires_at_ = expires_at;
    return answer;
}

inline void count_answer(permit_counters& counters, permit_result result)
{
    switch (result)
    {
    case permit_result::granted:
        ++counters.granted_;
        break;
    case permit_result::over_limit:
        ++counters.over_limit_;
        break;
    case permit_result::unavailable:
        ++counters.unavailable_;
        break;
    }
}

// What one grantor responded about one limit.
struct grantor_refusal
{
    // The grantor is not asked before this point in time.
    milliseconds until_{0.0};
    // When the grantor expects to have permits for this VM.
    milliseconds retry_at_{0.0};
};

// State of a permit client for one limit.
struct client_limit
{
    limit_key key_;
    permit_stock stock_;
    // Indices of the grantors, in the order in which they are asked.
    std::vector<std::size_t> order_;
    // By index of the grantor.
    std::vector<grantor_refusal> refusals_;
    std::deque<permit_callback> waiting_;
    // Whether a round of requests is going on, of which there is at most one.
    // The other members are about this round.
    bool is_asking_ = false;
    // Position in the order of the grantor that is asked next.
    std::size_t position_ = 0;
    // Grantors that could not be reached, and grantors that refused, since the
    // first one was asked in this round, or asked for its reserve.
    std::size_t missed_grantors_ = 0;
    std::size_t refusing_grantors_ = 0;
    // Whether a grantor that was asked without its reserve refused.
    bool refused_without_reserve_ = false;
    // Whether grantors are asked once more, for their reserve.
    bool is_reserve_round_ = false;
    // When the first of the grantors that refused has permits; empty if none
    // refused.
    std::optional<milliseconds> retry_at_;
};

// A query whose reply has not arrived.
struct open_query
{
    struct request
    {
        std::shared_ptr<client_limit> limit_;
        int wanted_ = 0;
        bool may_use_reserve_ = false;
    };

    milliseconds sent_at_;
    // Time after which the grantor counts as unreachable.
    milliseconds timeout_ = response_timeout;
    std::vector<request> requests_;
    // Whether the other grantors have been asked since. The permits of a late
    // reply are still used.
    bool timed_out_ = false;
};

} // namespace anvilturn

#endif
