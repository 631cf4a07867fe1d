#include "../seeds.h"
#include "core/catalog/adoption.h"
#include "core/catalog/bootstrappeerselector.h"
#include "core/catalog/publication.h"
#include "testdocuments.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include <gtest/gtest.h>

using namespace Catalog;
using namespace std::chrono_literals;
using TestDocuments::consistent;

namespace {

/// Simulated store of the platform.
struct Store {
    CurrentRow row;
    std::uint64_t rowVersion = 0;
    std::map<std::string, std::string> objects;
    /// All versions that took effect, as rows.
    std::vector<CurrentRow> accepted;
    bool isDown = false;

    bool putRow(const std::string& text, std::uint64_t replaced)
    {
        if (replaced != rowVersion)
            return false;
        row = parseRow(text).value();
        ++rowVersion;
        accepted.push_back(row);
        return true;
    }
};

/// One publication from the operator's point of view.
struct Attempt {
    PublicationRequest request;
    PublicationMode mode = PublicationMode::First;
    int repeats = 0;
    /// The result last reported to the operator; nullopt if the host restarted before it responded.
    std::optional<PublicationResult> reported;
};

struct Host {
    Adoption adoption;
    std::unique_ptr<Publication> publication;
    std::shared_ptr<Attempt> attempt;
    /// Number of the latest step; responses to earlier steps are discarded.
    std::uint64_t awaitedStep = 0;
    std::uint64_t incarnation = 0;
};

/// Simulates operators, hosts and a store, with a network that loses, delays and duplicates messages.
class Simulation {
public:
    explicit Simulation(std::mt19937_64& random)
        : m_random(random)
        , m_hosts(4)
    {
    }

    void run()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            poll(i);
        for (int i = 0; i < 12; ++i)
            at(delay(40s), [this] { startAttempt(); });
        for (int i = 0; i < 3; ++i) {
            const Model::Duration from = delay(40s);
            at(from, [this] { m_store.isDown = true; });
            at(from + delay(8s), [this] { m_store.isDown = false; });
            at(delay(40s), [this] { restart(below(m_hosts.size(), m_random)); });
        }
        at(60s, [this] {
            m_isHealed = true;
            m_store.isDown = false;
        });
        while (!m_events.empty() && m_now < Model::Time(90s)) {
            const auto next = m_events.begin();
            m_now = next->first;
            const auto action = std::move(next->second);
            m_events.erase(next);
            action();
        }
        checkAttempts();
        checkHosts();
    }

private:
    using Answer = std::function<void()>;

    Model::Duration delay(Model::Duration limit)
    {
        return Model::Duration(static_cast<std::int64_t>(below(limit.count(), m_random)));
    }

    void at(Model::Duration after, std::function<void()> action)
    {
        m_events.emplace(m_now + after, std::move(action));
    }

    /// Delivers a message, which may be lost, late or duplicated until the network is healed.
    void send(const std::function<void()>& message)
    {
        const int copies = m_isHealed ? 1 : (onceIn(6, m_random) ? 0 : (onceIn(8, m_random) ? 2 : 1));
        for (int i = 0; i < copies; ++i)
            at(delay(!m_isHealed && onceIn(5, m_random) ? 4s : 40ms), message);
    }

    Document editedDocument(const Host& host)
    {
        Document document = host.adoption.current() ? host.adoption.current()->document() : consistent();
        document.customers[0].rate = 1 + static_cast<std::int64_t>(below(3, m_random));
        return document;
    }

    void startAttempt()
    {
        const std::size_t index = below(m_hosts.size(), m_random);
        auto attempt = std::make_shared<Attempt>();
        attempt->request = { editedDocument(m_hosts[index]), m_hosts[index].adoption.currentVersion(),
            "nonce" + std::to_string(m_attempts.size()) };
        m_attempts.push_back(attempt);
        publish(index, attempt);
        // Often a second operator publishes at the same time, usually on another host.
        if (onceIn(2, m_random) && m_attempts.size() < 24)
            startAttempt();
    }

    void publish(std::size_t index, const std::shared_ptr<Attempt>& attempt)
    {
        Host& host = m_hosts[index];
        if (host.publication)
            return at(200ms, [=, this] { publish(index, attempt); });
        host.attempt = attempt;
        host.publication = std::make_unique<Publication>(attempt->request, attempt->mode, m_now + 3s);
        perform(index);
    }

    void perform(std::size_t index)
    {
        Host& host = m_hosts[index];
        if (host.publication->result()) {
            const auto attempt = host.attempt;
            attempt->reported = host.publication->result();
            host.publication.reset();
            const bool isUnknown = attempt->reported->error
                && attempt->reported->error->code == Model::ErrorCode::PublishUnknown;
            return isUnknown ? repeat(attempt) : void();
        }
        const PublicationStep step = *host.publication->step();
        const std::uint64_t number = host.awaitedStep = ++m_stepCount;
        const auto receive = [this, index, number](auto note) {
            send([=, this] {
                Host& receiver = m_hosts[index];
                if (receiver.awaitedStep != number || !receiver.publication)
                    return;
                note(*receiver.publication);
                perform(index);
            });
        };
        at(step.delay, [=, this] { send([=, this] { arrive(step, receive); }); });
        at(step.delay + 500ms, [=, this] {
            if (m_hosts[index].awaitedStep != number || !m_hosts[index].publication)
                return;
            m_hosts[index].publication->noteNoAnswer(m_now);
            perform(index);
        });
    }

    template <typename Receive> void arrive(const PublicationStep& step, const Receive& receive)
    {
        if (m_store.isDown)
            return;
        const Model::Time now = m_now;
        switch (step.action) {
        case StoreAction::ReadRow:
            receive([row = m_store.row, version = m_store.rowVersion, now](
                        Publication& p) { p.noteRow(row, version, now); });
            break;
        case StoreAction::ReadObject:
            receive([text = m_store.objects[step.hash], now](Publication& p) { p.noteObject(text, now); });
            break;
        case StoreAction::PutObject:
            m_store.objects[step.hash] = step.text;
            receive([now](Publication& p) { p.noteObjectStored(now); });
            break;
        case StoreAction::PutRow:
            if (m_store.putRow(step.text, step.rowVersion))
                receive([now](Publication& p) { p.noteRowStored(now); });
            else
                receive([now](Publication& p) { p.noteRowConflict(now); });
            break;
        }
    }

    void repeat(const std::shared_ptr<Attempt>& attempt)
    {
        if (attempt->repeats++ == 4)
            return;
        attempt->mode = onceIn(4, m_random) ? PublicationMode::ResolveOnly : PublicationMode::Repeat;
        at(delay(1s), [=, this] { publish(below(m_hosts.size(), m_random), attempt); });
    }

    void restart(std::size_t index)
    {
        Host& host = m_hosts[index];
        const auto attempt = host.publication ? host.attempt : nullptr;
        const std::uint64_t incarnation = host.incarnation + 1;
        host = Host {};
        host.incarnation = incarnation;
        if (attempt)
            repeat(attempt);
    }

    /// Periodically reads the current version from the store, and pulls a delta from a random peer.
    void poll(std::size_t index)
    {
        at(1s + delay(500ms), [=, this] { poll(index); });
        const std::uint64_t incarnation = m_hosts[index].incarnation;
        send([=, this] {
            if (m_store.isDown || m_store.row.version == 0)
                return;
            send([=, this, row = m_store.row, text = m_store.objects[m_store.row.hash]] {
                adopt(index, incarnation, [&](Adoption& a) { return a.offerObject(row, text, m_now); });
            });
        });
        const std::size_t peer = below(m_hosts.size(), m_random);
        send([=, this, from = m_hosts[index].adoption.currentVersion()] {
            const auto& history = m_hosts[peer].adoption.history();
            const std::optional<Delta> delta = history.deltaFrom(from);
            if (delta)
                send([=, this] {
                    adopt(index, incarnation, [&](Adoption& a) { return a.offerDelta(*delta, m_now); });
                });
        });
    }

    template <typename Offer> void adopt(std::size_t index, std::uint64_t incarnation, const Offer& offer)
    {
        Host& host = m_hosts[index];
        if (host.incarnation != incarnation)
            return;
        const std::uint64_t before = host.adoption.currentVersion();
        const AdoptionResult result = offer(host.adoption);
        if (!result)
            return;
        ASSERT_GT(host.adoption.currentVersion(), before) << "the version of a host fell";
        ASSERT_LE((*result)->version(), m_store.accepted.size())
            << "a host adopted a version that was not published";
        EXPECT_EQ((*result)->hash(), m_store.accepted[(*result)->version() - 1].hash);
    }

    void checkAttempts()
    {
        for (std::size_t i = 0; i < m_store.accepted.size(); ++i) {
            EXPECT_EQ(m_store.accepted[i].version, i + 1) << "a version was lost or reverted";
            EXPECT_EQ(m_store.accepted[i].previousHash, i ? m_store.accepted[i - 1].hash : "");
        }
        for (const auto& attempt : m_attempts) {
            const auto accepted
                = std::ranges::find(m_store.accepted, attempt->request.nonce, &CurrentRow::nonce);
            const bool tookEffect = accepted != m_store.accepted.end();
            if (!attempt->reported)
                continue;
            if (!attempt->reported->error) {
                ASSERT_TRUE(tookEffect) << attempt->request.nonce << " was reported as published";
                EXPECT_EQ(attempt->reported->version, accepted->version);
                const auto version = parseVersion(m_store.objects[accepted->hash]);
                ASSERT_TRUE(version);
                EXPECT_EQ(version->document, attempt->request.document);
            } else if (attempt->reported->error->info().outcome == Model::Outcome::NotRun) {
                EXPECT_FALSE(tookEffect)
                    << attempt->request.nonce << ": " << attempt->reported->error->message;
                EXPECT_LE(attempt->reported->version, m_store.accepted.size());
            }
        }
    }

    void checkHosts()
    {
        for (const Host& host : m_hosts)
            EXPECT_EQ(host.adoption.currentVersion(), m_store.row.version)
                << "a host has an outdated version";
    }

    std::mt19937_64& m_random;
    Model::Time m_now {};
    std::multimap<Model::Time, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    Store m_store;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::uint64_t m_stepCount = 0;
    bool m_isHealed = false;
};

constexpr Model::Time start {};

Publication publicationAfter(std::uint64_t expected, PublicationMode mode = PublicationMode::First)
{
    return { { consistent(), expected, "mine" }, mode, start + 5s };
}

}

// Guards against accepted versions that are lost or reverted, hosts whose version falls, and wrong outcomes
// reported to operators, while operators publish concurrently, messages are lost, delayed and duplicated, the
// store has outages and hosts restart.
TEST(Publication, ChainStaysConsistentUnderRacesAndFaults)
{
    forEachSeed(400, [](std::mt19937_64& random) { Simulation(random).run(); });
}

// Guards against a conflict that does not report the conflicting version, whether it was published before the
// first read or while the row was put.
TEST(Publication, ConflictReportsCurrentVersion)
{
    Publication publication = publicationAfter(3);
    publication.noteRow({ 5, "h5", "other", "h4" }, 50, start);
    ASSERT_TRUE(publication.result());
    EXPECT_EQ(publication.result()->error->code, Model::ErrorCode::VersionConflict);
    EXPECT_EQ(publication.result()->version, 5U);

    Publication racing = publicationAfter(3);
    racing.noteRow({ 3, "h3", "old", "h2" }, 30, start);
    racing.noteObjectStored(start);
    racing.noteRowConflict(start);
    racing.noteRow({ 4, "h4", "other", "h3" }, 31, start);
    ASSERT_TRUE(racing.result());
    EXPECT_EQ(racing.result()->error->code, Model::ErrorCode::VersionConflict);
    EXPECT_EQ(racing.result()->version, 4U);
}

// Guards against a conflict reported for a publication that took effect, because later versions were
// published before its outcome was read.
TEST(Publication, RepeatFindsOwnVersionAmongPredecessors)
{
    const Version mine { 4, "h3", "mine", consistent() };
    const Version fifth { 5, versionHash(mine), "other", consistent() };
    const Version sixth { 6, versionHash(fifth), "other", consistent() };
    Publication publication = publicationAfter(3, PublicationMode::Repeat);
    publication.noteRow({ 6, versionHash(sixth), "other", versionHash(fifth) }, 60, start);
    EXPECT_EQ(publication.step()->hash, versionHash(fifth));
    publication.noteObject(canonicalText(fifth), start);
    EXPECT_EQ(publication.step()->hash, versionHash(mine));
    publication.noteObject(canonicalText(mine), start);
    ASSERT_TRUE(publication.result());
    EXPECT_FALSE(publication.result()->error);
    EXPECT_EQ(publication.result()->version, 4U);
}

// Guards against success reported for a document when another one was published with the same nonce by
// mistake.
TEST(Publication, RejectsReusedNonceWithOtherDocument)
{
    Version other { 4, "h3", "mine", consistent() };
    other.document.customers[0].rate = 7;
    Publication publication = publicationAfter(3, PublicationMode::Repeat);
    publication.noteRow({ 4, versionHash(other), "mine", "h3" }, 40, start);
    ASSERT_TRUE(publication.result()->error);
    EXPECT_EQ(publication.result()->error->code, Model::ErrorCode::VersionConflict);
}

// Guards against the outcome "not run" while a put of the row may still arrive, and against "unknown" if none
// was sent.
TEST(Publication, ReportsOutcomeAtDeadline)
{
    Publication unsent = publicationAfter(3);
    unsent.noteNoAnswer(start + 5s);
    EXPECT_EQ(unsent.result()->error->code, Model::ErrorCode::StoreUnavailable);

    Publication sent = publicationAfter(3);
    sent.noteRow({ 3, "h3", "old", "h2" }, 30, start);
    sent.noteObjectStored(start);
    EXPECT_EQ(sent.step()->action, StoreAction::PutRow);
    EXPECT_EQ(sent.step()->rowVersion, 30U);
    sent.noteNoAnswer(start);
    EXPECT_EQ(sent.step()->action, StoreAction::ReadRow);
    sent.noteNoAnswer(start + 5s);
    EXPECT_EQ(sent.result()->error->code, Model::ErrorCode::PublishUnknown);

    Publication repeated = publicationAfter(3, PublicationMode::Repeat);
    repeated.noteNoAnswer(start + 5s);
    EXPECT_EQ(repeated.result()->error->code, Model::ErrorCode::PublishUnknown);

    Publication resolving = publicationAfter(3, PublicationMode::ResolveOnly);
    resolving.noteRow({ 3, "h3", "old", "h2" }, 30, start);
    EXPECT_EQ(resolving.step()->action, StoreAction::ReadRow);
}
