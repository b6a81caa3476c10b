#include <fake_target/target.hpp>

#include <common/service_body.hpp>
#include <common/standin_program.hpp>

#include <av_core/monotonic_clock.hpp>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace anvilturn
{
namespace
{

double header_number(const http_request& request, const char* name)
{
    const auto found = request.find(name);
    return found == request.end()
               ? 0.0
               : std::strtod(std::string(found->value()).c_str(), nullptr);
}

} // namespace

target::target(boost::asio::io_context& context,
               const boost::asio::ip::tcp::endpoint& address,
               target_options options)
    : context_(context)
    , options_(std::move(options))
    , random_(options_.seed_)
    , slow_start_began_at_(monotonic_now())
    , pause_timer_(context)
    , server_(context,
              address,
              {options_.connection_limit_, options_.connect_delay_},
              [this](const auto& session)
              {
                  handle(session);
              })
{
    schedule_pause();
}

const std::string& target::name() const noexcept
{
    return options_.name_;
}

void target::handle(const std::shared_ptr<http_session>& session)
{
    if (faults_.frozen_)
    {
        frozen_sessions_.push_back(session);
        return;
    }
    const auto url = session->request().target();
    const auto path = path_of({url.data(), url.size()});
    if (path == "/health" || path == "/load")
    {
        handle_report(session, path == "/health");
    }
    else if (path == "/probe")
    {
        handle_probe(session);
    }
    else
    {
        handle_call(session);
    }
}

void target::handle_call(const std::shared_ptr<http_session>& session)
{
    if (session->previous_request_count() > 0 &&
        should_inject(faults_.close_idle_))
    {
        ++counts_.closed_idle_;
        session->drop();
        return;
    }
    ++counts_.received_;
    counts_.last_call_at_ = monotonic_now();
    const auto& request = session->request();
    auto item = std::make_shared<work_item>(context_, session);
    item->id_ = std::string(request["Anvilturn-Call-Id"]);
    if (should_inject(faults_.fail_fast_ != fail_fast_kind::none))
    {
        if (faults_.fail_fast_ == fail_fast_kind::reset)
        {
            session->drop(true);
            return;
        }
        auto& record = executions_[item->id_];
        ++record.starts_;
        ++record.completions_;
        auto response = make_response(500);
        response.body() = "failed";
        session->reply(std::move(response));
        return;
    }
    if (is_refusing() || should_inject(faults_.refuse_after_body_))
    {
        refuse(session);
        return;
    }
    const auto time_left =
        milliseconds(header_number(request, "Anvilturn-Deadline-Ms"));
    if (time_left > milliseconds(0.0))
    {
        item->deadline_ = counts_.last_call_at_ + time_left;
    }
    item->service_time_ = service_time(request);
    enqueue(item);
}

void target::handle_probe(const std::shared_ptr<http_session>& session)
{
    counts_.probe_times_.push_back(monotonic_now());
    auto item = std::make_shared<work_item>(context_, session);
    item->is_probe_ = true;
    item->service_time_ = options_.probe_service_time_;
    enqueue(item);
}

void target::handle_report(const std::shared_ptr<http_session>& session,
                           bool is_health)
{
    const auto reported = delayed_load_snapshot();
    auto response = make_response(is_health && reported.draining_ ? 503 : 200);
    response.set("Anvilturn-Load", load_text(reported.busy_, reported.queued_));
    if (!reported.draining_)
    {
        response.erase("Anvilturn-Draining");
    }
    session->reply(std::move(response));
}

bool target::is_refusing() const
{
    const bool drain_grace_over =
        faults_.draining_ &&
        monotonic_now() - counts_.draining_since_ >= options_.drain_grace_;
    const bool shedding =
        options_.shed_above_ >= 0 &&
        static_cast<int>(queue_.size()) > options_.shed_above_;
    return drain_grace_over || shedding;
}

bool target::should_inject(bool fault)
{
    return fault && (faults_.fault_share_ >= 1.0 ||
                     boost::random::uniform_01<double>()(random_) <
                         faults_.fault_share_);
}

void target::refuse(const std::shared_ptr<http_session>& session)
{
    ++counts_.refused_;
    auto response = make_response(503);
    response.set("Anvilturn-Not-Run", "1");
    response.body() = "not run";
    session->reply(std::move(response));
}

void target::enqueue(const work_item_pointer& item)
{
    queue_.push_back(item);
    item->session_->on_peer_closed(
        [this, item]
        {
            cancel(item);
        });
    start_queued();
    record_load_snapshot();
}

void target::start_queued()
{
    while (!faults_.frozen_ && busy() < options_.slots_ && !queue_.empty())
    {
        const auto item = queue_.front();
        queue_.pop_front();
        const bool deadline_passed = item->deadline_ > milliseconds(0.0) &&
                                     monotonic_now() >= item->deadline_;
        if (deadline_passed)
        {
            item->finished_ = true;
            refuse(item->session_);
            continue;
        }
        run(item);
    }
}

void target::run(const work_item_pointer& item)
{
    const auto now = monotonic_now();
    item->running_ = true;
    item->finish_at_ =
        std::max(now, paused_until_) + item->service_time_ * current_slowdown();
    running_.push_back(item);
    if (!item->is_probe_)
    {
        ++counts_.started_;
        ++executions_[item->id_].starts_;
    }
    wait_for_finish(item);
}

void target::wait_for_finish(const work_item_pointer& item)
{
    item->timer_.expires_after(to_duration(item->finish_at_ - monotonic_now()));
    item->timer_.async_wait(
        [this, item](boost::system::error_code error)
        {
            if (error || item->finished_ || faults_.frozen_)
            {
                return;
            }
            // A pause may have postponed the finish: wait for the rest.
            if (item->finish_at_ - monotonic_now() > milliseconds(0.01))
            {
                wait_for_finish(item);
                return;
            }
            finish(item);
        });
}

void target::finish(const work_item_pointer& item)
{
    item->finished_ = true;
    running_.remove(item);
    if (!item->is_probe_)
    {
        ++counts_.completed_;
        ++executions_[item->id_].completions_;
    }
    start_queued();
    record_load_snapshot();
    if (faults_.response_delay_ <= milliseconds(0.0) || item->is_probe_)
    {
        send_response(item);
        return;
    }
    item->timer_.expires_after(to_duration(faults_.response_delay_));
    item->timer_.async_wait(
        [this, item](auto)
        {
            send_response(item);
        });
}

void target::send_response(const work_item_pointer& item)
{
    auto response = make_response(200);
    if (item->is_probe_)
    {
        item->session_->reply(std::move(response));
        return;
    }
    if (should_inject(faults_.false_not_run_))
    {
        refuse(item->session_);
        return;
    }
    const auto& request = item->session_->request();
    const auto url = request.target();
    const auto body_size_bytes =
        std::strtoul(query_value({url.data(), url.size()}, "size", "0").c_str(),
                     nullptr,
                     10);
    response.body() = make_service_body(
        item->id_, options_.name_, request.body(), body_size_bytes);
    const bool truncate = should_inject(faults_.truncate_);
    const bool extra_response = should_inject(faults_.extra_response_);
    const bool conflicting_lengths =
        should_inject(faults_.conflicting_lengths_);
    if (!truncate && !extra_response && !conflicting_lengths)
    {
        item->session_->reply(std::move(response));
        return;
    }
    if (conflicting_lengths)
    {
        response.insert("Content-Length",
                        std::to_string(response.body().size() / 2));
    }
    response.insert("Content-Length", std::to_string(response.body().size()));
    std::ostringstream text;
    text << response.base() << response.body();
    auto bytes = text.str();
    if (truncate)
    {
        bytes.resize(bytes.size() - response.body().size() / 2);
    }
    if (extra_response)
    {
        const auto unrelated_body =
            make_service_body("foreign", options_.name_, "", 0);
        bytes += "HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(unrelated_body.size()) + "\r\n\r\n" +
                 unrelated_body;
    }
    item->session_->reply_raw(std::move(bytes), truncate);
}

void target::cancel(const work_item_pointer& item)
{
    if (item->finished_)
    {
        return;
    }
    item->finished_ = true;
    item->session_->drop();
    if (item->running_)
    {
        ++counts_.cancelled_running_;
        running_.remove(item);
        item->timer_.cancel();
        start_queued();
    }
    else
    {
        ++counts_.cancelled_queued_;
        queue_.erase(std::remove(queue_.begin(), queue_.end(), item),
                     queue_.end());
    }
    record_load_snapshot();
}

void target::set_frozen(bool frozen)
{
    if (frozen == faults_.frozen_)
    {
        return;
    }
    faults_.frozen_ = frozen;
    if (frozen)
    {
        return;
    }
    for (const auto& item : running_)
    {
        item->finish_at_ = std::max(item->finish_at_, monotonic_now());
        wait_for_finish(item);
    }
    for (const auto& session : std::exchange(frozen_sessions_, {}))
    {
        handle(session);
    }
    start_queued();
}

void target::schedule_pause()
{
    if (options_.pauses_per_second_ <= 0.0)
    {
        return;
    }
    boost::random::exponential_distribution<double> interarrival_ms(
        options_.pauses_per_second_ / 1000.0);
    boost::random::uniform_real_distribution<double> length(
        options_.min_pause_.count(), options_.max_pause_.count());
    const milliseconds wait(interarrival_ms(random_));
    const milliseconds pause(length(random_));
    pause_timer_.expires_after(to_duration(wait));
    pause_timer_.async_wait(
        [this, pause](boost::system::error_code error)
        {
            if (!error)
            {
                pause_slots(pause);
                schedule_pause();
            }
        });
}

void target::pause_slots(milliseconds length)
{
    const auto now = monotonic_now();
    paused_until_ = std::max(paused_until_, now) + length;
    for (const auto& item : running_)
    {
        item->finish_at_ = item->finish_at_ + length;
    }
}

milliseconds target::service_time(const http_request& request)
{
    const auto url = request.target();
    const auto requested = query_value({url.data(), url.size()}, "service_ms");
    if (!requested.empty())
    {
        return milliseconds(std::strtod(requested.c_str(), nullptr));
    }
    const double mean = options_.mean_service_time_.count();
    switch (options_.distribution_)
    {
    case service_distribution::fixed:
        return options_.mean_service_time_;
    case service_distribution::lognormal:
        // The logarithm has a standard deviation of 1, so that its mean is 0.5
        // less than the logarithm of the mean.
        return milliseconds(boost::random::lognormal_distribution<double>(
            std::log(mean) - 0.5, 1.0)(random_));
    case service_distribution::exponential:
        break;
    }
    return milliseconds(
        boost::random::exponential_distribution<double>(1.0 / mean)(random_));
}

double target::current_slowdown() const
{
    const auto age = monotonic_now() - slow_start_began_at_;
    if (age >= options_.slow_start_duration_)
    {
        return faults_.slowdown_;
    }
    const double slow_start_left = 1.0 - age / options_.slow_start_duration_;
    return faults_.slowdown_ *
           (1.0 + (options_.slow_start_factor_ - 1.0) * slow_start_left);
}

int target::busy() const noexcept
{
    return static_cast<int>(running_.size());
}

std::string target::load_text(int busy, int queued) const
{
    if (faults_.reports_idle_)
    {
        busy = 0;
        queued = 0;
    }
    return "busy=" + std::to_string(busy) +
           ", queued=" + std::to_string(queued) +
           ", slots=" + std::to_string(options_.slots_);
}

http_response target::make_response(unsigned status)
{
    http_response response;
    response.result(status);
    response.version(11);
    response.set("Anvilturn-Load",
                 load_text(busy(), static_cast<int>(queue_.size())));
    if (faults_.draining_)
    {
        response.set("Anvilturn-Draining", "1");
    }
    return response;
}

void target::record_load_snapshot()
{
    const auto now = monotonic_now();
    history_.push_back(
        {now, busy(), static_cast<int>(queue_.size()), faults_.draining_});
    // Keep the newest entry that is older than the lag: it is reported.
    while (history_.size() > 1 &&
           now - history_[1].since_ >= options_.report_lag_)
    {
        history_.pop_front();
    }
}

target::load_snapshot target::delayed_load_snapshot() const
{
    load_snapshot reported;
    for (const auto& entry : history_)
    {
        if (monotonic_now() - entry.since_ < options_.report_lag_)
        {
            break;
        }
        reported = entry;
    }
    return reported;
}

} // namespace anvilturn
