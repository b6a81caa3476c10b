#include <av_client/text_output.hpp>

#include <av_yaml/yaml_value.hpp>

#include <algorithm>
#include <vector>

namespace anvilturn
{
namespace
{

constexpr yaml_limits response_limits{64'000'000, 16, 4'000'000};

using table_row = std::vector<std::string>;

std::string format_on_one_line(const yaml_value& value)
{
    if (value.kind_ == yaml_kind::scalar)
    {
        return value.scalar_;
    }
    std::string text = write_yaml(value, 0);
    text.pop_back();
    return text;
}

std::string find_cell(const yaml_value& row, const std::string& column)
{
    for (const yaml_member& member : row.members_)
    {
        if (member.key_ == column)
        {
            return format_on_one_line(member.value_);
        }
    }
    return "-";
}

// Returns the keys of all rows, in the order in which they first stand.
table_row columns_of(const yaml_value& list)
{
    table_row columns;
    for (const yaml_value& row : list.items_)
    {
        for (const yaml_member& member : row.members_)
        {
            if (std::find(columns.begin(), columns.end(), member.key_) ==
                columns.end())
            {
                columns.push_back(member.key_);
            }
        }
    }
    return columns;
}

std::string align_columns(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const table_row& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const table_row& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

bool is_table(const yaml_value& value)
{
    return value.kind_ == yaml_kind::list && !value.items_.empty() &&
           std::all_of(value.items_.begin(),
                       value.items_.end(),
                       [](const yaml_value& item)
                       {
                           return item.kind_ == yaml_kind::map;
                       });
}

std::string write_table(const yaml_value& list)
{
    std::vector<table_row> rows = {columns_of(list)};
    for (const yaml_value& item : list.items_)
    {
        table_row row;
        for (const std::string& column : rows.front())
        {
            row.push_back(find_cell(item, column));
        }
        rows.push_back(std::move(row));
    }
    return align_columns(rows);
}

std::string write_member(const yaml_member& member)
{
    if (is_table(member.value_))
    {
        return member.key_ + ":\n" + write_table(member.value_);
    }
    if (member.value_.kind_ != yaml_kind::map)
    {
        return member.key_ + ": " + format_on_one_line(member.value_) + "\n";
    }
    std::string text = member.key_ + ":\n";
    for (const yaml_member& inner : member.value_.members_)
    {
        text +=
            "  " + inner.key_ + ": " + format_on_one_line(inner.value_) + "\n";
    }
    return text;
}

} // namespace

std::string to_text(std::string_view yaml)
{
    const auto parsed = parse_yaml(yaml, response_limits);
    if (parsed.ok() && is_table(*parsed))
    {
        return write_table(*parsed);
    }
    if (!parsed.ok() || parsed->kind_ != yaml_kind::map)
    {
        return std::string(yaml);
    }
    std::string text;
    for (const yaml_member& member : parsed->members_)
    {
        text += write_member(member);
    }
    return text;
}

} // namespace anvilturn
