#ifndef AV_GRANTS_PERMIT_ROUND_HPP
#define AV_GRANTS_PERMIT_ROUND_HPP

#include <av_core/milliseconds.hpp>
#include <av_grants/permit_client_state.hpp>

#include <vector>

namespace anvilturn
{

// A grantor's refusal holds at most this long. The time in it includes calls
// that were refused elsewhere and may not return, so a VM that waited for all
// of it would refuse calls within the limit.
constexpr milliseconds max_refusal_time{50.0};

// Begins a round in which the grantors are asked in turn.
void begin_round(client_limit& limit);

// Returns whether grantors may have permits left in their reserve, now that all
// of them were asked.
bool has_reserve(const client_limit& limit);

// Returns whether another grantor is asked for permits of an account if the one
// that is asked now doesn't respond. Always for cold targets, whose leases are
// too short for a longer wait. The grantors that are skipped are given by
// index.
bool has_next_grantor(const client_limit& limit,
                      const std::vector<bool>& skipped,
                      milliseconds now);

// Asks the grantors once more, for their reserve.
void begin_reserve_round(client_limit& limit);

// Records that a grantor has refused, and when it expects to have permits.
void record_refusal(client_limit& limit, milliseconds retry_at);

// Ends a round in which no grantor gave enough. Returns the answer to the calls
// that wait.
permit_answer end_round(client_limit& limit, milliseconds now);

} // namespace anvilturn

#endif
