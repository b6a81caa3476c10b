#ifndef AV_DAEMON_RETURN_WATCH_HPP
#define AV_DAEMON_RETURN_WATCH_HPP

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
// slots. Each target is checked by one VM of the fleet. Use it on the thread of
// the io_context.
class return_watch
{
public:
    // The callback gets a notice for each target that has returned.
    return_watch(boost::asio::io_context& context,
                 const std::string& self_vm,
                 std::function<void(const target_notice&)> returned);
    ~return_watch();

    return_watch(const return_watch&) = delete;
    return_watch& operator=(const return_watch&) = delete;

    // Checks those of the targets that are assigned to this VM. Call it every
    // few seconds with the targets that this VM has marked as leaving although
    // they are not draining in the release.
    void check(const std::vector<target_spec>& marked, const fleet_view& fleet);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
