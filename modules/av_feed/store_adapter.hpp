#ifndef AV_FEED_STORE_ADAPTER_HPP
#define AV_FEED_STORE_ADAPTER_HPP

#include <av_core/milliseconds.hpp>
#include <av_core/plugin_registry.hpp>
#include <av_feed/collection_source.hpp>
#include <av_feed/store_call_counts.hpp>
#include <av_http/header_dialect.hpp>
#include <av_model/evacuation_spec.hpp>
#include <av_model/release.hpp>
#include <av_model/target_spec.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace anvilturn
{

// How the platform's store is reached, and what its releases don't specify.
struct store_options
{
    // IP address and port.
    std::string address_;
    milliseconds call_timeout_{2000.0};
    // Values of each service where the store specifies none.
    service_spec service_defaults_;
    // Whether the store's evacuations are read.
    bool evacuations_ = false;
};

// The calls to the store that a VM needs.
struct store_calls
{
    // Releases by name. The adapter names the one to use.
    collection_source<release> releases_;
    std::string release_name_;
    collection_source<target_spec> targets_;
    // Evacuations by failure domain. Without functions if they are not read.
    collection_source<evacuation_spec> evacuations_;
    // Reads the store's revision. The response is never stale, so a collection
    // that is known up to this revision is completely known. Fails if no
    // response comes within the timeout.
    std::function<void(
        milliseconds timeout,
        std::function<void(absl::StatusOr<store_revision>)> done)>
        read_revision_;
    // Checks by a cheap query whether the store answers. Fails if it does not
    // within the timeout, or with an error; what it answers does not matter,
    // and shows nothing about the collections.
    std::function<void(milliseconds timeout,
                       std::function<void(absl::Status)> done)>
        check_;
    std::function<store_call_counts()> counts_;
};

// A plug-in that adapts the project to one platform and registers itself. It
// provides names, formats and calls and takes no decisions.
struct store_adapter
{
    std::string_view name_;
    // One line for operators.
    std::string_view description_;
    // Returns the names of the header fields that callers and targets use on
    // this platform.
    header_dialect (*dialect_)();
    // Returns the calls to the store. They run on the thread of the io_context,
    // which must outlive them.
    store_calls (*open_)(boost::asio::io_context& context,
                         const store_options& options);
};

using store_adapter_registry = plugin_registry<store_adapter>;

} // namespace anvilturn

#endif
