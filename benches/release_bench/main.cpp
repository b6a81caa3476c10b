// Measures what a new release costs a VM by its number of rules: decoding the
// message of a watcher, indexing the rules, building the routing table, and
// matching a request. A change of targets builds a table too, without the
// other steps. The request path continues with the previous table meanwhile.
// Prints one line for each number of rules.

#include <av_core/monotonic_clock.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_replication/update_codec.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr int service_count = 59;
constexpr int target_count = 850;
constexpr int repetitions = 20;
constexpr int matches_per_repetition = 10000;

std::string service_name(int number)
{
    return "service-" + std::to_string(number % service_count);
}

std::string path_prefix(int number)
{
    return "/area-" + std::to_string(number % 40) + "/shop-" +
           std::to_string(number) + "/";
}

release make_release(int rule_count)
{
    release value;
    value.version_ = 1;
    for (int number = 0; number < service_count; ++number)
    {
        value.services_[service_name(number)].name_ = service_name(number);
    }
    for (int number = 0; number < rule_count; ++number)
    {
        rule_spec rule;
        rule.name_ = "rule-" + std::to_string(number);
        rule.host_ = "callers.example";
        rule.path_prefix_ = path_prefix(number);
        rule.plain_prefix_ = true;
        rule.service_ = service_name(number);
        value.rules_[rule.name_] = rule;
    }
    for (int number = 0; number < target_count; ++number)
    {
        target_spec target;
        target.name_ = "i-" + std::to_string(100000 + number);
        target.service_ = service_name(number);
        target.address_ = "10.1.64." + std::to_string(number % 250) + ":8000";
        target.failure_domain_ = "a";
        value.targets_[target.name_] = target;
    }
    return value;
}

// Returns the median time of the work, in milliseconds.
template <typename Work>
double median_time_ms(Work work)
{
    std::vector<double> times;
    for (int i = 0; i < repetitions; ++i)
    {
        const auto start = monotonic_now();
        work();
        times.push_back((monotonic_now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

void measure(int rule_count)
{
    const auto value = make_release(rule_count);
    registry_update update;
    update.release_ = std::make_shared<const release>(value);
    const auto frame = write_update(update);
    const auto body = std::string_view(frame).substr(frame_header_bytes);
    const double decode_ms = median_time_ms(
        [&]
        {
            (void)read_update(body, service_spec());
        });
    std::shared_ptr<const rule_matcher> rules;
    const double index_ms = median_time_ms(
        [&]
        {
            rules = std::make_shared<const rule_matcher>(value.rules_);
        });
    const fleet_view fleet;
    std::shared_ptr<const routing_table> table;
    const double table_ms = median_time_ms(
        [&]
        {
            const routing_table_input input{
                value, rules, value.targets_, fleet, 1, table.get()};
            table = build_routing_table(input, monotonic_now());
        });
    request_head head;
    head.method_ = "GET";
    head.host_ = "callers.example";
    std::size_t found = 0;
    const double match_ms = median_time_ms(
        [&]
        {
            for (int i = 0; i < matches_per_repetition; ++i)
            {
                head.target_ = path_prefix(i * 7 % rule_count) + "item?x=1";
                found += rules->match(head) != nullptr ? 1U : 0U;
            }
        });
    std::printf("rules=%d frame_bytes=%zu decode_ms=%.2f index_ms=%.2f "
                "table_ms=%.2f match_us=%.3f matched=%zu\n",
                rule_count,
                frame.size(),
                decode_ms,
                index_ms,
                table_ms,
                match_ms * 1000.0 / matches_per_repetition,
                found / repetitions);
}

} // namespace

int main()
{
    for (const int rule_count : {10, 1000, 2000, 4000})
    {
        measure(rule_count);
    }
    return 0;
}
