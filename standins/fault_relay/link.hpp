#ifndef STANDINS_FAULT_RELAY_LINK_HPP
#define STANDINS_FAULT_RELAY_LINK_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace anvilturn
{

// Faults of a link. The bytes of a paused direction arrive once the pause is
// over, as after a network partition that heals.
struct link_faults
{
    // New connections are reset on accept.
    bool refuse_ = false;
    // Bytes from the client, the side that connected, are not relayed.
    bool pause_to_server_ = false;
    // Bytes to the client are not relayed.
    bool pause_to_client_ = false;
    // Delay before each block of bytes is passed on, in either direction.
    milliseconds delay_{0.0};
};

class link;

// One relayed connection: the sockets of the client and the server, and the
// state of each direction.
class link_connection : public std::enable_shared_from_this<link_connection>
{
public:
    link_connection(boost::asio::io_context& context,
                    link& owner,
                    boost::asio::ip::tcp::socket client);

    // Connects to the server and starts to relay; resets the client's
    // connection if that fails.
    void connect(const boost::asio::ip::tcp::endpoint& address);

    // Resumes each direction whose pause has ended.
    void resume();

    // Resets the connections to the client and to the server.
    void reset();

    // Resets the connection to the server; the client is not notified.
    void half_open();

    // Relays nothing more in either direction, not even the end of the
    // connection, until reset() is called.
    void silence();
    bool is_silent() const noexcept;

private:
    // State of one direction.
    struct relay_direction
    {
        explicit relay_direction(boost::asio::io_context& context)
            : timer_(context)
        {
        }

        boost::asio::steady_timer timer_;
        std::array<char, 65536> bytes_{};
        bool paused_ = false;
        bool is_to_server_ = false;
    };

    void read(relay_direction& direction);
    void write_after_delay(relay_direction& direction, std::size_t size_bytes);
    void write(relay_direction& direction, std::size_t size_bytes);
    void finish_direction(relay_direction& direction);
    bool is_paused(const relay_direction& direction) const;
    boost::asio::ip::tcp::socket& source(const relay_direction& direction);
    boost::asio::ip::tcp::socket& sink(const relay_direction& direction);

    link& owner_;
    boost::asio::ip::tcp::socket client_socket_;
    boost::asio::ip::tcp::socket server_socket_;
    relay_direction to_server_;
    relay_direction to_client_;
    int finished_directions_ = 0;
    bool half_open_ = false;
    bool silent_ = false;
};

// Listens on one address and relays each connection to a server.
class link
{
public:
    link(boost::asio::io_context& context,
         std::string name,
         const boost::asio::ip::tcp::endpoint& listen,
         const boost::asio::ip::tcp::endpoint& server);

    const std::string& name() const noexcept;
    const link_faults& faults() const noexcept;

    // Sets the faults that the YAML map names. reset, half_open and silence act
    // once, on the open connections; the others last until changed. Throws
    // YAML::Exception on malformed YAML; ignores values of the wrong type.
    void change_faults(const std::string& yaml);

    // Removes a connection that has ended.
    void remove(const std::shared_ptr<link_connection>& connection);

    // Returns one line of key=value pairs.
    std::string counts_text() const;

private:
    void accept_next();

    boost::asio::io_context& context_;
    std::string name_;
    boost::asio::ip::tcp::endpoint server_address_;
    boost::asio::ip::tcp::acceptor acceptor_;
    link_faults faults_;
    std::list<std::shared_ptr<link_connection>> connections_;
    std::uint64_t accepted_ = 0;
};

} // namespace anvilturn

#endif
