#include "billing/ledger.hpp"

#include <limits>

namespace marjorambeam
{
namespace
{

micro_credits add_bounded(micro_credits a, micro_credits b)
{
    constexpr auto largest = std::numeric_limits<micro_credits>::max();
    return a > largest - b ? largest : a + b;
}

void count(customer_total& t, usage_record const& r)
{
    ++t.requests;
    t.truncated += r.is_whole ? 0 : 1;
    for (usage_stage const& it : r.stages)
    {
        t.tokens_in += it.tokens_in;
        t.tokens_out += it.tokens_out;
    }
    t.cost = add_bounded(t.cost, cost_of(r));
}

} // namespace

std::string segment_name(incarnation poster, std::uint64_t sequence)
{
    constexpr std::size_t digits = 10;
    std::string const number = std::to_string(sequence);
    std::size_t const zeros =
        number.size() < digits ? digits - number.size() : 0;
    return to_hex(poster) + "." + std::string(zeros, '0') + number;
}

std::size_t encoded_bytes(usage_record const& r)
{
    // The two brackets of the list cover the comma between records.
    return encode_records({&r, 1}).size();
}

ledger_segment make_segment(
    incarnation poster, std::uint64_t sequence,
    std::span<usage_record const> records)
{
    ledger_segment s{segment_name(poster, sequence), {}};
    s.text = R"({"segment":")" + s.name + R"(","records":)";
    s.text += encode_records(records);
    s.text += '}';
    return s;
}

result<void> bill::add(std::string_view segment_text)
{
    result<std::vector<usage_record>> records = decode_records(segment_text);
    if (!records)
        return tl::unexpected<error>(std::move(records.error()));
    for (usage_record& it : *records)
        add(std::move(it));
    return {};
}

void bill::add(usage_record record)
{
    auto const [it, is_new] = lines_.try_emplace(record.request_id, record);
    if (!is_new && supersedes(record, it->second))
        it->second = std::move(record);
}

customer_total bill::total(std::string_view customer) const
{
    customer_total t;
    for (auto const& [id, record] : lines_)
    {
        if (record.customer == customer)
            count(t, record);
    }
    return t;
}

std::map<std::string, customer_total> bill::totals() const
{
    std::map<std::string, customer_total> all;
    for (auto const& [id, record] : lines_)
        count(all[record.customer], record);
    return all;
}

} // namespace marjorambeam
