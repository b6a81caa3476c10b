#include <av_net/frame_reader.hpp>

#include <boost/asio/read.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

// Returns the error of a read. One that was complete when the socket was closed
// succeeds, but its handler runs after that.
error_code result_of(const error_code& error, const asio::ip::tcp::socket& from)
{
    return error || from.is_open() ? error : asio::error::operation_aborted;
}

} // namespace

frame_reader::frame_reader(asio::ip::tcp::socket& socket,
                           std::size_t max_body_bytes)
    : socket_(socket)
    , max_body_bytes_(max_body_bytes)
{
}

void frame_reader::read(frame_handlers handlers)
{
    asio::async_read(socket_,
                     asio::buffer(header_),
                     [this, handlers = std::move(handlers)](
                         const error_code& error, std::size_t) mutable
                     {
                         const auto result = result_of(error, socket_);
                         if (result)
                         {
                             handlers.on_frame_(result);
                             return;
                         }
                         read_body(std::move(handlers));
                     });
}

const std::string& frame_reader::body() const
{
    return body_;
}

void frame_reader::clear()
{
    body_.clear();
}

void frame_reader::read_body(frame_handlers handlers)
{
    const auto length = frame_length({header_.data(), header_.size()});
    if (length > max_body_bytes_)
    {
        handlers.on_frame_(frame_too_long);
        return;
    }
    body_.resize(length);
    if (handlers.on_header_)
    {
        handlers.on_header_();
    }
    asio::async_read(
        socket_,
        asio::buffer(body_),
        [on_progress = std::move(handlers.on_progress_)](
            const error_code& error, std::size_t received)
        {
            if (on_progress && !error && received > 0)
            {
                on_progress();
            }
            return asio::transfer_all()(error, received);
        },
        [this, on_frame = std::move(handlers.on_frame_)](
            const error_code& error, std::size_t)
        {
            on_frame(result_of(error, socket_));
        });
}

} // namespace anvilturn
