#include <av_yaml/yaml_value.hpp>

#include <absl/strings/str_cat.h>

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace anvilturn
{
namespace
{

class yaml_parse_error : public std::runtime_error
{
public:
    yaml_parse_error(const YAML::Mark& mark, const std::string& what)
        : std::runtime_error(absl::StrCat("line ", mark.line + 1, ": ", what))
    {
    }
};

// Builds a yaml_value from the parser's events. Throws std::runtime_error for
// what parse_yaml does not allow.
class value_builder : public YAML::EventHandler
{
public:
    explicit value_builder(const yaml_limits& limits)
        : limits_(limits)
    {
    }

    yaml_value take_root()
    {
        return std::move(root_);
    }

    void OnDocumentStart(const YAML::Mark& /*mark*/) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        refuse_anchor(mark, anchor);
        add(mark, yaml_kind::null, {});
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        throw yaml_parse_error(mark,
                               "aliases are not allowed; repeat the value");
    }

    void OnScalar(const YAML::Mark& mark,
                  const std::string& /*tag*/,
                  YAML::anchor_t anchor,
                  const std::string& text) override
    {
        refuse_anchor(mark, anchor);
        add(mark, yaml_kind::scalar, text);
    }

    void OnSequenceStart(const YAML::Mark& mark,
                         const std::string& /*tag*/,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, anchor, yaml_kind::list);
    }

    void OnSequenceEnd() override
    {
        close();
    }

    void OnMapStart(const YAML::Mark& mark,
                    const std::string& /*tag*/,
                    YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, anchor, yaml_kind::map);
    }

    void OnMapEnd() override
    {
        close();
    }

private:
    struct level
    {
        yaml_value value_;
        // Whether the last key of the map still lacks its value.
        bool has_pending_key_ = false;
    };

    static void refuse_anchor(const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
        {
            throw yaml_parse_error(
                mark, "anchors are not allowed; remove the anchor");
        }
    }

    void open(const YAML::Mark& mark, YAML::anchor_t anchor, yaml_kind kind)
    {
        refuse_anchor(mark, anchor);
        count(mark);
        if (levels_.size() >= limits_.depth_)
        {
            throw yaml_parse_error(
                mark, absl::StrCat("nested deeper than ", limits_.depth_));
        }
        levels_.push_back({});
        levels_.back().value_.kind_ = kind;
        levels_.back().value_.line_ = mark.line + 1;
    }

    void close()
    {
        yaml_value done = std::move(levels_.back().value_);
        levels_.pop_back();
        attach(std::move(done));
    }

    void add(const YAML::Mark& mark, yaml_kind kind, const std::string& text)
    {
        count(mark);
        yaml_value value;
        value.kind_ = kind;
        value.line_ = mark.line + 1;
        value.scalar_ = text;
        attach(std::move(value));
    }

    void attach(yaml_value value)
    {
        if (levels_.empty())
        {
            root_ = std::move(value);
            return;
        }
        level& top = levels_.back();
        if (top.value_.kind_ == yaml_kind::list)
        {
            top.value_.items_.push_back(std::move(value));
            return;
        }
        if (top.has_pending_key_)
        {
            top.value_.members_.back().value_ = std::move(value);
            top.has_pending_key_ = false;
            return;
        }
        attach_key(top, value);
    }

    static void attach_key(level& top, const yaml_value& key)
    {
        if (key.kind_ != yaml_kind::scalar)
        {
            throw std::runtime_error(
                absl::StrCat("line ", key.line_, ": a key must be a scalar"));
        }
        yaml_member member;
        member.key_ = key.scalar_;
        member.line_ = key.line_;
        top.value_.members_.push_back(std::move(member));
        top.has_pending_key_ = true;
    }

    void count(const YAML::Mark& mark)
    {
        if (++value_count_ > limits_.values_)
        {
            throw yaml_parse_error(
                mark, absl::StrCat("more than ", limits_.values_, " values"));
        }
    }

    yaml_limits limits_;
    std::size_t value_count_ = 0;
    std::vector<level> levels_;
    yaml_value root_;
};

absl::StatusOr<yaml_value> parse_document(std::string_view text,
                                          const yaml_limits& limits)
{
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    value_builder builder(limits);
    if (!parser.HandleNextDocument(builder))
    {
        return yaml_value{};
    }
    value_builder next_document(limits);
    if (parser.HandleNextDocument(next_document))
    {
        return absl::InvalidArgumentError(
            absl::StrCat("line ",
                         next_document.take_root().line_,
                         ": a second document is not allowed"));
    }
    return builder.take_root();
}

void emit(YAML::Emitter& out, const yaml_value& value, int block_depth)
{
    const bool flow = block_depth <= 0;
    switch (value.kind_)
    {
    case yaml_kind::null:
        out << YAML::Null;
        return;
    case yaml_kind::scalar:
        out << value.scalar_;
        return;
    case yaml_kind::list:
        out << (flow || value.items_.empty() ? YAML::Flow : YAML::Block)
            << YAML::BeginSeq;
        for (const yaml_value& item : value.items_)
        {
            emit(out, item, block_depth - 1);
        }
        out << YAML::EndSeq;
        return;
    case yaml_kind::map:
        out << (flow || value.members_.empty() ? YAML::Flow : YAML::Block)
            << YAML::BeginMap;
        for (const yaml_member& member : value.members_)
        {
            out << YAML::Key << member.key_ << YAML::Value;
            emit(out, member.value_, block_depth - 1);
        }
        out << YAML::EndMap;
        return;
    }
}

} // namespace

bool operator==(const yaml_value& a, const yaml_value& b)
{
    return std::tie(a.kind_, a.scalar_, a.items_, a.members_) ==
           std::tie(b.kind_, b.scalar_, b.items_, b.members_);
}

bool operator!=(const yaml_value& a, const yaml_value& b)
{
    return !(a == b);
}

bool operator==(const yaml_member& a, const yaml_member& b)
{
    return std::tie(a.key_, a.value_) == std::tie(b.key_, b.value_);
}

bool operator!=(const yaml_member& a, const yaml_member& b)
{
    return !(a == b);
}

yaml_value yaml_scalar(std::string_view text)
{
    yaml_value value;
    value.kind_ = yaml_kind::scalar;
    value.scalar_ = std::string(text);
    return value;
}

yaml_value yaml_list(const std::vector<std::string>& texts)
{
    yaml_value value;
    value.kind_ = yaml_kind::list;
    for (const std::string& text : texts)
    {
        value.items_.push_back(yaml_scalar(text));
    }
    return value;
}

absl::StatusOr<yaml_value> parse_yaml(std::string_view text,
                                      const yaml_limits& limits)
{
    if (text.size() > limits.bytes_)
    {
        return absl::InvalidArgumentError(
            absl::StrCat("line 1: ",
                         text.size(),
                         " bytes exceed the size limit of ",
                         limits.bytes_,
                         " bytes"));
    }
    try
    {
        return parse_document(text, limits);
    }
    catch (const YAML::Exception& error)
    {
        return absl::InvalidArgumentError(absl::StrCat(
            "line ", error.mark.line + 1, ": not YAML: ", error.msg));
    }
    catch (const std::runtime_error& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string write_yaml(const yaml_value& value, int block_depth)
{
    YAML::Emitter out;
    emit(out, value, block_depth);
    return std::string(out.c_str(), out.size()) + "\n";
}

} // namespace anvilturn
