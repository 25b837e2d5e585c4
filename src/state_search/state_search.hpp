// Explicit-state model checking: breadth-first exploration of all reachable
// states of a small protocol model.
//
// Example:
//   search_result r = search_states(
//       start, [](state const& s) { return key_of(s); },
//       [](state const& s, auto&& emit) { emit("crash", crashed(s)); },
//       [](state const& s) { return s.runs > 1 ? "ran twice" : ""; },
//       1000000);
//   REQUIRE(r.fault.empty());
//
// Thread-safe: there is no shared state.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace marjorambeam
{

// The result of a search.
struct search_result
{
    std::size_t states = 0;        // distinct
    std::size_t transitions = 0;   // tried
    bool is_complete = false;      // all reachable states were visited
    std::string fault;             // of the first violating state, or empty
    std::vector<std::string> path; // shortest trace to the fault
};

// Visits every state that is reachable from `start` in breadth-first order,
// until one fails or `limit` states were visited. `key` returns a text that
// differs for states that differ; `next` calls emit(label, state) for each
// step; `check` returns what is wrong with a state, or an empty text.
template <class State, class Key, class Next, class Check>
search_result
search_states(State start, Key key, Next next, Check check, std::size_t limit)
{
    struct origin
    {
        std::size_t parent;
        std::string label;
    };
    search_result result;
    std::unordered_set<std::string> visited{key(start)};
    std::vector<origin> origins{{0, ""}};
    std::deque<std::pair<std::size_t, State>> frontier;
    frontier.emplace_back(0, std::move(start));
    while (!frontier.empty())
    {
        auto const [index, state] = std::move(frontier.front());
        frontier.pop_front();
        result.fault = check(state);
        if (!result.fault.empty())
        {
            for (std::size_t i = index; i != 0; i = origins[i].parent)
                result.path.insert(result.path.begin(), origins[i].label);
            break;
        }
        next(
            state,
            [&, parent = index](char const* label, State s)
            {
                ++result.transitions;
                if (visited.size() >= limit || !visited.insert(key(s)).second)
                    return;
                origins.push_back({parent, label});
                frontier.emplace_back(origins.size() - 1, std::move(s));
            });
    }
    result.states = visited.size();
    result.is_complete =
        frontier.empty() && result.fault.empty() && visited.size() < limit;
    return result;
}

} // namespace marjorambeam
