// Calls that are sent to a second target while they run at a slow one.

#include "hedging_fixture.hpp"

namespace anvilturn::test
{
namespace
{

const std::string refusal = "HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n";
const std::string failure = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n"
                            "oops";
const std::string too_many = "HTTP/1.1 429 Later\r\nContent-Length: 0\r\n\r\n";

// How a target ends an attempt without a response that answers the call.
struct attempt_failure
{
    const char* name_;
    std::function<void(test_connection&)> inject_;
};

std::vector<attempt_failure> attempt_failures()
{
    return {
        {"status 500",
         [](test_connection& target)
         {
             target.send(failure);
         }},
        {"close",
         [](test_connection& target)
         {
             target.close();
         }},
        {"refusal",
         [](test_connection& target)
         {
             target.send(refusal);
         }},
        {"status 429 of the target's own",
         [](test_connection& target)
         {
             target.send(too_many);
         }},
        {"close within the response",
         [](test_connection& target)
         {
             target.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
             target.close();
         }},
    };
}

// Returns whether the status promises that the call has not run.
bool says_not_run(const std::string& result)
{
    const auto status = result.substr(0, 3);
    return status == "408" || status == "421" || status == "429" ||
           status == "503" || contains(result, "not-run");
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedging)

// Guards against a hedge that costs the caller the earlier response, and
// against a loser that works on.
BOOST_AUTO_TEST_CASE(the_first_target_wins_if_it_responds_first)
{
    hedging_world world;
    world.start_hedged_call();
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
    BOOST_TEST(ends(world.second()));
    const auto counts = world.statistics();
    BOOST_TEST(counts.hedges_sent_ == 1U);
    BOOST_TEST(counts.hedges_won_ == 0U);
    BOOST_TEST(counts.extra_attempts_ == 1U);
    BOOST_TEST(counts.answered_ == 3U);
}

BOOST_AUTO_TEST_CASE(the_second_target_wins_if_it_responds_first)
{
    hedging_world world;
    world.start_hedged_call();
    world.second().send(ok("two"));
    BOOST_TEST(world.result() == "200 answered two");
    BOOST_TEST(ends(world.first()));
    const auto counts = world.statistics();
    BOOST_TEST(counts.hedges_sent_ == 1U);
    BOOST_TEST(counts.hedges_won_ == 1U);
    BOOST_TEST(counts.answered_ == 3U);
}

// Guards against slots that are lost with the loser, which would shut its
// target out for good.
BOOST_AUTO_TEST_CASE(all_slots_are_free_after_hedged_calls)
{
    for (const bool second_wins : {false, true})
    {
        hedging_world world;
        world.start_hedged_call();
        (second_wins ? world.second() : world.first()).send(ok("done"));
        BOOST_TEST(world.result() == "200 answered done");
        for (const auto& target : world.statistics().targets_)
        {
            BOOST_TEST(target.local_in_flight_ == 0);
        }
    }
}

// Guards against a failed response that wins because it is quick.
BOOST_AUTO_TEST_CASE(a_failed_first_response_leaves_the_call_to_the_second)
{
    for (const auto& failed : attempt_failures())
    {
        BOOST_TEST_CONTEXT(failed.name_)
        {
            hedging_world world;
            world.start_hedged_call();
            failed.inject_(world.first());
            std::this_thread::sleep_for(usual_time);
            BOOST_TEST(!has_input(world.caller()));
            world.second().send(ok("two"));
            BOOST_TEST(world.result() == "200 answered two");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_failed_second_response_leaves_the_call_to_the_first)
{
    for (const auto& failed : attempt_failures())
    {
        BOOST_TEST_CONTEXT(failed.name_)
        {
            hedging_world world;
            world.start_hedged_call();
            failed.inject_(world.second());
            std::this_thread::sleep_for(usual_time);
            BOOST_TEST(!has_input(world.caller()));
            world.first().send(ok("one"));
            BOOST_TEST(world.result() == "200 answered one");
        }
    }
}

// Guards against a third attempt beyond the limit of the rule, and against a
// call that never ends.
BOOST_AUTO_TEST_CASE(a_call_that_fails_twice_ends_with_the_last_failure)
{
    for (const bool first_fails_first : {false, true})
    {
        const auto in_order = [&](hedging_world& world)
        {
            auto* const a = &world.first();
            auto* const b = &world.second();
            return first_fails_first ? std::make_pair(a, b)
                                     : std::make_pair(b, a);
        };
        // The retry budget would allow a third attempt.
        hedging_world closing(
            [](release& value)
            {
                value.services_["kits"].retry_burst_ = 3.0;
            });
        closing.start_hedged_call();
        in_order(closing).first->close();
        std::this_thread::sleep_for(usual_time);
        in_order(closing).second->close();
        BOOST_TEST(contains(closing.result(), "unknown target_answer_lost"));
        BOOST_TEST(closing.statistics().extra_attempts_ == 1U);
        hedging_world failing;
        failing.start_hedged_call();
        in_order(failing).first->send(failure);
        std::this_thread::sleep_for(usual_time);
        in_order(failing).second->send(failure);
        BOOST_TEST(failing.result() == "500 answered oops");
    }
}

// Guards against targets that work for a caller which has gone.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_both_attempts)
{
    hedging_world world;
    world.start_hedged_call();
    world.caller().close();
    BOOST_TEST(ends(world.first()));
    BOOST_TEST(ends(world.second()));
    wait_until(
        [&]
        {
            return world.statistics().calls_in_flight_ == 0;
        });
    BOOST_TEST(world.statistics().unknown_ == 1U);
}

// Guards against an attempt that outlives the call, and against a "not run" for
// a call that both targets may have run.
BOOST_AUTO_TEST_CASE(a_deadline_ends_both_attempts)
{
    hedging_world world(
        [](release& value)
        {
            value.rules_["look-ups"].timeout_ = milliseconds(300.0);
        });
    world.start_hedged_call();
    BOOST_TEST(ends(world.first()));
    BOOST_TEST(ends(world.second()));
    BOOST_TEST(contains(world.result(), "unknown deadline_exceeded"));
}

// Guards against work whose result can't be used any more.
BOOST_AUTO_TEST_CASE(a_call_whose_response_has_begun_is_not_hedged)
{
    hedging_world world;
    world.start_call();
    world.first().send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    std::this_thread::sleep_for(usual_time);
    BOOST_TEST(world.is_never_hedged());
    world.first().send("rest");
    BOOST_TEST(world.result() == "200 answered halfrest");
}

BOOST_AUTO_TEST_CASE(a_call_that_is_not_idempotent_is_never_hedged)
{
    hedging_world world;
    world.start_call(get("/kits/first"));
    BOOST_TEST(world.is_never_hedged());
    BOOST_TEST(world.load_queries() == 0);
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
}

// Guards against extra load where the settings don't ask for it.
BOOST_AUTO_TEST_CASE(no_call_is_hedged_without_a_ratio)
{
    hedging_world world([](release&) {}, hedging_settings(0.0));
    world.start_call();
    BOOST_TEST(world.is_never_hedged());
    BOOST_TEST(world.load_queries() == 0);
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
    BOOST_TEST(world.statistics().hedges_sent_ == 0U);
    BOOST_TEST(world.statistics().hedges_suppressed_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_rule_with_one_attempt_is_not_hedged)
{
    hedging_world world(
        [](release& value)
        {
            value.rules_["look-ups"].max_attempts_ = 1;
        });
    world.start_call();
    BOOST_TEST(world.is_never_hedged());
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
}

// Guards against hedges that move load from one slowed target to another.
BOOST_AUTO_TEST_CASE(a_call_is_not_hedged_to_another_slowed_target)
{
    hedging_world world;
    world.start_call();
    BOOST_TEST(world.is_never_hedged(slow_load));
    BOOST_TEST(world.load_queries() > 0);
    BOOST_TEST(world.load_queries() <= 3);
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
}

// Guards against hedges beyond the ratio: the second slow call finds the budget
// spent by the first one.
BOOST_AUTO_TEST_CASE(hedges_beyond_the_ratio_are_suppressed)
{
    hedging_world world([](release&) {}, hedging_settings(0.45));
    world.start_hedged_call();
    // Both targets are known as slowed again, whichever gets the next call.
    world.second().send(ok("two", slow_load));
    BOOST_TEST(world.result() == "200 answered two");
    auto caller = world.vm().call();
    caller.send(get(idempotent_path));
    wait_until(
        [&]
        {
            return world.statistics().hedges_suppressed_ == 1;
        });
    BOOST_TEST(world.statistics().hedges_sent_ == 1U);
}

// Guards against a response that reaches the wrong call: that of the loser, to
// the next call of the same caller.
BOOST_AUTO_TEST_CASE(a_late_response_of_the_loser_reaches_no_other_call)
{
    hedging_world world;
    world.start_hedged_call();
    world.second().send(ok("two"));
    BOOST_TEST(world.result() == "200 answered two");
    boost::system::error_code ignored;
    boost::asio::write(
        world.first().socket(), boost::asio::buffer(ok("late")), ignored);
    world.caller().send(get("/kits/next"));
    wait_until(
        [&]
        {
            return has_input(world.second()) ||
                   world.first_target().has_pending_connection();
        });
    if (has_input(world.second()))
    {
        world.second().read_header();
        world.second().send(ok("next"));
    }
    else
    {
        auto connection = world.first_target().accept();
        connection.read_header();
        connection.send(ok("next"));
    }
    BOOST_TEST(world.result() == "200 answered next");
}

// Guards against two responses mixed into one: once the caller has got a part
// of the first target's response, the second one is cancelled.
BOOST_AUTO_TEST_CASE(a_response_that_has_begun_is_completed_by_its_target)
{
    auto settings = hedging_settings();
    settings.buffered_response_bytes_ = 0;
    for (const bool second_begins : {false, true})
    {
        hedging_world world([](release&) {}, settings);
        world.start_hedged_call();
        auto& winner = second_begins ? world.second() : world.first();
        auto& loser = second_begins ? world.first() : world.second();
        winner.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        BOOST_TEST(contains(world.caller().read_header(), "200 OK"));
        BOOST_TEST(world.caller().read_bytes(4) == "half");
        BOOST_TEST(ends(loser));
        winner.send("rest");
        BOOST_TEST(world.caller().read_bytes(4) == "rest");
    }
}

// The same for a response that is larger than the buffer.
BOOST_AUTO_TEST_CASE(a_large_response_of_the_second_target_arrives_whole)
{
    hedging_world world;
    world.start_hedged_call();
    const std::string body(300 * 1024, 'x');
    world.second().send(ok(body));
    const auto result = world.result();
    BOOST_TEST(result.size() ==
               body.size() + std::string("200 answered ").size());
    BOOST_TEST(ends(world.first()));
}

// Guards against a "not run" for a call that one of the targets may have run.
BOOST_AUTO_TEST_CASE(a_call_that_either_target_may_have_run_is_not_refused)
{
    for (const auto& refused : {refusal, too_many})
    {
        hedging_world second_lost;
        second_lost.start_hedged_call();
        second_lost.second().close();
        std::this_thread::sleep_for(usual_time);
        second_lost.first().send(refused);
        BOOST_TEST(!says_not_run(second_lost.result()));
        hedging_world first_lost;
        first_lost.start_hedged_call();
        first_lost.first().close();
        std::this_thread::sleep_for(usual_time);
        first_lost.second().send(refused);
        BOOST_TEST(!says_not_run(first_lost.result()));
    }
    hedging_world late;
    late.start_hedged_call();
    late.first().send(refusal);
    late.second().close();
    BOOST_TEST(!says_not_run(late.result()));
}

// Guards against the outcome "unknown" where the caller may safely repeat the
// call.
BOOST_AUTO_TEST_CASE(a_call_that_both_targets_refuse_has_not_run)
{
    for (const bool first_refuses_first : {false, true})
    {
        hedging_world world;
        world.start_hedged_call();
        auto& a = first_refuses_first ? world.first() : world.second();
        auto& b = first_refuses_first ? world.second() : world.first();
        a.send(refusal);
        std::this_thread::sleep_for(usual_time);
        b.send(refusal);
        const auto result = world.result();
        BOOST_TEST(contains(result, "503 not-run"));
    }
}

// Guards against hedges into a failure domain that operators have evacuated.
BOOST_AUTO_TEST_CASE(a_call_is_not_hedged_to_an_evacuated_target)
{
    hedging_world world(
        [](release& value)
        {
            value.targets_["kits-1"].failure_domain_ = "b";
            value.targets_["kits-2"].failure_domain_ = "c";
        });
    world.start_call();
    const bool is_first = &world.first_target() == &world.target(0);
    world.vm().path().publish_evacuations({is_first ? "c" : "b"});
    BOOST_TEST(world.is_never_hedged());
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
}

// Guards against hedges to targets that have just started.
BOOST_AUTO_TEST_CASE(a_call_is_not_hedged_to_a_cold_target)
{
    hedging_world world(
        [](release& value)
        {
            value.services_["kits"].cold_rate_per_second_ = 4.5;
        });
    world.start_call();
    world.make_second_target_cold();
    BOOST_TEST(world.is_never_hedged());
    world.first().send(ok("one"));
    BOOST_TEST(world.result() == "200 answered one");
}

// Guards against hedges beyond the quota of an account: each attempt that may
// have run counts, and the fourth one needs a permit.
BOOST_AUTO_TEST_CASE(a_hedge_needs_a_permit_of_the_account)
{
    for (const bool has_fourth : {false, true})
    {
        // Permits are granted half a second after the grantor's start.
        const double burst = has_fourth ? 3.0 : 2.0;
        test_grantor grantor(always(fleet_limit{
            0.001, burst, milliseconds(100.0), burst + 1.1, lease}));
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        auto settings = settings_with_grantors({grantor.address()});
        settings.hedge_ratio_ = 1.0;
        settings.buffered_response_bytes_ = 64 * 1024;
        settings.dialect_.parse_load_ = parse_test_load;
        hedging_world world(
            [](release& value)
            {
                account_spec account;
                account.name_ = "lestari";
                account.keys_ = {"ta1"};
                account.rate_per_second_ = 10.0;
                value.accounts_["lestari"] = account;
            },
            settings);
        world.start_call(request(idempotent_path));
        if (has_fourth)
        {
            const auto header = world.await_hedge();
            BOOST_TEST(contains(header, "GET " + idempotent_path + " "));
            world.second().send(ok("two"));
            BOOST_TEST(world.result() == "200 answered two");
            BOOST_TEST(grantor.statistics().permits_ == 4U);
        }
        else
        {
            BOOST_TEST(world.is_never_hedged());
            world.first().send(ok("one"));
            BOOST_TEST(world.result() == "200 answered one");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
