#include "database/statement.h"

#include <charconv>
#include <sstream>

namespace Standins {

namespace {

    constexpr int maxSleepMs = 60000;

    std::optional<long long> number(const std::string& text)
    {
        long long value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

}

std::optional<Statement> parseStatement(const std::string& sql, const Json& params)
{
    Statement statement;
    std::istringstream words(sql);
    std::size_t next = 0;
    for (std::string word; words >> word;) {
        if (word != "?") {
            statement.push_back(word);
            continue;
        }
        if (!params.is_array() || next >= params.size())
            return std::nullopt;
        const Json& param = params[next++];
        statement.push_back(param.is_string() ? param.get<std::string>() : param.dump());
    }
    if (statement.empty())
        return std::nullopt;
    return statement;
}

bool isChange(const Statement& statement)
{
    return statement[0] == "PUT" || statement[0] == "APPEND" || statement[0] == "INCR";
}

int sleepMs(const Statement& statement)
{
    if (statement[0] != "SLEEP" || statement.size() != 2)
        return 0;
    const auto value = number(statement[1]);
    return value && *value > 0 && *value <= maxSleepMs ? static_cast<int>(*value) : 0;
}

std::optional<std::string> TableView::find(const std::string& key) const
{
    if (const auto found = changes.find(key); found != changes.end())
        return found->second;
    if (const auto found = base.find(key); found != base.end())
        return found->second;
    return std::nullopt;
}

std::optional<Json> runStatement(TableView& view, const Statement& statement)
{
    const std::string& verb = statement[0];
    if (verb == "SLEEP" && statement.size() == 2)
        return Json::array();
    if (verb == "GET" && statement.size() == 2) {
        Json rows = Json::array();
        if (const auto value = view.find(statement[1]))
            rows.push_back({ { "key", statement[1] }, { "value", *value } });
        return rows;
    }
    if (verb == "PUT" && statement.size() == 3) {
        view.changes[statement[1]] = statement[2];
        return Json("ok");
    }
    if (verb == "APPEND" && statement.size() == 3) {
        std::string value = view.find(statement[1]).value_or("") + statement[2];
        const std::size_t size = value.size();
        view.changes[statement[1]] = std::move(value);
        return Json(size);
    }
    if (verb == "INCR" && statement.size() == 2) {
        const auto current = number(view.find(statement[1]).value_or("0"));
        if (!current)
            return std::nullopt;
        view.changes[statement[1]] = std::to_string(*current + 1);
        return Json(*current + 1);
    }
    return std::nullopt;
}

}
