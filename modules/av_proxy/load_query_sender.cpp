#include <av_proxy/load_query_sender.hpp>

#include <av_core/log_event.hpp>
#include <av_proxy/attempt_observer.hpp>
#include <av_proxy/worker.hpp>

#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

// A target that takes longer is treated as unreachable; its connection may
// never deliver a response.
constexpr milliseconds query_timeout(250.0);
constexpr int ok_status = 200;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

// One load query in progress.
class load_query_sender::load_query : public attempt_observer
{
public:
    load_query(load_query_sender& owner,
               const service_entry& service,
               const target_entry& target)
        : owner_(owner)
        , service_(service.state_->name_)
        , path_(service.spec_.health_path_)
        , limits_cold_targets_(service.spec_.cold_rate_per_second_ > 0.0)
        , target_(target.state_)
        , started_at_(owner.worker_.now())
    {
    }

    ~load_query() override
    {
        if (connection_ != nullptr)
        {
            connection_->abandon();
        }
    }

    void start(const target_entry& target)
    {
        connection_ = owner_.worker_.connect(target);
        connection_->begin(*this, false, {});
    }

    milliseconds started_at() const
    {
        return started_at_;
    }

    const std::string& service() const
    {
        return service_;
    }

    target_state& target()
    {
        return *target_;
    }

    // attempt_observer
    void on_connected() override
    {
        auto& output = connection_->output();
        output.append("GET ").append(path_).append(" HTTP/1.1\r\nHost: ");
        output.append(target_->address_).append("\r\n\r\n");
        connection_->set_request_complete(true);
        connection_->flush();
    }

    void on_bytes_sent() override
    {
    }

    void on_output_drained() override
    {
    }

    void on_response_head(const response_head& head) override
    {
        const auto now = owner_.worker_.now();
        if (!head.target_id_.empty() && head.target_id_ != target_->name_)
        {
            target_->address_taken_over_.store(true, relaxed);
            log_event(log_level::info, "target_moved")
                .field("target", target_->name_)
                .field("address", target_->address_)
                .field("answered_by", head.target_id_)
                .write();
            return;
        }
        target_->reports_unhealthy_.store(head.status_ != ok_status, relaxed);
        if (head.idle_limit_)
        {
            target_->idle_limit_ms_.store(head.idle_limit_->count(), relaxed);
        }
        if (head.cold_for_ && limits_cold_targets_)
        {
            record_coldness(*target_,
                            *head.cold_for_,
                            coldness_source::health_response,
                            now);
        }
        if (head.load_)
        {
            record_load_response(*target_, *head.load_, now);
        }
    }

    void on_response_body(std::string_view) override
    {
    }

    void on_input_processed() override
    {
    }

    void on_response_complete(bool reusable) override
    {
        const auto connection = std::exchange(connection_, nullptr);
        if (reusable)
        {
            connection->return_to_pool(owner_.worker_.now());
        }
        else
        {
            connection->close();
        }
        target_->failed_connections_.store(0, relaxed);
        owner_.finish_query(target_.get());
    }

    void on_attempt_failed(error_kind kind) override
    {
        connection_.reset();
        if (kind == error_kind::target_unreachable)
        {
            record_unreachable(*target_, owner_.worker_.now());
        }
        owner_.finish_query(target_.get());
    }

private:
    load_query_sender& owner_;
    const std::string service_;
    const std::string path_;
    const bool limits_cold_targets_;
    std::shared_ptr<target_state> target_;
    milliseconds started_at_;
    std::shared_ptr<target_connection> connection_;
};

load_query_sender::load_query_sender(worker& owner)
    : worker_(owner)
{
}

load_query_sender::~load_query_sender() = default;

void load_query_sender::send_query(const service_entry& service,
                                   const target_entry& target)
{
    auto& query = pending_queries_[target.state_.get()];
    if (query != nullptr)
    {
        return;
    }
    ++queries_sent_;
    query = std::make_unique<load_query>(*this, service, target);
    query->start(target);
}

bool load_query_sender::awaits(const target_state* target) const
{
    return pending_queries_.contains(target);
}

void load_query_sender::drop_overdue(milliseconds now)
{
    std::vector<const target_state*> overdue;
    for (const auto& entry : pending_queries_)
    {
        if (now - entry.second->started_at() >= query_timeout)
        {
            overdue.push_back(entry.first);
        }
    }
    for (const auto* target : overdue)
    {
        record_unreachable(pending_queries_.find(target)->second->target(),
                           now);
        finish_query(target);
    }
}

void load_query_sender::stop()
{
    pending_queries_.clear();
}

std::uint64_t load_query_sender::queries_sent() const
{
    return queries_sent_;
}

void load_query_sender::finish_query(const target_state* target)
{
    const auto found = pending_queries_.extract(target);
    if (found.empty())
    {
        return;
    }
    // Posted, since the query is still on the stack when its own connection
    // ends it, and the worker is still on the stack when it sends a query.
    const std::shared_ptr<load_query> ended(std::move(found.mapped()));
    boost::asio::post(worker_.context(),
                      [&worker = worker_, ended]
                      {
                          worker.on_load_query_ended(ended->service());
                      });
}

} // namespace anvilturn
