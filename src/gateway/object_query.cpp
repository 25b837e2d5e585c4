#include "gateway/object_query.hpp"

#include <utility>

namespace marjorambeam
{

object_query::object_query(
    ev::loop_ref loop, loop_monitor& monitor, http_client& client,
    platform_store_protocol const& protocol, std::string address,
    std::string kind, duration timeout, query_handlers handlers)
    : client_(client)
    , protocol_(protocol)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , timeout_(timeout)
    , handlers_(std::move(handlers))
    , loader_(loop, monitor, protocol, kind_)
{
}

object_query::~object_query()
{
    if (is_pending_)
        client_.cancel(call_);
}

void object_query::ask()
{
    if (is_pending_)
        return;
    is_pending_ = true;
    http_call call =
        protocol_.list(address_, kind_, {}, read_freshness::newest);
    call.timeout = timeout_;
    steady_time const sent = boot_now();
    call_ = client_.send(
        std::move(call), [this, sent](result<http_reply> reply)
        { on_reply(sent, std::move(reply)); });
}

void object_query::on_reply(steady_time sent, result<http_reply> reply)
{
    if (!reply)
    {
        is_pending_ = false;
        handlers_.on_failure(reply.error());
        return;
    }
    if (!handlers_.accepts_era(protocol_.era(*reply)))
    {
        is_pending_ = false;
        handlers_.on_failure(make_error(
            error_kind::frame_stale,
            "the response is of another era of the store"));
        return;
    }
    loader_.start(
        std::move(*reply), [this, sent](result<platform_objects> objects)
        { on_page(sent, std::move(objects)); });
}

void object_query::on_page(steady_time sent, result<platform_objects> objects)
{
    is_pending_ = false;
    if (!objects)
    {
        handlers_.on_failure(objects.error());
        return;
    }
    // A first page does not confirm the objects on later pages.
    bool const is_complete = !objects->has_more;
    handlers_.on_objects(std::move(objects->objects));
    if (is_complete)
        handlers_.on_contact(sent);
}

} // namespace marjorambeam
