// Objects of the platform's store, and the reading of its responses in slices,
// so that a large response holds up the loop no longer than a small one.
//
// Example:
//   page_loader loader(loop, monitor, protocol, "routes");
//   loader.start(std::move(reply), [](result<platform_objects> page) { ... });
//
// Everything here runs on the loop's thread; nothing is thread-safe.
#pragma once

#include "event_loop/event_loop.hpp"
#include "event_loop/loop_monitor.hpp"
#include "gateway/gateway_config.hpp"
#include "http_client/http_client.hpp"
#include "json_stream/json_stream.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambeam
{

// The part of an object that is relayed to other gateways, as text.
struct object_summary
{
    std::string specification;
    std::string status;
    // Changes whenever a relevant part of the object changes.
    std::uint64_t signature = 0;
};

// An object as the store holds it.
struct platform_object
{
    std::string name;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    nlohmann::json specification;
    nlohmann::json status;
    // Routes of a configuration, which are decoded while its specification is
    // read and are not in it; null if there are none.
    std::shared_ptr<gateway_config> routes;
    // Made while the object is read, unless it is deleted.
    std::optional<object_summary> summary;
};

// One response of the store: a page of a list, or the changes of a watch.
struct platform_objects
{
    std::vector<platform_object> objects;
    std::uint64_t revision = 0; // the next watch continues after it
    bool has_more = false;
};

// Required freshness of a read. A stale read may be seconds old; it is cheap
// and does not count toward the store's rate limits.
enum class read_freshness : std::uint8_t
{
    newest,
    may_be_stale
};

// A response that is being decoded.
struct page_builder
{
    platform_objects page;
    std::size_t body_bytes = 0; // of the response
    // Routes of the object that is being read.
    std::shared_ptr<gateway_config> routes;
};

// How the responses of a deployment's store are decoded, element by element.
struct page_format
{
    // Errors: frame_stale when the history of the watch was dropped; conflict;
    // store_rate_limited; store_unavailable.
    result<void> (*check)(http_reply const& reply);
    // Arrays whose elements are decoded while the body is read.
    std::span<std::string_view const> arrays;
    void (*add_element)(
        page_builder& b, std::size_t array, nlohmann::json&& element);
    // Decodes what is left of the body. Errors: store_unavailable.
    result<void> (*finish)(page_builder& b, nlohmann::json const& rest);
};

// Encodes and decodes the calls of a deployment's store.
struct platform_store_protocol
{
    http_call (*list)(
        std::string_view address, std::string_view kind, std::string_view after,
        read_freshness freshness);
    http_call (*watch)(
        std::string_view address, std::string_view kind, std::uint64_t revision,
        duration wait);
    http_call (*create)(
        std::string_view address, std::string_view kind, std::string_view name,
        nlohmann::json const& specification);
    // Replaces the status of an object that has `revision`.
    http_call (*put_status)(
        std::string_view address, std::string_view kind, std::string_view name,
        std::uint64_t revision, nlohmann::json const& status);
    // Replaces the specification of an object that has `revision`, or removes
    // such an object.
    http_call (*replace)(
        std::string_view address, std::string_view kind, std::string_view name,
        std::uint64_t revision, nlohmann::json const& specification);
    http_call (*remove)(
        std::string_view address, std::string_view kind, std::string_view name,
        std::uint64_t revision);
    page_format pages;
    object_summary (*summarize)(platform_object const& o);
    // Returns the era of the store that the reply names; 0 if it names none.
    // The store that comes back from an older copy begins another one.
    std::uint64_t (*era)(http_reply const& reply);
};

// Decodes one response. Not thread-safe.
class page_reader
{
public:
    // Precondition: `format` outlives the reader.
    page_reader(page_format const& format, http_reply&& reply);
    page_reader(page_reader const&) = delete;
    page_reader& operator=(page_reader const&) = delete;
    ~page_reader() = default;

    // Decodes the next `max_bytes` of the body. Returns whether it is done.
    // Errors: those of the format. Precondition: not done, and no call failed.
    result<bool> read(std::size_t max_bytes);
    // Returns the page. Precondition: read() has returned true.
    platform_objects take();

private:
    page_format const& format_;
    http_reply reply_;
    page_builder builder_;
    json_stream stream_;
    std::size_t position_ = 0;
};

// Decodes a response in one go, for calls whose responses are small.
// Precondition: as for read(). Not thread-safe.
result<platform_objects>
read_page(platform_store_protocol const& protocol, result<http_reply> reply);

// Reads responses in slices, one in each turn of the loop. Not thread-safe.
class page_loader
{
public:
    using done_handler = std::function<void(result<platform_objects>)>;

    // Preconditions: `monitor`, `protocol` and `name` outlive the loader. Loop
    // thread only, like all members.
    page_loader(
        ev::loop_ref loop, loop_monitor& monitor,
        platform_store_protocol const& protocol, std::string_view name);

    // Reads the response and calls `done`: at once if it fits into a slice, or
    // else from a later turn. Precondition: !is_active().
    void start(http_reply&& reply, done_handler done);
    // Drops the response. Harmless when none is being read.
    void cancel();
    bool is_active() const
    {
        return reader_ != nullptr;
    }

private:
    void read_slice();

    loop_monitor& monitor_;
    platform_store_protocol const& protocol_;
    std::string_view name_;
    std::unique_ptr<page_reader> reader_;
    done_handler done_;
    loop_timer timer_;
};

} // namespace marjorambeam
