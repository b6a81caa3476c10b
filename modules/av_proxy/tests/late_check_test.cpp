// What changes between the choice of a target and the sending of the request,
// while the connection is being made.

#include "permits_fixture.hpp"

#include <av_proxy/held_permit.hpp>
#include <av_routing/choice_policy.hpp>

namespace anvilturn::test
{
namespace
{

constexpr milliseconds far_future(60000.0);

// Called on the thread of the request path while a target is being chosen.
std::function<void()> on_choice;

std::optional<std::size_t> choose_first(const choice_input&)
{
    on_choice();
    return 0;
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

// A request path whose only target becomes cold after each of the first
// choices, when no permit was taken with it, and is warm after the next one.
class relay_with_late_coldness
{
public:
    relay_with_late_coldness(const std::string& target, int cold_choices)
        : release_(make_release({target}, "scripted_choice"))
        , cold_choices_(cold_choices)
    {
        release_.services_["kits"].cold_rate_per_second_ = 4.5;
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
    relay_with_late_coldness fixture(target.address(), 1);
    BOOST_TEST(call_once(fixture.vm(), request("/kits", "")) == served);
    BOOST_TEST(fixture.choices() == 2);
    BOOST_TEST(target.calls() == 1);
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
