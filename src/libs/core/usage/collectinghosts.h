#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Usage {

/// Hosts to which all others send their counts. If half of the hosts are killed at once, the counts of the
/// killed ones are lost with a probability of 1/32; with three collecting hosts, of 1/8.
constexpr std::size_t collectingHostCount = 5;

/// Ranks the hosts by rendezvous hashing and returns the first ones. A host that joins or leaves does not
/// change the order of the others.
std::vector<std::string> collectingHosts(std::vector<std::string> hosts);

/// Position of the host in the ranking; `nullopt` if it is not in it.
std::optional<int> rankOf(const std::string& host, const std::vector<std::string>& ranking);

}
