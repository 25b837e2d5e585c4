#include "load/load_tool.hpp"

#include "http_server/http_server.hpp"

#include <catch2/catch.hpp>

using namespace marjorambeam;

// Guards against percentiles that are off by one sample.
TEST_CASE("percentiles are the nearest rank")
{
    std::vector<double> const sorted{1, 2, 3, 4};
    CHECK(percentile(sorted, 0.5) == 2);
    CHECK(percentile(sorted, 0.99) == 4);
    CHECK(percentile({}, 0.5) == 0);
}

// Guards against a load tool that counts refusals or cut streams as answers.
TEST_CASE("only whole answers count as answered")
{
    ev::dynamic_loop loop;
    int n = 0;
    http_server server(
        loop, {},
        [&](std::shared_ptr<http_exchange> const& ex)
        {
            ++n;
            if (n % 3 == 0)
                ex->respond(503, {}, "");
            else if (n % 3 == 1)
                ex->respond(200, {}, "data: x\n\n");
            else
                ex->respond(
                    200, {}, "data: {\"content\":\"a\"}\n\ndata: [DONE]\n\n");
        });
    load_settings s;
    settings_table(s);
    s.urls = "http://127.0.0.1:" + std::to_string(server.port());
    s.path = "/";
    s.method = "POST";
    s.is_stream = true;
    s.max_tokens = 1;
    s.prompt_bytes = 1;
    s.rate = 1000;
    s.concurrency = 10;
    s.time = std::chrono::milliseconds(100);
    s.timeout = std::chrono::seconds(5);
    load_report const r = run_load(loop, s);
    CHECK(r.sent == r.answered + r.failures.at("503") + r.failures.at("cut"));
    CHECK(r.tokens == r.answered);
    CHECK(r.answered > 0);
}
