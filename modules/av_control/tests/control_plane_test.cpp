#include "control_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(control_planes)

BOOST_AUTO_TEST_CASE(vms_find_each_other_and_a_release_reaches_all)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_see(3));
    fleet.platform_.set_release("7 from the platform");
    BOOST_TEST(fleet.all_have(7));
    BOOST_TEST(!fleet.told_.fell_back_);
}

BOOST_AUTO_TEST_CASE(a_release_spreads_while_the_platform_is_down)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_see(3));
    fleet.platform_.set_down(true);
    fleet.planes_["vm-1"]->offer_release({0, "", "4 accepted"});
    BOOST_TEST(fleet.all_have(4));
    fleet.planes_["vm-2"]->offer_release({0, "", "3 older"});
    fleet.planes_["vm-0"]->offer_release({0, "", "5 accepted"});
    BOOST_TEST(fleet.all_have(5));
    BOOST_TEST(!fleet.told_.fell_back_);
}

BOOST_AUTO_TEST_CASE(a_vm_that_starts_in_an_outage_has_the_newest_from_peers)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_see(3));
    fleet.planes_["vm-0"]->offer_release({0, "", "9 accepted"});
    BOOST_TEST(fleet.all_have(9));
    fleet.platform_.set_down(true);
    fleet.add("vm-new");
    BOOST_TEST(fleet.all_have(9));
    BOOST_TEST(fleet.all_see(4));
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_and_a_killed_vm_leave_every_view)
{
    small_fleet fleet(4);
    BOOST_TEST(fleet.all_see(4));
    std::promise<void> told;
    fleet.planes_["vm-3"]->begin_leave(
        [&told]
        {
            told.set_value();
        });
    told.get_future().wait();
    fleet.planes_.erase("vm-3");
    BOOST_TEST(fleet.all_see(3));
    fleet.planes_.erase("vm-2");
    BOOST_TEST(fleet.all_see(2));
}

BOOST_AUTO_TEST_CASE(a_draining_target_is_told_to_every_peer)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_see(3));
    target_notice notice;
    notice.kind_ = target_notice_kind::draining;
    notice.target_ = "kit-17";
    fleet.planes_["vm-0"]->report(notice);
    BOOST_TEST(fleet.told_.wait_until(
        [&]
        {
            return !fleet.told_.notices_["vm-1"].empty() &&
                   !fleet.told_.notices_["vm-2"].empty();
        }));
    BOOST_TEST(fleet.told_.notices_["vm-1"].front().source_vm_ == "vm-0");
    BOOST_TEST(fleet.told_.notices_["vm-0"].empty());
}

BOOST_AUTO_TEST_CASE(what_is_no_release_is_refused_and_changes_nothing)
{
    small_fleet fleet(2);
    BOOST_TEST(fleet.all_see(2));
    fleet.platform_.set_release("6 good");
    BOOST_TEST(fleet.all_have(6));
    fleet.platform_.set_release("not a release");
    fleet.planes_["vm-0"]->offer_release({99, "", "not a release either"});
    fleet.planes_["vm-0"]->offer_release({0, "", "6 other content"});
    fleet.platform_.set_release("5 stale");
    fleet.run_rounds("vm-1", 5);
    BOOST_TEST(fleet.planes_["vm-0"]->read_state().release_held_ == 6U);
    BOOST_TEST(fleet.planes_["vm-1"]->read_state().release_held_ == 6U);
    BOOST_TEST(!fleet.told_.fell_back_);
}

BOOST_AUTO_TEST_CASE(contact_moves_by_peers_or_platform_and_stops_without)
{
    small_fleet fleet(2);
    BOOST_TEST(fleet.all_see(2));
    auto& plane = *fleet.planes_["vm-0"];
    const auto moves = [&]
    {
        const auto mark = monotonic_now();
        fleet.run_rounds("vm-0", 8);
        return plane.last_contact() > mark;
    };
    fleet.platform_.set_down(true);
    BOOST_TEST(moves());
    fleet.planes_.erase("vm-1");
    fleet.run_rounds("vm-0", 5);
    BOOST_TEST(!moves());
    fleet.platform_.set_down(false);
    BOOST_TEST(fleet.run_until("vm-0", moves));
}

BOOST_AUTO_TEST_CASE(each_vm_knows_which_release_the_others_have)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_see(3));
    fleet.platform_.set_release("8 now");
    BOOST_TEST(fleet.all_have(8));
    auto& plane = *fleet.planes_["vm-0"];
    BOOST_TEST(
        fleet.run_until("vm-0",
                        [&]
                        {
                            const auto state = plane.read_state();
                            return state.members_.size() == 2 &&
                                   state.members_[0].newest_.release_ == 8 &&
                                   state.members_[1].newest_.release_ == 8;
                        }));
    BOOST_TEST(plane.read_state().members_[1].vm_.failure_domain_ ==
               "domain-2");
}

BOOST_AUTO_TEST_SUITE_END()
