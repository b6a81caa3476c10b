#ifndef AV_CORE_PLUGIN_REGISTRY_HPP
#define AV_CORE_PLUGIN_REGISTRY_HPP

#include <cassert>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Holds the plug-ins of one kind by name. A plug-in is a plain struct of
// function pointers with a member name_. Its source file registers it by a
// plugin_registration object at namespace scope. Registration happens before
// main, so that reads need no lock.
template <typename Plugin>
class plugin_registry
{
public:
    // Returns the registry of this kind of plug-in.
    static plugin_registry& instance()
    {
        static plugin_registry registry;
        return registry;
    }

    // Adds a plug-in. Asserts that no other plug-in has its name.
    void add(const Plugin& plugin)
    {
        const bool inserted =
            plugins_.emplace(std::string(plugin.name_), plugin).second;
        assert(inserted && "two plug-ins register the same name");
        static_cast<void>(inserted);
    }

    // Returns the plug-in of that name, or null if there is none. The pointer
    // stays valid until the program exits.
    const Plugin* find(std::string_view name) const
    {
        const auto found = plugins_.find(name);
        return found == plugins_.end() ? nullptr : &found->second;
    }

    // Returns all names in alphabetical order, for messages and help texts.
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto& entry : plugins_)
        {
            result.push_back(entry.first);
        }
        return result;
    }

private:
    std::map<std::string, Plugin, std::less<>> plugins_;
};

// Registers a plug-in when it is constructed.
template <typename Plugin>
class plugin_registration
{
public:
    explicit plugin_registration(const Plugin& plugin)
    {
        plugin_registry<Plugin>::instance().add(plugin);
    }
};

} // namespace anvilturn

#endif
