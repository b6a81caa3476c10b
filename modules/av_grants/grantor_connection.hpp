#ifndef AV_GRANTS_GRANTOR_CONNECTION_HPP
#define AV_GRANTS_GRANTOR_CONNECTION_HPP

// Internal to this module, since it includes Asio headers.

#include <av_core/milliseconds.hpp>
#include <av_grants/grant_messages.hpp>
#include <av_net/frame_reader.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace anvilturn
{

// One connection to a grantor. Queries are sent in their order, and one that is
// sent before the connection is established waits for this.
class grantor_connection
    : public std::enable_shared_from_this<grantor_connection>
{
public:
    // Called from the event loop, not from the member functions.
    struct handlers
    {
        std::function<void(const permit_reply&)> on_reply_;
        // Called once, unless the connection was closed by close.
        std::function<void(const std::string& reason)> on_end_;
    };

    grantor_connection(boost::asio::io_context& context, handlers handlers);

    void open(const boost::asio::ip::tcp::endpoint& grantor);
    void send(const permit_query& query);

    // Ends the connection without a call of the handlers.
    void close();

private:
    void on_connected(const boost::system::error_code& error);
    void write();
    void read_frame();
    void on_frame(const boost::system::error_code& error);
    bool end_on_error(const boost::system::error_code& error);
    void end(const std::string& reason);

    boost::asio::ip::tcp::socket socket_;
    handlers handlers_;
    bool is_connected_ = false;
    bool is_closed_ = false;
    // Frames that are being written, and those that wait for this.
    std::string writing_;
    std::string unsent_;
    frame_reader reader_{socket_, max_grant_message_bytes};
};

} // namespace anvilturn

#endif
