// Private to av_proxy.

#ifndef AV_PROXY_OUTPUT_BUFFER_HPP
#define AV_PROXY_OUTPUT_BUFFER_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace anvilturn
{

// Bytes that wait to be sent on a non-blocking socket.
class output_buffer
{
public:
    // Where messages are appended.
    std::string& bytes()
    {
        return bytes_;
    }

    std::size_t unsent_bytes() const
    {
        return bytes_.size() - sent_;
    }

    // Sends what the socket takes now. Returns the number of bytes sent; the
    // error is would_block if some are left.
    std::size_t send(boost::asio::ip::tcp::socket& socket,
                     boost::system::error_code& error)
    {
        error = {};
        std::size_t total = 0;
        while (unsent_bytes() > 0)
        {
            const auto sent = socket.write_some(
                boost::asio::buffer(bytes_.data() + sent_, unsent_bytes()),
                error);
            if (error)
            {
                return total;
            }
            sent_ += sent;
            total += sent;
        }
        clear();
        return total;
    }

    void clear()
    {
        bytes_.clear();
        sent_ = 0;
    }

private:
    std::string bytes_;
    std::size_t sent_ = 0;
};

} // namespace anvilturn

#endif
