// Private to av_proxy.

#ifndef AV_PROXY_CALLER_LINK_HPP
#define AV_PROXY_CALLER_LINK_HPP

#include <cstddef>
#include <memory>
#include <string>

namespace anvilturn
{

class proxied_call;

// Interface through which a call acts on the connection that it arrived on.
class caller_link
{
public:
    virtual ~caller_link() = default;

    // Buffer to which the response is appended. flush sends as much of it as
    // the socket accepts without blocking.
    virtual std::string& output() = 0;
    virtual void flush() = 0;
    virtual std::size_t unsent_bytes() const = 0;

    // Returns whether no later request of the connection has begun. Otherwise
    // the connection must stay open after this response.
    virtual bool is_last_request() const = 0;

    // Resumes reading the request body, which stays unread while the call does
    // not want more of it.
    virtual void resume_reading() = 0;

    // Must be called when the time limits have changed; see proxied_call::due.
    virtual void update_timer() = 0;

    // Must be called when the whole response was appended. Without keep_alive,
    // the connection is closed once the response was sent.
    virtual void finish_response(bool keep_alive) = 0;

    // Resets the connection, so that the caller can tell that the response is
    // incomplete.
    virtual void abort_connection() = 0;

    // Returns the call of this link. The pointer shares ownership of the
    // connection, which keeps both alive.
    virtual std::shared_ptr<proxied_call> share_call() = 0;
};

} // namespace anvilturn

#endif
