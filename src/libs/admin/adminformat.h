#pragma once

#include "admin/adminhooks.h"

#include <string>
#include <vector>

namespace Admin {

/// JSON texts of the answers to operators.
std::string formatError(const AdminError& refusal);
std::string formatResponse(const PublishedVersion& published);
std::string formatResponse(const CurrentDocument& current);
std::string formatResponse(const std::vector<HistoryEntry>& history);
std::string formatResponse(const GrantedKey& granted);
std::string formatResponse(const Status& status);
/// The answer to a check that found nothing; `version` is the one it was checked against.
std::string formatResponse(std::uint64_t version);

}
