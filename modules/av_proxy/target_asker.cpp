#include <av_proxy/target_asker.hpp>

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
constexpr milliseconds longest_answer(250.0);
constexpr int ok_status = 200;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

// One load query in progress.
class target_asker::inquiry : public attempt_observer
{
public:
    inquiry(target_asker& owner,
            const service_entry& service,
            const target_entry& target)
        : owner_(owner)
        , service_(service.state_->name_)
        , path_(service.spec_.health_path_)
        , target_(target.state_)
        , began_(owner.worker_.now())
    {
    }

    ~inquiry() override
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

    milliseconds began() const
    {
        return began_;
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

    void on_bytes_left() override
    {
    }

    void on_output_drained() override
    {
    }

    void on_answer_head(const answer_head& head) override
    {
        const auto now = owner_.worker_.now();
        if (!head.target_id_.empty() && head.target_id_ != target_->name_)
        {
            target_->moved_.store(true, relaxed);
            log_event(log_level::info, "target_moved")
                .field("target", target_->name_)
                .field("address", target_->address_)
                .field("answered_by", head.target_id_)
                .write();
            return;
        }
        target_->says_unhealthy_.store(head.status_ != ok_status, relaxed);
        if (head.idle_limit_)
        {
            target_->idle_limit_ms_.store(head.idle_limit_->count(), relaxed);
        }
        if (head.load_)
        {
            record_asked(*target_, *head.load_, now);
        }
    }

    void on_answer_body(std::string_view) override
    {
    }

    void on_input_processed() override
    {
    }

    void on_answer_complete(bool reusable) override
    {
        const auto connection = std::exchange(connection_, nullptr);
        if (reusable)
        {
            connection->park(owner_.worker_.now());
        }
        else
        {
            connection->close();
        }
        target_->failed_connections_.store(0, relaxed);
        owner_.end(target_.get());
    }

    void on_attempt_lost(error_kind kind) override
    {
        connection_.reset();
        if (kind == error_kind::target_unreachable)
        {
            record_unreachable(*target_, owner_.worker_.now());
        }
        owner_.end(target_.get());
    }

private:
    target_asker& owner_;
    const std::string service_;
    const std::string path_;
    std::shared_ptr<target_state> target_;
    milliseconds began_;
    std::shared_ptr<target_connection> connection_;
};

target_asker::target_asker(worker& owner)
    : worker_(owner)
{
}

target_asker::~target_asker() = default;

void target_asker::ask(const service_entry& service, const target_entry& target)
{
    auto& open = open_[target.state_.get()];
    if (open != nullptr)
    {
        return;
    }
    ++asked_;
    open = std::make_unique<inquiry>(*this, service, target);
    open->start(target);
}

bool target_asker::awaits(const target_state* target) const
{
    return open_.contains(target);
}

void target_asker::drop_late(milliseconds now)
{
    std::vector<const target_state*> late;
    for (const auto& entry : open_)
    {
        if (now - entry.second->began() >= longest_answer)
        {
            late.push_back(entry.first);
        }
    }
    for (const auto* target : late)
    {
        record_unreachable(open_.find(target)->second->target(), now);
        end(target);
    }
}

void target_asker::stop()
{
    open_.clear();
}

std::uint64_t target_asker::asked() const
{
    return asked_;
}

void target_asker::end(const target_state* target)
{
    const auto found = open_.extract(target);
    if (found.empty())
    {
        return;
    }
    // Posted, since the query is still on the stack when its own connection
    // ends it, and the worker is still on the stack when it sends a query.
    const std::shared_ptr<inquiry> ended(std::move(found.mapped()));
    boost::asio::post(worker_.context(),
                      [&worker = worker_, ended]
                      {
                          worker.on_target_answered(ended->service());
                      });
}

} // namespace anvilturn
