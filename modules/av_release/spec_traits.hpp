#ifndef AV_RELEASE_SPEC_TRAITS_HPP
#define AV_RELEASE_SPEC_TRAITS_HPP

#include <av_model/release.hpp>
#include <av_release/spec_fields.hpp>

#include <map>
#include <string>
#include <string_view>

namespace anvilturn
{

// Traits of the three kinds of object of a release, for templates that handle
// any of them.
template <typename Spec>
struct spec_traits;

template <>
struct spec_traits<service_spec>
{
    static constexpr std::string_view singular = "service";
    static constexpr std::string_view plural = "services";
    static constexpr auto objects = &release::services_;

    static const yaml_fields<service_spec>& fields()
    {
        return service_fields();
    }
};

template <>
struct spec_traits<target_spec>
{
    static constexpr std::string_view singular = "target";
    static constexpr std::string_view plural = "targets";
    static constexpr auto objects = &release::targets_;

    static const yaml_fields<target_spec>& fields()
    {
        return target_fields();
    }
};

template <>
struct spec_traits<rule_spec>
{
    static constexpr std::string_view singular = "rule";
    static constexpr std::string_view plural = "rules";
    static constexpr auto objects = &release::rules_;

    static const yaml_fields<rule_spec>& fields()
    {
        return rule_fields();
    }
};

// Returns the key of an object in release::changed_in_, such as "target/a-1".
inline std::string object_key(std::string_view singular, std::string_view name)
{
    std::string result(singular);
    result += '/';
    result += name;
    return result;
}

} // namespace anvilturn

#endif
