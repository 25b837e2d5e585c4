// store_controller's part in the eras of the store.
#include "gateway/store_controller.hpp"
#include "gateway/store_era.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

// Of the call that writes the record of an era, and between two of them.
constexpr duration record_timeout = std::chrono::seconds(2);

} // namespace

bool store_controller::accepts_era(std::uint64_t era)
{
    std::uint64_t const before = state_.era.number;
    era_check const c = check_era(state_, era, boot_now());
    if (c == era_check::outdated)
        state_.counters.count("store_answers_outdated_total");
    if (c == era_check::begun)
        begin_era(before);
    return c == era_check::current;
}

void store_controller::begin_era(std::uint64_t before)
{
    std::string copies;
    for (std::size_t i = 0; i < state_kind_count; ++i)
        copies.append(i == 0 ? "" : ",")
            .append(std::to_string(state_.kinds[i].position.revision));
    std::int64_t const config = state_.config ? state_.config->version : 0;
    log_.write(
        log_event::store_era_changed,
        {{"era", std::to_string(state_.era.number)},
         {"before", std::to_string(before)},
         {"copies", copies},
         {"config", std::to_string(config)}});
    state_.counters.count("store_eras_total");
    config_.begin_era(state_.era.number);
    for (std::size_t i = 0; i < state_kind_count; ++i)
    {
        object_watch& w = watch_of(static_cast<state_kind>(i));
        if (is_started(w))
            w.begin_era(state_.era.number);
    }
    // The entry of this gateway may be among what was lost.
    register_self();
}

// Removes what the store lost and nobody has written again.
void store_controller::settle_era(steady_time now)
{
    if (state_.era.is_settled || is_rewriting(state_, now))
        return;
    bool const is_current = std::all_of(
        state_.kinds.begin(), state_.kinds.end(),
        [&](local_copy const& it)
        { return it.position.era == state_.era.number; });
    if (!is_current)
        return; // it is still being read
    state_.era.is_settled = true;
    std::erase_if(
        state_.rollouts,
        [&](auto const& it) { return !rollouts_.contains(it.first); });
    std::erase_if(
        state_.peers,
        [&](auto const& it) { return !gateways_.contains(it.first); });
    std::vector<std::string> returned;
    for (std::string const& it : state_.upstreams.evacuated_zones)
    {
        if (!zones_.contains(it))
            returned.push_back(it);
    }
    for (std::string const& it : returned)
        apply_zone({.name = it, .is_deleted = true});
    update_gateways();
    log_.write(
        log_event::store_era_settled,
        {{"era", std::to_string(state_.era.number)},
         {"gateways", std::to_string(state_.gateways.size())},
         {"upstreams", std::to_string(state_.upstreams.by_id.size())}});
}

void store_controller::look_up_era()
{
    if (!state_.era.is_recorded)
        era_query_.ask();
}

void store_controller::apply_era_records(
    std::vector<platform_object> const& all)
{
    // A store that names no eras needs no record.
    std::string const era = std::to_string(state_.era.number);
    bool const is_recorded =
        state_.era.number == 0 ||
        std::any_of(
            all.begin(), all.end(),
            [&](platform_object const& it) { return it.name == era; });
    record_era_lookup(state_, is_recorded, boot_now());
}

void store_controller::write_era_record(steady_time now)
{
    if (now < next_era_record_ || !is_record_due(state_, now))
        return;
    next_era_record_ = now + record_timeout;
    std::uint64_t const era = state_.era.number;
    http_call call = protocol_.create(
        state_.settings.store_address, documents_.era_kind, std::to_string(era),
        nlohmann::json::object());
    call.timeout = record_timeout;
    client_.send(
        std::move(call),
        [this, era](result<http_reply> reply)
        {
            std::uint64_t const named = reply ? protocol_.era(*reply) : 0;
            result<platform_objects> const o =
                read_page(protocol_, std::move(reply));
            if (!o && o.error().kind != error_kind::conflict)
            {
                state_.counters.count(
                    "store_failures_total", to_string(o.error().kind));
                return;
            }
            bool const is_current =
                accepts_era(named) && era == state_.era.number;
            if (is_current)
                state_.era.is_recorded = true;
        });
}

} // namespace marjorambeam
