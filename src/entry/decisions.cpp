#include "entry/decisions.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t default_max_tokens = 256;
constexpr std::size_t max_attempts = 3;

bool serves(config_snapshot const& config, peer const& p, std::string const& id)
{
    auto const it = config.upstreams.find(p.upstream);
    return it != config.upstreams.end() && is_in_service(config, it->second) &&
           std::find(it->second.serves.begin(), it->second.serves.end(), id) !=
               it->second.serves.end();
}

} // namespace

result<void> choose_version(contract const& c, entry_request& r)
{
    version const* best = nullptr;
    bool is_withdrawn = false;
    for (auto const& [id, v] : r.config->versions)
    {
        bool const is_named = r.chat.model == "auto" ||
                              r.chat.model == v.model || r.chat.model == id;
        if (!is_named || !is_permitted(c, v))
            continue;
        if (v.state == version_state::withdrawn)
            is_withdrawn = true;
        else if (best == nullptr || v.price_out < best->price_out)
            best = &v;
    }
    if (best == nullptr)
    {
        return is_withdrawn ? fail(
                                  error_kind::version_withdrawn,
                                  "every permitted version of \"" +
                                      r.chat.model + "\" is withdrawn")
                            : fail(
                                  error_kind::model_not_allowed,
                                  "the contract does not allow the model \"" +
                                      r.chat.model + "\"");
    }
    r.model = best->model;
    r.version_id = best->id();
    r.work.target = r.version_id;
    return {};
}

result<std::string>
choose_agent(entry_state const& state, entry_request const& r)
{
    config_snapshot const& config = *state.cluster.config;
    peer const* best = nullptr;
    std::uint32_t best_load = 0;
    for (auto const& [instance, p] : state.cluster.peers)
    {
        bool const was_tried =
            std::find(r.tried.begin(), r.tried.end(), instance) !=
            r.tried.end();
        if (p.role != process_role::agent || p.is_leaving || was_tried ||
            !serves(config, p, r.work.target))
            continue;
        auto const load = state.loads.find(instance);
        std::uint32_t const n =
            load == state.loads.end()
                ? 0
                : load->second.first.running + load->second.first.queued;
        if (best == nullptr || n < best_load)
        {
            best = &p;
            best_load = n;
        }
    }
    if (best == nullptr)
    {
        return fail(
            error_kind::no_upstream,
            "no upstream in service serves " + r.work.target);
    }
    return best->instance;
}

next_step
after_failure(entry_request const& r, error const& why, steady_time now)
{
    bool const is_safe = r.work.is_idempotent || why.run == run_state::not_run;
    bool const has_time = now < r.deadline;
    return is_safe && has_time && r.work.attempt < max_attempts
               ? next_step::retry
               : next_step::give_up;
}

std::uint64_t estimate_tokens(chat_request const& chat)
{
    std::uint64_t const out =
        chat.max_tokens == 0 ? default_max_tokens : chat.max_tokens;
    return chat.prompt_bytes / bytes_per_token + out;
}

} // namespace marjorambeam
