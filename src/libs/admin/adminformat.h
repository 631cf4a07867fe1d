#pragma once

#include "admin/adminhooks.h"

#include <string>
#include <vector>

namespace Admin {

/// Each function returns the JSON body of a response to an operator.
std::string formatError(const AdminError& adminError);
std::string formatResponse(const PublishedVersion& published);
std::string formatResponse(const CurrentDocument& current);
std::string formatResponse(const std::vector<HistoryEntry>& history);
std::string formatResponse(const GrantedKey& granted);
std::string formatResponse(const Status& status);
/// The response to a check without faults; `version` is the version that the document was checked against.
std::string formatResponse(std::uint64_t version);

}
