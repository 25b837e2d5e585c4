#include "gateway/session_pins.hpp"

namespace marjorambeam
{

std::string_view pinned_version(
    session_pins const& p, std::string const& session, steady_time now)
{
    auto const it = p.by_session.find(session);
    bool const is_known =
        it != p.by_session.end() && now - it->second.last < session_memory;
    return is_known ? std::string_view(it->second.version) : std::string_view();
}

void record_session(
    session_pins& p, std::string const& session, std::string_view version,
    steady_time now)
{
    if (!session.empty())
        p.by_session[session] = {std::string(version), now};
}

void expire_sessions(session_pins& p, steady_time now)
{
    std::erase_if(
        p.by_session,
        [&](auto const& it) { return now - it.second.last >= session_memory; });
}

} // namespace marjorambeam
