#include "gateway/object_query.hpp"

#include <utility>

namespace marjorambeam
{

object_query::object_query(
    http_client& client, platform_store_protocol const& protocol,
    std::string address, std::string kind, duration patience,
    query_handlers handlers)
    : client_(client)
    , protocol_(protocol)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , patience_(patience)
    , handlers_(std::move(handlers))
{
}

object_query::~object_query()
{
    if (is_asking_)
        client_.cancel(call_);
}

void object_query::ask()
{
    if (is_asking_)
        return;
    is_asking_ = true;
    http_call call = protocol_.list(address_, kind_, {}, freshness::newest);
    call.timeout = patience_;
    steady_time const sent = boot_now();
    call_ = client_.send(
        std::move(call), [this, sent](result<http_reply> reply)
        { on_reply(sent, std::move(reply)); });
}

void object_query::on_reply(steady_time sent, result<http_reply> reply)
{
    is_asking_ = false;
    result<platform_objects> objects =
        reply ? protocol_.decode(*reply)
              : result<platform_objects>(tl::unexpected<error>(reply.error()));
    if (!objects)
    {
        handlers_.on_failure(objects.error());
        return;
    }
    // Objects on later pages are not vouched for.
    bool const is_whole = !objects->has_more;
    handlers_.on_objects(std::move(objects->objects));
    if (is_whole)
        handlers_.on_contact(sent);
}

} // namespace marjorambeam
