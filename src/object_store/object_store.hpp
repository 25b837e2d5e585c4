// Client of the platform's object API.
//
// Example:
//   object_store store(client, "http://127.0.0.1:9000");
//   store.create("leases", "rollout", text,
//       [](result<stored_object> r)
//       {
//           if (!r && r.error().kind == error_kind::conflict)
//               ...; // somebody else holds it
//       });
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "base/time.hpp"
#include "error/error.hpp"
#include "http_client/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// One object as the store returned it. `revision` grows with each change
// anywhere in the store; equal revisions of one name mean equal values.
struct stored_object
{
    std::string name;
    std::uint64_t revision = 0;
    std::string value;
};

// One page of a list, in order of name. `revision` is the store's at the time
// of the list, so that a watch after it misses nothing. A page may be shorter
// than the limit, because the store also bounds its size: only `has_more`
// tells the end.
struct object_list : std::vector<stored_object>
{
    std::uint64_t revision = 0;
    bool has_more = false;
};

// What a watch found. Objects that were deleted are not reported.
struct watch_result
{
    std::uint64_t revision = 0; // continue after this one
    std::vector<stored_object> changed;
};

// Calls are asynchronous: each handler is called once, from the loop.
//
// Errors: not_found; conflict when a condition did not hold; body_too_large
// for a value over the store's limit; store_rate_limited with the time to come
// back; store_unavailable for everything else. With run state `unknown` in a
// store_unavailable error the change may have taken effect: read the object
// back to find out. Nothing is repeated here, so a conflict is never the echo
// of the caller's own lost answer.
//
// Kinds and names are not empty and hold no NUL. Values are UTF-8 text.
class object_store
{
public:
    using object_handler = std::function<void(result<stored_object>)>;
    using list_handler = std::function<void(result<object_list>)>;
    using watch_handler = std::function<void(result<watch_result>)>;
    using delete_handler = std::function<void(result<void>)>;

    // `url` is the base URL without a slash at its end. `client` outlives the
    // store. `timeout` bounds each call but a watch.
    object_store(
        http_client& client, std::string url,
        duration timeout = std::chrono::seconds(5));

    void get(std::string_view kind, std::string_view name, object_handler done);

    // Creates the object if the name is free, else fails with conflict.
    void create(
        std::string_view kind, std::string_view name, std::string_view value,
        object_handler done);

    // Replaces the value if the object still has `revision`.
    void update(
        std::string_view kind, std::string_view name, std::uint64_t revision,
        std::string_view value, object_handler done);

    // Deletes the object if it still has `revision`.
    void erase(
        std::string_view kind, std::string_view name, std::uint64_t revision,
        delete_handler done);

    // Objects of a kind whose names sort after `after`, in order of name, at
    // most `limit` (1 to 1000). Continue after the last name of the page.
    void list(
        std::string_view kind, std::string_view after, std::size_t limit,
        list_handler done);

    // Waits until an object of the kind changes after `revision`, at most
    // `timeout` (up to 60 s); an empty result is a timeout. Counts as one
    // call. Returns the id by which the http_client can cancel it.
    http_client::call_id watch(
        std::string_view kind, std::uint64_t revision, duration timeout,
        watch_handler done);

    // Calls sent since the start, by which the platform's limits count.
    std::uint64_t reads() const
    {
        return reads_;
    }
    std::uint64_t writes() const
    {
        return writes_;
    }

private:
    void write(
        http_call call, std::string_view name, std::string_view value,
        object_handler done);

    http_client& client_;
    std::string url_;
    duration timeout_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace marjorambeam
