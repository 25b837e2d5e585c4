#include "gateway/room_cache.hpp"

#include <algorithm>

namespace marjorambeam
{
namespace
{

void list_upstreams(
    cached_service_room& c, upstream_table const& b, std::string_view service)
{
    c.upstreams.clear();
    for (auto const& [id, u] : b.by_id)
    {
        if (u->info.service == service)
            c.upstreams.push_back(u.get());
    }
    c.changes = b.changes;
}

cached_service_room& find_or_add(room_cache& cache, std::string_view service)
{
    auto const it = cache.services.find(service);
    if (it != cache.services.end())
        return it->second;
    return cache.services.try_emplace(std::string(service)).first->second;
}

// Passes over the upstreams if the estimate is of another list or older than
// `age`.
void refresh(
    room_cache& cache, cached_service_room& c, upstream_table const& b,
    std::string_view service, service_time const& prior, duration age,
    steady_time now)
{
    bool const is_listed = c.changes == b.changes;
    if (is_listed && now - c.at <= age)
        return;
    if (!is_listed)
        list_upstreams(c, b, service);
    cache.views.clear();
    for (upstream_state const* const u : c.upstreams)
    {
        if (is_usable(b, *u) && now >= u->ejected_until)
            cache.views.push_back(view_of(*u, now));
    }
    c.room = estimate_room(cache.views, prior, now);
    c.at = now;
}

} // namespace

room_estimate const& cached_room(
    room_cache& cache, upstream_table const& b, std::string_view service,
    service_time const& prior, steady_time now)
{
    cached_service_room& c = find_or_add(cache, service);
    refresh(cache, c, b, service, prior, max_room_age, now);
    return c.room;
}

duration cached_service_time(
    room_cache& cache, upstream_table const& b, std::string_view service,
    service_time const& prior, steady_time now)
{
    cached_service_room& c = find_or_add(cache, service);
    duration const of_all = service_time_age_per_upstream *
                            static_cast<duration::rep>(c.upstreams.size());
    refresh(cache, c, b, service, prior, std::max(max_room_age, of_all), now);
    return c.room.shortest_service_time;
}

void record_free_slot(room_cache& cache, std::string_view service)
{
    auto const it = cache.services.find(service);
    if (it != cache.services.end())
        it->second.room.has_free_slot = true;
}

} // namespace marjorambeam
