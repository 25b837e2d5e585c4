#include "gateway/object_page.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace marjorambeam
{
namespace
{

// Body that is decoded in one turn: some 60 routes.
constexpr std::size_t slice_bytes = std::size_t{16} << 10U;

} // namespace

page_reader::page_reader(page_format const& format, http_reply&& reply)
    : format_(format)
    , reply_(std::move(reply))
    , stream_(
          format.arrays, [this](std::size_t array, nlohmann::json&& element)
          { format_.add_element(builder_, array, std::move(element)); })
{
    builder_.body_bytes = reply_.body.size();
}

result<bool> page_reader::read(std::size_t max_bytes)
{
    if (position_ == 0)
    {
        if (auto const ok = format_.check(reply_); !ok)
            return tl::unexpected<error>(ok.error());
    }
    std::string_view const body = reply_.body;
    std::string_view const piece = body.substr(position_, max_bytes);
    result<void> const ok = stream_.put(piece);
    position_ += piece.size();
    if (ok && position_ < body.size())
        return false;
    result<nlohmann::json> const rest =
        ok ? stream_.finish()
           : result<nlohmann::json>(tl::unexpected<error>(ok.error()));
    if (!rest)
        return fail(
            error_kind::store_unavailable, "the store's answer can't be read");
    if (auto const finished = format_.finish(builder_, *rest); !finished)
        return tl::unexpected<error>(finished.error());
    return true;
}

platform_objects page_reader::take()
{
    return std::move(builder_.page);
}

result<platform_objects>
read_page(platform_store_protocol const& protocol, result<http_reply> reply)
{
    if (!reply)
        return tl::unexpected<error>(reply.error());
    page_reader reader(protocol.pages, std::move(*reply));
    result<bool> const done =
        reader.read(std::numeric_limits<std::size_t>::max());
    if (!done)
        return tl::unexpected<error>(done.error());
    return reader.take();
}

page_loader::page_loader(
    ev::loop_ref loop, loop_monitor& monitor,
    platform_store_protocol const& protocol, std::string_view name)
    : monitor_(monitor)
    , protocol_(protocol)
    , name_(name)
    , timer_(loop, [this] { read_slice(); })
{
}

void page_loader::start(http_reply&& reply, done_handler done)
{
    reader_ = std::make_unique<page_reader>(protocol_.pages, std::move(reply));
    done_ = std::move(done);
    read_slice();
}

void page_loader::cancel()
{
    timer_.stop();
    reader_.reset();
    done_ = nullptr;
}

void page_loader::read_slice()
{
    timed_part const part(monitor_, name_);
    result<bool> const done = reader_->read(slice_bytes);
    if (done && !*done)
    {
        timer_.start(duration{0});
        return;
    }
    result<platform_objects> page =
        done ? result<platform_objects>(reader_->take())
             : result<platform_objects>(tl::unexpected<error>(done.error()));
    done_handler const callback = std::move(done_);
    cancel();
    callback(std::move(page));
}

} // namespace marjorambeam
