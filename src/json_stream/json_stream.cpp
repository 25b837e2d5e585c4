#include "json_stream/json_stream.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>
#include <yajl/yajl_parse.h>

namespace marjorambeam
{
namespace
{

using nlohmann::json;

template <class T>
std::optional<json> read_number(std::string_view text)
{
    T n{};
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return json(n);
}

// Null if no type holds the number.
json to_number(std::string_view text)
{
    if (auto n = read_number<std::uint64_t>(text))
        return *n;
    if (auto n = read_number<std::int64_t>(text))
        return *n;
    return read_number<double>(text).value_or(json());
}

} // namespace

struct json_stream::implementation
{
    // A container that is not complete yet.
    struct open_container
    {
        json value;
        std::string key;                  // of the member that comes next
        std::optional<std::size_t> array; // its elements are passed on
    };

    implementation(
        std::span<std::string_view const> a, element_handler&& handler)
        : arrays(a)
        , on_element(std::move(handler))
        , parser(yajl_alloc(&callbacks, nullptr, this))
    {
        yajl_config(parser, yajl_dont_validate_strings, 1);
    }
    ~implementation()
    {
        yajl_free(parser);
    }
    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    void add(json&& v)
    {
        if (skipped_levels > 0)
            return;
        if (open.empty())
        {
            root = std::move(v);
            return;
        }
        open_container& c = open.back();
        if (c.array)
            on_element(*c.array, std::move(v));
        else if (c.value.is_array())
            c.value.push_back(std::move(v));
        else
            c.value[std::move(c.key)] = std::move(v);
    }
    void begin(json&& empty)
    {
        if (skipped_levels > 0 || open.size() >= max_json_depth)
        {
            ++skipped_levels;
            return;
        }
        std::optional<std::size_t> const array =
            empty.is_array() ? chosen_array() : std::nullopt;
        open.push_back({std::move(empty), {}, array});
    }
    void end()
    {
        if (skipped_levels > 0)
        {
            if (--skipped_levels == 0)
                add(json());
            return;
        }
        json v = std::move(open.back().value);
        open.pop_back();
        add(std::move(v));
    }
    // The position in `arrays` of the path of the value that begins.
    std::optional<std::size_t> chosen_array() const
    {
        std::string path;
        for (open_container const& it : open)
        {
            if (it.value.is_array())
                continue;
            if (!path.empty())
                path.push_back('/');
            path.append(it.key);
        }
        for (std::size_t i = 0; i < arrays.size(); ++i)
        {
            if (arrays[i] == path)
                return i;
        }
        return std::nullopt;
    }
    result<void> check(yajl_status status)
    {
        if (status == yajl_status_ok)
            return {};
        return fail(error_kind::bad_document, "not a JSON document");
    }

    static implementation& self(void* context)
    {
        return *static_cast<implementation*>(context);
    }
    static std::string_view view(unsigned char const* text, std::size_t n)
    {
        return {reinterpret_cast<char const*>(text), n};
    }
    static int on_null(void* context)
    {
        self(context).add(json());
        return 1;
    }
    static int on_boolean(void* context, int value)
    {
        self(context).add(json(value != 0));
        return 1;
    }
    static int on_number(void* context, char const* text, std::size_t n)
    {
        self(context).add(to_number({text, n}));
        return 1;
    }
    static int
    on_string(void* context, unsigned char const* text, std::size_t n)
    {
        self(context).add(json(std::string(view(text, n))));
        return 1;
    }
    static int on_key(void* context, unsigned char const* text, std::size_t n)
    {
        implementation& s = self(context);
        if (s.skipped_levels == 0)
            s.open.back().key = view(text, n);
        return 1;
    }
    static int on_object(void* context)
    {
        self(context).begin(json::object());
        return 1;
    }
    static int on_array(void* context)
    {
        self(context).begin(json::array());
        return 1;
    }
    static int on_end(void* context)
    {
        self(context).end();
        return 1;
    }

    // In the order of the library's structure. Numbers come as text.
    static constexpr yajl_callbacks callbacks{
        on_null,   on_boolean, nullptr, nullptr,  on_number, on_string,
        on_object, on_key,     on_end,  on_array, on_end};

    std::span<std::string_view const> arrays;
    element_handler on_element;
    yajl_handle parser;
    std::vector<open_container> open;
    std::size_t skipped_levels = 0; // open containers that are too deep
    json root;
};

json_stream::json_stream(
    std::span<std::string_view const> arrays, element_handler on_element)
    : impl_(std::make_unique<implementation>(arrays, std::move(on_element)))
{
}

json_stream::~json_stream() = default;

result<void> json_stream::put(std::string_view piece)
{
    return impl_->check(yajl_parse(
        impl_->parser, reinterpret_cast<unsigned char const*>(piece.data()),
        piece.size()));
}

result<nlohmann::json> json_stream::finish()
{
    if (auto const ok = impl_->check(yajl_complete_parse(impl_->parser)); !ok)
        return tl::unexpected<error>(ok.error());
    return std::move(impl_->root);
}

nlohmann::json parse_json(std::string_view text)
{
    json_stream s({}, {});
    if (s.put(text))
    {
        if (result<json> document = s.finish())
            return std::move(*document);
    }
    return json(json::value_t::discarded);
}

} // namespace marjorambeam
