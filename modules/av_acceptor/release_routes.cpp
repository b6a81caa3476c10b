#include <av_acceptor/release_routes.hpp>

#include <av_core/error.hpp>
#include <av_release/apply_note.hpp>
#include <av_release/release_codec.hpp>
#include <av_release/release_note_codec.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::string_view note_source = "note";

void append(yaml_value& map, std::string_view key, std::string_view text)
{
    map.members_.push_back({std::string(key), 0, yaml_scalar(text)});
}

yaml_value make_map()
{
    yaml_value value;
    value.kind_ = yaml_kind::map;
    return value;
}

unsigned http_status_of(const finish_acceptance& result)
{
    switch (result.outcome_)
    {
    case acceptance_outcome::accepted:
        return 200;
    case acceptance_outcome::unknown:
        return 504;
    case acceptance_outcome::not_accepted:
        break;
    }
    const auto kind = kind_of(result.status_);
    if (kind == error_kind::release_conflict)
    {
        return 409;
    }
    return kind == error_kind::release_invalid ||
                   kind == error_kind::release_too_large
               ? 422
               : 503;
}

operator_response to_response(const finish_acceptance& result, unsigned status)
{
    yaml_value map = make_map();
    append(map, "verdict", name_of(result.outcome_));
    if (result.outcome_ == acceptance_outcome::accepted)
    {
        append(map, "version", std::to_string(result.version_));
    }
    else
    {
        append(map, "error", std::string(result.status_.message()));
    }
    operator_response response;
    response.status_ = status;
    response.body_ = write_yaml(map, 1);
    return response;
}

operator_response show_release(const release_routes_options& options)
{
    const auto in_force = options.get_in_force_();
    if (!in_force)
    {
        return error_response(make_error(error_kind::release_missing,
                                         "no release is in force on this VM"));
    }
    operator_response response;
    response.body_ = write_release(*in_force);
    return response;
}

operator_response show_history(const release_routes_options& options)
{
    const auto in_force = options.get_in_force_();
    if (!in_force)
    {
        return show_release(options);
    }
    yaml_value map = make_map();
    yaml_value notes = make_map();
    for (const auto& [version, id] : in_force->recent_notes_)
    {
        append(notes, std::to_string(version), id);
    }
    append(map, "version", std::to_string(in_force->version_));
    append(map, "digest", digest_of(*in_force));
    append(map, "oldest_base", std::to_string(oldest_base(*in_force)));
    map.members_.push_back({"notes", 0, std::move(notes)});
    operator_response response;
    response.body_ = write_yaml(map, 2);
    return response;
}

operator_response check_note(const operator_request& request,
                             const release_limits& limits,
                             const release_routes_options& options)
{
    const auto note = parse_release_note(request.body_, note_source);
    if (!note.ok())
    {
        return error_response(note.status());
    }
    const auto in_force = options.get_in_force_();
    const auto result =
        apply_note(in_force ? *in_force : release(), *note, limits);
    if (!result.ok())
    {
        return error_response(result.status());
    }
    yaml_value map = make_map();
    append(map, "verdict", "valid");
    append(map, "version", std::to_string(result->version_));
    append(map, "bytes", std::to_string(write_release(*result).size()));
    operator_response response;
    response.body_ = write_yaml(map, 1);
    return response;
}

void apply(release_acceptor& acceptor,
           const release_routes_options& options,
           const operator_request& request,
           const operator_completion& done)
{
    const auto note = parse_release_note(request.body_, note_source);
    if (!note.ok())
    {
        done(error_response(note.status()));
        return;
    }
    acceptor.accept(*note,
                    [options, done](const finish_acceptance& result)
                    {
                        options.on_newest_release_(result.newest_);
                        done(to_response(result, http_status_of(result)));
                    });
}

void settle(release_acceptor& acceptor,
            const release_routes_options& options,
            const operator_request& request,
            const operator_completion& done)
{
    const std::string id = query_value(request, "id");
    if (!is_name(id))
    {
        done(error_response(
            make_error(error_kind::release_invalid,
                       "parameter id: allowed: " + std::string(name_allowed))));
        return;
    }
    acceptor.settle(id,
                    [options, done](const finish_acceptance& result)
                    {
                        options.on_newest_release_(result.newest_);
                        const bool is_settled =
                            result.outcome_ != acceptance_outcome::unknown;
                        done(to_response(result, is_settled ? 200 : 504));
                    });
}

} // namespace

void register_release_routes(operator_server& server,
                             release_acceptor& acceptor,
                             const release_limits& limits,
                             const release_routes_options& options)
{
    server.add_async_route("POST",
                           "/v1/release/apply",
                           [&acceptor, options](const operator_request& request,
                                                const operator_completion& done)
                           {
                               apply(acceptor, options, request, done);
                           });
    server.add_async_route("GET",
                           "/v1/release/settle",
                           [&acceptor, options](const operator_request& request,
                                                const operator_completion& done)
                           {
                               settle(acceptor, options, request, done);
                           });
    server.add_route("POST",
                     "/v1/release/check",
                     [limits, options](const operator_request& request)
                     {
                         return check_note(request, limits, options);
                     });
    server.add_route("GET",
                     "/v1/release",
                     [options](const operator_request&)
                     {
                         return show_release(options);
                     });
    server.add_route("GET",
                     "/v1/release/history",
                     [options](const operator_request&)
                     {
                         return show_history(options);
                     });
}

} // namespace anvilturn
