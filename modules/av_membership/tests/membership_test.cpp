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
class simulated_fleet
{
public:
    struct vm
    {
        std::optional<membership_state> state_;
        bool paused_ = false;
        // Neither sends nor receives calls.
        bool disconnected_ = false;
        // VMs of different partitions can't reach each other.
        int partition_ = 0;
        std::map<std::string, std::uint64_t> seen_incarnations_;
    };

    simulated_fleet(std::size_t vms, unsigned seed)
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
                               !vms_[i].state_->local_heartbeat_.leaving_))
            {
                names.insert(describe(i, 0).name_);
            }
        }
        return names;
    }

    // Rounds within which every view converges after any fault: the removal of
    // members without heartbeats, old heartbeats that slower VMs still relay,
    // and a discovery call to each lost VM.
    int convergence_rounds() const
    {
        return 40 + 8 * static_cast<int>(vms_.size());
    }

    std::mt19937 generator_;
    milliseconds now_{0.0};
    std::uint64_t next_incarnation_ = 1;
    std::vector<vm> vms_;
    // Calls lost between two reachable VMs, per thousand.
    unsigned call_loss_per_mille_ = 0;
    bool incarnation_decreased_ = false;

private:
    bool reaches(std::size_t from, std::size_t to) const
    {
        return !vms_[from].disconnected_ && !vms_[to].disconnected_ &&
               vms_[from].partition_ == vms_[to].partition_;
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
            record_incarnations(vms_[i]);
        }
    }

    void call(std::size_t from, const std::string& address)
    {
        auto& initiator = vms_[from].state_;
        for (std::size_t to = 0; to < vms_.size(); ++to)
        {
            if (describe(to, 0).peer_address_ == address && is_running(to) &&
                reaches(from, to) &&
                generator_() % 1000 >= call_loss_per_mille_)
            {
                exchange(*initiator, *vms_[to].state_);
                return;
            }
        }
        initiator = on_contact_failed(*std::move(initiator), address);
    }

    void exchange(membership_state& initiator, membership_state& responder)
    {
        const auto request = make_digest(initiator);
        responder = on_digest(std::move(responder), request, now_);
        const auto reply = make_reply(responder, request);
        initiator = on_digest(std::move(initiator), reply, now_);
        if (!reply.missing_descriptions_.empty())
        {
            auto follow_up = make_digest(initiator);
            follow_up.descriptions_ =
                find_descriptions(initiator, reply.missing_descriptions_);
            responder = on_digest(std::move(responder), follow_up, now_);
        }
    }

    void record_incarnations(vm& observer)
    {
        for (const auto& member : make_fleet_view(*observer.state_).members_)
        {
            auto& seen = observer.seen_incarnations_[member.name_];
            incarnation_decreased_ =
                incarnation_decreased_ || member.incarnation_ < seen;
            seen = member.incarnation_;
        }
    }
};

bool all_views_are_correct(const simulated_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.vms_.size(); ++i)
    {
        if (!fleet.is_running(i))
        {
            continue;
        }
        const bool alone = fleet.reachable_from(i).size() == 1;
        if (!alone && !fleet.vms_[i].state_->local_heartbeat_.leaving_ &&
            fleet.view_of(i) != fleet.reachable_from(i))
        {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

RC_BOOST_PROP(views_converge_on_the_reachable_vms_after_any_faults, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 9);
    simulated_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.call_loss_per_mille_ = *rc::gen::inRange(0U, 200U);
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
            chosen.disconnected_ = !chosen.disconnected_;
            break;
        case 4:
            chosen.partition_ = 1 - chosen.partition_;
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
    fleet.call_loss_per_mille_ = 0;
    fleet.run_rounds(fleet.convergence_rounds());
    RC_ASSERT(all_views_are_correct(fleet));
    RC_ASSERT(!fleet.incarnation_decreased_);
}

RC_BOOST_PROP(a_killed_vm_is_removed_from_all_views_within_the_round_limit, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 26);
    simulated_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    RC_ASSERT(all_views_are_correct(fleet));
    fleet.kill(0);
    const auto bound = missed_round_limit(*fleet.vms_[1].state_) + 2;
    fleet.run_rounds(static_cast<int>(bound));
    RC_ASSERT(all_views_are_correct(fleet));
}

RC_BOOST_PROP(a_running_vm_stays_in_all_views_at_5_percent_call_loss, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(4, 20);
    simulated_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(40);
    fleet.call_loss_per_mille_ = 50;
    for (int i = 0; i < 60; ++i)
    {
        fleet.run_rounds(1);
        RC_ASSERT(all_views_are_correct(fleet));
    }
}

RC_BOOST_PROP(a_disconnected_vm_keeps_its_view, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 12);
    simulated_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    const auto before = fleet.view_of(0);
    fleet.vms_[0].disconnected_ = true;
    fleet.run_rounds(*rc::gen::inRange(30, 120));
    RC_ASSERT(fleet.view_of(0) == before);
    RC_ASSERT(fleet.view_of(1).count("vm-0") == 0U);
    fleet.vms_[0].disconnected_ = false;
    fleet.run_rounds(fleet.convergence_rounds());
    RC_ASSERT(all_views_are_correct(fleet));
}

RC_BOOST_PROP(a_paused_vm_detects_the_pause_and_keeps_its_view, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(3, 12);
    simulated_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.run_rounds(30);
    const auto before = fleet.view_of(0);
    fleet.vms_[0].paused_ = true;
    fleet.run_rounds(*rc::gen::inRange(10, 100));
    fleet.vms_[0].paused_ = false;
    fleet.run_rounds(1);
    RC_ASSERT(fleet.vms_[0].state_->pauses_ == 1U);
    RC_ASSERT(fleet.view_of(0) == before);
    fleet.run_rounds(fleet.convergence_rounds());
    RC_ASSERT(all_views_are_correct(fleet));
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_is_removed_by_its_first_leaving_heartbeat)
{
    simulated_fleet fleet(6, 1);
    fleet.run_rounds(30);
    fleet.leave(2);
    auto& peer = fleet.vms_[0].state_;
    peer = on_digest(
        *std::move(peer), make_digest(*fleet.vms_[2].state_), fleet.now_);
    BOOST_TEST(fleet.view_of(0).count("vm-2") == 0U);
    fleet.run_rounds(20);
    BOOST_TEST(all_views_are_correct(fleet));
}

BOOST_AUTO_TEST_CASE(
    a_replacement_with_a_smaller_incarnation_supersedes_its_predecessor)
{
    simulated_fleet fleet(5, 2);
    fleet.next_incarnation_ = 100;
    fleet.kill(3);
    fleet.start(3, 1000);
    fleet.run_rounds(30);
    fleet.kill(3);
    fleet.start(3, 7);
    fleet.run_rounds(60);
    BOOST_TEST(all_views_are_correct(fleet));
    BOOST_TEST(fleet.vms_[3].state_->self_.incarnation_ > 1000U);
    BOOST_TEST(!fleet.incarnation_decreased_);
}

struct list_case
{
    const char* case_name_;
    bool listed_;
    bool leaving_;
    bool responds_;
    bool is_member_;
};

BOOST_AUTO_TEST_CASE(the_platform_list_alone_neither_adds_nor_removes_members)
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
        simulated_fleet fleet(4, 3);
        fleet.run_rounds(30);
        if (!row.responds_)
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
        BOOST_TEST_CONTEXT(row.case_name_)
        {
            BOOST_TEST((fleet.view_of(0).count("vm-1") == 1) == row.is_member_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
