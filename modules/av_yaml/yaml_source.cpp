#include <av_yaml/yaml_source.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

namespace anvilturn
{

yaml_location yaml_location::child(std::string_view key, int line) const
{
    yaml_location result = *this;
    result.line_ = line;
    if (!result.key_.empty())
    {
        result.key_ += '.';
    }
    result.key_ += key;
    return result;
}

absl::Status yaml_location::refuse(std::string_view what) const
{
    std::string detail;
    if (!file_.empty())
    {
        absl::StrAppend(&detail, file_, ":", line_, ": ");
    }
    if (!key_.empty())
    {
        absl::StrAppend(&detail, "key '", key_, "': ");
    }
    detail += what;
    return make_error(kind_, detail);
}

absl::Status locate_parse_error(const yaml_location& location,
                                const absl::Status& status)
{
    constexpr absl::string_view prefix = "line ";
    absl::string_view message = status.message();
    yaml_location error_location = location;
    const auto colon = message.find(": ");
    if (message.substr(0, prefix.size()) == prefix &&
        colon != absl::string_view::npos &&
        absl::SimpleAtoi(message.substr(prefix.size(), colon - prefix.size()),
                         &error_location.line_))
    {
        message.remove_prefix(colon + 2);
    }
    return error_location.refuse(
        std::string_view(message.data(), message.size()));
}

} // namespace anvilturn
