#ifndef AV_DAEMON_TARGET_RETURN_MONITOR_HPP
#define AV_DAEMON_TARGET_RETURN_MONITOR_HPP

#include <av_core/milliseconds.hpp>
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

// Detects that targets marked as leaving have returned to service at the same
// address. It queries their health endpoint, which uses none of the target's
// slots. Each target is checked by one VM of its failure domain or, if no VM is
// in that domain, by one VM of each domain. Use it on the thread of the
// io_context.
class target_return_monitor
{
public:
    // The callback gets a notice for each target that has returned. Its age is
    // the time since the last check was sent, since a response does not show
    // what the target has become after it wrote it.
    target_return_monitor(boost::asio::io_context& context,
                          const std::string& self_vm,
                          std::function<milliseconds()> clock,
                          std::function<void(const target_notice&)> on_return);
    ~target_return_monitor();

    target_return_monitor(const target_return_monitor&) = delete;
    target_return_monitor& operator=(const target_return_monitor&) = delete;

    // Checks those of the targets that are assigned to this VM. Call it every
    // few seconds with the targets that this VM has marked as leaving although
    // they are not draining in the release.
    void check(const std::vector<target_spec>& marked_as_leaving,
               const fleet_view& fleet);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
