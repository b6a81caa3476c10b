#include <av_membership/av_membership.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

vm_description describe(std::size_t index, std::uint64_t incarnation)
{
    vm_description vm;
    vm.name_ = "vm-" + std::to_string(index);
    vm.failure_domain_ = "domain-" + std::to_string(index % 3);
    vm.incarnation_ = incarnation;
    vm.peer_address_ = "10.0.0." + std::to_string(index) + ":7000";
    return vm;
}

// Simulates VMs that run the membership functions against each other under a
// simulated clock. One step is one round of each running VM.
class scripted_fleet
{
public:
    struct vm
    {
        std::optional<membership_state> state_;
        bool paused_ = false;
        // Neither sends nor receives calls.
        bool cut_off_ = false;
        // VMs of different partitions can't reach each other.
        int side_ = 0;
        std::map<std::string, std::uint64_t> seen_incarnations_;
    };

    scripted_fleet(std::size_t vms, unsigned seed)
        : generator_(seed)
        , vms_(vms)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            start(i, next_incarnation_);
        }
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        next_incarnation_ = std::max(next_incarnation_, incarnation) + 1;
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            seeds.push_back(describe(i, 0).peer_address_);
        }
        vm& started = vms_[index];
        started.state_ = start_membership(describe(index, incarnation),
                                          std::move(seeds),
                                          membership_limits(),
                                          now_);
        started.paused_ = false;
    }

    void kill(std::size_t index)
    {
        vms_[index].state_.reset();
    }

    void leave(std::size_t index)
    {
        auto& state = vms_[index].state_;
        state = begin_leaving(*std::move(state));
    }

    void run_rounds(int rounds)
    {
        for (int i = 0; i < rounds; ++i)
        {
            run_round();
        }
    }

    bool is_running(std::size_t index) const
    {
        return vms_[index].state_ && !vms_[index].paused_;
    }

    std::set<std::string> view_of(std::size_t index) const
    {
        std::set<std::string> names;
        for (const auto& member : make_fleet_view(*vms_[index].state_).members_)
        {
            names.insert(member.name_);
        }
        return names;
    }

    // Returns the names that the VM's view should contain: itself and all
    // running VMs that it can reach and that are not leaving.
    std::set<std::string> reachable_from(std::size_t index) const
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            if (i == index || (is_running(i) && reaches(index, i) &&
                               !vms_[i].state_->own_.leaving_))
            {
                names.insert(describe(i, 0).name_);
            }
        }
        return names;
    }

    // Rounds within which every view converges after any fault: the removal of
    // members without heartbeats, old heartbeats that slower VMs still relay,
    // and a discovery call to each lost VM.
    int settling_rounds() const
    {
        return 40 + 8 * static_cast<int>(vms_.size());
    }

    std::mt19937 generator_;
    milliseconds now_{0.0};
    std::uint64_t next_incarnation_ = 1;
    std::vector<vm> vms_;
    // Calls lost between two reachable VMs, per thousand.
    unsigned lost_calls_ = 0;
    bool incarnation_fell_ = false;

private:
    bool reaches(std::size_t from, std::size_t to) const
    {
        return !vms_[from].cut_off_ && !vms_[to].cut_off_ &&
               vms_[from].side_ == vms_[to].side_;
    }

    void run_round()
    {
        now_ = now_ + milliseconds(250.0);
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            if (!is_running(i))
            {
                continue;
            }
            auto& state = vms_[i].state_;
            auto round = membership_tick(*std::move(state), generator_(), now_);
            state = std::move(round.state_);
            for (const auto& address : round.contacts_)
            {
                call(i, address);
            }
            note_incarnations(vms_[i]);
        }
    }

    void call(std::size_t from, const std::string& address)
    {
        auto& caller = vms_[from].state_;
        for (std::size_t to = 0; to < vms_.size(); ++to)
        {
            if (describe(to, 0).peer_address_ == address && is_running(to) &&
                reaches(from, to) && generator_() % 1000 >= lost_calls_)
            {
                exchange(*caller, *vms_[to].state_);
                return;
            }
        }
        caller = on_contact_failed(*std::move(caller), address);
    }

    void exchange(membership_state& caller, membership_state& called)
    {
        const auto asked = make_digest(caller);
        called = on_digest(std::move(called), asked, now_);
        const auto answer = make_answer(called, asked);
        caller = on_digest(std::move(caller), answer, now_);
        if (!answer.wanted_.empty())
        {
            auto news = make_digest(caller);
            news.descriptions_ = find_descriptions(caller, answer.wanted_);
            called = on_digest(std::move(called), news, now_);
        }
    }

    void note_incarnations(vm& watched)
    {
        for (const auto& member : make_fleet_view(*watched.state_).members_)
        {
            auto& seen = watched.seen_incarnations_[member.name_];
            incarnation_fell_ = incarnation_fell_ || member.incarnation_ < seen;
            seen = member.incarnation_;
        }
    }
};

bool all_views_are_right(const scripted_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.vms_.size(); ++i)
    {
        if (!fleet.is_running(i))
        {
            continue;
        }
        const bool alone = fleet.reachable_from(i).size() == 1;
        if (!alone && !fleet.vms_[i].state_->own_.leaving_ &&
            fleet.view_of(i) != fleet.reachable_from(i))
        {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

RC_BOOST_PROP(views_settle_on_the_reachable_vms_after_any_faults, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 9);
    scripted_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.lost_calls_ = *rc::gen::inRange(0U, 200U);
    const auto steps = *rc::gen::inRange(1, 9);
    for (int i = 0; i < steps; ++i)
    {
        const auto index = *rc::gen::inRange<std::size_t>(0, vms);
        auto& chosen = fleet.vms_[index];
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            fleet.kill(index);
            break;
        case 1:
            fleet.start(index, fleet.next_incarnation_);
            break;
        case 2:
            chosen.paused_ = !chosen.paused_;
            break;
        case 3:
            chosen.cut_off_ = !chosen.cut_off_;
            break;
        case 4:
            chosen.side_ = 1 - chosen.side_;
            break;
        default:
            if (chosen.state_)
            {
                fleet.leave(index);
            }
            break;
        }
        fleet.run_rounds(*rc::gen::inRange(0, 30));
    }
    fleet.lost_calls_ = 0;
    fleet.run_rounds(fleet.settling_rounds());
    RC_ASSERT(all_views_are_right(fleet));
    RC_ASSERT(!fleet.incarnation_fell_);
}

RC_BOOST_PROP(a_killed_vm_leaves_every_view_within_the_bound, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 26);
    scripted_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    RC_ASSERT(all_views_are_right(fleet));
    fleet.kill(0);
    const auto bound = silent_round_limit(*fleet.vms_[1].state_) + 2;
    fleet.run_rounds(static_cast<int>(bound));
    RC_ASSERT(all_views_are_right(fleet));
}

RC_BOOST_PROP(a_live_vm_is_never_lost_while_few_calls_fail, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(4, 20);
    scripted_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(40);
    fleet.lost_calls_ = 50;
    for (int i = 0; i < 60; ++i)
    {
        fleet.run_rounds(1);
        RC_ASSERT(all_views_are_right(fleet));
    }
}

RC_BOOST_PROP(a_vm_that_hears_nobody_keeps_its_view, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 12);
    scripted_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    const auto before = fleet.view_of(0);
    fleet.vms_[0].cut_off_ = true;
    fleet.run_rounds(*rc::gen::inRange(30, 120));
    RC_ASSERT(fleet.view_of(0) == before);
    RC_ASSERT(fleet.view_of(1).count("vm-0") == 0U);
    fleet.vms_[0].cut_off_ = false;
    fleet.run_rounds(fleet.settling_rounds());
    RC_ASSERT(all_views_are_right(fleet));
}

RC_BOOST_PROP(a_paused_vm_notices_and_loses_nobody, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 12);
    scripted_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    const auto before = fleet.view_of(0);
    fleet.vms_[0].paused_ = true;
    fleet.run_rounds(*rc::gen::inRange(10, 100));
    fleet.vms_[0].paused_ = false;
    fleet.run_rounds(1);
    RC_ASSERT(fleet.vms_[0].state_->gaps_ == 1U);
    RC_ASSERT(fleet.view_of(0) == before);
    fleet.run_rounds(fleet.settling_rounds());
    RC_ASSERT(all_views_are_right(fleet));
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_is_dropped_as_soon_as_it_is_heard_of)
{
    scripted_fleet fleet(6, 1);
    fleet.run_rounds(30);
    fleet.leave(2);
    auto& peer = fleet.vms_[0].state_;
    peer = on_digest(
        *std::move(peer), make_digest(*fleet.vms_[2].state_), fleet.now_);
    BOOST_TEST(fleet.view_of(0).count("vm-2") == 0U);
    fleet.run_rounds(20);
    BOOST_TEST(all_views_are_right(fleet));
}

BOOST_AUTO_TEST_CASE(a_replacement_with_a_clock_behind_supersedes)
{
    scripted_fleet fleet(5, 2);
    fleet.next_incarnation_ = 100;
    fleet.kill(3);
    fleet.start(3, 1000);
    fleet.run_rounds(30);
    fleet.kill(3);
    fleet.start(3, 7);
    fleet.run_rounds(60);
    BOOST_TEST(all_views_are_right(fleet));
    BOOST_TEST(fleet.vms_[3].state_->self_.incarnation_ > 1000U);
    BOOST_TEST(!fleet.incarnation_fell_);
}

struct list_case
{
    const char* what_;
    bool listed_;
    bool leaving_;
    bool answers_;
    bool is_member_;
};

BOOST_AUTO_TEST_CASE(the_platforms_list_alone_makes_no_member)
{
    const list_case cases[] = {
        {"listed, responding", true, false, true, true},
        {"listed, not responding", true, false, false, false},
        {"not listed, responding", false, false, true, true},
        {"listed as leaving, responding", true, true, true, true},
        {"listed as leaving, not responding", true, true, false, false},
        {"not listed, not responding", false, false, false, false},
    };
    for (const auto& row : cases)
    {
        scripted_fleet fleet(4, 3);
        fleet.run_rounds(30);
        if (!row.answers_)
        {
            fleet.kill(1);
        }
        std::vector<listed_vm> listed;
        if (row.listed_)
        {
            listed.push_back(
                {"vm-1", describe(1, 0).peer_address_, row.leaving_});
        }
        for (int i = 0; i < 40; ++i)
        {
            auto& state = fleet.vms_[0].state_;
            state = on_vm_list(*std::move(state), listed, fleet.now_);
            fleet.run_rounds(1);
        }
        BOOST_TEST_CONTEXT(row.what_)
        {
            BOOST_TEST((fleet.view_of(0).count("vm-1") == 1) == row.is_member_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
