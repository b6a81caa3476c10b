#include <call_load/load_plan.hpp>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace anvilturn
{
namespace
{

using generator = boost::random::mt19937_64;

time_distribution read_distribution(const std::string& name)
{
    if (name == "exponential")
    {
        return time_distribution::exponential;
    }
    if (name == "fixed")
    {
        return time_distribution::fixed;
    }
    if (name == "lognormal")
    {
        return time_distribution::lognormal;
    }
    throw std::runtime_error("unknown distribution: " + name);
}

stream_spec read_stream(const YAML::Node& node)
{
    stream_spec stream;
    stream.name_ = node["name"].as<std::string>();
    stream.host_ = node["host"].as<std::string>();
    stream.service_ = node["service"].as<std::string>(stream.host_);
    stream.path_ = node["path"].as<std::string>(stream.path_);
    stream.method_ = node["method"].as<std::string>(stream.method_);
    stream.idempotent_ = node["idempotent"].as<bool>(false);
    stream.service_time_ = milliseconds(node["service_ms"].as<double>(5.0));
    stream.distribution_ =
        read_distribution(node["distribution"].as<std::string>("exponential"));
    stream.response_bytes_ = node["answer_bytes"].as<std::size_t>(256);
    stream.body_bytes_ = node["body_bytes"].as<std::size_t>(0);
    stream.deadline_ = milliseconds(node["deadline_ms"].as<double>(0.0));
    stream.rates_.push_back({milliseconds(0.0), node["rate"].as<double>(0.0)});
    for (const auto& step : node["steps"])
    {
        stream.rates_.push_back({milliseconds(step["at_ms"].as<double>()),
                                 step["rate"].as<double>()});
    }
    return stream;
}

double random_service_ms(const stream_spec& stream, generator& random)
{
    const double mean = stream.service_time_.count();
    switch (stream.distribution_)
    {
    case time_distribution::fixed:
        return mean;
    case time_distribution::lognormal:
        // The logarithm has a standard deviation of 1; with it, a logarithmic
        // mean of log(mean) - 0.5 gives the requested mean.
        return boost::random::lognormal_distribution<double>(
            std::log(mean) - 0.5, 1.0)(random);
    case time_distribution::exponential:
        break;
    }
    return boost::random::exponential_distribution<double>(1.0 / mean)(random);
}

void generate_stream_arrivals(const load_plan& plan,
                              std::uint32_t index,
                              std::vector<arrival>& arrivals)
{
    const auto& stream = plan.streams_[index];
    generator random(plan.seed_ * 1000 + index);
    boost::random::uniform_int_distribution<std::uint32_t> uniform;
    std::uint32_t number = 0;
    for (std::size_t step = 0; step < stream.rates_.size(); ++step)
    {
        const auto& rate = stream.rates_[step];
        const auto end = step + 1 < stream.rates_.size()
                             ? stream.rates_[step + 1].start_offset_
                             : plan.duration_;
        if (rate.calls_per_second_ <= 0.0)
        {
            continue;
        }
        // Poisson arrivals are memoryless, so each step starts independently
        // of the arrivals before it.
        boost::random::exponential_distribution<double> interarrival_ms(
            rate.calls_per_second_ / 1000.0);
        for (auto start_offset =
                 rate.start_offset_ + milliseconds(interarrival_ms(random));
             start_offset < std::min(end, plan.duration_);
             start_offset =
                 start_offset + milliseconds(interarrival_ms(random)))
        {
            const auto random_value = uniform(random);
            const auto service =
                static_cast<float>(random_service_ms(stream, random));
            arrivals.push_back(
                {start_offset, index, number++, random_value, service});
        }
    }
}

} // namespace

load_plan read_load_plan(const std::string& path)
{
    const auto node = YAML::LoadFile(path);
    load_plan plan;
    plan.seed_ = node["seed"].as<std::uint64_t>(1);
    plan.duration_ = milliseconds(node["duration_ms"].as<double>());
    for (const auto& stream : node["streams"])
    {
        plan.streams_.push_back(read_stream(stream));
    }
    if (plan.streams_.empty())
    {
        throw std::runtime_error("load plan has no streams: " + path);
    }
    return plan;
}

std::vector<arrival> generate_arrivals(const load_plan& plan)
{
    std::vector<arrival> arrivals;
    for (std::uint32_t i = 0; i < plan.streams_.size(); ++i)
    {
        generate_stream_arrivals(plan, i, arrivals);
    }
    std::stable_sort(arrivals.begin(),
                     arrivals.end(),
                     [](const arrival& a, const arrival& b)
                     {
                         return a.start_offset_ < b.start_offset_;
                     });
    return arrivals;
}

} // namespace anvilturn
