#ifndef AV_NET_FRAME_READER_HPP
#define AV_NET_FRAME_READER_HPP

#include <av_net/message_frame.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string>

namespace anvilturn
{

// The error of a frame whose body exceeds the limit. Reads from a TCP socket
// don't fail with it otherwise.
constexpr auto frame_too_long = boost::asio::error::message_size;

// Called from the event loop, on the thread of the socket.
struct frame_handlers
{
    // Optional: the length of the body is known, and within the limit.
    std::function<void()> on_header_;
    // Optional: a part of the body has arrived, and the rest has not.
    std::function<void()> on_progress_;
    // Called once: the frame is complete, or could not be read.
    std::function<void(const boost::system::error_code& error)> on_frame_;
};

// Reads frames from a socket, one at a time.
class frame_reader
{
public:
    // The socket must outlive the reader.
    frame_reader(boost::asio::ip::tcp::socket& socket,
                 std::size_t max_body_bytes);

    // Reads the next frame. The handlers keep the reader alive until on_frame_
    // is called. If the socket is closed meanwhile, that is always called with
    // an error.
    void read(frame_handlers handlers);

    // Returns the body of the last frame, or the part that has arrived; empty
    // before the first header and after clear().
    const std::string& body() const;
    void clear();

private:
    void read_body(frame_handlers handlers);

    boost::asio::ip::tcp::socket& socket_;
    const std::size_t max_body_bytes_;
    std::array<char, frame_header_bytes> header_{};
    std::string body_;
};

} // namespace anvilturn

#endif
