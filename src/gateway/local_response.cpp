#include "gateway/local_response.hpp"

#include "http_server/http_server.hpp"

#include <array>
#include <cstdio>

namespace marjorambeam
{
namespace
{

constexpr int not_run_status = 503;
constexpr int failed_status = 502;

int status_of(error const& e)
{
    int const status = answer_for(e.kind).http_status;
    if (e.run == run_state::not_run && status >= 500)
        return not_run_status;
    if (e.run != run_state::not_run && status == not_run_status)
        return failed_status;
    return status;
}

std::string format_seconds(duration d)
{
    std::array<char, 24> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f", to_seconds(d));
    return buf.data();
}

} // namespace

duration spread(duration d, std::uint64_t hash)
{
    double const part = 0.6 + 0.8 * static_cast<double>(hash % 1000) / 1000.0;
    return from_seconds(to_seconds(d) * part);
}

local_response make_local_response(
    request_protocol const& protocol, error const& e,
    std::string_view attempt_id)
{
    local_response a;
    a.head.status = status_of(e);
    a.head.headers = protocol.local_response_headers(attempt_id);
    a.head.headers.emplace_back("Content-Type", "application/json");
    bool const has_retry_after = a.head.status == not_run_status ||
                                 answer_for(e.kind).http_status == 429;
    if (has_retry_after)
        a.head.headers.emplace_back(
            "Retry-After", format_seconds(e.retry_after));
    a.body = error_body(e, attempt_id);
    return a;
}

} // namespace marjorambeam
