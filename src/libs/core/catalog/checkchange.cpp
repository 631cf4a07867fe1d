#include "core/catalog/checkchange.h"

#include "core/catalog/documentindex.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace Catalog {

namespace {

    using Internal::findByName;

    class ChangeChecker {
    public:
        ChangeChecker(
            const Document& previous, const Document& next, const MemberChangeLog& log, Model::Time now)
            : m_previous(previous)
            , m_next(next)
            , m_log(log)
            , m_now(now)
        {
        }

        Faults run()
        {
            indexMembers();
            for (const Service& service : m_next.services)
                checkMembers(service);
            for (const Upstream& upstream : m_next.upstreams)
                checkAddress(upstream);
            for (const Key& key : m_next.keys)
                checkKey(key);
            checkTokenKeys();
            return std::move(m_faults);
        }

    private:
        void indexMembers()
        {
            for (const Service& service : m_previous.services) {
                for (const std::string& name : service.upstreams) {
                    const Upstream* upstream = findByName(m_previous.upstreams, name);
                    if (upstream)
                        m_serviceOfAddress.emplace(upstream->address, &service);
                }
            }
        }

        void checkMembers(const Service& service)
        {
            static const std::vector<std::string> none;
            const Service* before = findByName(m_previous.services, service.name);
            const std::vector<std::string>& old = before ? before->upstreams : none;
            std::vector<std::string> changed;
            std::ranges::set_symmetric_difference(old, service.upstreams, std::back_inserter(changed));
            if (changed.empty())
                return;
            // Majorities before and after a change of one member always overlap; after a change of two
            // members they may not.
            if (before && changed.size() > 1)
                fail(ObjectType::Service, service.name, "upstreams",
                    "a publication may add or remove one upstream of a service, but this one changes "
                        + std::to_string(changed.size()));
            expectIntervalElapsed(
                ObjectType::Service, service.name, "upstreams", m_log.serviceWait(service.name, m_now));
            for (const std::string& name : changed) {
                if (std::ranges::binary_search(service.upstreams, name))
                    checkAddedMember(service, name);
            }
        }

        /// The database must not come directly from another service: the owner of that group may still fence
        /// it or make it the primary.
        void checkAddedMember(const Service& service, const std::string& name)
        {
            const Upstream* upstream = findByName(m_next.upstreams, name);
            if (!upstream)
                return;
            const auto other = m_serviceOfAddress.find(upstream->address);
            if (other != m_serviceOfAddress.end() && other->second->name != service.name)
                return fail(ObjectType::Service, service.name, "upstreams",
                    "the database of upstream \"" + name + "\" belongs to service \"" + other->second->name
                        + "\" in the version in force; remove it there first");
            expectIntervalElapsed(
                ObjectType::Upstream, name, "address", m_log.addressWait(upstream->address, m_now));
        }

        /// A new address means another database, which would replace a member under the same name and so
        /// evade the rule on member changes.
        void checkAddress(const Upstream& upstream)
        {
            const Upstream* before = findByName(m_previous.upstreams, upstream.name);
            if (before && before->address != upstream.address && m_serviceOfAddress.contains(before->address))
                fail(ObjectType::Upstream, upstream.name, "address",
                    "the address of a service's upstream cannot change; add another upstream instead");
        }

        /// Queued requests are checked against the name of their key, so a name must always stand for the
        /// same key.
        void checkKey(const Key& key)
        {
            const Key* before = findByName(m_previous.keys, key.name);
            if (!before)
                return;
            if (before->hash != key.hash)
                fail(ObjectType::Key, key.name, "hash", "cannot change; grant a key with another name");
            if (before->customer != key.customer)
                fail(ObjectType::Key, key.name, "customer", "cannot change; grant a key with another name");
            if (before->state == KeyState::Withdrawn && key.state == KeyState::Active)
                fail(ObjectType::Key, key.name, "state", "a withdrawn key cannot become active again");
        }

        /// Hosts that have not adopted the version yet could not verify tokens signed with a new key, so a
        /// key must be published for verification before it signs.
        void checkTokenKeys()
        {
            const std::string& signing = m_next.limits.tokenKeyIds.front();
            if (std::ranges::find(m_previous.limits.tokenKeyIds, signing)
                == m_previous.limits.tokenKeyIds.end())
                fail(ObjectType::Limits, {}, "tokenKeyIds",
                    "\"" + signing
                        + "\" comes first and would sign tokens, but is new; publish it in a later position "
                          "first");
        }

        void expectIntervalElapsed(
            ObjectType type, const std::string& name, const char* field, Model::Duration wait)
        {
            if (wait <= Model::Duration::zero())
                return;
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
            fail(type, name, field,
                "members changed less than 60 s ago, or this host does not know their last change yet; try "
                "again in "
                    + std::to_string(seconds) + " s");
        }

        void fail(ObjectType type, std::string name, const char* field, std::string message)
        {
            m_faults.push_back({ type, std::move(name), field, std::move(message) });
        }

        const Document& m_previous;
        const Document& m_next;
        const MemberChangeLog& m_log;
        Model::Time m_now;
        std::unordered_map<std::string_view, const Service*> m_serviceOfAddress;
        Faults m_faults;
    };

}

Faults checkChange(
    const Document& previous, const Document& next, const MemberChangeLog& log, Model::Time now)
{
    return ChangeChecker(previous, next, log, now).run();
}

}
