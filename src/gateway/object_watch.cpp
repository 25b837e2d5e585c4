#include "gateway/object_watch.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace marjorambeam
{
namespace
{

// Objects of one kind; more come from a store that repeats itself.
constexpr std::size_t max_listed_objects = 100'000;

// A document that can't be parsed becomes a discarded value, which describes no
// valid object of any kind.
platform_object object_of(relayed_object&& r)
{
    return {
        .name = std::move(r.name),
        .revision = r.revision,
        .is_deleted = r.is_deleted,
        .specification = parse_json(r.specification),
        .status = parse_json(r.status)};
}

std::vector<relayed_object>
values_of(std::map<std::string, relayed_object>&& by_name)
{
    std::vector<relayed_object> all;
    all.reserve(by_name.size());
    for (auto& [name, it] : by_name)
        all.push_back(std::move(it));
    return all;
}

} // namespace

object_watch::object_watch(
    ev::loop_ref loop, loop_monitor& monitor, http_client& client,
    platform_store_protocol const& protocol, std::string address,
    std::string kind, watch_timing timing, watch_handlers handlers)
    : client_(client)
    , protocol_(protocol)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , timing_(timing)
    , handlers_(std::move(handlers))
    , retry_timer_(loop, [this] { send(); })
    , loader_(loop, monitor, protocol, kind_)
{
}

object_watch::~object_watch()
{
    client_.cancel(call_);
}

void object_watch::start(read_freshness freshness)
{
    start_list(freshness);
}

void object_watch::renew()
{
    if (loader_.is_active())
        return; // the next call follows
    client_.cancel(call_);
    retry_timer_.stop();
    send();
}

void object_watch::poll_now()
{
    polls_now_ = true;
    renew();
}

void object_watch::list_now(read_freshness freshness)
{
    client_.cancel(call_);
    start_list(freshness);
}

void object_watch::begin_era(std::uint64_t era)
{
    era_ = era;
    list_now(read_freshness::newest);
}

void object_watch::start_list(read_freshness freshness)
{
    list_freshness_ = freshness;
    is_listing_ = true;
    reset_list();
    loader_.cancel();
    retry_timer_.stop();
    send();
}

void object_watch::park()
{
    if (is_parked_)
        return;
    is_parked_ = true;
    if (!is_listed_ || has_failed_ || is_listing_)
        return; // the pending call is still needed
    client_.cancel(call_);
    is_calling_ = loader_.is_active();
    retry_timer_.stop();
}

void object_watch::resume(first_call first)
{
    if (!is_parked_)
        return;
    is_parked_ = false;
    polls_now_ = first == first_call::returns_at_once;
    renew();
}

// Updates the digest with the object. Returns the change to relay, or nothing
// if the object is unchanged.
std::optional<relayed_object> object_watch::update_copy(platform_object& o)
{
    auto const it = signatures_.find(o.name);
    relayed_object r{
        .name = o.name, .revision = o.revision, .is_deleted = o.is_deleted};
    object_summary e;
    if (!o.is_deleted)
    {
        e = o.summary ? std::move(*o.summary) : protocol_.summarize(o);
        if (it != signatures_.end() && it->second == e.signature)
            return std::nullopt;
        r.specification = std::move(e.specification);
        r.status = std::move(e.status);
    }
    if (it != signatures_.end())
    {
        digest_ ^= object_digest(o.name, it->second);
        signatures_.erase(it);
    }
    if (!o.is_deleted)
    {
        signatures_.emplace(o.name, e.signature);
        digest_ ^= object_digest(o.name, e.signature);
    }
    return r;
}

std::vector<std::string>
object_watch::names_not_in(std::vector<platform_object> const& all) const
{
    if (signatures_.empty())
        return {};
    std::vector<std::string_view> listed;
    for (platform_object const& it : all)
    {
        if (!it.is_deleted)
            listed.push_back(it.name);
    }
    std::sort(listed.begin(), listed.end());
    std::vector<std::string> names;
    for (auto const& [name, revision] : signatures_)
    {
        if (!std::binary_search(listed.begin(), listed.end(), name))
            names.push_back(name);
    }
    return names;
}

void object_watch::report_copy_change(
    copy_state before, std::uint64_t from,
    std::vector<relayed_object>&& changed) const
{
    if (!handlers_.on_copy_changed)
        return;
    handlers_.on_copy_changed(
        {.era = position_.era,
         .before = before.digest,
         .after = digest_,
         .from = from,
         .revision = position_.revision,
         .objects = std::move(changed)});
}

bool object_watch::apply(state_change&& change)
{
    if (!is_listed_ || !is_applicable(change, digest_, position_))
        return false;
    position_.revision = change.revision;
    for (relayed_object& it : change.objects)
    {
        platform_object o = object_of(std::move(it));
        update_copy(o);
        handlers_.on_change(std::move(o));
    }
    return true;
}

void object_watch::send()
{
    // After a failure, a short wait detects early that the store responds
    // again.
    if (!is_listing_ && position_.era != era_)
    {
        start_list(read_freshness::newest); // the list before has failed
        return;
    }
    bool const is_short = has_failed_ || polls_now_ || is_parked_;
    polls_now_ = false;
    has_watched_ = has_watched_ || !is_listing_;
    duration const wait =
        is_short ? duration(std::chrono::milliseconds(1)) : timing_.wait;
    http_call call =
        is_listing_
            ? protocol_.list(address_, kind_, after_, list_freshness_)
            : protocol_.watch(address_, kind_, position_.revision, wait);
    call.timeout =
        timing_.response_timeout + (is_listing_ ? duration{0} : wait);
    // Idle connections to a store that did not respond may be dead as well.
    call.use_fresh_connection = has_failed_;
    is_calling_ = true;
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
    std::uint64_t const era = protocol_.era(*reply);
    std::uint64_t const era_before = era_;
    if (!handlers_.accepts_era(era))
    {
        if (era_ == era_before)
            start_list(read_freshness::newest); // an earlier era's response
        return;
    }
    era_ = std::max(era_, era);
    loader_.start(
        std::move(*reply), [this, sent, wait](result<platform_objects> objects)
        { on_page(sent, wait, std::move(objects)); });
}

void object_watch::on_page(
    steady_time sent, duration wait, result<platform_objects> objects)
{
    is_calling_ = false;
    if (!objects && objects.error().kind == error_kind::frame_stale)
    {
        // A parked copy may be older than the retained history.
        if (!is_parked_)
            handlers_.on_history_dropped();
        start_list(read_freshness::newest);
        return;
    }
    if (!objects)
    {
        retry(objects.error());
        return;
    }
    bool const goes_on = is_listing_ && objects->has_more;
    std::string next_after =
        goes_on ? name_to_continue_after(*objects) : std::string();
    if (goes_on && next_after.empty())
    {
        error const why = make_error(
            error_kind::answer_corrupt,
            "the list of " + kind_ + " can't go on after \"" + after_ + "\"");
        reset_list();
        retry(why);
        return;
    }
    if (!objects->has_more)
        delay_ = duration{0};
    has_failed_ = false;
    // The store responds to a watch without changes after its full wait.
    bool const has_waited = !is_listing_ && objects->objects.empty();
    duration const confirmed =
        has_waited ? wait - timing_.max_missed_event_time : duration{0};
    bool const may_be_stale =
        is_listing_ && list_freshness_ == read_freshness::may_be_stale;
    on_objects(std::move(*objects), std::move(next_after));
    bool const has_more = !after_.empty();
    handlers_.on_contact(
        may_be_stale ? std::nullopt : std::optional(sent + confirmed));
    if (!has_more && !may_be_stale && handlers_.on_read)
        handlers_.on_read(sent);
    if (has_more || polls_now_)
        send();
    else if (!is_parked_)
        send_after(
            has_waited     ? duration{0}
            : has_watched_ ? timing_.debounce
                           : timing_.initial_delay);
}

// Returns the name after which the next page begins; empty if there is none, or
// if the list would exceed its limit. It is the last one on the page after
// which none has begun yet: an object may have no name, or one that can't be
// written as the store sorts it, so that the same page would come again.
std::string
object_watch::name_to_continue_after(platform_objects const& page) const
{
    if (listed_.size() + page.objects.size() > max_listed_objects)
        return {};
    auto const it = std::find_if(
        page.objects.rbegin(), page.objects.rend(),
        [this](platform_object const& o)
        { return !o.name.empty() && !earlier_after_.contains(o.name); });
    return it == page.objects.rend() ? std::string() : it->name;
}

// Drops the pages of a list that were read.
void object_watch::reset_list()
{
    after_.clear();
    earlier_after_.clear();
    listed_.clear();
}

void object_watch::send_after(duration pause)
{
    if (pause == duration{0})
        send();
    else
        retry_timer_.start(pause);
}

void object_watch::on_objects(
    platform_objects&& objects, std::string&& next_after)
{
    copy_state const before{digest_, position_};
    if (!is_listing_)
    {
        // A relayed change is newer than the response.
        if (objects.revision != 0 && objects.revision < position_.revision)
            return;
        position_.revision = std::max(position_.revision, objects.revision);
        // Only the last state of each object is relayed.
        std::map<std::string, relayed_object> changed;
        for (platform_object& it : objects.objects)
        {
            if (auto relayed = update_copy(it))
                changed[it.name] = std::move(*relayed);
            handlers_.on_change(std::move(it));
        }
        report_copy_change(
            before, before.position.revision, values_of(std::move(changed)));
        return;
    }
    if (after_.empty())
        first_page_revision_ = objects.revision;
    if (listed_.empty())
        listed_ = std::move(objects.objects);
    else
        std::move(
            objects.objects.begin(), objects.objects.end(),
            std::back_inserter(listed_));
    after_ = std::move(next_after);
    if (!after_.empty())
    {
        earlier_after_.insert(after_);
        return;
    }
    is_listed_ = true;
    is_listing_ = false;
    earlier_after_.clear();
    store_position const listed{era_, first_page_revision_};
    bool const is_overtaken = listed < position_;
    if (is_overtaken && list_freshness_ == read_freshness::may_be_stale)
    {
        listed_.clear(); // the copy is newer
        return;
    }
    // Changes made while later pages were read are seen again by the watch.
    position_ = listed;
    replace_copy(before);
}

// Replaces the copy by the listed objects and reports the difference.
void object_watch::replace_copy(copy_state before)
{
    std::vector<relayed_object> changed;
    changed.reserve(listed_.size());
    for (std::string const& name : names_not_in(listed_))
    {
        platform_object gone{.name = name, .is_deleted = true};
        if (auto relayed = update_copy(gone))
            changed.push_back(std::move(*relayed));
    }
    for (platform_object& it : listed_)
    {
        if (it.is_deleted)
            continue;
        if (auto relayed = update_copy(it))
            changed.push_back(std::move(*relayed));
    }
    handlers_.on_all(std::exchange(listed_, {}));
    // Objects that changed and changed back are not among them, so that the
    // difference applies to equal copies only.
    report_copy_change(before, position_.revision, std::move(changed));
}

void object_watch::retry(error const& why)
{
    is_calling_ = false;
    has_failed_ = true;
    handlers_.on_failure(why);
    if (is_parked_ && is_listed_)
    {
        is_listing_ = false;
        reset_list(); // the next call is a watch
        return;       // poll_now() follows when the copy is behind
    }
    delay_ = std::clamp(
        delay_ * 2, timing_.initial_retry_delay, timing_.max_retry_delay);
    retry_timer_.start(delay_);
}

} // namespace marjorambeam
