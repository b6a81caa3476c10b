#include <av_probing/probe_lease_table.hpp>
#include <av_probing/shard_assignment.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace anvilturn;

namespace
{

fleet_view fleet_seen_by(int self, int count)
{
    fleet_view fleet;
    for (int i = 0; i < count; ++i)
    {
        vm_description vm;
        vm.name_ = "vm-" + std::to_string(i);
        fleet.members_.push_back(vm);
    }
    fleet.self_.name_ = "vm-" + std::to_string(self);
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(shard_assignment_suite)

BOOST_AUTO_TEST_CASE(each_shard_has_three_candidates_in_any_fleet)
{
    for (const int count : {3, 24, 96})
    {
        std::vector<int> candidates(probe_shard_count);
        for (int self = 0; self < count; ++self)
        {
            const auto is_candidate_for =
                candidate_shards(fleet_seen_by(self, count));
            for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
            {
                candidates[shard] += is_candidate_for[shard] ? 1 : 0;
            }
        }
        BOOST_TEST((candidates == std::vector<int>(probe_shard_count, 3)));
    }
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_no_member_is_no_candidate)
{
    const auto is_candidate_for = candidate_shards(fleet_seen_by(7, 3));
    BOOST_TEST(std::none_of(is_candidate_for.begin(),
                            is_candidate_for.end(),
                            [](bool each)
                            {
                                return each;
                            }));
}

BOOST_AUTO_TEST_CASE(targets_spread_over_the_shards)
{
    std::vector<int> targets(probe_shard_count);
    for (int i = 0; i < 850; ++i)
    {
        ++targets[shard_of_target("target-" + std::to_string(i))];
    }
    for (const int count : targets)
    {
        BOOST_TEST(count > 160);
        BOOST_TEST(count < 270);
    }
}

BOOST_AUTO_TEST_SUITE_END()
