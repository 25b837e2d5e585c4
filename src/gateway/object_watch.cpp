#include "gateway/object_watch.hpp"

#include <algorithm>

namespace marjorambeam
{

object_watch::object_watch(
    ev::loop_ref loop, http_client& client,
    platform_store_protocol const& protocol, std::string address,
    std::string kind, watch_timing timing, watch_handlers handlers)
    : client_(client)
    , protocol_(protocol)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , timing_(timing)
    , handlers_(std::move(handlers))
    , retry_timer_(loop, [this] { send(); })
{
}

object_watch::~object_watch()
{
    client_.cancel(call_);
}

void object_watch::start()
{
    send();
}

void object_watch::renew()
{
    client_.cancel(call_);
    retry_timer_.stop();
    send();
}

void object_watch::ask_now()
{
    asks_now_ = true;
    renew();
}

void object_watch::send()
{
    // After a failure the first answer shows that the store is back; it is not
    // to be waited for.
    bool const is_short = has_failed_ || asks_now_;
    asks_now_ = false;
    duration const wait =
        is_short ? duration(std::chrono::milliseconds(1)) : timing_.wait;
    http_call call = is_listed_
                         ? protocol_.watch(address_, kind_, revision_, wait)
                         : protocol_.list(address_, kind_, after_);
    call.timeout = timing_.patience + (is_listed_ ? wait : duration{0});
    steady_time const sent = boot_now();
    sent_at_ = sent;
    call_ = client_.send(
        std::move(call), [this, sent, wait](result<http_reply> reply)
        { on_reply(sent, wait, std::move(reply)); });
}

void object_watch::on_reply(
    steady_time sent, duration wait, result<http_reply> reply)
{
    if (!reply)
    {
        retry(reply.error());
        return;
    }
    result<platform_objects> objects = protocol_.decode(*reply);
    if (!objects && objects.error().kind == error_kind::frame_stale)
    {
        is_listed_ = false;
        after_.clear();
        listed_.clear();
        handlers_.on_history_dropped();
        send();
        return;
    }
    if (!objects)
    {
        retry(objects.error());
        return;
    }
    delay_ = duration{0};
    has_failed_ = false;
    // A watch without a change was answered after its whole wait.
    bool const has_waited = is_listed_ && objects->objects.empty();
    duration const vouched = has_waited ? wait - timing_.deafness : duration{0};
    on_objects(std::move(*objects));
    bool const has_more = !after_.empty();
    handlers_.on_contact(sent + vouched);
    if (has_waited || has_more || timing_.settle == duration{0})
        send();
    else
        retry_timer_.start(timing_.settle);
}

void object_watch::on_objects(platform_objects&& objects)
{
    if (is_listed_)
    {
        revision_ = std::max(revision_, objects.revision);
        for (platform_object& it : objects.objects)
            handlers_.on_change(std::move(it));
        return;
    }
    if (after_.empty())
        first_page_revision_ = objects.revision;
    std::move(
        objects.objects.begin(), objects.objects.end(),
        std::back_inserter(listed_));
    if (objects.has_more && !listed_.empty())
    {
        after_ = listed_.back().name;
        return;
    }
    is_listed_ = true;
    after_.clear();
    // Changes made while later pages were read are seen again by the watch.
    revision_ = first_page_revision_;
    handlers_.on_all(std::move(listed_));
    listed_.clear();
}

void object_watch::retry(error const& why)
{
    has_failed_ = true;
    handlers_.on_failure(why);
    delay_ = std::clamp(delay_ * 2, timing_.first_retry, timing_.longest_retry);
    retry_timer_.start(delay_);
}

} // namespace marjorambeam
