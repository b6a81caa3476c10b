#include <av_probing/probe_permission.hpp>
#include <av_probing/probe_seats.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

const seat_owner first{"vm-1", 11};
const seat_owner second{"vm-2", 22};
const std::vector<bool> all_seats(probe_seat_count, true);
const std::vector<bool> no_seats(probe_seat_count, false);

constexpr milliseconds at(double ms)
{
    return milliseconds(ms);
}

// Returns the state of a VM that found no object and claimed all leases.
probe_seats claimed(const seat_owner& self, milliseconds now)
{
    auto seats = after_seats_read(probe_seats{}, self, 0, {}, now);
    const auto table = wanted_seats(seats, self, all_seats, now);
    BOOST_REQUIRE(table.has_value());
    seats = after_write_sent(seats, *table, now);
    return after_write_accepted(seats, self, 1, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(probe_seats_suite)

BOOST_AUTO_TEST_CASE(free_seats_are_claimed_by_candidates_only)
{
    const auto seats =
        after_seats_read(probe_seats{}, first, 0, {}, at(1000.0));
    BOOST_TEST(!wanted_seats(seats, first, no_seats, at(1000.0)).has_value());
    const auto table = wanted_seats(seats, first, all_seats, at(1000.0));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->size() == probe_seat_count);
    BOOST_TEST(table->front().holder_ == "vm-1");
}

BOOST_AUTO_TEST_CASE(lease_counts_from_before_the_write_was_sent)
{
    auto seats = after_seats_read(probe_seats{}, first, 0, {}, at(1000.0));
    seats = after_write_sent(
        seats, *wanted_seats(seats, first, all_seats, at(1000.0)), at(1000.0));
    BOOST_TEST(!holds_seat(seats, 0, at(1000.0)));
    seats = after_write_accepted(seats, first, 1, at(9000.0));
    BOOST_TEST(holds_seat(seats, 0, at(10999.0)));
    BOOST_TEST(!holds_seat(seats, 0, at(11000.0)));
}

BOOST_AUTO_TEST_CASE(a_confirmation_after_the_lease_ended_gives_nothing)
{
    auto seats = after_seats_read(probe_seats{}, first, 0, {}, at(1000.0));
    seats = after_write_sent(
        seats, *wanted_seats(seats, first, all_seats, at(1000.0)), at(1000.0));
    seats = after_write_accepted(seats, first, 1, at(12000.0));
    BOOST_TEST(!holds_seat(seats, 0, at(12000.0)));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back)
{
    auto seats = after_seats_read(probe_seats{}, first, 0, {}, at(0.0));
    const auto table = *wanted_seats(seats, first, all_seats, at(0.0));
    seats = after_write_sent(seats, table, at(0.0));
    seats = after_seats_read(seats, first, 1, table, at(2000.0));
    BOOST_TEST(holds_seat(seats, 0, at(9999.0)));
    BOOST_TEST(!holds_seat(seats, 0, at(10000.0)));
}

// A first write takes effect late, and the refusal of a second one is not seen.
// The lease of the first write must not count from the time of the second.
BOOST_AUTO_TEST_CASE(a_late_write_is_not_taken_for_a_later_one)
{
    auto seats = after_seats_read(probe_seats{}, first, 0, {}, at(0.0));
    const auto early = *wanted_seats(seats, first, all_seats, at(0.0));
    seats = after_write_sent(seats, early, at(0.0));
    const auto late = *wanted_seats(seats, first, all_seats, at(8000.0));
    BOOST_TEST((late.front() != early.front()));
    seats = after_write_sent(seats, late, at(8000.0));
    seats = after_seats_read(seats, first, 1, early, at(9000.0));
    BOOST_TEST(!holds_seat(seats, 0, at(9000.0)));
}

BOOST_AUTO_TEST_CASE(a_seat_is_taken_over_only_after_the_lease_and_a_margin)
{
    const auto holder = claimed(first, at(0.0));
    auto other =
        after_seats_read(probe_seats{}, second, 1, holder.table_, at(500.0));
    BOOST_TEST(!wanted_seats(other, second, all_seats, at(10500.0)));
    BOOST_TEST(wanted_seats(other, second, all_seats, at(10901.0)).has_value());
    // Reading the same record again does not restart the wait.
    other = after_seats_read(other, second, 1, holder.table_, at(9000.0));
    BOOST_TEST(wanted_seats(other, second, all_seats, at(10901.0)).has_value());
    // A renewal does.
    auto renewed = holder.table_;
    for (auto& record : renewed)
    {
        ++record.renewals_;
    }
    other = after_seats_read(other, second, 2, renewed, at(9500.0));
    BOOST_TEST(!wanted_seats(other, second, all_seats, at(10901.0)));
}

BOOST_AUTO_TEST_CASE(a_stale_read_changes_nothing)
{
    auto seats = claimed(first, at(0.0));
    seats = after_seats_read(seats, first, 0, {}, at(100.0));
    BOOST_TEST(seats.version_ == 1u);
    BOOST_TEST(holds_seat(seats, 0, at(100.0)));
}

BOOST_AUTO_TEST_CASE(a_seat_that_another_vm_took_is_lost_at_once)
{
    auto seats = claimed(first, at(0.0));
    auto taken = seats.table_;
    taken.front().holder_ = second.name_;
    seats = after_seats_read(seats, first, 2, taken, at(100.0));
    BOOST_TEST(!holds_seat(seats, 0, at(100.0)));
    BOOST_TEST(holds_seat(seats, 1, at(100.0)));
}

BOOST_AUTO_TEST_CASE(a_replaced_vm_of_the_same_name_does_not_inherit)
{
    const auto old = claimed(first, at(0.0));
    const seat_owner replaced{first.name_, 99};
    const auto seats =
        after_seats_read(probe_seats{}, replaced, 1, old.table_, at(10.0));
    BOOST_TEST(!holds_seat(seats, 0, at(10.0)));
    BOOST_TEST(!wanted_seats(seats, replaced, all_seats, at(10.0)));
}

BOOST_AUTO_TEST_CASE(seats_given_back_are_free_at_once)
{
    auto seats = claimed(first, at(0.0));
    seats = after_seats_dropped(seats);
    BOOST_TEST(!holds_seat(seats, 0, at(1.0)));
    const auto table = seats_given_back(seats, first);
    BOOST_REQUIRE(table.has_value());
    const auto other =
        after_seats_read(probe_seats{}, second, 2, *table, at(10.0));
    BOOST_TEST(wanted_seats(other, second, all_seats, at(10.0)).has_value());
    BOOST_TEST(!seats_given_back(other, second).has_value());
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

BOOST_AUTO_TEST_CASE(permission_table)
{
    // Held from 0 to 10000; at 1 a second the spacing is 1070 ms.
    const auto seats = claimed(first, at(0.0));
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
            const probe_question question{
                0, row.last_sent_at_, row.probes_per_second_};
            BOOST_TEST(may_probe_now(seats, question, at(row.now_)) ==
                       row.allowed_);
        }
    }
}

BOOST_AUTO_TEST_CASE(no_seat_no_probe)
{
    const probe_question question{0, {}, 1000.0};
    BOOST_TEST(!may_probe_now(probe_seats{}, question, at(1e6)));
}

BOOST_AUTO_TEST_CASE(clocks_that_disagree_show_a_pause)
{
    const clock_reading before{at(1000.0), at(50000.0)};
    BOOST_TEST(clocks_agree(before, {at(3000.0), at(52100.0)}));
    BOOST_TEST(!clocks_agree(before, {at(1001.0), at(80000.0)}));
    BOOST_TEST(!clocks_agree(before, {at(9000.0), at(50010.0)}));
}

BOOST_AUTO_TEST_SUITE_END()
