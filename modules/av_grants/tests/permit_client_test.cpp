#include "grants_fixture.hpp"

namespace anvilturn
{
namespace
{

BOOST_FIXTURE_TEST_SUITE(permit_client_test, grants_fixture)

// A VM that held its permits for longer than a lease would exceed the limit:
// the lease begins when the VM asks.
BOOST_AUTO_TEST_CASE(a_permit_is_valid_for_a_lease_from_when_it_was_asked_for)
{
    start_client({add_server(always(ample_limit()))});
    const auto asked_at = monotonic_now();
    const auto answer = acquire();
    const auto answered_at = monotonic_now();
    BOOST_TEST(is_granted(answer));
    BOOST_TEST((answer.expires_at_ > asked_at));
    BOOST_TEST((answer.expires_at_ < answered_at + milliseconds(500.0)));
}

// Where no call needs a permit, grantors must not get connections.
BOOST_AUTO_TEST_CASE(a_client_connects_when_a_permit_is_first_asked_for)
{
    start_client({add_server(always(ample_limit()))});
    run_for(milliseconds(30.0));
    BOOST_TEST(servers_[0]->statistics().connections_ == 0U);
    BOOST_TEST(is_granted(acquire()));
    BOOST_TEST(is_granted(acquire({limit_kind::account, "ward"})));
    BOOST_TEST(servers_[0]->statistics().connections_ == 1U);
    BOOST_TEST(counters_->keys_ == 2);
}

// Messages must not grow with the calls of one turn, nor with the keys.
BOOST_AUTO_TEST_CASE(requests_of_one_turn_are_one_message)
{
    start_client({add_server(always(ample_limit()))});
    int granted = 0;
    for (const char* name : {"a", "b", "c", "a", "b", "a"})
    {
        client_->acquire({limit_kind::account, name},
                         [&granted](const permit_answer& answer)
                         {
                             granted += is_granted(answer) ? 1 : 0;
                         });
    }
    BOOST_TEST(granted == 0);
    BOOST_TEST(run_until(
        [&granted]
        {
            return granted == 6;
        }));
    BOOST_TEST(counters_->queries_ == 1U);
    BOOST_TEST(servers_[0]->statistics().queries_ == 1U);
}

// Calls that come while a query is on its way must not be refused with the
// permits of those before them, nor make the VM ask every grantor.
BOOST_AUTO_TEST_CASE(calls_that_come_during_a_query_are_asked_for_next)
{
    scripted_grantor slow(context_, no_reply);
    start_client({slow.address()});
    int granted = 0;
    int others = 0;
    const auto count = [&](const permit_answer& answer)
    {
        ++(is_granted(answer) ? granted : others);
    };
    client_->acquire(school, count);
    BOOST_REQUIRE(run_until(
        [&slow]
        {
            return slow.queries().size() == 1U;
        }));
    for (int i = 0; i < 3; ++i)
    {
        client_->acquire(school, count);
    }
    const permit_grant one{1, milliseconds(5000.0), milliseconds(0.0)};
    slow.send(grant_each(slow.queries()[0], one));
    BOOST_REQUIRE(run_until(
        [&slow]
        {
            return slow.queries().size() == 2U;
        }));
    BOOST_TEST(granted == 1);
    BOOST_TEST(slow.queries()[1].requests_[0].wanted_ >= 3);
    // Fewer than were asked for: the rest is over the limit.
    slow.send(grant_each(slow.queries()[1], one));
    BOOST_TEST(run_until(
        [&granted, &others]
        {
            return granted + others == 4;
        }));
    BOOST_TEST(granted == 2);
    BOOST_TEST(counters_->over_limit_ == 2U);
    BOOST_TEST(counters_->unavailable_ == 0U);
}

// A name that is too long would make grantors refuse the whole message.
BOOST_AUTO_TEST_CASE(a_limit_with_an_overlong_name_is_not_asked_for)
{
    start_client({add_server(always(ample_limit()))});
    const std::string longest(max_limit_name_bytes, 'a');
    BOOST_TEST(is_granted(acquire({limit_kind::account, longest})));
    BOOST_TEST((acquire({limit_kind::account, longest + "a"}).result_ ==
                permit_result::unavailable));
    BOOST_TEST(counters_->queries_ == 1U);
    BOOST_TEST(counters_->keys_ == 1);
}

// More requests than fit one message must not be lost.
BOOST_AUTO_TEST_CASE(many_keys_are_asked_for_in_several_messages)
{
    start_client({add_server(always(ample_limit()))});
    int granted = 0;
    for (std::size_t i = 0; i < 2 * max_requests_per_query + 1; ++i)
    {
        client_->acquire({limit_kind::account, "a" + std::to_string(i)},
                         [&granted](const permit_answer& answer)
                         {
                             granted += is_granted(answer) ? 1 : 0;
                         });
    }
    BOOST_TEST(run_until(
        [&granted]
        {
            return granted == 2 * static_cast<int>(max_requests_per_query) + 1;
        }));
    BOOST_TEST(counters_->queries_ == 3U);
}

// A grantor that has given all its permits must not make a call fail while
// another has some, whichever of them the VM asks first.
BOOST_AUTO_TEST_CASE(after_a_refusal_the_next_grantor_is_asked)
{
    const std::vector<std::string> grantors = {
        add_server(always(tiny_limit())), add_server(always(ample_limit()))};
    for (const char* name : {"edge-1", "edge-2", "edge-3", "edge-4"})
    {
        start_client(grantors, name);
        for (int i = 0; i < 5; ++i)
        {
            BOOST_TEST(
                is_granted(acquire({limit_kind::account, std::to_string(i)})));
        }
    }
    BOOST_TEST(servers_[0]->statistics().refused_ > 0U);
    BOOST_TEST(counters_->unreachable_grantors_ == 0);
}

// The caller must learn that its limit is reached, and when to return.
BOOST_AUTO_TEST_CASE(a_call_is_over_the_limit_if_all_grantors_refuse)
{
    start_client(
        {add_server(always(tiny_limit())), add_server(always(tiny_limit()))});
    const auto began = monotonic_now();
    for (int i = 0; i < 2; ++i)
    {
        const auto answer = acquire();
        BOOST_TEST((answer.result_ == permit_result::over_limit));
        BOOST_TEST((answer.retry_after_ > milliseconds(0.0)));
    }
    // The second call is refused without a question, unless this machine was
    // so slow that the refusal had lapsed.
    if (monotonic_now() - began < milliseconds(50.0))
    {
        BOOST_TEST(counters_->queries_ == 2U);
    }
    BOOST_TEST(counters_->over_limit_ == 2U);
}

// A caller that asks for a permit is in the middle of something: callbacks of
// other calls, run from there, changed what it used next, and a VM crashed.
BOOST_AUTO_TEST_CASE(a_refusal_is_called_back_from_the_event_loop)
{
    start_client({add_server(always(tiny_limit()))});
    BOOST_TEST(!is_granted(acquire()));
    // Now known without a query.
    bool is_called = false;
    client_->acquire(school,
                     [&is_called](const permit_answer&)
                     {
                         is_called = true;
                     });
    BOOST_TEST(!is_called);
    BOOST_TEST(run_until(
        [&is_called]
        {
            return is_called;
        }));
}

// A grantor with an older release does not know a new account; the call must
// not be refused as one over its limit.
BOOST_AUTO_TEST_CASE(an_unknown_limit_is_unavailable)
{
    start_client({add_server(always(std::nullopt))});
    BOOST_TEST((acquire().result_ == permit_result::unavailable));
    BOOST_TEST(servers_[0]->statistics().unknown_ == 1U);
    // The next one is asked instead.
    start_client({servers_[0]->address(), add_server(always(ample_limit()))});
    BOOST_TEST(is_granted(acquire()));
}

// Guards against calls above the limit where no grantor is configured.
BOOST_AUTO_TEST_CASE(without_grantors_nothing_is_granted)
{
    start_client({});
    BOOST_TEST((acquire().result_ == permit_result::unavailable));
    start_client({"not an address"});
    BOOST_TEST((acquire().result_ == permit_result::unavailable));
}

// A broken grantor must not give more permits than were asked for, or break the
// client with a reply to another query.
BOOST_AUTO_TEST_CASE(wrong_replies_are_not_used)
{
    scripted_grantor generous(
        context_,
        [](const permit_query& query)
        {
            return grant_each(query,
                              {1000, milliseconds(5000.0), milliseconds(0.0)});
        });
    start_client({generous.address()});
    BOOST_TEST(is_granted(acquire()));
    const auto& first = generous.queries().front().requests_.front();
    for (int i = 0; i < first.wanted_; ++i)
    {
        BOOST_TEST(is_granted(acquire()));
    }
    BOOST_TEST(generous.queries().size() > 1U);
    for (const bool has_other_id : {true, false})
    {
        scripted_grantor wrong(context_,
                               [has_other_id](const permit_query& query)
                               {
                                   auto reply = grant_each(query, {});
                                   if (has_other_id)
                                   {
                                       reply.id_ += 1;
                                   }
                                   else
                                   {
                                       reply.entries_.clear();
                                   }
                                   return reply;
                               });
        start_client({wrong.address()});
        BOOST_TEST((acquire().result_ == permit_result::unavailable));
    }
}

// Calls may end while they wait for a permit because their thread stops.
BOOST_AUTO_TEST_CASE(no_callback_after_the_client_was_destroyed)
{
    scripted_grantor silent(context_, no_reply);
    const auto address = add_server(always(ample_limit()));
    for (const auto& grantors :
         {std::vector<std::string>{silent.address()},
          std::vector<std::string>{address},
          std::vector<std::string>{silent.address(), address}})
    {
        for (const double time : {0.0, 1.0, 30.0})
        {
            int answers = 0;
            bool is_destroyed = false;
            start_client(grantors);
            for (int i = 0; i < 3; ++i)
            {
                client_->acquire({limit_kind::account, std::to_string(i)},
                                 [&](const permit_answer&)
                                 {
                                     ++answers;
                                     BOOST_TEST(!is_destroyed);
                                 });
            }
            run_for(milliseconds(time));
            client_ = nullptr;
            is_destroyed = true;
            run_for(milliseconds(80.0));
            BOOST_TEST(answers <= 3);
        }
    }
    BOOST_TEST(counters_->keys_ == 0);
    BOOST_TEST(counters_->unreachable_grantors_ == 0);
}

// The callback of one call may stop the thread's work.
BOOST_AUTO_TEST_CASE(a_callback_may_destroy_the_client)
{
    start_client({add_server(always(ample_limit()))});
    int answers = 0;
    for (int i = 0; i < 5; ++i)
    {
        client_->acquire(school,
                         [&](const permit_answer&)
                         {
                             ++answers;
                             client_ = nullptr;
                         });
    }
    run_for(milliseconds(100.0));
    BOOST_TEST(answers == 1);
}

// A call that was not sent must leave its permit to others.
BOOST_AUTO_TEST_CASE(a_permit_that_is_given_back_is_used_again)
{
    scripted_grantor one(context_,
                         [](const permit_query& query)
                         {
                             return grant_each(query,
                                               {query.id_ == 1 ? 1 : 0,
                                                milliseconds(5000.0),
                                                milliseconds(20000.0)});
                         });
    start_client({one.address()});
    const auto first = acquire();
    BOOST_TEST(is_granted(first));
    client_->give_back(school, first.expires_at_);
    const auto second = acquire();
    BOOST_TEST(is_granted(second));
    BOOST_TEST((second.expires_at_ == first.expires_at_));
    // One that waits gets it, though not before give_back returns.
    int answers = 0;
    client_->acquire(school,
                     [&](const permit_answer& answer)
                     {
                         ++answers;
                         BOOST_TEST(is_granted(answer));
                     });
    client_->give_back(school, second.expires_at_);
    BOOST_TEST(answers == 0);
    BOOST_TEST(run_until(
        [&answers]
        {
            return answers == 1;
        }));
    run_for(milliseconds(100.0));
    BOOST_TEST(answers == 1);
    // An expired one is of no use.
    client_->give_back(school, monotonic_now() - milliseconds(1.0));
    BOOST_TEST(!is_granted(acquire()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
