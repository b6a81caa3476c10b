#include <av_operator/operator_routes.hpp>

#include <av_core/error.hpp>

#include <cassert>
#include <utility>

namespace anvilturn
{

void operator_routes::add(const std::string& method,
                          const std::string& path,
                          operator_async_handler handler)
{
    const bool is_new =
        routes_[path].emplace(method, std::move(handler)).second;
    assert(is_new && "duplicate route");
    static_cast<void>(is_new);
}

void operator_routes::handle(const operator_request& request,
                             operator_completion done) const
{
    const auto path = routes_.find(request.path_);
    if (path == routes_.end())
    {
        done(error_response(
            make_error(error_kind::object_unknown,
                       "path " + request.path_ + "; known paths: " + paths())));
        return;
    }
    const auto method = path->second.find(request.method_);
    if (method == path->second.end())
    {
        done(plain_response(
            405, request.path_ + " accepts " + path->second.begin()->first));
        return;
    }
    method->second(request, std::move(done));
}

std::string operator_routes::paths() const
{
    std::string result;
    for (const auto& entry : routes_)
    {
        result += (result.empty() ? "" : " ") + entry.first;
    }
    return result;
}

} // namespace anvilturn
