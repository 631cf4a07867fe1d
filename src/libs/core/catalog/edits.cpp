#include "core/catalog/edits.h"

#include <algorithm>

namespace Catalog {

namespace {

    tl::unexpected<Faults> fault(ObjectType type, std::string name, std::string message)
    {
        return tl::unexpected<Faults>(Faults { { type, std::move(name), "name", std::move(message) } });
    }

}

Checked<Document> withZoneState(Document document, const std::string& zone, ZoneState state)
{
    const auto found = std::ranges::find(document.zones, zone, &Zone::name);
    if (found == document.zones.end())
        return fault(ObjectType::Zone, zone, "there is no such availability zone");
    found->state = state;
    return document;
}

Checked<Document> withKey(Document document, Key key)
{
    if (std::ranges::find(document.keys, key.name, &Key::name) != document.keys.end())
        return fault(ObjectType::Key, key.name, "the name is taken");
    document.keys.push_back(std::move(key));
    normalize(document);
    return document;
}

Checked<Document> withKeyWithdrawn(Document document, const std::string& key)
{
    const auto found = std::ranges::find(document.keys, key, &Key::name);
    if (found == document.keys.end())
        return fault(ObjectType::Key, key, "there is no such key");
    found->state = KeyState::Withdrawn;
    return document;
}

}
