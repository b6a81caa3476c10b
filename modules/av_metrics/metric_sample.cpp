#include <av_metrics/metric_sample.hpp>

#include <absl/strings/str_cat.h>

#include <string_view>

namespace anvilturn
{
namespace
{

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
        {
            escaped += '\\';
        }
        if (c == '\n')
        {
            escaped += "\\n";
            continue;
        }
        escaped += c;
    }
    return escaped;
}

std::string render_labels(const metric_sample& sample)
{
    if (sample.labels_.empty())
    {
        return {};
    }
    std::string text = "{";
    for (const auto& [key, value] : sample.labels_)
    {
        if (text.size() > 1)
        {
            text += ',';
        }
        absl::StrAppend(&text, key, "=\"", escape_label(value), "\"");
    }
    text += '}';
    return text;
}

const char* name_of(metric_type type)
{
    switch (type)
    {
    case metric_type::counter:
        return "counter";
    case metric_type::gauge:
        return "gauge";
    case metric_type::histogram:
        return "histogram";
    }
    return "untyped";
}

} // namespace

void append_histogram(
    std::vector<metric_sample>& samples,
    const std::string& name,
    const std::string& help,
    const std::vector<std::pair<std::string, std::string>>& labels,
    const latency_histogram& histogram)
{
    const auto add = [&](const char* suffix, double value)
    {
        samples.push_back(
            {metric_type::histogram, name, help, labels, value, suffix});
    };
    const auto add_bucket = [&](const std::string& bound, std::uint64_t count)
    {
        add("_bucket", static_cast<double>(count));
        samples.back().labels_.emplace_back("le", bound);
    };
    for (std::size_t index = 0; index < latency_bucket_bounds_ms.size();
         ++index)
    {
        add_bucket(absl::StrCat(latency_bucket_bounds_ms[index]),
                   histogram.cumulative_counts_[index]);
    }
    add_bucket("+Inf", histogram.count_);
    add("_sum", histogram.sum_.count());
    add("_count", static_cast<double>(histogram.count_));
}

std::string render_exposition(const std::vector<metric_sample>& samples)
{
    std::string page;
    std::string_view previous_name;
    for (const auto& sample : samples)
    {
        if (sample.name_ != previous_name)
        {
            absl::StrAppend(
                &page, "# HELP ", sample.name_, " ", sample.help_, "\n");
            absl::StrAppend(&page,
                            "# TYPE ",
                            sample.name_,
                            " ",
                            name_of(sample.type_),
                            "\n");
            previous_name = sample.name_;
        }
        absl::StrAppend(&page,
                        sample.name_,
                        sample.suffix_,
                        render_labels(sample),
                        " ",
                        sample.value_,
                        "\n");
    }
    return page;
}

} // namespace anvilturn
