// Object kinds of a deployment's store, and the codecs of their documents.
//
// Plain data; thread-safe as far as the functions behind the pointers are.
#pragma once

#include "error/error.hpp"
#include "gateway/gateway_config.hpp"
#include "gateway/object_page.hpp"
#include "gateway/part_quarantine.hpp"
#include "gateway/upstream_table.hpp"
#include "gateway/version_rollout.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace marjorambeam
{

// Registration of a gateway in the store.
struct registered_gateway
{
    std::string name;
    std::string address; // receives datagrams from peers
};

// Object kinds of a deployment's store and the codecs of their documents.
struct store_documents
{
    std::string_view config_kind;
    std::string_view config_name; // of the active configuration
    std::string_view upstream_kind;
    std::string_view rollout_kind;
    std::string_view zone_out_kind; // one object per disabled zone
    std::string_view gateway_kind;
    std::string_view quarantine_kind;
    std::string_view era_kind; // one object per recorded era, by its number
    // The decoders fail with bad_document.
    result<gateway_config> (*decode_config)(platform_object&& o);
    result<upstream_info> (*decode_upstream)(platform_object const& o);
    result<version_rollout> (*decode_rollout)(platform_object const& o);
    nlohmann::json (*encode_rollout_status)(
        version_rollout const& order, version_rollout_decision const& d);
    result<registered_gateway> (*decode_gateway)(platform_object const& o);
    nlohmann::json (*encode_gateway)(registered_gateway const& g);
    result<stored_quarantine> (*decode_quarantine)(platform_object const& o);
    nlohmann::json (*encode_quarantine)(stored_quarantine const& q);
};

} // namespace marjorambeam
