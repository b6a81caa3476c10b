// Private to av_operator.

#ifndef AV_OPERATOR_OPERATOR_ROUTES_HPP
#define AV_OPERATOR_OPERATOR_ROUTES_HPP

#include <av_operator/operator_server.hpp>

#include <map>
#include <string>

namespace anvilturn
{

// The handlers of the operators' requests, by path, then by method.
class operator_routes
{
public:
    void add(const std::string& method,
             const std::string& path,
             operator_async_handler handler);

    // Calls the handler of the request; responds with an error if the path is
    // unknown, or with 405 if the path has no handler for the method.
    void handle(const operator_request& request,
                operator_completion done) const;

private:
    std::string paths() const;

    std::map<std::string, std::map<std::string, operator_async_handler>>
        routes_;
};

} // namespace anvilturn

#endif
