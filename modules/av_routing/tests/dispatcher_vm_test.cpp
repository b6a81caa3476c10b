#include <av_routing/dispatcher_vm.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <string>

using namespace anvilturn;

namespace
{

fleet_view fleet_of(int domains, int vms_each)
{
    fleet_view fleet;
    for (int d = 0; d < domains; ++d)
    {
        for (int v = 0; v < vms_each; ++v)
        {
            vm_description vm;
            vm.name_ = "vm-" + std::to_string(d) + "-" + std::to_string(v);
            vm.failure_domain_ = "fd-" + std::to_string(d);
            fleet.members_.push_back(vm);
        }
    }
    return fleet;
}

std::string service_name(int number)
{
    return "service-" + std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatcher_vm_suite)

BOOST_AUTO_TEST_CASE(no_dispatcher_without_a_member_in_the_domain)
{
    BOOST_TEST(dispatcher_vm("s", "fd-0", fleet_view{}) == nullptr);
    BOOST_TEST(dispatcher_vm("s", "fd-9", fleet_of(3, 2)) == nullptr);
}

RC_BOOST_PROP(dispatcher_is_in_the_domain_whatever_the_member_order, ())
{
    auto fleet = fleet_of(3, *rc::gen::inRange(1, 20));
    const auto service = service_name(*rc::gen::inRange(0, 1000));
    const auto* home = dispatcher_vm(service, "fd-1", fleet);
    RC_ASSERT(home != nullptr);
    RC_ASSERT(home->failure_domain_ == "fd-1");
    const auto name = home->name_;
    std::reverse(fleet.members_.begin(), fleet.members_.end());
    RC_ASSERT(dispatcher_vm(service, "fd-1", fleet)->name_ == name);
}

RC_BOOST_PROP(removing_a_vm_moves_only_its_services, ())
{
    const auto before = fleet_of(3, *rc::gen::inRange(2, 20));
    auto after = before;
    const auto gone = *rc::gen::inRange<std::size_t>(0, after.members_.size());
    const auto name = after.members_[gone].name_;
    after.members_.erase(after.members_.begin() +
                         static_cast<std::ptrdiff_t>(gone));
    for (int s = 0; s < 59; ++s)
    {
        for (const char* domain : {"fd-0", "fd-1", "fd-2"})
        {
            const auto* dispatcher_before =
                dispatcher_vm(service_name(s), domain, before);
            const auto* dispatcher_after =
                dispatcher_vm(service_name(s), domain, after);
            RC_ASSERT(dispatcher_after != nullptr);
            RC_ASSERT((dispatcher_before->name_ == name ||
                       dispatcher_before->name_ == dispatcher_after->name_));
        }
    }
}

BOOST_AUTO_TEST_CASE(services_spread_over_the_vms_of_a_domain)
{
    const auto fleet = fleet_of(3, 8);
    std::map<std::string, int> homes;
    for (int s = 0; s < 800; ++s)
    {
        ++homes[dispatcher_vm(service_name(s), "fd-2", fleet)->name_];
    }
    BOOST_TEST(homes.size() == 8u);
    for (const auto& entry : homes)
    {
        BOOST_TEST(entry.second > 60);
        BOOST_TEST(entry.second < 140);
    }
}

BOOST_AUTO_TEST_SUITE_END()
