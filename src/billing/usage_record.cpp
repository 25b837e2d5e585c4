#include "billing/usage_record.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace marjorambeam
{
namespace
{

using json = nlohmann::json;
__extension__ typedef __int128 wide_int;

json stage_json(usage_stage const& s)
{
    return {{"target", s.target},         {"tokens_in", s.tokens_in},
            {"tokens_out", s.tokens_out}, {"price_in", s.price_in},
            {"price_out", s.price_out},   {"price_call", s.price_call}};
}

usage_stage parse_stage(json const& j)
{
    usage_stage s;
    j.at("target").get_to(s.target);
    j.at("tokens_in").get_to(s.tokens_in);
    j.at("tokens_out").get_to(s.tokens_out);
    j.at("price_in").get_to(s.price_in);
    j.at("price_out").get_to(s.price_out);
    j.at("price_call").get_to(s.price_call);
    return s;
}

json record_json(usage_record const& r)
{
    json stages = json::array();
    for (usage_stage const& it : r.stages)
        stages.push_back(stage_json(it));
    return {
        {"request_id", r.request_id},
        {"customer", r.customer},
        {"kind", r.kind == work_kind::model ? "model" : "service"},
        {"target", r.target},
        {"attempts", r.attempts},
        {"stages", std::move(stages)},
        {"admitted_ms", r.admitted_ms},
        {"poster", r.poster == process_role::entry ? "entry" : "agent"},
        {"whole", r.is_whole}};
}

usage_record parse_record(json const& j)
{
    usage_record r;
    j.at("request_id").get_to(r.request_id);
    j.at("customer").get_to(r.customer);
    r.kind = j.at("kind") == "model" ? work_kind::model : work_kind::service;
    j.at("target").get_to(r.target);
    j.at("attempts").get_to(r.attempts);
    for (json const& it : j.at("stages"))
        r.stages.push_back(parse_stage(it));
    j.at("admitted_ms").get_to(r.admitted_ms);
    r.poster =
        j.at("poster") == "entry" ? process_role::entry : process_role::agent;
    j.at("whole").get_to(r.is_whole);
    return r;
}

} // namespace

usage_stage model_stage(version const& v)
{
    return {.target = v.id(), .price_in = v.price_in, .price_out = v.price_out};
}

usage_stage service_stage(service const& s)
{
    return {.target = s.name, .price_call = s.price};
}

micro_credits cost_of(usage_record const& r)
{
    constexpr auto largest = std::numeric_limits<micro_credits>::max();
    if (!r.is_whole)
        return 0;
    wide_int sum = 0;
    for (usage_stage const& it : r.stages)
    {
        // Prices have 63 bits and counts 64, so that one product and the
        // bounded sum fit into 127 bits.
        sum += wide_int{it.price_in} * it.tokens_in;
        sum = std::min<wide_int>(sum, largest);
        sum += wide_int{it.price_out} * it.tokens_out;
        sum = std::min<wide_int>(sum, largest);
        sum += it.price_call;
        sum = std::min<wide_int>(sum, largest);
    }
    return static_cast<micro_credits>(sum);
}

bool supersedes(usage_record const& a, usage_record const& b)
{
    auto const is_agent = [](usage_record const& r)
    { return r.poster == process_role::agent; };
    if (is_agent(a) != is_agent(b))
        return !is_agent(a);
    if (a.is_whole != b.is_whole)
        return a.is_whole;
    if (a.attempts != b.attempts)
        return a.attempts > b.attempts;
    micro_credits const cost_a = cost_of(a);
    micro_credits const cost_b = cost_of(b);
    if (cost_a != cost_b)
        return cost_a < cost_b;
    return encode_records({&a, 1}) < encode_records({&b, 1});
}

std::string encode_records(std::span<usage_record const> records)
{
    json list = json::array();
    for (usage_record const& it : records)
        list.push_back(record_json(it));
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<usage_record>> decode_records(std::string_view text)
{
    try
    {
        std::vector<usage_record> records;
        json const doc = json::parse(text);
        for (json const& it : doc.is_object() ? doc.at("records") : doc)
            records.push_back(parse_record(it));
        return records;
    }
    catch (json::exception const& e)
    {
        return fail(
            error_kind::bad_document,
            std::string("usage records: ") + e.what());
    }
}

} // namespace marjorambeam
