#include "control_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(control_planes)

BOOST_AUTO_TEST_CASE(vms_find_each_other_and_a_release_reaches_all)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_have_members(3));
    fleet.platform_.set_release("7 from the platform");
    BOOST_TEST(fleet.all_have_release(7));
    BOOST_TEST(!fleet.recorder_.version_decreased_);
}

BOOST_AUTO_TEST_CASE(a_release_spreads_while_the_platform_is_down)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_have_members(3));
    fleet.platform_.set_down(true);
    fleet.planes_["vm-1"]->submit_release({0, "", "4 accepted"});
    BOOST_TEST(fleet.all_have_release(4));
    fleet.planes_["vm-2"]->submit_release({0, "", "3 older"});
    fleet.planes_["vm-0"]->submit_release({0, "", "5 accepted"});
    BOOST_TEST(fleet.all_have_release(5));
    BOOST_TEST(!fleet.recorder_.version_decreased_);
}

BOOST_AUTO_TEST_CASE(vm_started_in_an_outage_fetches_the_release_from_peers)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_have_members(3));
    fleet.planes_["vm-0"]->submit_release({0, "", "9 accepted"});
    BOOST_TEST(fleet.all_have_release(9));
    fleet.platform_.set_down(true);
    fleet.add("vm-new");
    BOOST_TEST(fleet.all_have_release(9));
    BOOST_TEST(fleet.all_have_members(4));
}

BOOST_AUTO_TEST_CASE(leaving_and_killed_vms_are_removed_from_every_view)
{
    small_fleet fleet(4);
    BOOST_TEST(fleet.all_have_members(4));
    std::promise<void> done;
    fleet.planes_["vm-3"]->begin_leave(
        [&done]
        {
            done.set_value();
        });
    done.get_future().wait();
    fleet.planes_.erase("vm-3");
    BOOST_TEST(fleet.all_have_members(3));
    fleet.planes_.erase("vm-2");
    BOOST_TEST(fleet.all_have_members(2));
}

BOOST_AUTO_TEST_CASE(draining_notice_reaches_every_peer)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_have_members(3));
    target_notice notice;
    notice.kind_ = target_notice_kind::draining;
    notice.target_ = "kit-17";
    fleet.planes_["vm-0"]->report(notice);
    BOOST_TEST(fleet.recorder_.wait_until(
        [&]
        {
            return !fleet.recorder_.notices_["vm-1"].empty() &&
                   !fleet.recorder_.notices_["vm-2"].empty();
        }));
    BOOST_TEST(fleet.recorder_.notices_["vm-1"].front().source_vm_ == "vm-0");
    BOOST_TEST(fleet.recorder_.notices_["vm-0"].empty());
}

BOOST_AUTO_TEST_CASE(invalid_conflicting_and_older_releases_change_nothing)
{
    small_fleet fleet(2);
    BOOST_TEST(fleet.all_have_members(2));
    fleet.platform_.set_release("6 good");
    BOOST_TEST(fleet.all_have_release(6));
    fleet.platform_.set_release("not a release");
    fleet.planes_["vm-0"]->submit_release({99, "", "not a release either"});
    fleet.planes_["vm-0"]->submit_release({0, "", "6 other content"});
    fleet.platform_.set_release("5 stale");
    fleet.run_rounds("vm-1", 5);
    BOOST_TEST(fleet.planes_["vm-0"]->read_state().current_release_ == 6U);
    BOOST_TEST(fleet.planes_["vm-1"]->read_state().current_release_ == 6U);
    BOOST_TEST(!fleet.recorder_.version_decreased_);
}

BOOST_AUTO_TEST_CASE(last_contact_advances_only_with_peers_or_the_platform)
{
    small_fleet fleet(2);
    BOOST_TEST(fleet.all_have_members(2));
    auto& plane = *fleet.planes_["vm-0"];
    const auto advances = [&]
    {
        const auto mark = monotonic_now();
        fleet.run_rounds("vm-0", 8);
        return plane.last_contact() > mark;
    };
    fleet.platform_.set_down(true);
    BOOST_TEST(advances());
    fleet.planes_.erase("vm-1");
    fleet.run_rounds("vm-0", 5);
    BOOST_TEST(!advances());
    fleet.platform_.set_down(false);
    BOOST_TEST(fleet.run_until("vm-0", advances));
}

// Guards against a VM that counts its release as current because the platform
// still lists VMs while it answers no call about the release.
BOOST_AUTO_TEST_CASE(a_list_of_vms_does_not_show_that_the_release_is_current)
{
    small_fleet fleet(1);
    fleet.platform_.set_release("7 now");
    BOOST_TEST(fleet.all_have_release(7));
    auto& plane = *fleet.planes_["vm-0"];
    fleet.platform_.set_release_down(true);
    const auto mark = monotonic_now();
    BOOST_TEST(fleet.run_until("vm-0",
                               [&]
                               {
                                   return plane.last_contact() > mark;
                               }));
    BOOST_TEST(plane.current_at().count() <= mark.count());
    fleet.platform_.set_release_down(false);
    BOOST_TEST(fleet.run_until("vm-0",
                               [&]
                               {
                                   return plane.current_at() > mark;
                               }));
}

// Guards against a VM that counts its release as current because it has read it
// again, though a watch has reported a newer one.
BOOST_AUTO_TEST_CASE(reading_an_older_release_does_not_show_that_it_is_current)
{
    constexpr std::uint64_t enough_reads = 3;
    small_fleet fleet(1);
    fleet.platform_.set_release("7 now");
    BOOST_TEST(fleet.all_have_release(7));
    auto& plane = *fleet.planes_["vm-0"];
    fleet.platform_.set_reads_stale(true);
    fleet.platform_.set_release("8 newer");
    const auto mark = monotonic_now();
    BOOST_TEST(fleet.run_until("vm-0",
                               [&]
                               {
                                   return fleet.platform_.stale_reads() >=
                                          enough_reads;
                               }));
    BOOST_TEST(plane.current_at().count() <= mark.count());
    fleet.platform_.set_reads_stale(false);
    BOOST_TEST(fleet.all_have_release(8));
    BOOST_TEST(fleet.run_until("vm-0",
                               [&]
                               {
                                   return plane.current_at() > mark;
                               }));
}

BOOST_AUTO_TEST_CASE(each_vm_knows_which_release_the_others_have)
{
    small_fleet fleet(3);
    BOOST_TEST(fleet.all_have_members(3));
    fleet.platform_.set_release("8 now");
    BOOST_TEST(fleet.all_have_release(8));
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
