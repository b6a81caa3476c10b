#include <av_registry/evacuated_domains.hpp>

#include <cstddef>

namespace anvilturn
{
namespace
{

// Entries with longer names are ignored, since each name is sent to all VMs.
// The adapters accept no target with a longer failure domain.
constexpr std::size_t max_domain_name_length = 256;

bool is_domain_name(const std::string& name)
{
    return !name.empty() && name.size() <= max_domain_name_length;
}

} // namespace

domain_set
domains_listed(const std::vector<listed_object<evacuation_spec>>& objects)
{
    domain_set result;
    for (const auto& object : objects)
    {
        if (is_domain_name(object.name_))
        {
            result.insert(object.name_);
        }
    }
    return result;
}

domain_set domains_after_changes(
    domain_set domains,
    const std::vector<object_change<evacuation_spec>>& changes)
{
    for (const auto& change : changes)
    {
        const auto& name = change.object_.name_;
        if (change.removed_)
        {
            domains.erase(name);
        }
        else if (is_domain_name(name))
        {
            domains.insert(name);
        }
    }
    return domains;
}

} // namespace anvilturn
