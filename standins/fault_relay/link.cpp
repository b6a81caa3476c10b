#include <fault_relay/link.hpp>

#include <common/standin_program.hpp>
#include <common/yaml_values.hpp>

#include <boost/asio/write.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

using boost::asio::ip::tcp;

void reset_socket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

link_connection::link_connection(boost::asio::io_context& context,
                                 link& owner,
                                 tcp::socket client)
    : owner_(owner)
    , client_socket_(std::move(client))
    , server_socket_(context)
    , to_server_(context)
    , to_client_(context)
{
    to_server_.is_to_server_ = true;
}

void link_connection::connect(const tcp::endpoint& address)
{
    server_socket_.async_connect(
        address,
        [self = shared_from_this()](auto error)
        {
            if (error)
            {
                self->reset();
                self->owner_.remove(self);
                return;
            }
            boost::system::error_code ignored;
            self->client_socket_.set_option(tcp::no_delay(true), ignored);
            self->server_socket_.set_option(tcp::no_delay(true), ignored);
            self->read(self->to_server_);
            self->read(self->to_client_);
        });
}

void link_connection::resume()
{
    for (auto* direction : {&to_server_, &to_client_})
    {
        if (direction->paused_ && !is_paused(*direction))
        {
            direction->paused_ = false;
            read(*direction);
        }
    }
}

void link_connection::reset()
{
    reset_socket(client_socket_);
    reset_socket(server_socket_);
}

void link_connection::half_open()
{
    half_open_ = true;
    reset_socket(server_socket_);
}

void link_connection::silence()
{
    silent_ = true;
}

bool link_connection::is_silent() const noexcept
{
    return silent_;
}

void link_connection::read(relay_direction& direction)
{
    if (is_paused(direction))
    {
        direction.paused_ = true;
        return;
    }
    source(direction).async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), &direction](auto error)
        {
            if (error)
            {
                self->finish_direction(direction);
                return;
            }
            // The pause may have begun during the wait for bytes.
            if (self->is_paused(direction))
            {
                direction.paused_ = true;
                return;
            }
            boost::system::error_code read_error;
            const auto size_bytes = self->source(direction).read_some(
                boost::asio::buffer(direction.bytes_), read_error);
            if (read_error)
            {
                self->finish_direction(direction);
                return;
            }
            self->write_after_delay(direction, size_bytes);
        });
}

void link_connection::write_after_delay(relay_direction& direction,
                                        std::size_t size_bytes)
{
    if (owner_.faults().delay_ <= milliseconds(0.0))
    {
        write(direction, size_bytes);
        return;
    }
    direction.timer_.expires_after(to_duration(owner_.faults().delay_));
    direction.timer_.async_wait(
        [self = shared_from_this(), &direction, size_bytes](auto)
        {
            self->write(direction, size_bytes);
        });
}

void link_connection::write(relay_direction& direction, std::size_t size_bytes)
{
    // The silence may have begun during the delay.
    if (silent_)
    {
        return;
    }
    boost::asio::async_write(
        sink(direction),
        boost::asio::buffer(direction.bytes_.data(), size_bytes),
        [self = shared_from_this(), &direction](auto error, std::size_t)
        {
            if (error)
            {
                self->finish_direction(direction);
                return;
            }
            self->read(direction);
        });
}

void link_connection::finish_direction(relay_direction& direction)
{
    if (silent_)
    {
        return;
    }
    ++finished_directions_;
    boost::system::error_code ignored;
    const bool keep_client_open = half_open_ && !direction.is_to_server_;
    if (!keep_client_open)
    {
        sink(direction).shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (finished_directions_ == 2)
    {
        client_socket_.close(ignored);
        server_socket_.close(ignored);
        owner_.remove(shared_from_this());
    }
}

bool link_connection::is_paused(const relay_direction& direction) const
{
    if (silent_)
    {
        return true;
    }
    return direction.is_to_server_ ? owner_.faults().pause_to_server_
                                   : owner_.faults().pause_to_client_;
}

tcp::socket& link_connection::source(const relay_direction& direction)
{
    return direction.is_to_server_ ? client_socket_ : server_socket_;
}

tcp::socket& link_connection::sink(const relay_direction& direction)
{
    return direction.is_to_server_ ? server_socket_ : client_socket_;
}

link::link(boost::asio::io_context& context,
           std::string name,
           const tcp::endpoint& listen,
           const tcp::endpoint& server)
    : context_(context)
    , name_(std::move(name))
    , server_address_(server)
    , acceptor_(context, listen)
{
    accept_next();
}

const std::string& link::name() const noexcept
{
    return name_;
}

const link_faults& link::faults() const noexcept
{
    return faults_;
}

void link::change_faults(const std::string& yaml)
{
    const auto node = YAML::Load(yaml);
    auto faults = faults_;
    bool resets = false;
    bool half_opens = false;
    bool silences = false;
    read_if_present(node, "refuse", faults.refuse_);
    read_if_present(node, "hold_up", faults.pause_to_server_);
    read_if_present(node, "hold_down", faults.pause_to_client_);
    read_if_present(node, "delay_ms", faults.delay_);
    read_if_present(node, "reset", resets);
    read_if_present(node, "half_open", half_opens);
    read_if_present(node, "silence", silences);
    faults_ = faults;
    const auto connections = connections_;
    for (const auto& connection : connections)
    {
        if (resets)
        {
            connection->reset();
            remove(connection);
        }
        else if (half_opens)
        {
            connection->half_open();
        }
        else if (silences)
        {
            connection->silence();
        }
        else
        {
            connection->resume();
        }
    }
}

void link::remove(const std::shared_ptr<link_connection>& connection)
{
    connections_.remove(connection);
}

std::string link::counts_text() const
{
    const auto silent = std::count_if(connections_.begin(),
                                      connections_.end(),
                                      [](const auto& connection)
                                      {
                                          return connection->is_silent();
                                      });
    return "link=" + name_ + " accepted=" + std::to_string(accepted_) +
           " connections=" + std::to_string(connections_.size()) +
           " silent=" + std::to_string(silent) + '\n';
}

void link::accept_next()
{
    acceptor_.async_accept(
        [this](auto error, tcp::socket socket)
        {
            if (!error && faults_.refuse_)
            {
                reset_socket(socket);
            }
            else if (!error)
            {
                ++accepted_;
                connections_.push_back(std::make_shared<link_connection>(
                    context_, *this, std::move(socket)));
                connections_.back()->connect(server_address_);
            }
            accept_next();
        });
}

} // namespace anvilturn
