#include "daemon/catalogservice.h"

#include "daemon/clock.h"
#include "logging/log.h"
#include "wire/peer.pb.h"

#include <random>

namespace Daemon {

using Catalog::StoreAction;
using TableStore::PutStatus;

namespace {

    constexpr const char* currentRowKey = "catalog/current";
    constexpr std::chrono::milliseconds pollInterval(4000);
    /// A host without a catalogue polls the store more often, so that it becomes ready soon.
    constexpr std::chrono::milliseconds initialPollInterval(500);
    constexpr double pollJitter = 0.25;
    /// The number of peers from which a host without a catalogue pulls it.
    constexpr std::size_t maxInitialPulls = 3;

    Wire::CatalogDelta toMessage(const Catalog::Delta& delta)
    {
        Wire::CatalogDelta message;
        message.set_from_version(delta.fromVersion);
        message.set_version(delta.version);
        message.set_hash(delta.hash);
        message.set_previous_hash(delta.previousHash);
        message.set_nonce(delta.nonce);
        for (const std::string& object : delta.changed)
            message.add_changed(object);
        for (const std::string& id : delta.removed)
            message.add_removed(id);
        return message;
    }

    Catalog::Delta fromMessage(const Wire::CatalogDelta& message)
    {
        Catalog::Delta delta { message.from_version(), message.version(), message.hash(),
            message.previous_hash(), message.nonce(), {}, {} };
        delta.changed.assign(message.changed().begin(), message.changed().end());
        delta.removed.assign(message.removed().begin(), message.removed().end());
        return delta;
    }

}

CatalogService::CatalogService(const std::string& storeAddress, CatalogHolder& holder, PeerService& peers,
    std::function<void()> onAdopted)
    : m_storeAddress(storeAddress)
    , m_holder(holder)
    , m_peers(peers)
    , m_onAdopted(std::move(onAdopted))
    , m_store(storeAddress)
    , m_generator(std::random_device {}())
{
}

CatalogService::~CatalogService() { stop(); }

void CatalogService::start()
{
    m_thread = std::thread([this] { run(); });
}

void CatalogService::stop()
{
    {
        const std::lock_guard lock(m_wakeMutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void CatalogService::run()
{
    Model::Time next = steadyNow();
    std::unique_lock lock(m_wakeMutex);
    while (!m_isStopping) {
        lock.unlock();
        if (steadyNow() >= next) {
            pollStore();
            if (m_holder.version() == 0)
                pullFromPeers();
            next = nextPoll(steadyNow());
        }
        pullAnnounced();
        lock.lock();
        m_wake.wait_until(
            lock, toSteady(next), [this] { return m_isStopping || m_announcement.has_value(); });
    }
}

Model::Time CatalogService::nextPoll(Model::Time now)
{
    if (m_holder.version() == 0)
        return now + initialPollInterval;
    std::uniform_real_distribution<double> factor(1 - pollJitter, 1 + pollJitter);
    return now + std::chrono::duration_cast<Model::Duration>(pollInterval * factor(m_generator));
}

void CatalogService::pollStore()
{
    const Model::Time requestedAt = steadyNow();
    const auto row = m_store.row(currentRowKey);
    const auto current = row && row->version > 0 ? Catalog::parseRow(row->value) : Catalog::CurrentRow {};
    const bool isAvailable = row && current;
    if (m_isStoreAvailable.exchange(isAvailable) != isAvailable)
        Logging::write(isAvailable ? Logging::EventId::StoreRecovered : Logging::EventId::StoreUnavailable);
    if (!isAvailable)
        return;
    m_peers.withContact([&](Membership::ContactTracker& contact) {
        contact.storeSucceeded(requestedAt);
        contact.catalogVersionKnown(current->version, steadyNow());
    });
    std::uint64_t version = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_adoption.noteRow(*current, requestedAt);
        version = m_adoption.currentVersion();
    }
    if (current->version <= version)
        return;
    const auto text = m_store.object(current->hash);
    if (!text || !*text)
        return;
    Catalog::AdoptionResult result;
    {
        const std::lock_guard lock(m_mutex);
        result = m_adoption.offerObject(*current, **text, steadyNow());
    }
    putInForce(result, "store");
}

void CatalogService::versionAnnounced(const Membership::VersionAnnouncement& announcement)
{
    if (announcement.version <= m_holder.version())
        return;
    {
        const std::lock_guard lock(m_wakeMutex);
        if (m_announcement && m_announcement->version >= announcement.version)
            return;
        m_announcement = announcement;
    }
    m_wake.notify_all();
}

void CatalogService::pullAnnounced()
{
    std::optional<Membership::VersionAnnouncement> announcement;
    {
        const std::lock_guard lock(m_wakeMutex);
        announcement.swap(m_announcement);
    }
    if (!announcement)
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_adoption.noteAnnounced(announcement->version, steadyNow());
    }
    pull(announcement->address);
}

void CatalogService::pullFromPeers()
{
    // The version of a peer may be some seconds old. Pulling from three peers keeps a new host from starting
    // with an old version.
    std::size_t answeredPeers = 0;
    for (const Membership::Member& member : m_peers.liveMembers()) {
        if (answeredPeers == maxInitialPulls)
            return;
        if (pull(member.address))
            ++answeredPeers;
    }
}

bool CatalogService::pull(const std::string& address)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        // A peer that does not know the changes since `from` sends the whole document. The second attempt
        // requests the whole document, in case the changes could not be applied.
        const std::uint64_t from = attempt == 0 ? m_holder.version() : 0;
        const auto message = m_peers.pullCatalog(address, from);
        if (!message || message->version() <= m_holder.version())
            return message.has_value();
        Catalog::AdoptionResult result;
        {
            const std::lock_guard lock(m_mutex);
            result = m_adoption.offerDelta(fromMessage(*message), steadyNow());
        }
        if (putInForce(result, "peer"))
            return true;
    }
    return false;
}

bool CatalogService::putInForce(const Catalog::AdoptionResult& result, const char* source)
{
    if (!result) {
        if (result.error().reason != Catalog::RefusalReason::NotNewer)
            Logging::write(Logging::EventId::CatalogRejected,
                { { "source", source }, { "reason", result.error().message } });
        return false;
    }
    const std::uint64_t version = (*result)->version();
    if (m_holder.version() == 0)
        updateInitialAge(version);
    if (!m_holder.adopt(*result))
        return false;
    {
        const std::lock_guard lock(m_mutex);
        m_adoptedAt = steadyNow();
    }
    m_peers.withContact(
        [version](Membership::ContactTracker& contact) { contact.catalogVersionInForce(version); });
    Logging::write(
        Logging::EventId::CatalogAdopted, { { "version", std::to_string(version) }, { "source", source } });
    m_onAdopted();
    return true;
}

Wire::CatalogDelta CatalogService::deltaFrom(std::uint64_t version) const
{
    const std::lock_guard lock(m_mutex);
    const auto delta = m_adoption.history().deltaFrom(version);
    Wire::CatalogDelta message;
    if (delta) {
        message = toMessage(*delta);
    } else {
        message.set_from_version(version);
        message.set_version(m_adoption.currentVersion());
    }
    const auto age = std::chrono::floor<std::chrono::milliseconds>(steadyNow() - m_adoptedAt);
    message.set_in_force_ms(static_cast<std::uint64_t>(age.count()));
    return message;
}

Model::Duration CatalogService::initialAge() const
{
    const std::lock_guard lock(m_mutex);
    return m_initialAge;
}

void CatalogService::updateInitialAge(std::uint64_t version)
{
    // No other limits were in force before version 1.
    constexpr Model::Duration maxInitialAge = std::chrono::hours(1);
    Model::Duration age = version == 1 ? maxInitialAge : Model::Duration(0);
    std::size_t answeredPeers = 0;
    for (const Membership::Member& member : m_peers.liveMembers()) {
        if (age >= maxInitialAge || answeredPeers == maxInitialPulls)
            break;
        const auto reply = m_peers.pullCatalog(member.address, version);
        if (!reply)
            continue;
        ++answeredPeers;
        if (reply->version() == version)
            age = std::max<Model::Duration>(age,
                std::min<Model::Duration>(std::chrono::milliseconds(reply->in_force_ms()), maxInitialAge));
    }
    const std::lock_guard lock(m_mutex);
    m_initialAge = age;
}

void CatalogService::withAdoption(const std::function<void(const Catalog::Adoption&)>& use) const
{
    const std::lock_guard lock(m_mutex);
    use(m_adoption);
}

PublishOutcome CatalogService::publish(
    const Catalog::PublicationRequest& request, Catalog::PublicationMode mode, Model::Time deadline)
{
    const std::lock_guard lock(m_publishMutex);
    TableStore::StoreClient store(m_storeAddress);
    Catalog::Publication publication(request, mode, deadline);
    while (!publication.result())
        perform(publication, store);
    const Catalog::PublicationResult& end = *publication.result();
    if (!end.error)
        Logging::write(Logging::EventId::CatalogPublished, { { "version", std::to_string(end.version) } });
    // Adopts the new version, so that this host announces it and peers pull it from here.
    pollStore();
    return { end.error, end.version };
}

void CatalogService::perform(Catalog::Publication& publication, TableStore::StoreClient& store)
{
    const Catalog::PublicationStep step = *publication.step();
    std::this_thread::sleep_for(step.delay);
    switch (step.action) {
    case StoreAction::ReadRow: {
        const auto row = store.row(currentRowKey);
        const auto current = row && row->version > 0 ? Catalog::parseRow(row->value) : Catalog::CurrentRow {};
        return row && current ? publication.noteRow(*current, row->version, steadyNow())
                              : publication.noteNoAnswer(steadyNow());
    }
    case StoreAction::ReadObject: {
        const auto text = store.object(step.hash);
        return text && *text ? publication.noteObject(**text, steadyNow())
                             : publication.noteNoAnswer(steadyNow());
    }
    case StoreAction::PutObject:
        return store.putObject(step.hash, step.text) ? publication.noteObjectStored(steadyNow())
                                                     : publication.noteNoAnswer(steadyNow());
    case StoreAction::PutRow:
        break;
    }
    const auto put = store.putRow(currentRowKey, { step.rowVersion, step.hash, step.text });
    if (put.status == PutStatus::Done)
        publication.noteRowStored(steadyNow());
    else if (put.status == PutStatus::Conflict)
        publication.noteRowConflict(steadyNow());
    else
        publication.noteNoAnswer(steadyNow());
}

}
