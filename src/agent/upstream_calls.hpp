// Runs attempts at the upstream over HTTP and polls its load report.
//
// Example:
//   upstream_calls calls(client, state, {
//       .on_bytes = [&](attempt& a, std::string_view b) { forward(a, b); },
//       .on_ended = [&](attempt& a, result<http_reply> r) { finish(a, r); }});
//   calls.start(a, now);
//   calls.tick(now); // load reports
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "agent/agent_state.hpp"
#include "http_client/http_client.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace marjorambeam
{

struct upstream_events
{
    // Called from within libcurl: it must neither start nor stop calls.
    std::function<void(attempt&, std::string_view)> on_bytes;
    // The call is over and may be followed by others. Not called after stop.
    std::function<void(attempt&, result<http_reply>)> on_ended;
    // The upstream answered a load report.
    std::function<void(upstream_report)> on_report;
    // The upstream could not be reached, or is restarting.
    std::function<void()> on_unreachable;
};

class upstream_calls
{
public:
    // `client` and `state` outlive this.
    upstream_calls(
        http_client& client, agent_state& state, upstream_events events);
    upstream_calls(upstream_calls const&) = delete;
    upstream_calls& operator=(upstream_calls const&) = delete;
    ~upstream_calls();

    // Sends the attempt to the upstream. Precondition: it is not running.
    void start(attempt& a, steady_time now);

    // Ends the call; its handlers are not called. The upstream may go on
    // until it notices.
    void stop(attempt& a);

    // Asks for the load when it is due.
    void tick(steady_time now);

private:
    http_call call_for(attempt const& a) const;
    void ask_for_load(steady_time now);
    void take_report(result<http_reply> const& r);

    http_client& client_;
    agent_state& state_;
    upstream_events events_;
    http_client::call_id load_call_ = 0;
    steady_time load_asked_{};
};

} // namespace marjorambeam
