#include <av_probing/probe_seat_keeper.hpp>

#include <av_core/error.hpp>
#include <av_probing/seat_table_codec.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{

namespace
{

constexpr milliseconds read_every(3000.0);

} // namespace

class probe_seat_keeper::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(seat_store store,
                   seat_owner self,
                   std::function<milliseconds()> clock,
                   std::function<void(const probe_seats&)> changed)
        : store_(std::move(store))
        , self_(std::move(self))
        , clock_(std::move(clock))
        , changed_(std::move(changed))
    {
    }

    void tick(const std::vector<bool>& candidacy)
    {
        if (is_busy_ || !is_concerned(candidacy))
        {
            return;
        }
        const auto now = clock_();
        if (must_read_ || now >= read_at_ + read_every)
        {
            read();
            return;
        }
        const auto table = gives_back_
                               ? seats_given_back(seats_, self_)
                               : wanted_seats(seats_, self_, candidacy, now);
        if (table)
        {
            write(*table);
        }
    }

    void drop()
    {
        set(after_seats_dropped(seats_));
        must_read_ = true;
    }

    void give_back()
    {
        gives_back_ = true;
        drop();
    }

    void close()
    {
        changed_ = nullptr;
    }

    bool is_done() const
    {
        return gives_back_ && !is_busy_ && !must_read_ && !is_holder();
    }

    const probe_seats& state() const
    {
        return seats_;
    }

private:
    bool is_holder() const
    {
        return seats_given_back(seats_, self_).has_value();
    }

    bool is_concerned(const std::vector<bool>& candidacy) const
    {
        const bool candidate =
            std::find(candidacy.begin(), candidacy.end(), true) !=
            candidacy.end();
        return candidate || is_holder() || seats_.pending_ ||
               (gives_back_ && must_read_);
    }

    void set(probe_seats next)
    {
        seats_ = std::move(next);
        if (changed_)
        {
            changed_(seats_);
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
        must_read_ = !found.ok();
        if (!found.ok())
        {
            return;
        }
        read_at_ = clock_();
        if (!*found)
        {
            set(after_seats_read(
                seats_, self_, object_absent, seat_table{}, read_at_));
            return;
        }
        const auto table = parse_seat_table((*found)->value_);
        must_read_ = !table.ok();
        if (table.ok())
        {
            set(after_seats_read(
                seats_, self_, (*found)->version_, *table, read_at_));
        }
    }

    void write(const seat_table& table)
    {
        is_busy_ = true;
        const auto expected = seats_.version_;
        // The lease duration counts from before the request is sent.
        set(after_write_sent(seats_, table, clock_()));
        store_.write_(format_seat_table(table),
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
            set(after_write_accepted(seats_, self_, *version, read_at_));
            return;
        }
        must_read_ = true;
        const auto kind = kind_of(version.status());
        const bool had_no_effect = kind == error_kind::version_mismatch ||
                                   kind == error_kind::platform_unreachable ||
                                   kind == error_kind::platform_refused;
        if (had_no_effect)
        {
            set(after_write_refused(seats_));
        }
    }

    seat_store store_;
    seat_owner self_;
    std::function<milliseconds()> clock_;
    std::function<void(const probe_seats&)> changed_;
    probe_seats seats_;
    milliseconds read_at_{0.0};
    bool is_busy_ = false;
    bool must_read_ = true;
    bool gives_back_ = false;
};

probe_seat_keeper::probe_seat_keeper(
    seat_store store,
    seat_owner self,
    std::function<milliseconds()> clock,
    std::function<void(const probe_seats&)> changed)
    : implementation_(std::make_shared<implementation>(std::move(store),
                                                       std::move(self),
                                                       std::move(clock),
                                                       std::move(changed)))
{
}

probe_seat_keeper::~probe_seat_keeper()
{
    implementation_->close();
}

void probe_seat_keeper::tick(const std::vector<bool>& candidacy)
{
    implementation_->tick(candidacy);
}

void probe_seat_keeper::drop()
{
    implementation_->drop();
}

void probe_seat_keeper::give_back()
{
    implementation_->give_back();
}

bool probe_seat_keeper::is_done() const
{
    return implementation_->is_done();
}

const probe_seats& probe_seat_keeper::state() const
{
    return implementation_->state();
}

} // namespace anvilturn
