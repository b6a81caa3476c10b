#include <av_probing/probe_lease_manager.hpp>

#include <av_core/error.hpp>
#include <av_probing/probe_lease_table_codec.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

const std::vector<bool> all_shards(probe_shard_count, true);
const std::vector<bool> no_shards(probe_shard_count, false);

// The platform's object in memory. Responses can be lost after the write took
// effect.
struct memory_store
{
    std::string value_;
    object_version version_ = object_absent;
    bool loses_responses_ = false;
    int calls_ = 0;

    probe_lease_store functions()
    {
        probe_lease_store result;
        result.read_ = [this](const probe_lease_store::read_callback& done)
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
                               const probe_lease_store::write_callback& done)
        {
            ++calls_;
            if (expected != version_)
            {
                done(make_error(error_kind::version_mismatch, "moved"));
                return;
            }
            value_ = std::move(value);
            ++version_;
            if (loses_responses_)
            {
                done(make_error(error_kind::platform_answer_lost, "cut"));
                return;
            }
            done(version_);
        };
        return result;
    }
};

struct manager_fixture
{
    memory_store store_;
    milliseconds now_{100000.0};
    int changes_ = 0;
    probe_lease_manager first_{store_.functions(),
                               {"vm-1", 1},
                               [this]
                               {
                                   return now_;
                               },
                               [this](const probe_lease_state&)
                               {
                                   ++changes_;
                               }};
    probe_lease_manager second_{store_.functions(),
                                {"vm-2", 2},
                                [this]
                                {
                                    return now_;
                                },
                                [](const probe_lease_state&) {}};

    bool holds(const probe_lease_manager& manager) const
    {
        return holds_lease(manager.state(), 0, now_);
    }

    void advance_clock(double ms)
    {
        now_ = now_ + milliseconds(ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(probe_lease_manager_suite, manager_fixture)

BOOST_AUTO_TEST_CASE(the_manager_reads_then_claims_then_renews)
{
    first_.tick(all_shards);
    BOOST_TEST(!holds(first_));
    first_.tick(all_shards);
    BOOST_TEST(holds(first_));
    BOOST_TEST(changes_ > 0);
    for (int second = 0; second < 60; ++second)
    {
        advance_clock(1000.0);
        first_.tick(all_shards);
        second_.tick(all_shards);
        BOOST_TEST(holds(first_));
        BOOST_TEST(!holds(second_));
    }
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_no_candidate_sends_no_requests)
{
    for (int i = 0; i < 10; ++i)
    {
        first_.tick(no_shards);
        advance_clock(5000.0);
    }
    BOOST_TEST(store_.calls_ == 0);
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_response_is_read_back)
{
    first_.tick(all_shards);
    store_.loses_responses_ = true;
    first_.tick(all_shards);
    BOOST_TEST(!holds(first_));
    first_.tick(all_shards);
    BOOST_TEST(holds(first_));
    BOOST_TEST(store_.version_ == 1u);
}

BOOST_AUTO_TEST_CASE(another_vm_takes_over_after_lease_expiry)
{
    first_.tick(all_shards);
    first_.tick(all_shards);
    for (int second = 0; second < 20 && !holds(second_); ++second)
    {
        second_.tick(all_shards);
        BOOST_TEST(!(holds(first_) && holds(second_)));
        advance_clock(1000.0);
    }
    BOOST_TEST(holds(second_));
    BOOST_TEST(!holds(first_));
}

BOOST_AUTO_TEST_CASE(another_vm_claims_relinquished_shards_at_once)
{
    first_.tick(all_shards);
    first_.tick(all_shards);
    first_.relinquish();
    BOOST_TEST(!holds(first_));
    BOOST_TEST(!first_.is_done());
    first_.tick(all_shards);
    first_.tick(all_shards);
    BOOST_TEST(first_.is_done());
    second_.tick(all_shards);
    second_.tick(all_shards);
    BOOST_TEST(holds(second_));
    first_.tick(all_shards);
    BOOST_TEST(!holds(first_));
}

BOOST_AUTO_TEST_CASE(a_malformed_table_grants_no_lease)
{
    for (const char* text : {"", "seats: 3", "seats: [{holder: x}]", "{"})
    {
        store_.value_ = text;
        store_.version_ = 7;
        first_.tick(all_shards);
        first_.tick(all_shards);
        BOOST_TEST(!holds(first_));
        BOOST_TEST(store_.version_ == 7u);
    }
}

BOOST_AUTO_TEST_CASE(the_lease_table_survives_a_round_trip)
{
    probe_lease_table table(probe_shard_count);
    table[1] = {"vm: \"1\"", 18446744073709551615U, 4};
    const auto read = parse_probe_lease_table(format_probe_lease_table(table));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == table));
}

BOOST_AUTO_TEST_SUITE_END()
