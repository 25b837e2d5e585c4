#include "config_sync/config_history.hpp"

#include <iterator>

namespace marjorambeam
{
namespace
{

void drop_texts_up_to(config_history& h, std::uint64_t number)
{
    auto const end = h.texts.upper_bound(number);
    for (auto it = h.texts.begin(); it != end; ++it)
        h.text_bytes -= it->second.size();
    h.texts.erase(h.texts.begin(), end);
}

void drop_pending_up_to(config_history& h, std::uint64_t number)
{
    auto const end = h.pending.upper_bound(number);
    for (auto it = h.pending.begin(); it != end; ++it)
        h.pending_bytes -= it->second.size();
    h.pending.erase(h.pending.begin(), end);
}

// Makes the generation in force the newest checkpoint.
void add_checkpoint(config_history& h)
{
    h.base = h.newest;
    h.base_text = std::move(h.newest_text);
    h.newest = h.current->number;
    h.newest_text = to_checkpoint(*h.current);
    drop_texts_up_to(h, h.base);
}

void start_from_checkpoint(
    config_history& h, config_snapshot snapshot, std::string text)
{
    h.current = std::make_shared<config_snapshot const>(std::move(snapshot));
    h.base = h.newest = h.current->number;
    h.base_text = text;
    h.newest_text = std::move(text);
    h.texts.clear();
    h.text_bytes = 0;
    drop_pending_up_to(h, h.current->number);
}

void add_pending(
    config_history& h, std::uint64_t number, std::string text,
    history_limits const& limits)
{
    if (number <= h.current->number || h.pending.count(number) != 0)
        return;
    h.pending_bytes += text.size();
    h.pending.emplace(number, std::move(text));
    // Evicts the highest numbers first, as they are needed last. The lowest one
    // is always kept.
    while (h.pending.size() > 1 && (h.pending.size() > limits.max_pending ||
                                    h.pending_bytes > limits.max_pending_bytes))
    {
        auto const last = std::prev(h.pending.end());
        h.pending_bytes -= last->second.size();
        h.pending.erase(last);
    }
}

// Returns the snapshot after applying `text`. An invalid text advances the
// number and leaves the contents unchanged.
config_snapshot apply_text(
    config_snapshot const& from, std::uint64_t number, std::string_view text)
{
    result<generation> const g = parse_generation(number, text);
    if (g)
        return apply_or_refuse(from, *g);
    config_snapshot kept = from;
    kept.number = number;
    kept.refused[number] = g.error().message;
    return kept;
}

void apply_pending(
    config_history& h, apply_outcome& out, history_limits const& limits)
{
    while (!h.pending.empty() &&
           h.pending.begin()->first == h.current->number + 1)
    {
        auto node = h.pending.extract(h.pending.begin());
        h.pending_bytes -= node.mapped().size();
        std::uint64_t const number = node.key();
        config_snapshot next = apply_text(*h.current, number, node.mapped());
        out.refused += next.refused.count(number);
        while (next.refused.size() > limits.max_refused_kept)
            next.refused.erase(next.refused.begin());
        h.current = std::make_shared<config_snapshot const>(std::move(next));
        h.text_bytes += node.mapped().size();
        h.texts.insert(std::move(node));
        bool const is_full = h.text_bytes > limits.max_text_bytes;
        if (number % checkpoint_interval == 0 || is_full)
            add_checkpoint(h);
        if (h.text_bytes > limits.max_text_bytes)
        {
            drop_texts_up_to(h, h.newest);
            h.base = h.newest;
            h.base_text = h.newest_text;
        }
    }
}

} // namespace

apply_outcome apply_received(
    config_history& h, config_generations received,
    history_limits const& limits)
{
    apply_outcome out;
    std::uint64_t const before = h.current->number;
    if (received.checkpoint > before)
    {
        result<config_snapshot> s = parse_checkpoint(received.snapshot);
        if (s && s->number == received.checkpoint)
        {
            start_from_checkpoint(
                h, std::move(*s), std::move(received.snapshot));
        }
        else
        {
            out.is_bad_checkpoint = true;
        }
    }
    for (auto& [number, text] : received.generations)
    {
        add_pending(h, number, std::move(text), limits);
        apply_pending(h, out, limits);
    }
    apply_pending(h, out, limits);
    out.applied = h.current->number - before;
    out.has_gap = !h.pending.empty();
    return out;
}

config_generations make_pull_response(
    config_history const& h, std::uint64_t after, history_limits const& limits)
{
    config_generations out;
    if (after >= h.current->number)
        return out;
    std::uint64_t from = after;
    if (after < h.base)
    {
        out.checkpoint = h.newest;
        out.snapshot = h.newest_text;
        from = h.newest;
    }
    std::size_t bytes = 0;
    for (auto it = h.texts.upper_bound(from); it != h.texts.end(); ++it)
    {
        bytes += it->second.size();
        bool const is_first = out.generations.empty();
        if (bytes > limits.max_response_bytes && !is_first)
            break;
        out.generations.emplace_back(it->first, it->second);
    }
    return out;
}

} // namespace marjorambeam
