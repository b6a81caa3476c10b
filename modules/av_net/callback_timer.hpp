#ifndef AV_NET_CALLBACK_TIMER_HPP
#define AV_NET_CALLBACK_TIMER_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace anvilturn
{

// A timer whose callback never runs after the timer was destroyed, cancelled or
// started again, so that it may use the owner of the timer. A plain timer does
// not ensure this: once it has expired, its handler waits in the queue of the
// event loop and can't be cancelled any more. Runs on the thread of the
// io_context only.
class callback_timer
{
public:
    explicit callback_timer(boost::asio::io_context& context);

    // Calls the callback once after the delay, in place of an earlier one.
    void start(milliseconds delay, std::function<void()> callback);
    void cancel();

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<const std::function<void()>> callback_;
};

} // namespace anvilturn

#endif
