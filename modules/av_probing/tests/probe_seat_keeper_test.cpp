#include <av_probing/probe_seat_keeper.hpp>

#include <av_core/error.hpp>
#include <av_probing/seat_table_codec.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

const std::vector<bool> all_seats(probe_seat_count, true);
const std::vector<bool> no_seats(probe_seat_count, false);

// The platform's object in memory. Responses can be lost after the write took
// effect.
struct memory_store
{
    std::string value_;
    object_version version_ = object_absent;
    bool loses_answers_ = false;
    int calls_ = 0;

    seat_store functions()
    {
        seat_store result;
        result.read_ = [this](const seat_store::read_callback& done)
        {
            ++calls_;
            if (version_ == object_absent)
            {
                done(std::optional<platform_object>());
                return;
            }
            done(std::optional<platform_object>({version_, value_}));
        };
        result.write_ = [this](std::string value,
                               object_version expected,
                               const seat_store::write_callback& done)
        {
            ++calls_;
            if (expected != version_)
            {
                done(make_error(error_kind::version_mismatch, "moved"));
                return;
            }
            value_ = std::move(value);
            ++version_;
            if (loses_answers_)
            {
                done(make_error(error_kind::platform_answer_lost, "cut"));
                return;
            }
            done(version_);
        };
        return result;
    }
};

struct keeper_fixture
{
    memory_store store_;
    milliseconds now_{100000.0};
    int changes_ = 0;
    probe_seat_keeper first_{store_.functions(),
                             {"vm-1", 1},
                             [this]
                             {
                                 return now_;
                             },
                             [this](const probe_seats&)
                             {
                                 ++changes_;
                             }};
    probe_seat_keeper second_{store_.functions(),
                              {"vm-2", 2},
                              [this]
                              {
                                  return now_;
                              },
                              [](const probe_seats&) {}};

    bool holds(const probe_seat_keeper& keeper) const
    {
        return holds_seat(keeper.state(), 0, now_);
    }

    void pass(double ms)
    {
        now_ = now_ + milliseconds(ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(probe_seat_keeper_suite, keeper_fixture)

BOOST_AUTO_TEST_CASE(reads_then_claims_then_renews)
{
    first_.tick(all_seats);
    BOOST_TEST(!holds(first_));
    first_.tick(all_seats);
    BOOST_TEST(holds(first_));
    BOOST_TEST(changes_ > 0);
    for (int second = 0; second < 60; ++second)
    {
        pass(1000.0);
        first_.tick(all_seats);
        second_.tick(all_seats);
        BOOST_TEST(holds(first_));
        BOOST_TEST(!holds(second_));
    }
}

BOOST_AUTO_TEST_CASE(no_candidate_no_calls)
{
    for (int i = 0; i < 10; ++i)
    {
        first_.tick(no_seats);
        pass(5000.0);
    }
    BOOST_TEST(store_.calls_ == 0);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_read_back)
{
    first_.tick(all_seats);
    store_.loses_answers_ = true;
    first_.tick(all_seats);
    BOOST_TEST(!holds(first_));
    first_.tick(all_seats);
    BOOST_TEST(holds(first_));
    BOOST_TEST(store_.version_ == 1u);
}

BOOST_AUTO_TEST_CASE(another_vm_takes_over_after_the_lease)
{
    first_.tick(all_seats);
    first_.tick(all_seats);
    for (int second = 0; second < 20 && !holds(second_); ++second)
    {
        second_.tick(all_seats);
        BOOST_TEST(!(holds(first_) && holds(second_)));
        pass(1000.0);
    }
    BOOST_TEST(holds(second_));
    BOOST_TEST(!holds(first_));
}

BOOST_AUTO_TEST_CASE(given_back_seats_go_to_another_vm_at_once)
{
    first_.tick(all_seats);
    first_.tick(all_seats);
    first_.give_back();
    BOOST_TEST(!holds(first_));
    BOOST_TEST(!first_.is_done());
    first_.tick(all_seats);
    first_.tick(all_seats);
    BOOST_TEST(first_.is_done());
    second_.tick(all_seats);
    second_.tick(all_seats);
    BOOST_TEST(holds(second_));
    first_.tick(all_seats);
    BOOST_TEST(!holds(first_));
}

BOOST_AUTO_TEST_CASE(an_object_that_is_no_table_gives_no_seat)
{
    for (const char* text : {"", "seats: 3", "seats: [{holder: x}]", "{"})
    {
        store_.value_ = text;
        store_.version_ = 7;
        first_.tick(all_seats);
        first_.tick(all_seats);
        BOOST_TEST(!holds(first_));
        BOOST_TEST(store_.version_ == 7u);
    }
}

BOOST_AUTO_TEST_CASE(table_reads_back_as_it_was_written)
{
    seat_table table(probe_seat_count);
    table[1] = {"vm: \"1\"", 18446744073709551615U, 4};
    const auto read = parse_seat_table(format_seat_table(table));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == table));
}

BOOST_AUTO_TEST_SUITE_END()
