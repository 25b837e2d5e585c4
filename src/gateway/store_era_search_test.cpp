// All orders in which a reader and a gateway that hears it can follow a store
// that changes and comes back from older copies.
#include "gateway/state_relay.hpp"
#include "state_search/state_search.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace marjorambeam;

namespace
{

constexpr std::size_t most_changes = 3; // of each era
constexpr std::uint64_t most_eras = 2;
// The store holds two objects, each there or not: a bit for each.
constexpr unsigned objects = 2;

// Which parts of the design are at work; the search must fail without each.
struct guards
{
    bool reads_eras = true;
    // The difference between a copy and a list applies to an equal copy only.
    bool lists_are_exact = true;
};

struct copy
{
    store_position position{1, 0};
    unsigned value = 0;
};

// A response of the store, or a relayed change: the objects of `mask` have
// changed to `value` between two revisions.
struct change
{
    bool is_list = false;
    std::uint64_t era = 1;
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    unsigned before = 0; // value of all objects at `from`
    unsigned mask = 0;
    unsigned value = 0;
};

struct world
{
    // Contents after each change, by era.
    std::vector<std::vector<unsigned>> eras{{}, {0}};
    copy reader;
    std::uint64_t reader_era = 1; // the latest it has heard of
    copy follower;
    std::optional<change> response; // to the reader, under way
    std::optional<change> relayed;  // to the follower, under way
    std::string fault;

    std::vector<unsigned> const& now() const
    {
        return eras.back();
    }
};

std::string key_of(change const& c)
{
    return std::to_string(c.is_list) + std::to_string(c.era) +
           std::to_string(c.from) + std::to_string(c.to) +
           std::to_string(c.before) + std::to_string(c.mask) +
           std::to_string(c.value);
}

std::string key_of(copy const& c)
{
    return std::to_string(c.position.era) +
           std::to_string(c.position.revision) + std::to_string(c.value);
}

std::string key_of(world const& w)
{
    std::string key;
    for (std::vector<unsigned> const& era : w.eras)
    {
        for (unsigned const it : era)
            key += std::to_string(it);
        key += "/";
    }
    key += key_of(w.reader) + std::to_string(w.reader_era) + "," +
           key_of(w.follower);
    key += w.response ? key_of(*w.response) : "-";
    key += w.relayed ? key_of(*w.relayed) : "-";
    return key + w.fault;
}

// A copy must hold what the store held at its position.
void check(world& w, copy const& c, char const* whose)
{
    if (w.eras.at(c.position.era).at(c.position.revision) != c.value)
        w.fault = std::string(whose) + " holds what the store never held";
}

change difference(world const& w, bool is_list)
{
    change c;
    c.is_list = is_list;
    c.era = w.eras.size() - 1;
    c.to = w.now().size() - 1;
    c.value = w.now().back();
    c.mask = (1U << objects) - 1;
    if (is_list)
        return c;
    c.from = w.reader.position.revision;
    c.before = w.now().at(c.from);
    c.mask = 0;
    for (std::size_t r = c.from; r < c.to; ++r)
        c.mask |= w.now()[r] ^ w.now()[r + 1];
    return c;
}

// As store_controller::relay(), of what the reader took from the response `c`.
// A list does not tell of objects that changed and changed back.
void relay(world& w, copy const& before, change const& c, bool lists_are_exact)
{
    if (w.reader.position.era != before.position.era ||
        w.reader.value == before.value)
        return;
    w.relayed = change{
        .era = c.era,
        .from = c.is_list && lists_are_exact ? c.to : before.position.revision,
        .to = c.to,
        .before = before.value,
        .mask = c.is_list ? before.value ^ w.reader.value : c.mask,
        .value = w.reader.value};
}

// As object_watch::on_reply().
void apply_response(world& w, guards const& g)
{
    change const c = *std::exchange(w.response, std::nullopt);
    copy const before = w.reader;
    if (g.reads_eras && c.era != w.reader_era)
    {
        w.reader_era = std::max(w.reader_era, c.era);
        return; // it lists again
    }
    if (!c.is_list && c.to < w.reader.position.revision)
        return;
    w.reader.position = {c.era, c.to};
    w.reader.value = (w.reader.value & ~c.mask) | (c.value & c.mask);
    check(w, w.reader, "the reader");
    relay(w, before, c, g.lists_are_exact);
}

void apply_relayed(world& w, guards const& g)
{
    change const c = *std::exchange(w.relayed, std::nullopt);
    state_change s;
    s.era = g.reads_eras ? c.era : w.follower.position.era;
    s.from = c.from;
    s.revision = c.to;
    s.before = c.before;
    if (!is_applicable(s, w.follower.value, w.follower.position))
        return;
    w.follower.position = {c.era, c.to};
    w.follower.value = (w.follower.value & ~c.mask) | (c.value & c.mask);
    check(w, w.follower, "the follower");
}

template <class Emit>
void next_steps(world const& w, guards const& g, Emit&& emit)
{
    auto step = [&](char const* name, auto act)
    {
        world n = w;
        act(n);
        emit(name, std::move(n));
    };
    if (w.now().size() <= most_changes)
    {
        for (unsigned bit = 0; bit < objects; ++bit)
            step(
                "an object changes", [&](world& n)
                { n.eras.back().push_back(n.now().back() ^ (1U << bit)); });
    }
    for (std::size_t kept = 1;
         kept < w.now().size() && w.eras.size() <= most_eras; ++kept)
        step(
            "the store comes back from an older copy",
            [&](world& n)
            {
                std::vector<unsigned> copy = n.now();
                copy.resize(kept);
                n.eras.push_back(std::move(copy));
            });
    bool const must_list =
        g.reads_eras && w.reader.position.era != w.reader_era;
    // A watch from a revision that the store does not have is answered with
    // 410.
    bool const may_watch =
        !must_list && w.reader.position.revision < w.now().size();
    if (!w.response && may_watch)
        step(
            "the store responds to a watch",
            [&](world& n) { n.response = difference(n, false); });
    // The reader may list at any time, as when the history was compacted.
    if (!w.response)
        step(
            "the store responds to a list",
            [&](world& n) { n.response = difference(n, true); });
    if (w.response)
    {
        step("the response arrives", [&](world& n) { apply_response(n, g); });
        step("the response is lost", [&](world& n) { n.response.reset(); });
    }
    if (w.relayed)
    {
        step(
            "the relayed change arrives",
            [&](world& n) { apply_relayed(n, g); });
        step("it is lost", [&](world& n) { n.relayed.reset(); });
    }
    step(
        "the follower lists",
        [&](world& n)
        {
            n.follower.position = {n.eras.size() - 1, n.now().size() - 1};
            n.follower.value = n.now().back();
        });
}

search_result search(guards const& g)
{
    constexpr std::size_t most_states = 3'000'000;
    return search_states(
        world{}, [](world const& w) { return key_of(w); },
        [&](world const& w, auto&& emit) { next_steps(w, g, emit); },
        [](world const& w) { return w.fault; }, most_states);
}

} // namespace

// Guards against an order of changes, restored copies, late responses and late
// relays after which a copy holds what the store never held at its position.
TEST_CASE("No order of events mixes the eras of the store in a copy")
{
    search_result const r = search({});
    CAPTURE(r.path, r.states);
    CHECK(r.fault.empty());
    CHECK(r.is_complete);
    CHECK(r.states > 1000);
}

// Guards against a search that would pass without the mechanisms it is about.
TEST_CASE("The search over eras of the store fails without each guard")
{
    CHECK_FALSE(search({.reads_eras = false}).fault.empty());
    CHECK_FALSE(search({.lists_are_exact = false}).fault.empty());
}
