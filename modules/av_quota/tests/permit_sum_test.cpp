#include "permit_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace anvilturn;

namespace
{

constexpr std::size_t grantor_count = 3;
constexpr double duration_ms = 14'000.0;
// By then every grantor has a new version of a limit.
constexpr double max_version_delay_ms = 1000.0;
const limit_key key{limit_kind::account, "acme"};

// A limit and when the first grantor gets it.
struct limit_version
{
    fleet_limit limit_;
    double from_ms_ = 0.0;
};

using limit_maker = std::function<fleet_limit(double rate, double burst)>;

struct fault_rates
{
    double loss_ = 0.0;
    // For each VM or grantor, a second.
    double pauses_ = 0.0;
    double restarts_ = 0.0;
    double partitions_ = 0.0;
    double max_delay_ms_ = 1.0;
    // Share of the messages that take up to that long.
    double slow_messages_ = 0.0;
    // Probability that a grantor has just started.
    double empty_starts_ = 0.0;
};

struct simulated_vm
{
    permit_stock stock_;
    // The monotonic clock of a VM begins anywhere.
    double clock_offset_ms_ = 0.0;
    double paused_until_ms_ = 0.0;
    bool hoards_ = false;
    std::size_t incarnation_ = 0;
    std::vector<double> partitioned_until_ms_ =
        std::vector<double>(grantor_count, 0.0);
};

struct simulated_grantor
{
    permit_ledger ledger_;
    std::vector<double> version_from_ms_;
};

// What all VMs do at a time. Buckets fill up, then the permits of a whole lease
// are kept and used together, and from then on those of a window are used at
// once: that is the most that any window can have.
enum class fleet_phase
{
    idle,
    hoarding,
    eager
};

// Many VMs that use every permit they can get, with faults of all kinds.
class hostile_fleet
{
public:
    hostile_fleet(std::size_t vm_count,
                  std::vector<limit_version> versions,
                  const fault_rates& faults,
                  std::uint64_t seed)
        : versions_(std::move(versions))
        , faults_(faults)
        , random_(seed)
        , vms_(vm_count)
        , grantors_(grantor_count)
    {
        for (auto& vm : vms_)
        {
            vm.clock_offset_ms_ = uniform(0.0, 1e6);
            vm.hoards_ = chance(0.1);
        }
        for (auto& grantor : grantors_)
        {
            // Some buckets have filled up before, others begin empty.
            grantor.ledger_.started_at_ =
                milliseconds(chance(faults_.empty_starts_) ? 0.0 : -1e6);
            for (const auto& version : versions_)
            {
                grantor.version_from_ms_.push_back(
                    version.from_ms_ + uniform(0.0, max_version_delay_ms));
            }
            grantor.version_from_ms_.front() = 0.0;
        }
    }

    void run()
    {
        next_phase();
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            schedule_vm(i);
        }
        for (double at = 0.0; at < duration_ms; at += 100.0)
        {
            clock_.run_at(milliseconds(at),
                          [this]
                          {
                              disturb();
                          });
        }
        clock_.run_until(milliseconds(duration_ms));
    }

    const std::vector<double>& used_at_ms() const
    {
        return used_at_ms_;
    }

    // Returns the highest bound of the versions that may be in force for calls
    // in the window that begins there. While a limit changes, the higher rate
    // and the higher burst may both have been used.
    double bound_at(double at_ms, const limit_maker& make_limit) const
    {
        const auto& first = versions_.front().limit_;
        double rate = 0.0;
        double burst = 0.0;
        for (std::size_t i = 0; i < versions_.size(); ++i)
        {
            const bool is_last = i + 1 == versions_.size();
            const double until =
                is_last ? duration_ms
                        : versions_[i + 1].from_ms_ + max_version_delay_ms;
            const double begin = at_ms - first.max_lease_.count();
            const double end = at_ms + first.window_.count();
            if (versions_[i].from_ms_ <= end && until >= begin)
            {
                rate = std::max(rate, versions_[i].limit_.rate_per_second_);
                burst = std::max(burst, versions_[i].limit_.burst_);
            }
        }
        return make_limit(rate, burst).max_per_window_;
    }

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    bool chance(double probability)
    {
        return uniform(0.0, 1.0) < probability;
    }

    milliseconds local_time(const simulated_vm& vm) const
    {
        return clock_.now() + milliseconds(vm.clock_offset_ms_);
    }

    void next_phase()
    {
        const auto& limit = versions_.front().limit_;
        double length_ms = limit.window_.count();
        if (phase_ == fleet_phase::eager)
        {
            phase_ = fleet_phase::idle;
            length_ms = uniform(0.0, 4000.0);
        }
        else if (phase_ == fleet_phase::idle)
        {
            phase_ = fleet_phase::hoarding;
            length_ms = limit.max_lease_.count() * uniform(0.5, 2.0);
        }
        else
        {
            phase_ = fleet_phase::eager;
        }
        clock_.run_at(clock_.now() + milliseconds(length_ms),
                      [this]
                      {
                          next_phase();
                      });
    }

    void schedule_vm(std::size_t index)
    {
        clock_.run_at(clock_.now() + milliseconds(uniform(1.0, 20.0)),
                      [this, index]
                      {
                          act(index);
                          schedule_vm(index);
                      });
    }

    void act(std::size_t index)
    {
        auto& vm = vms_[index];
        const double now_ms = clock_.now().count();
        if (now_ms < vm.paused_until_ms_)
        {
            return;
        }
        const auto now = local_time(vm);
        if (phase_ == fleet_phase::idle)
        {
            return;
        }
        const bool waits =
            (vm.hoards_ || phase_ == fleet_phase::hoarding) &&
            !vm.stock_.batches_.empty() &&
            vm.stock_.batches_.front().expires_at_ - now > milliseconds(25.0);
        while (!waits && take_permit(vm.stock_, now))
        {
            used_at_ms_.push_back(now_ms);
            if (chance(0.05))
            {
                break;
            }
        }
        ask(index);
    }

    void ask(std::size_t index)
    {
        auto& vm = vms_[index];
        const auto asked_at = local_time(vm);
        const auto grantor = std::min<std::size_t>(
            grantor_count - 1,
            static_cast<std::size_t>(uniform(0.0, grantor_count)));
        const permit_request request{
            key, static_cast<int>(uniform(1.0, 400.0)), chance(0.5)};
        if (is_lost(vm, grantor))
        {
            return;
        }
        const auto incarnation = vm.incarnation_;
        clock_.run_at(clock_.now() + delay(),
                      [this, index, grantor, request, asked_at, incarnation]
                      {
                          respond(
                              index, grantor, request, asked_at, incarnation);
                      });
    }

    void respond(std::size_t index,
                 std::size_t grantor_index,
                 const permit_request& request,
                 milliseconds asked_at,
                 std::size_t incarnation)
    {
        auto& grantor = grantors_[grantor_index];
        const double now_ms = clock_.now().count();
        std::size_t version = 0;
        for (std::size_t i = 0; i < versions_.size(); ++i)
        {
            version = now_ms >= grantor.version_from_ms_[i] ? i : version;
        }
        const auto grant =
            take_permits(grantor.ledger_,
                         share_of(versions_[version].limit_, grantor_count),
                         request,
                         clock_.now());
        if (is_lost(vms_[index], grantor_index))
        {
            return;
        }
        clock_.run_at(clock_.now() + delay(),
                      [this, index, grant, asked_at, incarnation]
                      {
                          on_grant(index, grant, asked_at, incarnation);
                      });
    }

    // A paused VM reads the message when it resumes.
    void on_grant(std::size_t index,
                  const permit_grant& grant,
                  milliseconds asked_at,
                  std::size_t incarnation)
    {
        auto& vm = vms_[index];
        if (vm.incarnation_ != incarnation)
        {
            return;
        }
        const double now_ms = clock_.now().count();
        if (now_ms < vm.paused_until_ms_)
        {
            clock_.run_at(milliseconds(vm.paused_until_ms_),
                          [this, index, grant, asked_at, incarnation]
                          {
                              on_grant(index, grant, asked_at, incarnation);
                          });
            return;
        }
        add_permits(
            vm.stock_, grant.permits_, grant.lease_, asked_at, local_time(vm));
        if (const auto taken = take_permit(vm.stock_, local_time(vm)))
        {
            give_back_permit(vm.stock_, *taken, local_time(vm));
        }
    }

    bool is_lost(const simulated_vm& vm, std::size_t grantor)
    {
        return clock_.now().count() < vm.partitioned_until_ms_[grantor] ||
               chance(faults_.loss_);
    }

    // Fast messages overtake slow ones. Most are slow while permits are
    // hoarded, which shows whether a late permit is valid for longer.
    milliseconds delay()
    {
        const bool hoards = phase_ == fleet_phase::hoarding;
        const double slow = faults_.slow_messages_ * (hoards ? 1.0 : 0.1);
        return milliseconds(
            uniform(0.1, chance(slow) ? faults_.max_delay_ms_ : 1.0));
    }

    void disturb()
    {
        const double now_ms = clock_.now().count();
        for (auto& vm : vms_)
        {
            if (chance(faults_.pauses_ / 10.0))
            {
                vm.paused_until_ms_ = now_ms + uniform(10.0, 2000.0);
            }
            if (chance(faults_.restarts_ / 10.0))
            {
                vm.stock_ = permit_stock{};
                ++vm.incarnation_;
            }
            for (auto& until : vm.partitioned_until_ms_)
            {
                until = chance(faults_.partitions_ / 10.0)
                            ? now_ms + uniform(10.0, 3000.0)
                            : until;
            }
        }
        for (auto& grantor : grantors_)
        {
            remove_idle(grantor.ledger_, clock_.now());
            if (chance(faults_.restarts_ / 10.0))
            {
                grantor.ledger_ = permit_ledger{};
                grantor.ledger_.started_at_ = clock_.now();
            }
        }
    }

    std::vector<limit_version> versions_;
    fault_rates faults_;
    std::mt19937_64 random_;
    scripted_clock clock_;
    fleet_phase phase_ = fleet_phase::idle;
    std::vector<simulated_vm> vms_;
    std::vector<simulated_grantor> grantors_;
    std::vector<double> used_at_ms_;
};

double generate(int low, int high, double unit)
{
    return *rc::gen::inRange(low, high) * unit;
}

fault_rates generate_faults()
{
    fault_rates faults;
    faults.loss_ = generate(0, 40, 0.01);
    faults.pauses_ = generate(0, 10, 0.05);
    faults.restarts_ = generate(0, 10, 0.05);
    faults.partitions_ = generate(0, 10, 0.05);
    faults.max_delay_ms_ = generate(1, 800, 1.0);
    faults.slow_messages_ = generate(0, 10, 0.1);
    faults.empty_starts_ = 0.3;
    return faults;
}

void check_all_windows(const limit_maker& make_limit,
                       const std::vector<limit_version>& versions)
{
    const auto vm_count = *rc::gen::inRange<std::size_t>(2, 25);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    hostile_fleet fleet(vm_count, versions, generate_faults(), seed);
    fleet.run();
    const auto& used = fleet.used_at_ms();
    const double window = versions.front().limit_.window_.count();
    std::size_t last = 0;
    for (std::size_t first = 0; first < used.size(); ++first)
    {
        while (last < used.size() && used[last] - used[first] < window)
        {
            ++last;
        }
        const auto count = static_cast<double>(last - first);
        RC_ASSERT(count <= fleet.bound_at(used[first], make_limit));
    }
}

std::vector<limit_version> generate_versions(const limit_maker& make_limit,
                                             double unit)
{
    std::vector<limit_version> versions;
    const int count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < count; ++i)
    {
        limit_version version;
        version.limit_ =
            make_limit(generate(1, 1000, unit), generate(0, 1000, unit));
        version.from_ms_ = i * 4000.0;
        versions.push_back(version);
    }
    return versions;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_sum)

// Guards against an account that gets more than its quota through lost
// responses, pauses, partitions, restarts, changed limits or late messages.
RC_BOOST_PROP(no_window_of_an_account_exceeds_the_bound, ())
{
    limit_bounds bounds;
    bounds.account_window_ = milliseconds(generate(1, 6, 1000.0));
    bounds.account_overrun_ = generate(0, 30, 0.01);
    bounds.account_slack_ = generate(0, 30, 1.0);
    const auto make_limit = [bounds](double rate, double burst)
    {
        account_spec account;
        account.rate_per_second_ = rate;
        account.burst_ = burst;
        return *account_limit(account, bounds);
    };
    check_all_windows(make_limit, generate_versions(make_limit, 0.3));
}

// The same for a cold target, which slows down if it gets more.
RC_BOOST_PROP(no_window_of_a_cold_target_exceeds_the_bound, ())
{
    limit_bounds bounds;
    bounds.cold_overrun_ = generate(5, 20, 0.1);
    bounds.cold_slack_ = generate(1, 20, 1.0);
    const auto make_limit = [bounds](double rate, double)
    {
        service_spec service;
        service.cold_rate_per_second_ = rate;
        return *cold_target_limit(service, bounds);
    };
    check_all_windows(make_limit, generate_versions(make_limit, 0.02));
}

// Guards against a share that is much smaller than it may be, which the
// properties above would not notice.
BOOST_AUTO_TEST_CASE(greedy_vms_use_most_of_the_bound)
{
    limit_bounds bounds;
    bounds.account_window_ = milliseconds(5000.0);
    bounds.account_overrun_ = 0.1;
    bounds.account_slack_ = 20.0;
    account_spec account;
    account.rate_per_second_ = 100.0;
    account.burst_ = 100.0;
    const auto limit = *account_limit(account, bounds);
    hostile_fleet fleet(24, {{limit, 0.0}}, fault_rates{}, 20261207);
    fleet.run();
    const auto most =
        static_cast<double>(most_in_window(fleet.used_at_ms(), limit.window_));
    BOOST_TEST_MESSAGE("most in a window: " << most << " of "
                                            << limit.max_per_window_);
    BOOST_TEST(most <= limit.max_per_window_);
    BOOST_TEST(most >= 0.85 * limit.max_per_window_);
}

BOOST_AUTO_TEST_SUITE_END()
