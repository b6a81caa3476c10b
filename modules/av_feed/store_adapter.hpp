#ifndef AV_FEED_STORE_ADAPTER_HPP
#define AV_FEED_STORE_ADAPTER_HPP

#include <av_core/milliseconds.hpp>
#include <av_core/plugin_registry.hpp>
#include <av_feed/collection_source.hpp>
#include <av_feed/store_call_counts.hpp>
#include <av_http/header_dialect.hpp>
#include <av_model/release.hpp>
#include <av_model/target_spec.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace anvilturn
{

// How the platform's store is reached, and what releases from there don't say.
struct store_options
{
    // IP number and port.
    std::string address_;
    milliseconds call_timeout_{2000.0};
    // What holds for every service where the store says nothing else.
    service_spec service_defaults_;
};

// The calls to the store that a VM needs.
struct store_calls
{
    // Releases by name; the one in force is the adapter's to name.
    collection_source<release> releases_;
    std::string release_name_;
    collection_source<target_spec> targets_;
    // Asks for an answer of any kind within the timeout, to find out whether
    // the store answers.
    std::function<void(milliseconds timeout,
                       std::function<void(absl::Status)> done)>
        check_;
    std::function<store_call_counts()> counts_;
};

// What the project needs to run on a platform, as a plug-in that registers
// itself: names, formats and calls, no decisions.
struct store_adapter
{
    std::string_view name_;
    // One line for operators.
    std::string_view description_;
    // Returns the names of header fields that callers and targets use there.
    header_dialect (*dialect_)();
    // Returns calls that run on the thread of the io_context, which outlives
    // them.
    store_calls (*open_)(boost::asio::io_context& context,
                         const store_options& options);
};

using store_adapter_registry = plugin_registry<store_adapter>;

} // namespace anvilturn

#endif
