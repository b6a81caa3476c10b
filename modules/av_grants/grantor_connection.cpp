#include <av_grants/grantor_connection.hpp>

#include <av_grants/grant_codec.hpp>

#include <boost/asio/write.hpp>

#include <utility>

namespace anvilturn
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

grantor_connection::grantor_connection(asio::io_context& context,
                                       handlers handlers)
    : socket_(context)
    , handlers_(std::move(handlers))
{
}

void grantor_connection::open(const tcp::endpoint& grantor)
{
    socket_.async_connect(grantor,
                          [self = shared_from_this()](const error_code& error)
                          {
                              self->on_connected(error);
                          });
}

void grantor_connection::send(const permit_query& query)
{
    unsent_ += write_query(query);
    write();
}

void grantor_connection::close()
{
    is_closed_ = true;
    error_code ignored;
    socket_.close(ignored);
}

void grantor_connection::on_connected(const error_code& error)
{
    if (end_on_error(error))
    {
        return;
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    is_connected_ = true;
    read_frame();
    write();
}

void grantor_connection::write()
{
    if (!is_connected_ || is_closed_ || !writing_.empty() || unsent_.empty())
    {
        return;
    }
    std::swap(writing_, unsent_);
    asio::async_write(
        socket_,
        asio::buffer(writing_),
        [self = shared_from_this()](const error_code& error, std::size_t)
        {
            if (!self->end_on_error(error))
            {
                self->writing_.clear();
                self->write();
            }
        });
}

void grantor_connection::read_frame()
{
    frame_handlers handlers;
    handlers.on_frame_ = [self = shared_from_this()](const error_code& error)
    {
        self->on_frame(error);
    };
    reader_.read(std::move(handlers));
}

void grantor_connection::on_frame(const error_code& error)
{
    if (error == frame_too_long)
    {
        end("a message exceeds the size limit");
        return;
    }
    if (end_on_error(error))
    {
        return;
    }
    const auto reply = read_reply(reader_.body());
    if (!reply.ok())
    {
        end(std::string(reply.status().message()));
        return;
    }
    handlers_.on_reply_(*reply);
    if (!is_closed_)
    {
        read_frame();
    }
}

bool grantor_connection::end_on_error(const error_code& error)
{
    if (!is_closed_ && error)
    {
        end(error.message());
    }
    return is_closed_;
}

void grantor_connection::end(const std::string& reason)
{
    close();
    handlers_.on_end_(reason);
}

} // namespace anvilturn
