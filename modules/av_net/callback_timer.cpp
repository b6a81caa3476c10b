#include <av_net/callback_timer.hpp>

#include <av_net/duration.hpp>

#include <utility>

namespace anvilturn
{

callback_timer::callback_timer(boost::asio::io_context& context)
    : timer_(context)
{
}

void callback_timer::start(milliseconds delay, std::function<void()> callback)
{
    callback_ =
        std::make_shared<const std::function<void()>>(std::move(callback));
    timer_.expires_after(to_duration(delay));
    timer_.async_wait(
        [weak =
             std::weak_ptr(callback_)](const boost::system::error_code& error)
        {
            const auto current = weak.lock();
            if (!error && current)
            {
                (*current)();
            }
        });
}

void callback_timer::cancel()
{
    callback_.reset();
    timer_.cancel();
}

} // namespace anvilturn
