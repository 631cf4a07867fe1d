#pragma once

#include "admin/adminhooks.h"

#include <string>
#include <vector>

namespace Admin {

/// JSON texts of the answers to operators.
std::string formatRefusal(const Refusal& refusal);
std::string formatAnswer(const PublishedVersion& published);
std::string formatAnswer(const CurrentDocument& current);
std::string formatAnswer(const std::vector<HistoryEntry>& history);
std::string formatAnswer(const GrantedKey& granted);
std::string formatAnswer(const Status& status);
/// The answer to a check that found nothing; `version` is the one it was checked against.
std::string formatAnswer(std::uint64_t version);

}
