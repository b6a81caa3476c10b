#ifndef AV_NET_EVENT_LOOP_HPP
#define AV_NET_EVENT_LOOP_HPP

#include <string_view>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// Runs the context until it is stopped or has no more work. An exception that a
// handler throws ends that handler only: it is logged with the name of the
// loop, and the others go on. Otherwise one unexpected message would end the
// process with all its calls. A handler that repeats itself must therefore
// schedule its next run before it does its work.
void run_event_loop(boost::asio::io_context& context, std::string_view name);

} // namespace anvilturn

#endif
