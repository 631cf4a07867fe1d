#include "core/catalog/delta.h"

#include "core/catalog/documentindex.h"
#include "core/catalog/jsonreader.h"
#include "core/catalog/jsonwriter.h"

#include <set>
#include <unordered_map>

namespace Catalog {

namespace {

    using Internal::Json;

    constexpr std::string_view limitsId = "limits";

    std::string objectId(ObjectType type, const std::string& name)
    {
        return std::string(objectTypeName(type)) + "/" + name;
    }

    /// Collects the ids of the objects that differ between two documents.
    class DifferenceVisitor {
    public:
        explicit DifferenceVisitor(const Document& from)
            : m_from(from)
        {
        }

        template <typename Object> void list(const char*, ObjectType type, const std::vector<Object>& to)
        {
            const std::vector<Object>& from = sameList(to);
            auto left = from.begin();
            auto right = to.begin();
            while (left != from.end() || right != to.end()) {
                if (right == to.end() || (left != from.end() && left->name < right->name)) {
                    ids.push_back(objectId(type, left++->name));
                } else if (left == from.end() || right->name < left->name) {
                    ids.push_back(objectId(type, right++->name));
                } else {
                    if (!(*left == *right))
                        ids.push_back(objectId(type, left->name));
                    ++left;
                    ++right;
                }
            }
        }

        std::vector<std::string> ids;

    private:
        const std::vector<Customer>& sameList(const std::vector<Customer>&) { return m_from.customers; }
        const std::vector<Key>& sameList(const std::vector<Key>&) { return m_from.keys; }
        const std::vector<Service>& sameList(const std::vector<Service>&) { return m_from.services; }
        const std::vector<Upstream>& sameList(const std::vector<Upstream>&) { return m_from.upstreams; }
        const std::vector<Zone>& sameList(const std::vector<Zone>&) { return m_from.zones; }
        const std::vector<Route>& sameList(const std::vector<Route>&) { return m_from.routes; }

        const Document& m_from;
    };

    /// Writes the objects with the wanted ids, or all objects. Wanted ids without an object are those of
    /// removed objects.
    class DeltaWriter {
    public:
        DeltaWriter(std::set<std::string> wanted, bool isWhole)
            : m_isWhole(isWhole)
            , m_wanted(std::move(wanted))
        {
        }

        template <typename Object> void list(const char*, ObjectType type, const std::vector<Object>& objects)
        {
            for (const Object& object : objects) {
                if (m_isWhole || m_wanted.erase(objectId(type, object.name)) > 0)
                    add(objectTypeName(type), object);
            }
        }

        void limits(const Limits& limits)
        {
            if (m_isWhole || m_wanted.erase(std::string(limitsId)) > 0)
                add(limitsId, limits);
        }

        std::vector<std::string> removed() const { return { m_wanted.begin(), m_wanted.end() }; }
        std::vector<std::string> takeChanged() { return std::move(m_changed); }

    private:
        template <typename Object> void add(std::string_view type, const Object& object)
        {
            m_changed.push_back(
                Internal::jsonText(Json { { std::string(type), Internal::writeObject(object) } }));
        }

        bool m_isWhole;
        std::set<std::string> m_wanted;
        std::vector<std::string> m_changed;
    };

    /// Applies the changed and removed objects of a delta to the lists of a document.
    class DeltaReader {
    public:
        explicit DeltaReader(const Delta& delta)
            : m_removed(delta.removed.begin(), delta.removed.end())
        {
            for (const std::string& text : delta.changed)
                readChanged(text);
        }

        template <typename Object> void list(const char*, ObjectType type, std::vector<Object>& objects)
        {
            std::vector<Object> changed;
            for (const Json& json : m_changed[std::string(objectTypeName(type))])
                changed.push_back(Internal::readObject<Object>(json, type, {}, faults));
            normalizeList(changed);
            std::erase_if(
                objects, [&](const Object& object) { return Internal::findByName(changed, object.name); });
            objects.insert(objects.end(), changed.begin(), changed.end());
            std::erase_if(objects,
                [&](const Object& object) { return m_removed.contains(objectId(type, object.name)); });
        }

        void limits(Limits& limits)
        {
            for (const Json& json : m_changed[std::string(limitsId)])
                limits = Internal::readObject<Limits>(json, ObjectType::Limits, {}, faults);
        }

        Faults faults;

    private:
        template <typename Object> static void normalizeList(std::vector<Object>& objects)
        {
            std::ranges::stable_sort(objects, {}, &Object::name);
        }

        void readChanged(const std::string& text)
        {
            std::string problem;
            std::optional<Json> json = Internal::parseJson(text, problem);
            if (!json || !json->is_object() || json->size() != 1)
                return Internal::addFault(faults,
                    { ObjectType::Document, {}, {},
                        "an entry of the delta does not have the form {\"TYPE\":{...}}" });
            m_changed[json->begin().key()].push_back(std::move(json->begin().value()));
        }

        std::set<std::string> m_removed;
        std::unordered_map<std::string, std::vector<Json>> m_changed;
    };

    Delta makeDelta(std::uint64_t fromVersion, const Snapshot& to, DeltaWriter writer)
    {
        Internal::visitLists(writer, to.document());
        writer.limits(to.limits());
        return { fromVersion, to.version(), to.hash(), to.previousHash(), to.nonce(), writer.takeChanged(),
            writer.removed() };
    }

}

std::vector<std::string> changedObjects(const Document& from, const Document& to)
{
    DifferenceVisitor visitor(from);
    Internal::visitLists(visitor, to);
    if (!(from.limits == to.limits))
        visitor.ids.emplace_back(limitsId);
    return std::move(visitor.ids);
}

Delta makeDelta(std::uint64_t fromVersion, const Snapshot& to, const std::vector<std::string>& objectIds)
{
    return makeDelta(fromVersion, to, DeltaWriter({ objectIds.begin(), objectIds.end() }, false));
}

Delta makeWholeDelta(const Snapshot& to) { return makeDelta(0, to, DeltaWriter({}, true)); }

Checked<Version> applyDelta(const Document& base, const Delta& delta)
{
    Version version { delta.version, delta.previousHash, delta.nonce, base };
    DeltaReader reader(delta);
    Internal::visitLists(reader, version.document);
    reader.limits(version.document.limits);
    if (!reader.faults.empty())
        return tl::unexpected<Faults>(std::move(reader.faults));
    normalize(version.document);
    return version;
}

}
