// A VM that starts while many others do: the links of the watchers are filled
// with snapshots, and listings for each VM would fill the store's.

#include "scripted_store.hpp"

#include <av_core/monotonic_clock.hpp>
#include <av_feed/registry_control.hpp>
#include <av_replication/replication_timing.hpp>
#include <av_replication/update_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

using namespace anvilturn;
using anvilturn::testing::scripted_store;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds test_timeout{30};
constexpr const char* loopback = "127.0.30.10";

// Returns a message with a release and a target, as the first one of a watcher.
std::string snapshot_frame()
{
    registry_update update;
    update.epoch_ = 5;
    update.is_snapshot_ = true;
    update.store_revision_ = 10;
    auto value = std::make_shared<release>();
    value->version_ = 3;
    update.release_ = std::move(value);
    target_change change;
    change.object_.name_ = "x";
    change.object_.value_ = target_spec();
    change.object_.revision_ = 10;
    update.changes_.push_back(change);
    return write_update(update);
}

// A VM that starts, and its only watcher, which sends parts of the snapshot.
struct starting_vm
{
    starting_vm()
        : store_(context_)
        , acceptor_(context_,
                    tcp::endpoint(boost::asio::ip::make_address(loopback), 0))
        , frame_(snapshot_frame())
    {
        store_.put_release(3);
        registry_options options;
        options.watchers_ = {
            loopback +
            (":" + std::to_string(acceptor_.local_endpoint().port()))};
        registry_handlers handlers;
        handlers.on_release_ = [](const auto&) {};
        handlers.on_targets_ = [this](const auto& targets)
        {
            targets_ = targets;
        };
        control_ = std::make_unique<registry_control>(
            context_, options, store_.calls(), std::move(handlers));
        BOOST_TEST_REQUIRE(control_->start().ok());
        watcher_ = acceptor_.accept();
    }

    // Sends that many parts of the snapshot, each within the time limit, until
    // the condition holds.
    template <typename Condition>
    void send_parts_until(std::size_t parts, Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + test_timeout;
        auto next_at = monotonic_now();
        for (std::size_t part = 0; !condition();)
        {
            BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < limit));
            if (part < parts && monotonic_now() >= next_at)
            {
                send_part(part++, parts);
                next_at = monotonic_now() + watcher_timeout * 0.35;
            }
            context_.run_one_for(std::chrono::milliseconds(20));
        }
    }

    void send_part(std::size_t part, std::size_t parts)
    {
        const auto from = reports_status_ ? 0 : frame_.size() * part / parts;
        const auto to = reports_status_ ? frame_.size()
                                        : frame_.size() * (part + 1) / parts;
        boost::system::error_code ignored;
        boost::asio::write(*watcher_,
                           boost::asio::buffer(frame_.data() + from, to - from),
                           ignored);
    }

    boost::asio::io_context context_;
    scripted_store store_;
    tcp::acceptor acceptor_;
    std::string frame_;
    // Whether each part is the whole message.
    bool reports_status_ = false;
    std::optional<tcp::socket> watcher_;
    std::map<std::string, target_spec> targets_;
    std::unique_ptr<registry_control> control_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(startup)

BOOST_AUTO_TEST_CASE(a_vm_whose_snapshot_is_arriving_does_not_list_the_store)
{
    // Takes longer than a VM waits for watchers that send nothing.
    constexpr std::size_t parts = 8;
    starting_vm vm;
    vm.send_parts_until(parts,
                        [&]
                        {
                            return !vm.targets_.empty();
                        });
    BOOST_TEST(vm.store_.targets_.lists_ == 0);
    BOOST_TEST(!vm.control_->state().watcher_.empty());
}

// Status reports are no contents that arrive.
BOOST_AUTO_TEST_CASE(a_vm_whose_watcher_is_not_ready_reads_the_store)
{
    constexpr std::size_t parts = 60;
    // Less than a VM waits for a snapshot that is arriving.
    const milliseconds limit(4500.0);
    starting_vm vm;
    const auto started_at = monotonic_now();
    registry_update status;
    status.contents_age_ = milliseconds(1e9);
    vm.frame_ = write_update(status);
    vm.reports_status_ = true;
    vm.send_parts_until(parts,
                        [&]
                        {
                            return vm.store_.checks_ > 0 ||
                                   vm.store_.targets_.lists_ > 0;
                        });
    BOOST_TEST((monotonic_now() - started_at < limit));
}

BOOST_AUTO_TEST_CASE(a_snapshot_that_takes_too_long_is_not_waited_for)
{
    constexpr std::size_t parts = 60;
    starting_vm vm;
    vm.send_parts_until(parts,
                        [&]
                        {
                            return vm.store_.checks_ > 0 ||
                                   vm.store_.targets_.lists_ > 0;
                        });
    BOOST_TEST(vm.targets_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
