#include "core/catalog/check.h"

#include "core/catalog/documentfields.h"
#include "crypto/base64url.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace Catalog {

namespace {

    using Internal::Range;

    constexpr std::size_t maxNameLength = 64;
    constexpr std::size_t keyHashBytes = 32;

    bool isAlphanumeric(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    /// Names are used in paths, headers and metrics, where other characters would need escaping.
    bool isValidName(std::string_view name)
    {
        return !name.empty() && name.size() <= maxNameLength && isAlphanumeric(name.front())
            && std::ranges::all_of(
                name, [](char c) { return isAlphanumeric(c) || c == '-' || c == '_' || c == '.'; });
    }

    bool readNumber(std::string_view text, int maximum)
    {
        int value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        // With leading zeros, one address would have several spellings and duplicates would not be found.
        const bool isCanonical
            = !text.empty() && isAlphanumeric(text.front()) && (text.size() == 1 || text.front() != '0');
        return error == std::errc() && end == text.data() + text.size() && isCanonical && value <= maximum;
    }

    bool isValidAddress(std::string_view address)
    {
        constexpr int maxOctet = 255;
        constexpr int maxPort = 65535;
        const std::size_t colon = address.find(':');
        if (colon == std::string_view::npos)
            return false;
        const std::string_view port = address.substr(colon + 1);
        std::string_view rest = address.substr(0, colon);
        for (int octet = 0; octet < 3; ++octet) {
            const std::size_t dot = rest.find('.');
            if (dot == std::string_view::npos || !readNumber(rest.substr(0, dot), maxOctet))
                return false;
            rest.remove_prefix(dot + 1);
        }
        return readNumber(rest, maxOctet) && readNumber(port, maxPort) && port != "0";
    }

    /// Checks that the numbers and list sizes of one object are within their ranges.
    class RangeVisitor {
    public:
        RangeVisitor(ObjectType type, const std::string& name, Faults& faults)
            : m_type(type)
            , m_name(name)
            , m_faults(faults)
        {
        }

        template <typename Value>
        void field(const char* name, const Value& value, Internal::Presence, Range range = {})
        {
            if constexpr (std::is_same_v<Value, std::int64_t>)
                expect(name, value, range, "must be from ");
            else if constexpr (std::is_same_v<Value, std::vector<std::string>>)
                expect(name, static_cast<std::int64_t>(value.size()), range,
                    "must have a number of entries from ");
        }

    private:
        void expect(const char* field, std::int64_t value, Range range, const char* message)
        {
            if (value >= range.minimum && value <= range.maximum)
                return;
            m_faults.push_back({ m_type, m_name, field,
                message + std::to_string(range.minimum) + " to " + std::to_string(range.maximum) });
        }

        ObjectType m_type;
        const std::string& m_name;
        Faults& m_faults;
    };

    /// Checks one document and collects the faults.
    class Checker {
    public:
        explicit Checker(const Document& document)
            : m_document(document)
        {
        }

        Faults run()
        {
            Internal::visitLists(*this, m_document);
            checkKeys();
            checkUpstreams();
            checkServices();
            checkZones();
            checkRoutes();
            checkLimits();
            return std::move(m_faults);
        }

        template <typename Object> void list(const char*, ObjectType type, const std::vector<Object>& objects)
        {
            auto& names = m_names[type];
            for (const Object& object : objects) {
                if (!isValidName(object.name))
                    fail(type, object.name, "name", nameRule);
                if (!names.insert(object.name).second)
                    fail(type, object.name, "name", "occurs twice");
                RangeVisitor visitor(type, object.name, m_faults);
                Internal::visitFields(visitor, object, std::type_identity<Object> {});
            }
        }

    private:
        static constexpr auto nameRule = "must be 1 to 64 letters, digits, \".\", \"_\" or \"-\", starting "
                                         "with a letter or digit";

        void checkKeys()
        {
            std::unordered_map<std::string_view, const Key*> hashes;
            for (const Key& key : m_document.keys) {
                expectReference(ObjectType::Key, key.name, "customer", ObjectType::Customer, key.customer);
                const auto hash = Crypto::fromBase64Url(key.hash);
                if (!hash || hash->size() != keyHashBytes)
                    fail(ObjectType::Key, key.name, "hash", "must be 32 bytes in base64url without padding");
                const auto [other, isNew] = hashes.emplace(key.hash, &key);
                if (!isNew)
                    fail(ObjectType::Key, key.name, "hash",
                        "is also the hash of key \"" + other->second->name + "\"");
            }
        }

        void checkUpstreams()
        {
            std::unordered_map<std::string_view, const Upstream*> addresses;
            for (const Upstream& upstream : m_document.upstreams) {
                expectReference(ObjectType::Upstream, upstream.name, "zone", ObjectType::Zone, upstream.zone);
                if (!isValidAddress(upstream.address))
                    fail(ObjectType::Upstream, upstream.name, "address", "must have the form IP:PORT (IPv4)");
                // A database listed as two upstreams would be counted twice in a majority.
                const auto [other, isNew] = addresses.emplace(upstream.address, &upstream);
                if (!isNew)
                    fail(ObjectType::Upstream, upstream.name, "address",
                        "is also the address of upstream \"" + other->second->name + "\"");
                if (upstream.connections < upstream.slots)
                    fail(ObjectType::Upstream, upstream.name, "connections", "must not be less than slots");
                m_upstreams.emplace(upstream.name, &upstream);
            }
        }

        void checkServices()
        {
            std::unordered_map<std::string_view, const Service*> users;
            for (const Service& service : m_document.services) {
                expectDistinct(ObjectType::Service, service.name, "upstreams", service.upstreams);
                for (const std::string& name : service.upstreams) {
                    expectReference(
                        ObjectType::Service, service.name, "upstreams", ObjectType::Upstream, name);
                    const auto [other, isNew] = users.emplace(name, &service);
                    if (!isNew && other->second != &service)
                        fail(ObjectType::Service, service.name, "upstreams",
                            "upstream \"" + name + "\" also belongs to service \"" + other->second->name
                                + "\"");
                }
                expectUsableUpstream(service);
            }
        }

        void expectUsableUpstream(const Service& service)
        {
            const bool isUsable = std::ranges::any_of(service.upstreams, [this](const std::string& name) {
                const auto found = m_upstreams.find(name);
                return found != m_upstreams.end() && found->second->state == UpstreamState::Active
                    && !isZoneOut(found->second->zone);
            });
            if (!isUsable)
                fail(ObjectType::Service, service.name, "upstreams",
                    "at least one upstream must be active and in an availability zone with state \"in\"");
        }

        bool isZoneOut(const std::string& name) const
        {
            return std::ranges::any_of(m_document.zones,
                [&](const Zone& zone) { return zone.name == name && zone.state == ZoneState::Out; });
        }

        void checkZones()
        {
            for (const Zone& zone : m_document.zones) {
                if (!isValidName(zone.region))
                    fail(ObjectType::Zone, zone.name, "region", nameRule);
            }
            const bool isAnyZoneIn = std::ranges::any_of(
                m_document.zones, [](const Zone& zone) { return zone.state == ZoneState::In; });
            if (!isAnyZoneIn)
                fail(ObjectType::Document, {}, "zones",
                    "at least one availability zone must have the state \"in\"");
        }

        void checkRoutes()
        {
            for (const Route& route : m_document.routes) {
                expectReference(ObjectType::Route, route.name, "service", ObjectType::Service, route.service);
                expectDistinct(ObjectType::Route, route.name, "customers", route.customers);
                for (const std::string& customer : route.customers)
                    expectReference(
                        ObjectType::Route, route.name, "customers", ObjectType::Customer, customer);
                // An empty customer list alone must not open a route to all customers.
                if (route.open && !route.customers.empty())
                    fail(ObjectType::Route, route.name, "open",
                        "a route that is open to all must not list customers");
                if (!route.open && route.customers.empty())
                    fail(ObjectType::Route, route.name, "customers",
                        "must list at least one customer unless the route is open to all");
            }
        }

        void checkLimits()
        {
            const Limits& limits = m_document.limits;
            RangeVisitor visitor(ObjectType::Limits, m_noName, m_faults);
            Internal::visitFields(visitor, limits, std::type_identity<Limits> {});
            expectDistinct(ObjectType::Limits, {}, "tokenKeyIds", limits.tokenKeyIds);
            if (!std::ranges::all_of(limits.tokenKeyIds, isValidName))
                fail(ObjectType::Limits, {}, "tokenKeyIds", nameRule);
        }

        void expectReference(ObjectType type, const std::string& name, const char* field, ObjectType target,
            const std::string& targetName)
        {
            if (!m_names[target].contains(targetName))
                fail(type, name, field,
                    "there is no " + std::string(objectTypeName(target)) + " \"" + targetName + "\"");
        }

        void expectDistinct(
            ObjectType type, const std::string& name, const char* field, std::vector<std::string> entries)
        {
            std::ranges::sort(entries);
            const auto repeated = std::ranges::adjacent_find(entries);
            if (repeated != entries.end())
                fail(type, name, field, "\"" + *repeated + "\" occurs twice");
        }

        void fail(ObjectType type, std::string name, const char* field, std::string message)
        {
            m_faults.push_back({ type, std::move(name), field, std::move(message) });
        }

        const std::string m_noName;
        const Document& m_document;
        std::map<ObjectType, std::unordered_set<std::string_view>> m_names;
        std::unordered_map<std::string_view, const Upstream*> m_upstreams;
        Faults m_faults;
    };

}

Faults check(const Document& document) { return Checker(document).run(); }

}
