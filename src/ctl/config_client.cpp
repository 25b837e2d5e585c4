#include "ctl/config_client.hpp"

#include <algorithm>
#include <optional>

namespace marjorambeam
{
namespace
{

constexpr std::size_t page_size = 200;

} // namespace

void config_client::pause(duration wait)
{
    if (wait <= duration(0))
        return;
    loop_timer timer(loop_, [this] { loop_.break_loop(ev::ALL); });
    timer.start(wait);
    while (timer.is_active())
        loop_.run();
}

result<object_list> config_client::list(
    std::string_view kind, std::uint64_t after, std::size_t limit)
{
    std::string const name = after == 0 ? "" : generation_name(after);
    return wait_for<object_list>(
        loop_, [&](auto done) { store_.list(kind, name, limit, done); });
}

result<std::uint64_t> config_client::find_checkpoint(std::string& text)
{
    checkpoint_search search;
    while (!is_done(search))
    {
        std::uint64_t const probe = next_probe(search);
        result<object_list> page = list(checkpoints_kind, probe, 1);
        if (!page)
            return tl::unexpected<error>(page.error());
        if (page->empty())
        {
            note_probe(search, probe, std::nullopt);
            continue;
        }
        std::uint64_t const found = generation_number(page->front().name);
        if (found <= probe)
        {
            return fail(
                error_kind::bad_document, "checkpoint \"" + page->front().name +
                                              "\" is not named by a number");
        }
        text = std::move(page->front().value);
        note_probe(search, probe, found);
    }
    return search.newest;
}

result<config_snapshot> config_client::load()
{
    std::string text;
    result<std::uint64_t> const checkpoint = find_checkpoint(text);
    if (!checkpoint)
        return tl::unexpected<error>(checkpoint.error());
    last_checkpoint_ = *checkpoint;
    config_snapshot now;
    if (*checkpoint > 0)
    {
        result<config_snapshot> parsed = parse_checkpoint(text);
        if (!parsed)
            return parsed;
        now = std::move(*parsed);
    }
    bool has_more = true;
    while (has_more)
    {
        result<object_list> const page =
            list(generations_kind, now.number, page_size);
        if (!page)
            return tl::unexpected<error>(page.error());
        for (stored_object const& it : *page)
        {
            std::uint64_t const number = generation_number(it.name);
            if (number != now.number + 1)
            {
                return fail(
                    error_kind::bad_document,
                    "generation " + std::to_string(now.number + 1) +
                        " is missing; found \"" + it.name + "\"");
            }
            now = advance(now, parse_generation(number, it.value));
        }
        has_more = page->has_more;
    }
    return now;
}

result<std::vector<generation>>
config_client::read_generations(std::uint64_t after, std::size_t limit)
{
    std::vector<generation> found;
    bool has_more = true;
    while (has_more && found.size() < limit)
    {
        result<object_list> const page = list(
            generations_kind, after, std::min(page_size, limit - found.size()));
        if (!page)
            return tl::unexpected<error>(page.error());
        for (stored_object const& it : *page)
        {
            after = generation_number(it.name);
            result<generation> g = parse_generation(after, it.value);
            if (!g)
                g = generation{after, "unreadable: " + g.error().message};
            found.push_back(std::move(*g));
        }
        has_more = page->has_more && !page->empty();
    }
    return found;
}

result<generation> config_client::read_back(std::uint64_t number)
{
    result<stored_object> const object = wait_for<stored_object>(
        loop_, [&](auto done)
        { store_.get(generations_kind, generation_name(number), done); });
    if (!object)
        return tl::unexpected<error>(object.error());
    return parse_generation(number, object->value);
}

edit_state config_client::commit(
    config_snapshot base, generation proposal, steady_time give_up_at)
{
    checkpoint_failure_.clear();
    edit_state s = begin_edit(std::move(base), std::move(proposal), give_up_at);
    while (s.next != edit_action::finish)
    {
        pause(s.wait);
        if (s.next == edit_action::read_back)
        {
            result<generation> const found = read_back(s.proposal.number);
            s = after_read_back(std::move(s), found, steady_now());
            continue;
        }
        result<stored_object> const created = wait_for<stored_object>(
            loop_,
            [&](auto done)
            {
                store_.create(
                    generations_kind, generation_name(s.proposal.number),
                    to_json(s.proposal), done);
            });
        result<void> answer;
        if (!created)
            answer = tl::unexpected<error>(created.error());
        s = after_create(std::move(s), answer, steady_now());
    }
    if (s.outcome && needs_checkpoint(last_checkpoint_, *s.outcome))
        write_checkpoint(s);
    return s;
}

void config_client::write_checkpoint(edit_state const& end)
{
    config_snapshot const now = apply_or_refuse(end.base, end.proposal);
    result<stored_object> const written = wait_for<stored_object>(
        loop_,
        [&](auto done)
        {
            store_.create(
                checkpoints_kind, generation_name(now.number),
                to_checkpoint(now), done);
        });
    // A conflict is a checkpoint with the same contents, because the
    // generations that it sums up never change.
    if (written || written.error().kind == error_kind::conflict)
        last_checkpoint_ = now.number;
    else
        checkpoint_failure_ = written.error().message;
}

} // namespace marjorambeam
