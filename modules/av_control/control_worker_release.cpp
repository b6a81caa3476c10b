// The releases of the control worker: which one it fetches, from whom, how it
// is decoded and put in force.

#include <av_control/control_worker.hpp>

#include <av_control/document_digest.hpp>
#include <av_control/thread_cpu_time.hpp>
#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>

#include <boost/asio/post.hpp>

#include <optional>
#include <utility>

namespace anvilturn
{
std::shared_ptr<const release_document> control_worker::document() const
{
    return document_;
}

void control_worker::fetch_if_behind()
{
    const auto source = select_fetch_source(release_spread_, generator_());
    if (!source || *source == platform_source || pending_decodes_ > 0)
    {
        return;
    }
    const member_record* member = find_member(membership_, *source);
    release_spread_ = on_fetch_started(std::move(release_spread_), *source);
    if (member == nullptr)
    {
        // The address of the source is not known yet. The fetch starts after
        // the next message of the source, which names the version again.
        release_spread_ = on_fetch_ended(std::move(release_spread_));
        return;
    }
    endpoint_->fetch_release(
        member->vm_.peer_address_,
        release_spread_.newest_known_,
        [this, source = *source, weak = std::weak_ptr(alive_)](
            absl::StatusOr<release_document> document)
        {
            boost::asio::post(
                context_,
                [this, source, weak, document = std::move(document)]() mutable
                {
                    if (weak.lock())
                    {
                        on_fetched(source, std::move(document));
                    }
                });
        });
}

void control_worker::on_fetched(std::uint64_t source,
                                absl::StatusOr<release_document> document)
{
    const bool is_current = release_spread_.fetching_from_ == source;
    if (is_current)
    {
        release_spread_ = on_fetch_ended(std::move(release_spread_));
    }
    if (!document.ok())
    {
        log_event(log_level::warning, "release_fetch_failed")
            .field("error", document.status())
            .write();
    }
    else
    {
        decode(*std::move(document), std::nullopt);
    }
    fetch_if_behind();
    update_serving();
}

void control_worker::on_platform_release(std::optional<std::string> text,
                                         std::optional<milliseconds> newest_at)
{
    release_spread_ =
        record_source_answer(std::move(release_spread_), platform_source);
    auto digest = text ? document_digest(*text) : std::string();
    if (text && digest != release_spread_.current_digest_)
    {
        release_document document;
        document.digest_ = std::move(digest);
        document.text_ = *std::move(text);
        decode(std::move(document), newest_at);
    }
    else if (newest_at)
    {
        record_current(*newest_at);
    }
    update_serving();
}

void control_worker::submit_release(release_document document)
{
    document.digest_ = document_digest(document.text_);
    if (document.digest_ != release_spread_.current_digest_)
    {
        decode(std::move(document), std::nullopt);
    }
}

void control_worker::decode(release_document document,
                            std::optional<milliseconds> newest_at)
{
    ++pending_decodes_;
    boost::asio::post(
        decode_pool_,
        [this,
         newest_at,
         weak = std::weak_ptr(alive_),
         document = std::move(document)]() mutable
        {
            const milliseconds started_at = thread_cpu_time();
            auto decoded = options_.decode_(document.text_);
            decode_cpu_time_ =
                decode_cpu_time_.load() + (thread_cpu_time() - started_at);
            boost::asio::post(context_,
                              [this,
                               newest_at,
                               weak,
                               document = std::move(document),
                               decoded = std::move(decoded)]() mutable
                              {
                                  if (weak.lock())
                                  {
                                      apply_document(std::move(document),
                                                     std::move(decoded),
                                                     newest_at);
                                  }
                              });
        });
}

// Uses the version in the text and the digest of the received text; those that
// a peer stated for it are not trusted.
void control_worker::apply_document(release_document document,
                                    absl::StatusOr<release> decoded,
                                    std::optional<milliseconds> newest_at)
{
    --pending_decodes_;
    if (!decoded.ok())
    {
        log_event(log_level::error, "release_refused")
            .field("error", decoded.status())
            .write();
        fetch_if_behind();
        return;
    }
    document.version_ = decoded->version_;
    document.digest_ = document_digest(document.text_);
    const auto classification =
        classify_release(release_spread_, document.version_, document.digest_);
    if (classification == release_classification::newer)
    {
        release_spread_ = apply_release(
            std::move(release_spread_), document.version_, document.digest_);
        membership_ =
            set_local_release(std::move(membership_), document.version_);
        log_event(log_level::info, "release_held")
            .field("version", document.version_)
            .field("digest", document.digest_)
            .write();
        document_ = std::make_shared<release_document>(std::move(document));
        release_ = std::make_shared<release>(*std::move(decoded));
        schedule_push();
    }
    if (newest_at && classification != release_classification::conflicting)
    {
        record_current(*newest_at);
    }
    fetch_if_behind();
    update_serving();
}

void control_worker::update_serving()
{
    // A release being decoded may be newer than the current one.
    if (pending_decodes_ > 0 && !release_spread_.serving_)
    {
        return;
    }
    const std::size_t known_peers = alive_names(membership_).size();
    release_spread_ = decide_serving(
        std::move(release_spread_), known_peers, monotonic_now());
    if (!release_spread_.serving_ ||
        published_version_ == release_spread_.current_version_)
    {
        return;
    }
    published_version_ = release_spread_.current_version_;

    if (handlers_.on_release_)
    {
        handlers_.on_release_(release_);
    }
}

} // namespace anvilturn
