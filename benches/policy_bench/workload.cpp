#include "workload.hpp"

#include <cmath>
#include <random>

using anvilturn::traffic_class;

namespace
{

constexpr double ms_per_second = 1000.0;
// Shares of the highest and of the middle traffic class; the rest is bulk.
constexpr double transactional_share = 0.1;
constexpr double interactive_share = 0.6;
constexpr double step_period_ms = 200.0;
constexpr double step_low_load_factor = 0.6;
constexpr double step_high_load_factor = 1.4;

class workload_generator
{
public:
    workload_generator(const bench_settings& settings, int service_number)
        : settings_(settings)
        , service_(settings.deployment_.services_[service_number])
        , random_(settings.seed_ * 1000003U +
                  static_cast<std::uint64_t>(service_number))
    {
    }

    workload generate()
    {
        return {service_, generate_calls(), generate_stalls()};
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    double rate_factor(double now_ms) const
    {
        if (settings_.fault_ != fault_kind::step)
        {
            return 1.0;
        }
        const double phase = std::fmod(now_ms, step_period_ms);
        return phase < step_period_ms / 2 ? step_low_load_factor
                                          : step_high_load_factor;
    }

    double random_service_time_ms()
    {
        const double sigma = settings_.service_time_sigma_;
        const double mu =
            std::log(service_.mean_service_ms_) - sigma * sigma / 2;
        return std::lognormal_distribution<double>(mu, sigma)(random_);
    }

    traffic_class random_class()
    {
        const double sample = uniform();
        if (!settings_.mixed_classes_)
        {
            return traffic_class::interactive;
        }
        if (sample < transactional_share)
        {
            return traffic_class::transactional;
        }
        return sample < transactional_share + interactive_share
                   ? traffic_class::interactive
                   : traffic_class::bulk;
    }

    std::vector<planned_call> generate_calls()
    {
        const double per_ms = settings_.load_ * service_.targets_ *
                              service_.slots_ / service_.mean_service_ms_;
        std::exponential_distribution<double> random_interval_ms(
            per_ms * step_high_load_factor);
        std::vector<planned_call> result;
        double now_ms = random_interval_ms(random_);
        while (now_ms < settings_.seconds_ * ms_per_second)
        {
            // Thinning: candidates arrive at the highest rate and are accepted
            // with probability current rate / highest rate.
            if (uniform() * step_high_load_factor < rate_factor(now_ms))
            {
                const int vm =
                    static_cast<int>(uniform() * settings_.deployment_.vms_);
                result.push_back(
                    {now_ms, vm, random_service_time_ms(), random_class()});
            }
            now_ms += random_interval_ms(random_);
        }
        return result;
    }

    std::vector<planned_stall> generate_stalls()
    {
        std::vector<planned_stall> result;
        if (settings_.stalls_per_second_ <= 0.0)
        {
            return result;
        }
        std::exponential_distribution<double> random_interval_ms(
            settings_.stalls_per_second_ / ms_per_second);
        for (int target = 0; target < service_.targets_; ++target)
        {
            double now_ms = random_interval_ms(random_);
            while (now_ms < settings_.seconds_ * ms_per_second)
            {
                const double range_ms =
                    settings_.max_stall_ms_ - settings_.min_stall_ms_;
                const double length_ms =
                    settings_.min_stall_ms_ + uniform() * range_ms;
                result.push_back({now_ms, target, length_ms});
                now_ms += length_ms + random_interval_ms(random_);
            }
        }
        return result;
    }

    const bench_settings& settings_;
    const service_model& service_;
    std::mt19937_64 random_;
};

} // namespace

workload generate_workload(const bench_settings& settings, int service_number)
{
    return workload_generator(settings, service_number).generate();
}
