#include <av_control/control_worker.hpp>

#include <av_control/document_digest.hpp>
#include <av_control/thread_cpu_time.hpp>
#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_spread/platform_watchers.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvilturn
{
namespace
{

// Number of members to which a VM pushes a change when it first learns of it.
constexpr std::size_t push_fanout = 4;
// Changes that occur within this time are pushed in one message.
constexpr milliseconds push_delay{10.0};
// Number of leading digits of a release's digest in each message.
constexpr std::size_t digest_prefix_length = 16;
constexpr std::size_t max_notices_per_message = 12;
// Without an answer of a peer for this long, the platform is polled often.
constexpr milliseconds peer_contact_timeout{1500.0};

std::chrono::microseconds to_duration(milliseconds time)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(time.count() * 1e3));
}

std::vector<listed_vm> to_listed(const std::vector<platform_vm>& vms)
{
    std::vector<listed_vm> listed;
    listed.reserve(vms.size());
    for (const auto& vm : vms)
    {
        listed.push_back({vm.name_, vm.peer_address_, vm.leaving_});
    }
    return listed;
}

control_platform make_platform(boost::asio::io_context& context,
                               const control_options& options)
{
    return options.platform_ ? options.platform_(context) : control_platform();
}

} // namespace

control_worker::control_worker(boost::asio::io_context& context,
                               control_options options,
                               control_handlers handlers)
    : context_(context)
    , options_(std::move(options))
    , handlers_(std::move(handlers))
    , generator_(static_cast<std::minstd_rand::result_type>(
          options_.self_.incarnation_ | 1U))
    , round_timer_(context)
    , push_timer_(context)
    , feed_(context,
            make_platform(context, options_),
            {[this](milliseconds started_at)
             {
                 record_contact(started_at);
             },
             [this](std::optional<std::string> text,
                    std::optional<milliseconds> newest_at)
             {
                 on_platform_release(std::move(text), newest_at);
             },
             [this](std::vector<platform_vm> vms)
             {
                 membership_ = on_vm_list(
                     std::move(membership_), to_listed(vms), monotonic_now());
             },
             [this](milliseconds newest_at)
             {
                 record_current(newest_at);
             },
             // A starting VM does not wait for an unreachable platform: the
             // failure counts as an answer.
             [this]
             {
                 release_spread_ = record_source_answer(
                     std::move(release_spread_), platform_source);
             }},
            options_.self_.incarnation_)
    , membership_(start_membership(options_.self_,
                                   options_.seed_addresses_,
                                   options_.membership_,
                                   monotonic_now()))
    , release_spread_(start_release_spread(monotonic_now()))
    , alive_(std::make_shared<control_worker*>(this))
{
}

void control_worker::start(peer_endpoint& endpoint)
{
    endpoint_ = &endpoint;
    publish_fleet();
    feed_.start();
    run_round();
}

void control_worker::run_round()
{
    auto round =
        membership_tick(std::move(membership_), generator_(), monotonic_now());
    membership_ = std::move(round.state_);
    notices_ = remove_expired_notices(std::move(notices_), monotonic_now());
    if (round.resumed_)
    {
        log_event(log_level::warning, "vm_was_paused")
            .field("gaps", membership_.pauses_)
            .write();
    }
    const bool refresh = round.resumed_ || membership_.rounds_ == 1;
    for (const auto& address : round.contacts_)
    {
        exchange_with(address, refresh);
    }
    publish_fleet();
    feed_.set_poll_mode(poll_mode(), fleet_->members_.size());
    fetch_if_behind();
    update_serving();
    schedule_round();
}

void control_worker::schedule_round()
{
    round_timer_.expires_after(to_duration(round_period(membership_)));
    round_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                run_round();
            }
        });
}

void control_worker::exchange_with(const std::string& address, bool refresh)
{
    peer_message message = make_message();
    message.members_ = make_digest(membership_);
    message.refresh_ = refresh;
    add_notices(message, false);
    const milliseconds started_at = monotonic_now();
    endpoint_->exchange(
        address,
        std::move(message),
        [this, address, started_at, weak = std::weak_ptr(alive_)](
            absl::StatusOr<peer_message> reply)
        {
            boost::asio::post(
                context_,
                [this,
                 address,
                 started_at,
                 weak,
                 reply = std::move(reply)]() mutable
                {
                    if (weak.lock())
                    {
                        on_exchange_done(address, started_at, std::move(reply));
                    }
                });
        });
}

void control_worker::on_exchange_done(const std::string& address,
                                      milliseconds started_at,
                                      absl::StatusOr<peer_message> reply)
{
    if (!reply.ok())
    {
        log_event(log_level::debug, "peer_exchange_failed")
            .field("peer_address", address)
            .field("error", reply.status())
            .write();
        membership_ = on_contact_failed(std::move(membership_), address);
        return;
    }
    peer_contact_ = std::max(peer_contact_, started_at);
    release_spread_ = record_source_answer(std::move(release_spread_),
                                           reply->members_.incarnation_);
    apply_message(*reply);
    record_contact(started_at);
    if (reply->release_ <= release_spread_.current_version_)
    {
        record_current(started_at);
    }
    send_missing_descriptions(address, reply->members_.missing_descriptions_);
}

void control_worker::send_missing_descriptions(
    const std::string& address, const std::vector<std::uint64_t>& missing)
{
    if (missing.empty())
    {
        return;
    }
    peer_message message = make_message();
    message.members_.descriptions_ = find_descriptions(membership_, missing);
    // The description of a VM does not make it a member; its first heartbeat
    // does, so heartbeats are sent as well.
    message.members_.heartbeats_ = make_digest(membership_).heartbeats_;
    push_to(address, std::move(message), nullptr);
}

peer_message control_worker::on_exchange(const peer_message& request)
{
    apply_message(request);
    peer_message reply = make_message();
    reply.members_ = make_reply(membership_, request.members_);
    add_notices(reply, request.refresh_);
    return reply;
}

void control_worker::on_update(const peer_message& update)
{
    apply_message(update);
}

void control_worker::apply_message(const peer_message& message)
{
    membership_ =
        on_digest(std::move(membership_), message.members_, monotonic_now());
    apply_notices(message);
    if (message.release_ > 0)
    {
        const std::string local_digest =
            release_spread_.current_digest_.substr(0, digest_prefix_length);
        if (message.release_ == release_spread_.current_version_ &&
            message.release_digest_ != local_digest &&
            conflict_logged_version_ != release_spread_.current_version_)
        {
            conflict_logged_version_ = release_spread_.current_version_;
            log_event(log_level::error, "release_conflicts")
                .field("version", message.release_)
                .field("own_digest", release_spread_.current_digest_)
                .field("peer_digest", message.release_digest_)
                .write();
        }
        release_spread_ = record_release_source(std::move(release_spread_),
                                                message.release_,
                                                message.members_.incarnation_);
    }
    publish_fleet();
    fetch_if_behind();
    update_serving();
}

void control_worker::apply_notices(const peer_message& message)
{
    for (const auto& notice : message.notices_)
    {
        if (notice.incarnation_ == membership_.local_heartbeat_.incarnation_)
        {
            continue;
        }
        auto outcome = anvilturn::merge_notice(
            std::move(notices_), notice, monotonic_now());
        notices_ = std::move(outcome.notice_table_);
        if (outcome.is_new_ && handlers_.on_notice_)
        {
            handlers_.on_notice_(outcome.notice_.notice_);
        }
        if (outcome.is_urgent_)
        {
            urgent_notices_.push_back(outcome.notice_);
            schedule_push();
        }
    }
}

peer_message control_worker::make_message() const
{
    peer_message message;
    message.deployment_ = options_.deployment_;
    message.members_.incarnation_ = membership_.local_heartbeat_.incarnation_;
    message.release_ = release_spread_.current_version_;
    message.release_digest_ =
        release_spread_.current_digest_.substr(0, digest_prefix_length);
    return message;
}

void control_worker::add_notices(peer_message& message, bool include_all_states)
{
    auto [table, selected] = select_notices(std::move(notices_),
                                            max_notices_per_message,
                                            include_all_states,
                                            monotonic_now());
    notices_ = std::move(table);
    message.notices_ = std::move(selected);
}

void control_worker::report(target_notice notice)
{
    notice.source_vm_ = membership_.self_.name_;
    auto outcome = add_local_notice(std::move(notices_),
                                    std::move(notice),
                                    membership_.local_heartbeat_.incarnation_,
                                    monotonic_now());
    notices_ = std::move(outcome.notice_table_);
    if (outcome.is_urgent_)
    {
        urgent_notices_.push_back(outcome.notice_);
        schedule_push();
    }
}

void control_worker::schedule_push()
{
    if (push_pending_)
    {
        return;
    }
    push_pending_ = true;
    push_timer_.expires_after(to_duration(push_delay));
    push_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                push_pending_ = false;
                push_update();
            }
        });
}

void control_worker::push_update()
{
    peer_message message = make_message();
    const std::size_t size =
        std::min(urgent_notices_.size(), max_notices_per_message);
    message.notices_.assign(urgent_notices_.begin(),
                            urgent_notices_.begin() +
                                static_cast<std::ptrdiff_t>(size));
    // Notices beyond the limit are sent with the next exchanges.
    urgent_notices_.clear();
    for (const auto& member : random_members(push_fanout))
    {
        push_to(member.address_, message, nullptr);
    }
}

std::vector<control_worker::member_address>
control_worker::random_members(std::size_t count)
{
    std::vector<member_address> members;
    for (const auto& [name, record] : membership_.records_)
    {
        if (record.condition_ == member_condition::alive)
        {
            members.push_back(
                {record.vm_.incarnation_, record.vm_.peer_address_});
        }
    }
    std::shuffle(members.begin(), members.end(), generator_);
    members.resize(std::min(members.size(), count));
    return members;
}

void control_worker::push_to(const std::string& address,
                             peer_message message,
                             std::function<void()> done)
{
    endpoint_->push_update(address,
                           std::move(message),
                           [this,
                            weak = std::weak_ptr(alive_),
                            done = std::move(done)](const absl::Status&)
                           {
                               if (done)
                               {
                                   boost::asio::post(context_, done);
                               }
                           });
}

void control_worker::begin_leave(const std::function<void()>& on_done)
{
    membership_ = begin_leaving(std::move(membership_));
    publish_fleet();
    peer_message message = make_message();
    message.members_.heartbeats_.push_back(membership_.local_heartbeat_);
    const auto members = random_members(membership_.records_.size());
    if (members.empty())
    {
        boost::asio::post(context_, on_done);
        return;
    }
    auto remaining = std::make_shared<std::size_t>(members.size());
    for (const auto& member : members)
    {
        push_to(member.address_,
                message,
                [remaining, on_done]
                {
                    if (--*remaining == 0)
                    {
                        on_done();
                    }
                });
    }
}

void control_worker::publish_fleet()
{
    auto fleet = make_fleet_view(membership_);
    if (fleet_ != nullptr && *fleet_ == fleet)
    {
        return;
    }
    is_watcher_ = is_platform_watcher(fleet);
    fleet_ = std::make_shared<const fleet_view>(std::move(fleet));
    log_event(log_level::info, "fleet_changed")
        .field("members", static_cast<std::uint64_t>(fleet_->members_.size()))
        .write();
    if (handlers_.on_fleet_)
    {
        handlers_.on_fleet_(fleet_);
    }
}

void control_worker::record_contact(milliseconds started_at)
{
    if (started_at > last_contact_.load(std::memory_order_relaxed))
    {
        last_contact_.store(started_at, std::memory_order_release);
    }
}

// A release that is being decoded may be newer than the current one.
void control_worker::record_current(milliseconds point)
{
    if (pending_decodes_ == 0 &&
        point > current_at_.load(std::memory_order_relaxed))
    {
        current_at_.store(point, std::memory_order_release);
    }
}

platform_poll_mode control_worker::poll_mode() const
{
    if (monotonic_now() - peer_contact_ > peer_contact_timeout)
    {
        return platform_poll_mode::without_peers;
    }
    return is_watcher_ ? platform_poll_mode::watch
                       : platform_poll_mode::slow_poll;
}

control_state control_worker::read_state() const
{
    control_state state;
    state.now_ = monotonic_now();
    state.self_ = membership_.self_;
    state.leaving_ = membership_.local_heartbeat_.leaving_;
    for (const auto& [name, record] : membership_.records_)
    {
        state.members_.push_back(record);
    }
    state.current_release_ = release_spread_.current_version_;
    state.release_digest_ = release_spread_.current_digest_;
    state.newest_known_ = release_spread_.newest_known_;
    state.serving_ = release_spread_.serving_;
    state.fetching_ = release_spread_.fetching_from_.has_value();
    state.target_states_ = notices_.states_.size();
    state.target_probes_ = notices_.probes_.size();
    state.round_period_ = round_period(membership_);
    state.rounds_ = membership_.rounds_;
    state.pauses_ = membership_.pauses_;
    state.last_contact_ = last_contact();
    state.current_at_ = current_at();
    state.watches_platform_ = is_watcher_;
    state.platform_answered_at_ = feed_.answered_at();
    state.platform_calls_ = feed_.counts();
    state.traffic_ = endpoint_->traffic();
    state.cpu_time_ = thread_cpu_time() + decode_cpu_time_.load();
    return state;
}

milliseconds control_worker::last_contact() const noexcept
{
    return last_contact_.load(std::memory_order_acquire);
}

milliseconds control_worker::current_at() const noexcept
{
    return current_at_.load(std::memory_order_acquire);
}

} // namespace anvilturn
