// What changes between the choice of a target and the sending of the request,
// while the connection is being made.

#include "permits_fixture.hpp"

#include <av_proxy/held_permit.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_routing/choice_policy.hpp>

#include <algorithm>

namespace anvilturn::test
{
namespace
{

constexpr milliseconds far_future(60000.0);

// Called on the thread of the request path while a target is being chosen.
std::function<void()> on_choice;

std::optional<std::size_t> choose_first(const choice_input& input)
{
    on_choice();
    const auto& targets = input.targets_;
    const auto found = std::find_if(targets.begin(),
                                    targets.end(),
                                    [](const target_view& target)
                                    {
                                        return target.eligible_;
                                    });
    return static_cast<std::size_t>(found - targets.begin());
}

std::optional<std::size_t> request_no_permit(const choice_input&)
{
    return std::nullopt;
}

choice_policy scripted_choice()
{
    choice_policy policy;
    policy.name_ = "scripted_choice";
    policy.choose_ = choose_first;
    policy.choose_cold_target_ = request_no_permit;
    return policy;
}

const plugin_registration<choice_policy> scripted_policy(scripted_choice());

// A request path whose targets become cold during each of the first choices,
// which take no permit with them, and are warm after the next one.
class relay_with_late_coldness
{
public:
    relay_with_late_coldness(const std::vector<std::string>& targets,
                             int cold_choices)
        : release_(make_release(targets, "scripted_choice"))
        , cold_choices_(cold_choices)
    {
        release_.services_["kits"].cold_rate_per_second_ = 4.5;
        // A call may be sent again at once.
        release_.services_["kits"].retry_ratio_ = 1.0;
        vm_ = std::make_unique<relay>(
            release_, settings_with_grantors({grantor_.address()}));
        on_choice = [this]
        {
            ++choices_;
            // A change of the entry is needed for it to say something new.
            const milliseconds step(choices_ * 1.0);
            release_.targets_["kits-1"].cold_for_ = choices_ <= cold_choices_
                                                        ? far_future + step
                                                        : milliseconds(0.0);
            vm_->path().publish(release_);
        };
    }

    ~relay_with_late_coldness()
    {
        vm_.reset();
        on_choice = nullptr;
    }

    relay_with_late_coldness(const relay_with_late_coldness&) = delete;
    relay_with_late_coldness&
    operator=(const relay_with_late_coldness&) = delete;

    relay& vm()
    {
        return *vm_;
    }

    // Read it after a response.
    int choices() const
    {
        return choices_;
    }

private:
    release release_;
    const int cold_choices_;
    int choices_ = 0;
    test_grantor grantor_{always(no_permits())};
    std::unique_ptr<relay> vm_;
};

// A request path with two targets, and a change during the first choice, which
// names the first of them.
class relay_with_late_change
{
public:
    using change = std::function<void(request_path&, const release&)>;

    relay_with_late_change(const std::vector<std::string>& targets,
                           change apply)
        : release_(make_release(targets, "scripted_choice"))
        , vm_(release_)
    {
        on_choice = [this, apply = std::move(apply)]
        {
            if (++choices_ == 1)
            {
                apply(vm_.path(), release_);
            }
        };
    }

    ~relay_with_late_change()
    {
        vm_.end();
        on_choice = nullptr;
    }

    relay_with_late_change(const relay_with_late_change&) = delete;
    relay_with_late_change& operator=(const relay_with_late_change&) = delete;

    relay& vm()
    {
        return vm_;
    }

private:
    const release release_;
    int choices_ = 0;
    relay vm_;
};

struct late_change
{
    const char* name_;
    relay_with_late_change::change apply_;
};

// Changes after which the first target must not be called.
const std::vector<late_change>& late_changes()
{
    static const std::vector<late_change> changes{
        {"its entry is removed",
         [](request_path& path, const release& value)
         {
             auto targets = value.targets_;
             targets.erase("kits-1");
             path.publish(targets);
         }},
        {"it reports that it is leaving",
         [](request_path& path, const release& value)
         {
             auto targets = value.targets_;
             targets["kits-1"].draining_ = true;
             path.publish(targets);
         }},
        {"another VM reports that it is leaving",
         [](request_path& path, const release&)
         {
             target_notice notice;
             notice.target_ = "kits-1";
             notice.kind_ = target_notice_kind::draining;
             path.apply(notice);
         }},
        {"its failure domain is evacuated",
         [](request_path& path, const release& value)
         {
             auto targets = value.targets_;
             targets["kits-2"].failure_domain_ = "b";
             path.publish(targets);
             path.publish_evacuations({"a"});
         }}};
    return changes;
}

// Accepts the next connection on which a request is sent.
test_connection accept_request(scripted_target& target)
{
    for (;;)
    {
        wait_until(
            [&target]
            {
                return target.has_pending_connection();
            });
        auto connection = target.accept();
        if (!connection.read_header().empty())
        {
            return connection;
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_check)

// Guards against calls beyond the limit of a target that has become cold while
// the call was connecting to it: the choice took no permit, as it was warm.
BOOST_AUTO_TEST_CASE(a_target_that_became_cold_after_the_choice_gets_no_call)
{
    counting_target target(
        []
        {
            return std::string();
        });
    relay_with_late_coldness fixture({target.address()}, 1);
    BOOST_TEST(call_once(fixture.vm(), request("/kits", "")) == served);
    BOOST_TEST(fixture.choices() == 2);
    BOOST_TEST(target.calls() == 1);
}

// Guards against calls that reach a target after it has left, because it was
// chosen before and the connection took its time.
BOOST_AUTO_TEST_CASE(a_target_that_left_after_the_choice_gets_no_call)
{
    for (const auto& change : late_changes())
    {
        BOOST_TEST_CONTEXT(change.name_)
        {
            counting_target first(
                []
                {
                    return std::string();
                });
            counting_target second(
                []
                {
                    return std::string();
                });
            relay_with_late_change fixture({first.address(), second.address()},
                                           change.apply_);
            BOOST_TEST(call_once(fixture.vm(), request("/kits", "")) == served);
            BOOST_TEST(first.calls() == 0);
            BOOST_TEST(second.calls() == 1);
        }
    }
}

// A call of which nothing was sent was refused after eight permits that
// expired, as one whose response was lost. It may still be refused by a target
// and go to another one.
BOOST_AUTO_TEST_CASE(a_call_that_was_not_sent_has_not_used_an_attempt)
{
    constexpr int unsent = max_total_attempts + 2;
    scripted_target first;
    scripted_target second;
    relay_with_late_coldness fixture({first.address(), second.address()},
                                     unsent);
    auto caller = fixture.vm().call();
    caller.send(request("/kits", ""));
    auto refusing = accept_request(first);
    refusing.send("HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: 1\r\n"
                  "Content-Length: 0\r\n\r\n");
    accept_request(second).send(ok("done"));
    BOOST_TEST(read_result(caller) == served);
    BOOST_TEST(fixture.choices() == unsent + 2);
    BOOST_TEST(fixture.vm().path().statistics().extra_attempts_ == 1U);
}

// Guards against a permit that is used after its lease, when the grantor counts
// with the calls of others, and against one that is used twice.
BOOST_AUTO_TEST_CASE(a_permit_is_valid_until_it_expires_or_is_spent)
{
    const milliseconds expires_at(100.0);
    std::optional<held_permit> permit;
    BOOST_TEST(!is_valid(permit, milliseconds(0.0)));
    permit = held_permit{{limit_kind::cold_target, "kits-1"}, expires_at};
    BOOST_TEST(is_valid(permit, milliseconds(99.9)));
    BOOST_TEST(!is_valid(permit, expires_at));
    BOOST_TEST(!is_valid(permit, milliseconds(100.1)));
    permit->spent_ = true;
    BOOST_TEST(!is_valid(permit, milliseconds(99.9)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
