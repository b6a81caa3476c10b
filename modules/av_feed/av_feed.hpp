// Purpose: keeps a VM synchronized with the collections in the platform's
// store, which are the releases and the targets, through an adapter that knows
// the store's calls. Its headers include Asio: include them in source files
// only.
// Depends on: av_core, av_model, av_http (dialects), av_replication, av_net,
// av_registry, Boost.Asio.

#ifndef AV_FEED_AV_FEED_HPP
#define AV_FEED_AV_FEED_HPP

#include <av_feed/collection_feed.hpp>
#include <av_feed/collection_source.hpp>
#include <av_feed/registry_control.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_feed/store_call_counts.hpp>
#include <av_feed/store_session.hpp>

#endif
