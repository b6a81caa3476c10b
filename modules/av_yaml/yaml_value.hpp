#ifndef AV_YAML_YAML_VALUE_HPP
#define AV_YAML_YAML_VALUE_HPP

#include <av_yaml/yaml_limits.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

struct yaml_member;

enum class yaml_kind
{
    null,
    scalar,
    list,
    map
};

// One value of a YAML text. Scalars are kept as text and get their type from
// the field that reads them, so that quoting never changes the meaning.
struct yaml_value
{
    yaml_kind kind_ = yaml_kind::null;
    // Line of the text on which the value begins, from 1; 0 for a value that
    // was not read from a text.
    int line_ = 0;
    std::string scalar_;
    std::vector<yaml_value> items_;
    // In the order of the text. May contain duplicate keys, which check_map
    // reports as an error.
    std::vector<yaml_member> members_;

    // Lines are not compared.
    friend bool operator==(const yaml_value& a, const yaml_value& b);
    friend bool operator!=(const yaml_value& a, const yaml_value& b);
};

// One key of a map with its value.
struct yaml_member
{
    std::string key_;
    int line_ = 0;
    yaml_value value_;

    // Lines are not compared.
    friend bool operator==(const yaml_member& a, const yaml_member& b);
    friend bool operator!=(const yaml_member& a, const yaml_member& b);
};

// Returns a value that holds the text as a scalar.
yaml_value yaml_scalar(std::string_view text);

// Returns a value that holds the texts as a list of scalars.
yaml_value yaml_list(const std::vector<std::string>& texts);

// Parses one YAML document. Syntax errors, aliases, anchors, keys that are not
// scalars, a second document and a text that exceeds the limits are errors of
// code InvalidArgument, whose message begins with "line N: ". An empty text
// gives a null value.
absl::StatusOr<yaml_value> parse_yaml(std::string_view text,
                                      const yaml_limits& limits);

// Returns a value as YAML. Maps and lists nested deeper than block_depth are
// written in flow style, on one line. The same value always gives the same
// text.
std::string write_yaml(const yaml_value& value, int block_depth);

} // namespace anvilturn

#endif
