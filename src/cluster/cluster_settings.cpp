#include "cluster/cluster_settings.hpp"

namespace marjorambeam
{

std::vector<setting> cluster_setting_rows(cluster_settings& s)
{
    return {
        url_setting("store", "", "Base URL of the object API", s.store_url),
        url_setting(
            "instance-list", "",
            "Base URL of the platform's instance list; empty for none",
            s.instance_list_url, true),
        address_setting(
            "advertise", "",
            "TCP and UDP address that other daemons are told; empty for the "
            "bound one",
            s.advertise),
        duration_setting(
            "instance-list-period-ms", 2000, 100, 60000,
            "Time between two reads of the instance list", s.list_period),
        duration_setting(
            "digest-period-ms", 1000, 100, 10000,
            "Time between two rounds of digests to other daemons",
            s.sync.digest_period),
        duration_setting(
            "isolation-ms", 10000, 1000, 600000,
            "Silence of the store and all other daemons after which new work "
            "is refused",
            s.sync.isolation_limit),
    };
}

} // namespace marjorambeam
