// During an update of the VMs a watcher may be of an earlier version, which
// knows no accounts. Its releases leave them out, and a VM that took them for
// releases without accounts would accept calls without a key.

#include "scripted_store.hpp"

#include <av_feed/registry_control.hpp>
#include <av_net/capnp_frame.hpp>
#include <av_net/tests/running_context.hpp>
#include <av_replication/mirror.capnp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

using namespace anvilturn;
using anvilturn::testing::running_context;
using anvilturn::testing::scripted_store;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr release_version stored_version = 3;
constexpr release_version watcher_version = 9;
constexpr const char* own_address = "127.0.30.10:0";

// Returns a message with a release without accounts. A watcher of an earlier
// version does not say that it lists them.
std::string snapshot_frame(bool lists_accounts)
{
    capnp::MallocMessageBuilder message;
    auto update = message.initRoot<wire::Update>();
    update.setEpoch(5);
    update.setSequence(1);
    update.setWhole(true);
    update.setStoreRevision(100);
    auto value = update.initRelease();
    value.setVersion(watcher_version);
    value.setListsAccounts(lists_accounts);
    return to_frame(message);
}

// Sends the message to each VM that connects.
class scripted_watcher
{
public:
    scripted_watcher(boost::asio::io_context& context, bool lists_accounts)
        : acceptor_(
              context,
              tcp::endpoint(boost::asio::ip::make_address("127.0.30.9"), 0))
        , frame_(snapshot_frame(lists_accounts))
    {
        accept();
    }

    std::string address() const
    {
        std::ostringstream text;
        text << acceptor_.local_endpoint();
        return text.str();
    }

    std::size_t connections() const
    {
        return sockets_.size();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                sockets_.push_back(std::move(socket));
                boost::system::error_code ignored;
                boost::asio::write(
                    sockets_.back(), boost::asio::buffer(frame_), ignored);
                accept();
            });
    }

    tcp::acceptor acceptor_;
    const std::string frame_;
    std::list<tcp::socket> sockets_;
};

// A VM with one watcher besides it, and a store whose release has an account.
struct updated_vm : running_context
{
    explicit updated_vm(bool lists_accounts)
        : store_(context_)
        , watcher_(context_, lists_accounts)
    {
        store_.put_release(stored_version);
        auto& value = *store_.releases_.objects_["main"].value_;
        value.accounts_["school"].name_ = "school";
    }

    void start(bool is_watcher)
    {
        registry_options options;
        options.failure_domain_ = "a";
        options.peer_address_ = own_address;
        options.watchers_ = {watcher_.address()};
        if (is_watcher)
        {
            options.watchers_.emplace_back(own_address);
        }
        registry_handlers handlers;
        handlers.on_release_ = [this](const auto& value)
        {
            release_ = value;
        };
        handlers.on_targets_ = [](const auto&) {};
        control_ = std::make_unique<registry_control>(
            context_, options, store_.calls(), std::move(handlers));
        BOOST_TEST_REQUIRE(control_->start().ok());
    }

    void run_until_connected(std::size_t times)
    {
        run_until(
            [&]
            {
                return watcher_.connections() >= times;
            });
    }

    void run_until_a_release_is_in_force()
    {
        run_until(
            [&]
            {
                return release_ != nullptr;
            });
    }

    scripted_store store_;
    scripted_watcher watcher_;
    std::shared_ptr<const release> release_;
    std::unique_ptr<registry_control> control_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(old_watcher_suite)

BOOST_AUTO_TEST_CASE(a_subscriber_does_not_rely_on_an_old_watcher)
{
    updated_vm vm(false);
    vm.start(false);
    vm.run_until_a_release_is_in_force();
    BOOST_TEST(vm.release_->version_ == stored_version);
    BOOST_TEST(vm.release_->accounts_.count("school") == 1U);
    // It tries the watcher again, which may have been updated.
    vm.run_until_connected(vm.watcher_.connections() + 2);
    BOOST_TEST(vm.control_->state().version_ == stored_version);
    BOOST_TEST(vm.control_->state().watcher_.empty());
}

// A watcher that the store does not answer gets its updates from another one.
BOOST_AUTO_TEST_CASE(a_watcher_does_not_fall_back_on_an_old_watcher)
{
    updated_vm vm(false);
    vm.store_.down_ = true;
    vm.start(true);
    // A subscription follows each status query.
    vm.run_until_connected(4);
    BOOST_TEST(vm.release_ == nullptr);
    BOOST_TEST(vm.control_->state().watcher_.empty());
    vm.store_.down_ = false;
    vm.run_until_a_release_is_in_force();
    BOOST_TEST(vm.release_->version_ == stored_version);
}

// Guards the other test cases against a message that is refused for another
// reason.
BOOST_AUTO_TEST_CASE(a_watcher_that_lists_accounts_is_relied_on)
{
    for (const bool is_watcher : {false, true})
    {
        updated_vm vm(true);
        vm.store_.down_ = true;
        vm.start(is_watcher);
        vm.run_until_a_release_is_in_force();
        BOOST_TEST(vm.release_->version_ == watcher_version);
        BOOST_TEST(vm.control_->state().watcher_ == vm.watcher_.address());
    }
}

BOOST_AUTO_TEST_SUITE_END()
