// A small stand-in for the platform's object API over HTTP, with faults that
// are switched at run time. The protocol is in section 6 of docs/design.md.
//
// Example:
//   ev::dynamic_loop loop;
//   fake_object_api api(loop, {});
//   http_client client(loop);
//   object_store store(client, api.url());
//   api.set_faults({.lose_answers = 1}); // or PUT /faults over HTTP
//
// Paths beside the object API: `GET /faults`, `PUT /faults` with any of the
// members of object_api_faults, and `GET /counts`. Values are UTF-8 text,
// because lists and watches return them inside JSON.
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "event_loop/event_loop.hpp"
#include "fakes/object_api/object_data.hpp"
#include "http_server/http_server.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace marjorambeam
{

// Limits of the fake. Rates count whole windows of one second, the first of
// which starts with a call; 0 is no limit.
struct object_api_settings
{
    std::string listen = "127.0.0.1:0";
    std::int64_t writes_per_second = 400;
    std::int64_t reads_per_second = 2000;
    std::function<steady_time()> now = steady_now; // of the rate windows
};

// Faults that are switched at run time.
struct object_api_faults
{
    bool down = false; // 503 for every call
    duration delay{0}; // between the effect of a call and its answer
    // The next writes take effect, but the connection is cut instead of an
    // answer. A write whose condition fails has no effect and is cut, too.
    std::int64_t lose_answers = 0;
    std::int64_t lose_every_nth = 0; // the same for each n-th write; 0: none
};

// Calls since the start. A waiting watch is one call; refused calls count.
struct object_api_counts
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t creates = 0;
    std::uint64_t updates = 0;
    std::uint64_t deletes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused_rate = 0;
    std::uint64_t refused_down = 0;
    std::uint64_t lost_answers = 0;

    std::uint64_t reads() const
    {
        return gets + lists + watches;
    }
    std::uint64_t writes() const
    {
        return creates + updates + deletes;
    }
};

// Counts calls in windows of one second.
struct rate_window
{
    std::int64_t limit = 0; // 0: no limit
    std::int64_t used = 0;
    steady_time started_at{};
};

// Takes one call from the window, or returns false when it is used up.
bool take_call(rate_window& window, steady_time now);

class fake_object_api
{
public:
    // Throws std::runtime_error when the address can't be bound.
    fake_object_api(ev::loop_ref loop, object_api_settings settings);
    ~fake_object_api();
    fake_object_api(fake_object_api const&) = delete;
    fake_object_api& operator=(fake_object_api const&) = delete;

    // The base URL for clients.
    std::string url() const;
    // The address it listens on, with the port chosen by the kernel.
    std::string address() const;

    object_api_faults const& faults() const
    {
        return faults_;
    }
    // Replaces all fault switches. Going down ends the waiting watches.
    void set_faults(object_api_faults faults);

    object_api_counts const& counts() const
    {
        return counts_;
    }
    // The contents, to inspect or prepare in tests. Changes made here wake
    // no watch.
    object_data& data()
    {
        return data_;
    }

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    // What a call is answered with.
    struct answer
    {
        int status = 200;
        http_headers headers;
        std::string body;
        bool is_lost = false;
    };
    struct waiting_watch
    {
        exchange_ptr exchange;
        std::string kind;
        std::uint64_t after = 0;
        steady_time ends_at{};
    };
    struct delayed_answer
    {
        exchange_ptr exchange;
        answer content;
    };

    void on_request(exchange_ptr const& ex);
    void on_faults(http_exchange& ex);
    void on_counts(http_exchange& ex);
    void on_call(exchange_ptr const& ex);
    void on_object(
        exchange_ptr const& ex, std::string_view kind, std::string_view name);
    answer on_get(std::string_view kind, std::string_view name);
    answer
    on_put(http_request const& r, std::string_view kind, std::string_view name);
    answer on_delete(
        http_request const& r, std::string_view kind, std::string_view name);
    void on_list(exchange_ptr const& ex, std::string_view kind);
    void on_watch(exchange_ptr const& ex, std::string_view kind);
    bool refuses(exchange_ptr const& ex, bool is_write);
    bool loses_answer();
    void wake_watches(std::string_view kind);
    void end_watches();
    void send(exchange_ptr const& ex, answer content);
    void send_delayed();
    static void write(http_exchange& ex, answer const& content);
    static answer failure(error const& e);

    object_api_settings settings_;
    object_api_faults faults_;
    object_api_counts counts_;
    object_data data_;
    rate_window reads_;
    rate_window writes_;
    std::uint64_t writes_seen_ = 0; // by lose_every_nth
    std::list<waiting_watch> watches_;
    std::multimap<steady_time, delayed_answer> delayed_;
    loop_timer watch_timer_;
    loop_timer delay_timer_;
    http_server server_;
};

} // namespace marjorambeam
