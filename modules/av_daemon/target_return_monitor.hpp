#ifndef AV_DAEMON_TARGET_RETURN_MONITOR_HPP
#define AV_DAEMON_TARGET_RETURN_MONITOR_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/target_notice.hpp>
#include <av_model/target_spec.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// Finds targets that showed a sign of leaving and came back at the same
// address, by their health endpoint, which takes no slot. One VM of the fleet
// watches a target. Use it on the thread of the io_context.
class target_return_monitor
{
public:
    // Returned is told of each target that came back.
    target_return_monitor(boost::asio::io_context& context,
                          const std::string& self_vm,
                          std::function<void(const target_notice&)> returned);
    ~target_return_monitor();

    target_return_monitor(const target_return_monitor&) = delete;
    target_return_monitor& operator=(const target_return_monitor&) = delete;

    // Checks the marked targets that fall to this VM. Call it every few
    // seconds with the targets that this VM takes for leaving though the
    // release does not say so.
    void check(const std::vector<target_spec>& marked, const fleet_view& fleet);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
