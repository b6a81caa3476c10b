#include <av_probing/probe_lease_table_codec.hpp>

#include <av_core/error.hpp>

#include <yaml-cpp/yaml.h>

namespace anvilturn
{

namespace
{

constexpr std::size_t max_text_bytes = 16384;

probe_lease_record parse_record(const YAML::Node& node)
{
    probe_lease_record result;
    result.holder_ = node["holder"].as<std::string>();
    result.incarnation_ = node["incarnation"].as<std::uint64_t>();
    result.renewals_ = node["renewals"].as<std::uint64_t>();
    return result;
}

} // namespace

std::string format_probe_lease_table(const probe_lease_table& table)
{
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "seats" << YAML::Value
        << YAML::BeginSeq;
    for (const auto& record : table)
    {
        out << YAML::BeginMap;
        out << YAML::Key << "holder" << YAML::Value << YAML::DoubleQuoted
            << record.holder_;
        out << YAML::Key << "incarnation" << YAML::Value << record.incarnation_;
        out << YAML::Key << "renewals" << YAML::Value << record.renewals_;
        out << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

absl::StatusOr<probe_lease_table>
parse_probe_lease_table(const std::string& text)
{
    if (text.size() > max_text_bytes)
    {
        return make_error(error_kind::platform_malformed,
                          "probe lease table exceeds the size limit");
    }
    try
    {
        probe_lease_table result;
        for (const auto& node : YAML::Load(text)["seats"])
        {
            result.push_back(parse_record(node));
        }
        if (result.size() == probe_shard_count)
        {
            return result;
        }
    }
    catch (const YAML::Exception& error)
    {
        return make_error(error_kind::platform_malformed,
                          std::string("probe lease table is malformed: ") +
                              error.what());
    }
    return make_error(error_kind::platform_malformed,
                      "probe lease table has an unexpected number of shards");
}

} // namespace anvilturn
