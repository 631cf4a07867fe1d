#include "core/usage/collectinghosts.h"

#include "core/model/rendezvous.h"

#include <algorithm>

namespace Usage {

std::vector<std::string> collectingHosts(std::vector<std::string> hosts)
{
    static const std::uint64_t seed = Model::stableHash("usage");
    const std::size_t count = std::min(hosts.size(), collectingHostCount);
    const auto weight = [](const std::string& host) { return Model::stableHash(host, seed); };
    std::ranges::partial_sort(
        hosts, hosts.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater {}, weight);
    hosts.resize(count);
    return hosts;
}

std::optional<int> rankOf(const std::string& host, const std::vector<std::string>& ranking)
{
    const auto found = std::ranges::find(ranking, host);
    if (found == ranking.end())
        return std::nullopt;
    return static_cast<int>(found - ranking.begin());
}

}
