#include "cluster/config_store_reader.hpp"

#include "config/generation.hpp"

namespace marjorambeam
{
namespace
{

constexpr std::string_view generations_kind = "generations";
constexpr std::string_view checkpoints_kind = "checkpoints";
constexpr std::string_view latest_name = "latest";
constexpr std::size_t page_limit = 200;

} // namespace

config_store_reader::config_store_reader(object_store& store, handlers h)
    : store_(store)
    , handlers_(std::move(h))
{
}

void config_store_reader::read()
{
    if (is_busy_)
        return;
    is_busy_ = true;
    // A daemon that has read before is rarely far behind, and then lists.
    if (has_read_ || handlers_.current() > 0)
        read_page();
    else
        read_latest();
}

void config_store_reader::read_latest()
{
    store_.get(
        checkpoints_kind, latest_name,
        guarded(
            [this](result<stored_object> r)
            {
                std::uint64_t const number =
                    r ? generation_number(r->value) : 0;
                if (number > handlers_.current())
                    read_checkpoint(r->value);
                else if (r || r.error().kind == error_kind::not_found)
                    read_page();
                else
                    finish(false);
            }));
}

void config_store_reader::read_checkpoint(std::string_view name)
{
    store_.get(
        checkpoints_kind, name,
        guarded(
            [this](result<stored_object> r)
            {
                if (!r && r.error().kind != error_kind::not_found)
                {
                    finish(false);
                    return;
                }
                if (r)
                {
                    handlers_.on_bytes(0, r->value.size());
                    config_generations g;
                    g.checkpoint = generation_number(r->name);
                    g.snapshot = std::move(r->value);
                    handlers_.on_data(std::move(g));
                }
                read_page();
            }));
}

void config_store_reader::read_page()
{
    std::uint64_t const after = handlers_.current();
    store_.list(
        generations_kind, generation_name(after), page_limit,
        guarded(
            [this, after](result<object_list> r)
            {
                if (!r)
                {
                    finish(false);
                    return;
                }
                std::uint64_t const revision = r->revision;
                bool const has_more = r->has_more;
                take_objects(std::move(*r));
                // Without progress a further page would be the same.
                if (has_more && handlers_.current() > after)
                {
                    read_page();
                    return;
                }
                revision_ = revision;
                has_read_ = !has_more;
                finish(!has_more);
            }));
}

void config_store_reader::watch(duration timeout)
{
    if (is_busy_)
        return;
    is_busy_ = true;
    store_.watch(
        generations_kind, revision_, timeout,
        guarded(
            [this](result<watch_result> r)
            {
                if (!r)
                {
                    finish(false);
                    return;
                }
                revision_ = r->revision;
                take_objects(std::move(r->changed));
                finish(true);
            }));
}

void config_store_reader::take_objects(std::vector<stored_object> objects)
{
    config_generations g;
    std::uint64_t bytes = 0;
    for (stored_object& it : objects)
    {
        bytes += it.name.size() + it.value.size();
        std::uint64_t const number = generation_number(it.name);
        if (number > handlers_.current())
            g.generations.emplace_back(number, std::move(it.value));
    }
    handlers_.on_bytes(0, bytes);
    if (!g.generations.empty())
        handlers_.on_data(std::move(g));
}

void config_store_reader::finish(bool ok)
{
    is_busy_ = false;
    handlers_.on_done(ok);
}

void config_store_reader::write_checkpoint(
    std::uint64_t number, std::string_view text, std::function<void(bool)> done)
{
    handlers_.on_bytes(text.size(), 0);
    store_.create(
        checkpoints_kind, generation_name(number), text,
        guarded(
            [this, number, done = std::move(done)](result<stored_object> r)
            {
                // All daemons write the same text, so any of them will do.
                if (r || r.error().kind == error_kind::conflict)
                    move_latest(number, done);
                else
                    done(r.error().kind == error_kind::body_too_large);
            }));
}

void config_store_reader::move_latest(
    std::uint64_t number, std::function<void(bool)> done)
{
    store_.get(
        checkpoints_kind, latest_name,
        guarded(
            [this, number, done = std::move(done)](result<stored_object> r)
            {
                if (r && generation_number(r->value) >= number)
                {
                    done(true);
                    return;
                }
                std::string const name = generation_name(number);
                auto written = guarded([done](result<stored_object> const& w)
                                       { done(w.has_value()); });
                if (r)
                    store_.update(
                        checkpoints_kind, latest_name, r->revision, name,
                        written);
                else if (r.error().kind == error_kind::not_found)
                    store_.create(checkpoints_kind, latest_name, name, written);
                else
                    done(false);
            }));
}

} // namespace marjorambeam
