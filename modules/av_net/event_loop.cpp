#include <av_net/event_loop.hpp>

#include <av_core/log_event.hpp>

#include <boost/asio/io_context.hpp>

#include <exception>

namespace anvilturn
{

void run_event_loop(boost::asio::io_context& context, std::string_view name)
{
    for (;;)
    {
        try
        {
            context.run();
            return;
        }
        catch (const std::exception& error)
        {
            log_event(log_level::error, "handler_failed")
                .field("loop", name)
                .field("error", std::string_view(error.what()))
                .write();
        }
    }
}

} // namespace anvilturn
