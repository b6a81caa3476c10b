#include <av_probing/probe_lease_state.hpp>
#include <av_probing/probe_permission.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

const lease_holder first{"vm-1", 11};
const lease_holder second{"vm-2", 22};
const std::vector<bool> all_shards(probe_shard_count, true);
const std::vector<bool> no_shards(probe_shard_count, false);

constexpr milliseconds at(double ms)
{
    return milliseconds(ms);
}

// Returns the state of a VM that found no object and claimed all leases.
probe_lease_state lease_state_after_claim(const lease_holder& self,
                                          milliseconds now)
{
    auto state = after_leases_read(probe_lease_state{}, self, 0, {}, now);
    const auto table = lease_table_to_write(state, self, all_shards, now);
    BOOST_REQUIRE(table.has_value());
    state = after_write_sent(state, *table, now);
    return after_write_accepted(state, self, 1, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(probe_lease_state_suite)

BOOST_AUTO_TEST_CASE(free_shards_are_claimed_by_candidates_only)
{
    const auto state =
        after_leases_read(probe_lease_state{}, first, 0, {}, at(1000.0));
    BOOST_TEST(
        !lease_table_to_write(state, first, no_shards, at(1000.0)).has_value());
    const auto table =
        lease_table_to_write(state, first, all_shards, at(1000.0));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->size() == probe_shard_count);
    BOOST_TEST(table->front().holder_ == "vm-1");
}

BOOST_AUTO_TEST_CASE(lease_counts_from_before_the_write_was_sent)
{
    auto state =
        after_leases_read(probe_lease_state{}, first, 0, {}, at(1000.0));
    state = after_write_sent(
        state,
        *lease_table_to_write(state, first, all_shards, at(1000.0)),
        at(1000.0));
    BOOST_TEST(!holds_lease(state, 0, at(1000.0)));
    state = after_write_accepted(state, first, 1, at(9000.0));
    BOOST_TEST(holds_lease(state, 0, at(10999.0)));
    BOOST_TEST(!holds_lease(state, 0, at(11000.0)));
}

BOOST_AUTO_TEST_CASE(a_confirmation_after_expiry_grants_no_lease)
{
    auto state =
        after_leases_read(probe_lease_state{}, first, 0, {}, at(1000.0));
    state = after_write_sent(
        state,
        *lease_table_to_write(state, first, all_shards, at(1000.0)),
        at(1000.0));
    state = after_write_accepted(state, first, 1, at(12000.0));
    BOOST_TEST(!holds_lease(state, 0, at(12000.0)));
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_response_is_confirmed_by_a_read)
{
    auto state = after_leases_read(probe_lease_state{}, first, 0, {}, at(0.0));
    const auto table = *lease_table_to_write(state, first, all_shards, at(0.0));
    state = after_write_sent(state, table, at(0.0));
    state = after_leases_read(state, first, 1, table, at(2000.0));
    BOOST_TEST(holds_lease(state, 0, at(9999.0)));
    BOOST_TEST(!holds_lease(state, 0, at(10000.0)));
}

// A first write takes effect late, and the refusal of a second one is not seen.
// The lease of the first write must not count from the time of the second.
BOOST_AUTO_TEST_CASE(a_delayed_write_is_not_mistaken_for_a_later_one)
{
    auto state = after_leases_read(probe_lease_state{}, first, 0, {}, at(0.0));
    const auto early = *lease_table_to_write(state, first, all_shards, at(0.0));
    state = after_write_sent(state, early, at(0.0));
    const auto late =
        *lease_table_to_write(state, first, all_shards, at(8000.0));
    BOOST_TEST((late.front() != early.front()));
    state = after_write_sent(state, late, at(8000.0));
    state = after_leases_read(state, first, 1, early, at(9000.0));
    BOOST_TEST(!holds_lease(state, 0, at(9000.0)));
}

BOOST_AUTO_TEST_CASE(a_shard_is_taken_over_only_after_lease_expiry_and_a_margin)
{
    const auto holder = lease_state_after_claim(first, at(0.0));
    auto other = after_leases_read(
        probe_lease_state{}, second, 1, holder.table_, at(500.0));
    BOOST_TEST(!lease_table_to_write(other, second, all_shards, at(10500.0)));
    BOOST_TEST(lease_table_to_write(other, second, all_shards, at(10901.0))
                   .has_value());
    // Reading the same record again does not restart the wait.
    other = after_leases_read(other, second, 1, holder.table_, at(9000.0));
    BOOST_TEST(lease_table_to_write(other, second, all_shards, at(10901.0))
                   .has_value());
    // A renewal does.
    auto renewed = holder.table_;
    for (auto& record : renewed)
    {
        ++record.renewals_;
    }
    other = after_leases_read(other, second, 2, renewed, at(9500.0));
    BOOST_TEST(!lease_table_to_write(other, second, all_shards, at(10901.0)));
}

BOOST_AUTO_TEST_CASE(a_stale_read_changes_nothing)
{
    auto state = lease_state_after_claim(first, at(0.0));
    state = after_leases_read(state, first, 0, {}, at(100.0));
    BOOST_TEST(state.version_ == 1u);
    BOOST_TEST(holds_lease(state, 0, at(100.0)));
}

BOOST_AUTO_TEST_CASE(a_lease_that_another_vm_took_ends_at_once)
{
    auto state = lease_state_after_claim(first, at(0.0));
    auto taken = state.table_;
    taken.front().holder_ = second.name_;
    state = after_leases_read(state, first, 2, taken, at(100.0));
    BOOST_TEST(!holds_lease(state, 0, at(100.0)));
    BOOST_TEST(holds_lease(state, 1, at(100.0)));
}

BOOST_AUTO_TEST_CASE(a_replacement_of_the_same_name_does_not_inherit_leases)
{
    const auto old = lease_state_after_claim(first, at(0.0));
    const lease_holder replaced{first.name_, 99};
    const auto state = after_leases_read(
        probe_lease_state{}, replaced, 1, old.table_, at(10.0));
    BOOST_TEST(!holds_lease(state, 0, at(10.0)));
    BOOST_TEST(!lease_table_to_write(state, replaced, all_shards, at(10.0)));
}

BOOST_AUTO_TEST_CASE(relinquished_shards_can_be_claimed_at_once)
{
    auto state = lease_state_after_claim(first, at(0.0));
    state = after_leases_dropped(state);
    BOOST_TEST(!holds_lease(state, 0, at(1.0)));
    const auto table = relinquished_lease_table(state, first);
    BOOST_REQUIRE(table.has_value());
    const auto other =
        after_leases_read(probe_lease_state{}, second, 2, *table, at(10.0));
    BOOST_TEST(
        lease_table_to_write(other, second, all_shards, at(10.0)).has_value());
    BOOST_TEST(!relinquished_lease_table(other, second).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(probe_permission_suite)

struct permission_case
{
    const char* name_;
    double now_;
    std::optional<milliseconds> last_sent_at_;
    double probes_per_second_;
    bool allowed_;
};

BOOST_AUTO_TEST_CASE(a_probe_is_allowed_only_within_lease_and_budget)
{
    // Held from 0 to 10000; at 1 a second the spacing is 1070 ms.
    const auto state = lease_state_after_claim(first, at(0.0));
    const permission_case cases[] = {
        {"within the first spacing of a new holder", 1069.0, {}, 1.0, false},
        {"after the first spacing of a new holder", 1071.0, {}, 1.0, true},
        {"too soon after the last probe", 3000.0, at(1931.0), 1.0, false},
        {"spacing elapsed since the last probe", 3002.0, at(1931.0), 1.0, true},
        {"zero rate", 5000.0, {}, 0.0, false},
        {"negative rate", 5000.0, {}, -1.0, false},
        {"may arrive after lease expiry", 9951.0, {}, 1.0, false},
        {"arrives before lease expiry", 9949.0, {}, 1.0, true},
        {"resumed after a pause beyond lease expiry",
         50000.0,
         at(2000.0),
         1.0,
         false},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            const probe_check_input input{
                0, row.last_sent_at_, row.probes_per_second_};
            BOOST_TEST(may_probe_now(state, input, at(row.now_)) ==
                       row.allowed_);
        }
    }
}

BOOST_AUTO_TEST_CASE(no_probe_is_allowed_without_a_lease)
{
    const probe_check_input input{0, {}, 1000.0};
    BOOST_TEST(!may_probe_now(probe_lease_state{}, input, at(1e6)));
}

BOOST_AUTO_TEST_CASE(a_clock_mismatch_reveals_a_pause)
{
    const clock_reading before{at(1000.0), at(50000.0)};
    BOOST_TEST(clocks_agree(before, {at(3000.0), at(52100.0)}));
    BOOST_TEST(!clocks_agree(before, {at(1001.0), at(80000.0)}));
    BOOST_TEST(!clocks_agree(before, {at(9000.0), at(50010.0)}));
}

BOOST_AUTO_TEST_SUITE_END()
