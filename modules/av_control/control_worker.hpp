#ifndef AV_CONTROL_CONTROL_WORKER_HPP
#define AV_CONTROL_CONTROL_WORKER_HPP

// Include only from source files of this module: it includes Boost.Asio.

#include <av_control/control_handlers.hpp>
#include <av_control/control_options.hpp>
#include <av_control/control_state.hpp>
#include <av_control/platform_feed.hpp>
#include <av_membership/membership.hpp>
#include <av_peer/peer_endpoint.hpp>
#include <av_spread/notice_table.hpp>
#include <av_spread/release_document.hpp>
#include <av_spread/release_spread.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvilturn
{

// The state and the timers of the control plane. All functions but last_contact
// and current_at must be called on the thread of the context.
class control_worker
{
public:
    control_worker(boost::asio::io_context& context,
                   control_options options,
                   control_handlers handlers);

    // Starts the rounds and the calls to the platform. The endpoint must
    // outlive the last call of a function of this object.
    void start(peer_endpoint& endpoint);

    // Handle messages of peers; on_exchange returns the reply.
    peer_message on_exchange(const peer_message& request);
    void on_update(const peer_message& update);

    // Returns the release that peers fetch from this VM; null if there is none.
    std::shared_ptr<const release_document> document() const;

    void report(target_notice notice);
    void submit_release(release_document document);
    void begin_leave(const std::function<void()>& on_done);

    control_state read_state() const;
    milliseconds last_contact() const noexcept;
    milliseconds current_at() const noexcept;

private:
    struct member_address
    {
        std::uint64_t incarnation_ = 0;
        std::string address_;
    };

    void run_round();
    void schedule_round();
    void exchange_with(const std::string& address, bool refresh);
    void on_exchange_done(const std::string& address,
                          milliseconds started_at,
                          absl::StatusOr<peer_message> reply);
    void send_missing_descriptions(const std::string& address,
                                   const std::vector<std::uint64_t>& missing);
    void apply_message(const peer_message& message);
    void apply_notices(const peer_message& message);
    peer_message make_message() const;
    void add_notices(peer_message& message, bool include_all_states);

    void fetch_if_behind();
    void on_fetched(std::uint64_t source,
                    absl::StatusOr<release_document> document);
    // The time as of which the release is the newest, if it is known, is that
    // of platform_feed.
    void on_platform_release(std::optional<std::string> text,
                             std::optional<milliseconds> newest_at);
    void decode(release_document document,
                std::optional<milliseconds> newest_at);
    void apply_document(release_document document,
                        absl::StatusOr<release> decoded,
                        std::optional<milliseconds> newest_at);
    void update_serving();

    void schedule_push();
    void push_update();
    std::vector<member_address> random_members(std::size_t count);
    void push_to(const std::string& address,
                 peer_message message,
                 std::function<void()> done);

    void publish_fleet();
    void record_contact(milliseconds started_at);
    void record_current(milliseconds point);
    platform_poll_mode poll_mode() const;

    boost::asio::io_context& context_;
    control_options options_;
    control_handlers handlers_;
    peer_endpoint* endpoint_ = nullptr;
    std::minstd_rand generator_;
    boost::asio::steady_timer round_timer_;
    boost::asio::steady_timer push_timer_;
    platform_feed feed_;
    membership_state membership_;
    release_spread_state release_spread_;
    notice_table notices_;
    std::shared_ptr<const release_document> document_;
    std::shared_ptr<const release> release_;
    release_version published_version_ = 0;
    // The version whose conflict with a peer's digest was logged last.
    release_version conflict_logged_version_ = 0;
    std::shared_ptr<const fleet_view> fleet_;
    bool is_watcher_ = true;
    bool push_pending_ = false;
    std::vector<sequenced_notice> urgent_notices_;
    milliseconds peer_contact_{0.0};
    std::atomic<milliseconds> last_contact_{milliseconds()};
    std::atomic<milliseconds> current_at_{milliseconds()};
    // Callbacks hold a weak pointer to it and do nothing once it has expired.
    std::shared_ptr<control_worker*> alive_;
    // Number of releases being decoded, and the processor time spent so far.
    int pending_decodes_ = 0;
    std::atomic<milliseconds> decode_cpu_time_{milliseconds()};
    // Decoding a release on the control thread would delay heartbeats, so it
    // has a thread of its own. Last member, so that it is destroyed first: its
    // tasks refer to the others.
    boost::asio::thread_pool decode_pool_{1};
};

} // namespace anvilturn

#endif
