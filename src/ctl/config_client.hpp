// Reads and edits the configuration in the object API, one call at a time on a
// loop that runs until the call is done.
//
// Example:
//   config_client configs(loop, store);
//   result<config_snapshot> now = configs.load();
//   edit_state end = configs.commit(*now, proposal, give_up_at);
//
// For command-line tools; a daemon must not block its loop like this.
#pragma once

#include "config_edit/config_edit.hpp"
#include "event_loop/event_loop.hpp"
#include "object_store/object_store.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marjorambeam
{

// Runs the loop until the handler that `start` passes on is called, and
// returns what it was called with. Precondition: the loop is not running.
template <class T, class Start>
result<T> wait_for(ev::loop_ref loop, Start start)
{
    std::optional<result<T>> out;
    start(
        [&](result<T> r)
        {
            out = std::move(r);
            loop.break_loop(ev::ALL);
        });
    while (!out)
        loop.run();
    return std::move(*out);
}

class config_client
{
public:
    // Both outlive the client.
    config_client(ev::loop_ref loop, object_store& store)
        : loop_(loop)
        , store_(store)
    {
    }

    // Returns the newest configuration from the latest checkpoint and the
    // generations after it. Errors: those of the store; bad_document when a
    // generation is missing or the checkpoint can't be read.
    result<config_snapshot> load();

    // Generations after `after`, in order, at most `limit`. One that can't be
    // read has no edits and the reason in place of its edit id.
    result<std::vector<generation>>
    read_generations(std::uint64_t after, std::size_t limit);

    // Writes the proposal on top of `base`, and a checkpoint when one is due.
    // The end is in the state's `outcome` and `other`.
    edit_state
    commit(config_snapshot base, generation proposal, steady_time give_up_at);

    // Why the last commit's checkpoint is not confirmed; empty when it is or
    // none was due. The edit is accepted all the same.
    std::string const& checkpoint_failure() const
    {
        return checkpoint_failure_;
    }

private:
    result<std::uint64_t> find_checkpoint(std::string& text);
    result<object_list>
    list(std::string_view kind, std::uint64_t after, std::size_t limit);
    result<generation> read_back(std::uint64_t number);
    void write_checkpoint(edit_state const& end);
    void pause(duration wait);

    ev::loop_ref loop_;
    object_store& store_;
    std::uint64_t last_checkpoint_ = 0;
    std::string checkpoint_failure_;
};

} // namespace marjorambeam
