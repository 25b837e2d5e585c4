#include "wire/frame.hpp"

#include "wire/bounded_archive.hpp"

#include <catch2/catch.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <random>

using namespace marjorambeam;

namespace
{

work_request sample_request()
{
    work_request r;
    r.request_id = "r-1";
    r.attempt = 2;
    r.customer = "havbris";
    r.target = "tagger@v2";
    r.body = std::string(5000, 'b');
    return r;
}

} // namespace

// Guards against frames that are lost or merged when reads split them.
TEST_CASE("a stream read in small pieces gives the same messages")
{
    std::string bytes = encode_frame(sample_request());
    append_frame(answer_chunk{.request_id = "r-1", .bytes = "x"}, bytes);
    frame_reader reader;
    std::vector<message> seen;
    for (std::size_t i = 0; i < bytes.size(); i += 7)
    {
        reader.append(std::string_view(bytes).substr(i, 7));
        while (true)
        {
            result<std::optional<message>> m = reader.next();
            REQUIRE(m);
            if (!*m)
                break;
            seen.push_back(**m);
        }
    }
    REQUIRE(seen.size() == 2);
    CHECK(std::get<work_request>(seen[0]).body == sample_request().body);
    CHECK(std::get<answer_chunk>(seen[1]).bytes == "x");
    CHECK_FALSE(reader.has_partial_frame());
}

// Guards against a changed byte that is taken for a valid message, and
// against a crash or a huge allocation on malformed input.
TEST_CASE("each single changed byte is found")
{
    std::string const frame = encode_frame(sample_request());
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i)
    {
        std::string bad = frame;
        // The reserved bytes 6, 7 and 12 to 15 carry nothing.
        std::size_t at = random() % bad.size();
        if (at == 6 || at == 7 || (at >= 12 && at < 16))
            continue;
        bad[at] = static_cast<char>(bad[at] ^ (1 << (random() % 8)));
        CHECK_FALSE(decode_frame(bad));
    }
}

// Guards against a length field that makes the reader wait for gigabytes.
TEST_CASE("a frame over the limit is refused from its header")
{
    std::string frame = encode_frame(heartbeat{});
    frame[11] = '\x7f';
    frame_reader reader;
    reader.append(frame);
    result<std::optional<message>> m = reader.next();
    REQUIRE_FALSE(m);
    CHECK(m.error().kind == error_kind::frame_too_large);
}

// Guards against a process that is killed for its memory by one message with a
// made-up length.
TEST_CASE("a length that the input can't hold is refused before it is used")
{
    std::string bytes;
    bytes.push_back(1); // little endian
    std::uint64_t const huge = std::uint64_t{1} << 36U;
    bytes.append(reinterpret_cast<char const*>(&huge), sizeof huge);
    bytes.append(64, 'x');
    std::vector<std::string> many;
    std::string text;
    CHECK_THROWS_AS(bounded_input_archive(bytes)(many), cereal::Exception);
    CHECK_THROWS_AS(bounded_input_archive(bytes)(text), cereal::Exception);
    CHECK(many.empty());
    CHECK(text.empty());
    CHECK_THROWS_AS(bounded_input_archive(""), cereal::Exception);
}
