#include <av_probing/probe_lease_manager.hpp>

#include <av_core/error.hpp>
#include <av_probing/probe_lease_table_codec.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{

namespace
{

constexpr milliseconds read_interval(3000.0);

} // namespace

class probe_lease_manager::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(probe_lease_store store,
                   lease_holder self,
                   std::function<milliseconds()> clock,
                   std::function<void(const probe_lease_state&)> changed)
        : store_(std::move(store))
        , self_(std::move(self))
        , clock_(std::move(clock))
        , changed_(std::move(changed))
    {
    }

    void tick(const std::vector<bool>& candidates)
    {
        if (is_busy_ || !needs_request(candidates))
        {
            return;
        }
        const auto now = clock_();
        if (needs_read_ || now >= read_at_ + read_interval)
        {
            read();
            return;
        }
        const auto table =
            is_relinquishing_
                ? relinquished_lease_table(lease_state_, self_)
                : lease_table_to_write(lease_state_, self_, candidates, now);
        if (table)
        {
            write(*table);
        }
    }

    void drop()
    {
        set(after_leases_dropped(lease_state_));
        needs_read_ = true;
    }

    void relinquish()
    {
        is_relinquishing_ = true;
        drop();
    }

    void close()
    {
        changed_ = nullptr;
    }

    bool is_done() const
    {
        return is_relinquishing_ && !is_busy_ && !needs_read_ && !is_holder();
    }

    const probe_lease_state& state() const
    {
        return lease_state_;
    }

private:
    bool is_holder() const
    {
        return relinquished_lease_table(lease_state_, self_).has_value();
    }

    bool needs_request(const std::vector<bool>& candidates) const
    {
        const bool candidate =
            std::find(candidates.begin(), candidates.end(), true) !=
            candidates.end();
        return candidate || is_holder() || lease_state_.pending_ ||
               (is_relinquishing_ && needs_read_);
    }

    void set(probe_lease_state next)
    {
        lease_state_ = std::move(next);
        if (changed_)
        {
            changed_(lease_state_);
        }
    }

    void read()
    {
        is_busy_ = true;
        store_.read_(
            [self = shared_from_this()](
                absl::StatusOr<std::optional<platform_object>> found)
            {
                self->on_read(found);
            });
    }

    void on_read(const absl::StatusOr<std::optional<platform_object>>& found)
    {
        is_busy_ = false;
        needs_read_ = !found.ok();
        if (!found.ok())
        {
            return;
        }
        read_at_ = clock_();
        if (!*found)
        {
            set(after_leases_read(lease_state_,
                                  self_,
                                  object_absent,
                                  probe_lease_table{},
                                  read_at_));
            return;
        }
        const auto table = parse_probe_lease_table((*found)->value_);
        needs_read_ = !table.ok();
        if (table.ok())
        {
            set(after_leases_read(
                lease_state_, self_, (*found)->version_, *table, read_at_));
        }
    }

    void write(const probe_lease_table& table)
    {
        is_busy_ = true;
        const auto expected = lease_state_.version_;
        // The lease duration counts from before the request is sent.
        set(after_write_sent(lease_state_, table, clock_()));
        store_.write_(format_probe_lease_table(table),
                      expected,
                      [self = shared_from_this()](
                          const absl::StatusOr<object_version>& version)
                      {
                          self->on_written(version);
                      });
    }

    void on_written(const absl::StatusOr<object_version>& version)
    {
        is_busy_ = false;
        if (version.ok())
        {
            read_at_ = clock_();
            set(after_write_accepted(lease_state_, self_, *version, read_at_));
            return;
        }
        needs_read_ = true;
        const auto kind = kind_of(version.status());
        const bool had_no_effect = kind == error_kind::version_mismatch ||
                                   kind == error_kind::platform_unreachable ||
                                   kind == error_kind::platform_refused;
        if (had_no_effect)
        {
            set(after_write_refused(lease_state_));
        }
    }

    probe_lease_store store_;
    lease_holder self_;
    std::function<milliseconds()> clock_;
    std::function<void(const probe_lease_state&)> changed_;
    probe_lease_state lease_state_;
    milliseconds read_at_{0.0};
    bool is_busy_ = false;
    bool needs_read_ = true;
    bool is_relinquishing_ = false;
};

probe_lease_manager::probe_lease_manager(
    probe_lease_store store,
    lease_holder self,
    std::function<milliseconds()> clock,
    std::function<void(const probe_lease_state&)> changed)
    : implementation_(std::make_shared<implementation>(std::move(store),
                                                       std::move(self),
                                                       std::move(clock),
                                                       std::move(changed)))
{
}

probe_lease_manager::~probe_lease_manager()
{
    implementation_->close();
}

void probe_lease_manager::tick(const std::vector<bool>& candidates)
{
    implementation_->tick(candidates);
}

void probe_lease_manager::drop()
{
    implementation_->drop();
}

void probe_lease_manager::relinquish()
{
    implementation_->relinquish();
}

bool probe_lease_manager::is_done() const
{
    return implementation_->is_done();
}

const probe_lease_state& probe_lease_manager::state() const
{
    return implementation_->state();
}

} // namespace anvilturn
