#include "simulation.h"

#include "core/replication/timing.h"

#include <algorithm>
#include <utility>

using namespace Replication;

namespace {

constexpr Model::Duration tickInterval = 20ms;
constexpr Model::Duration pollWait = 200ms;
constexpr Model::Duration writeDeadline = 3s;
constexpr std::size_t sessionCount = 4;

std::size_t indexOf(const std::string& member) { return static_cast<std::size_t>(std::stoul(member)); }

}

Simulation::Simulation(SimulationSettings settings)
    : m_settings(std::move(settings))
    , m_generator(m_settings.seed)
    , m_now(simulated({}))
    , m_databases(m_settings.zones.size())
    , m_databaseLinks(m_databases.size(), std::vector<bool>(m_databases.size(), true))
    , m_states(m_databases.size(), MemberState::Active)
    , m_hosts(m_settings.hosts)
    , m_sessions(sessionCount)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        m_hosts[host].links.resize(m_databases.size());
        restartHost(host, true);
    }
    replicateAll();
}

void Simulation::at(Model::Time time, Event event)
{
    m_events.push({ time, ++m_sequence, std::make_shared<Event>(std::move(event)) });
}

void Simulation::run(Model::Time until)
{
    while (!m_events.empty() && m_events.top().time <= until && m_failure.empty()) {
        const TimedEvent event = m_events.top();
        m_events.pop();
        m_now = event.time;
        (*event.run)();
    }
    m_now = until;
}

void Simulation::setDatabaseUp(std::size_t database, bool up)
{
    Database& target = m_databases[database];
    if (target.isUp && !up)
        target.data.restart();
    target.isUp = up;
    target.frozenUntil = {};
    target.polls.clear();
}

void Simulation::freezeDatabase(std::size_t database, Model::Duration duration)
{
    m_databases[database].frozenUntil = m_now + duration;
}

void Simulation::setHostLink(std::size_t host, std::size_t database, bool up)
{
    link(host, database).isUp = up;
}

void Simulation::setDatabaseLink(std::size_t left, std::size_t right, bool up)
{
    m_databaseLinks[left][right] = up;
    m_databaseLinks[right][left] = up;
}

void Simulation::pauseHost(std::size_t host, Model::Duration duration)
{
    m_hosts[host].pausedUntil = m_now + duration;
}

void Simulation::restartHost(std::size_t host, bool up)
{
    Host& target = m_hosts[host];
    m_counts.unknown += target.sentWrites.size();
    ++target.incarnation;
    target.pausedUntil = {};
    target.openPolls.assign(m_databases.size(), 0);
    target.queuedWrites.clear();
    target.sentWrites.clear();
    target.queuedReads.clear();
    target.running = 0;
    target.group = std::make_unique<Group>(configuration(), m_now);
    if (up)
        tick(host, target.incarnation);
}

void Simulation::configure(std::size_t database, MemberState state)
{
    m_states[database] = state;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const std::vector<Member> members = configuration();
        runOnHost(host, m_hosts[host].incarnation,
            [this, host, members] { m_hosts[host].group->replaceMembers(members, m_now); });
    }
}

std::vector<Member> Simulation::configuration() const
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < m_databases.size(); ++i)
        members.push_back({ std::to_string(i), m_settings.zones[i], 2, m_states[i] });
    return members;
}

Model::Duration Simulation::delay()
{
    return m_settings.oneWayLatency
        + Model::Duration(random(static_cast<std::uint64_t>(m_settings.jitter.count()) + 1));
}

void Simulation::runOnHost(std::size_t host, std::uint64_t incarnation, Event event)
{
    if (m_hosts[host].incarnation != incarnation)
        return;
    if (m_hosts[host].pausedUntil <= m_now) {
        event();
        return;
    }
    at(m_hosts[host].pausedUntil,
        [this, host, incarnation, event = std::move(event)] { runOnHost(host, incarnation, event); });
}

void Simulation::call(std::size_t host, std::size_t database, ConnectionKind connection,
    std::function<Event()> execute, Event lost)
{
    const std::uint64_t incarnation = m_hosts[host].incarnation;
    const auto isOpen = std::make_shared<bool>(true);
    const auto complete = [this, host, incarnation, isOpen](Event event) {
        runOnHost(host, incarnation, [this, host, isOpen, event = std::move(event)] {
            if (!std::exchange(*isOpen, false))
                return;
            event();
            act(host);
        });
    };
    const Link& used = link(host, database);
    const bool isRefused = used.isUp && !m_databases[database].isUp;
    at(m_now + (isRefused ? 2 * m_settings.oneWayLatency : callTimeout),
        [complete, lost = std::move(lost)] { complete(lost); });
    if (!used.isUp || isRefused || (used.isUnresponsive && connection == ConnectionKind::Established)
        || random(100) < m_lossPercent)
        return;
    // A few calls arrive after their caller has abandoned them.
    const bool isLate = m_lossPercent > 0 && random(50) == 0;
    at(m_now + delay() + (isLate ? Model::Duration(random(3'000'000)) : Model::Duration {}),
        [this, host, database, complete, run = std::make_shared<std::function<Event()>>(std::move(execute))] {
            deliver(host, database, run, complete);
        });
}

void Simulation::deliver(std::size_t host, std::size_t database,
    const std::shared_ptr<std::function<Event()>>& execute, const std::function<void(Event)>& answer)
{
    const Database& target = m_databases[database];
    if (!target.isUp)
        return;
    if (target.frozenUntil > m_now) {
        at(target.frozenUntil, [=, this] { deliver(host, database, execute, answer); });
        return;
    }
    Event response = (*execute)();
    if (!response || !link(host, database).isUp || random(100) < m_lossPercent)
        return;
    at(m_now + delay(), [answer, response = std::move(response)] { answer(response); });
}

void Simulation::replicateAll()
{
    for (std::size_t i = 0; i < m_databases.size(); ++i) {
        Database& database = m_databases[i];
        if (!database.isUp || database.frozenUntil > m_now)
            continue;
        const int followed = database.data.followed();
        if (followed >= 0) {
            const Database& primary = m_databases[static_cast<std::size_t>(followed)];
            if (primary.isUp && primary.frozenUntil <= m_now
                && m_databaseLinks[i][static_cast<std::size_t>(followed)])
                database.data.replicate(primary.data, database.lag, m_now);
        }
        answerPolls(database);
    }
    at(m_now + m_settings.replicationInterval, [this] { replicateAll(); });
}

void Simulation::answerPolls(Database& database)
{
    std::erase_if(database.polls, [&](const Poll& poll) {
        const bool isDue = database.data.lastEntry() >= poll.atLeast
            || database.data.promisedTerm() > poll.atLeast.term || poll.deadline <= m_now;
        if (isDue)
            poll.answer();
        return isDue;
    });
}

void Simulation::tick(std::size_t host, std::uint64_t incarnation)
{
    runOnHost(host, incarnation, [this, host, incarnation] {
        issueStatements(host);
        act(host);
        at(m_now + tickInterval, [this, host, incarnation] { tick(host, incarnation); });
    });
}

void Simulation::act(std::size_t host)
{
    Host& owner = m_hosts[host];
    owner.group->setWritesInProgress(owner.running);
    for (const Action& action : owner.group->nextActions(m_now, m_generator))
        perform(host, action);
    resolveWrites(host);
    std::erase_if(owner.queuedWrites, [&](const Write& write) { return tryWrite(host, write); });
    std::erase_if(owner.queuedReads, [&](const Read& read) { return tryRead(host, read); });
    poll(host);
}

void Simulation::perform(std::size_t host, const Action& action)
{
    const Model::Time sentAt = m_now;
    const auto group = [this, host]() -> Group& { return *m_hosts[host].group; };
    if (const auto* probed = std::get_if<Probe>(&action)) {
        probe(host, *probed);
    } else if (const auto* fence = std::get_if<Fence>(&action)) {
        FakeDatabase& target = m_databases[indexOf(fence->member)].data;
        call(
            host, indexOf(fence->member), ConnectionKind::New,
            [=, this, &target, fence = *fence]() -> Event {
                const FenceAnswer answer = target.fence(fence.term);
                return [=, this] { group().fenceAnswered(fence.member, fence.term, answer, sentAt, m_now); };
            },
            [=, this, fence = *fence] { group().fenceLost(fence.member, fence.term, m_now); });
    } else if (const auto* promote = std::get_if<Promote>(&action)) {
        FakeDatabase& target = m_databases[indexOf(promote->member)].data;
        call(
            host, indexOf(promote->member), ConnectionKind::New,
            [=, this, &target, promote = *promote]() -> Event {
                const bool wasPrimary = target.isPrimary();
                const TermAnswer answer = target.promote(promote.term, m_now);
                if (answer.accepted && !wasPrimary)
                    checkPromoted(target);
                return [=, this] {
                    group().promoteAnswered(promote.member, promote.term, answer, sentAt, m_now);
                };
            },
            [=, promote = *promote] { group().promoteLost(promote.member, promote.term); });
    } else if (const auto* follow = std::get_if<Follow>(&action)) {
        FakeDatabase& target = m_databases[indexOf(follow->member)].data;
        call(
            host, indexOf(follow->member), ConnectionKind::New,
            [=, this, &target, follow = *follow]() -> Event {
                const TermAnswer answer
                    = target.follow(follow.term, static_cast<int>(indexOf(follow.primary)));
                return
                    [=, this] { group().followAnswered(follow.member, follow.term, answer, sentAt, m_now); };
            },
            [=, this, follow = *follow] { group().followLost(follow.member, m_now); });
    }
}

void Simulation::probe(std::size_t host, const Probe& probe)
{
    const std::size_t database = indexOf(probe.member);
    const Model::Time sentAt = m_now;
    ++m_counts.probes;
    call(
        host, database, probe.connection,
        [=, this]() -> Event {
            const Report report = m_databases[database].data.status();
            return [=, this] {
                if (probe.connection == ConnectionKind::New)
                    link(host, database).isUnresponsive = false;
                observe(host, database, report, sentAt);
            };
        },
        [=, this] { m_hosts[host].group->observeFailure(probe.member, probe.connection, m_now); });
}

void Simulation::observe(std::size_t host, std::size_t database, const Report& report, Model::Time sentAt)
{
    m_hosts[host].group->observeReport(std::to_string(database), report, sentAt, m_now);
    resolveWrites(host);
}

/// Keeps one position poll open at each replica while writes await their confirmation.
void Simulation::poll(std::size_t host)
{
    Host& owner = m_hosts[host];
    const std::optional<Primary> primary = owner.group->primary(m_now);
    if (owner.sentWrites.empty() || !primary || !m_settings.confirmWrites)
        return;
    const auto lowest = std::ranges::min(owner.sentWrites, {}, &Write::toConfirm);
    for (std::size_t i = 0; i < m_databases.size(); ++i) {
        if (owner.openPolls[i] != 0 || std::to_string(i) == primary->member || !m_databases[i].isUp)
            continue;
        const std::uint64_t number = ++m_sequence;
        owner.openPolls[i] = number;
        const Model::Time sentAt = m_now;
        const std::uint64_t incarnation = owner.incarnation;
        call(
            host, i, ConnectionKind::Established,
            [=, this]() -> Event {
                m_databases[i].polls.push_back({ lowest.toConfirm, m_now + pollWait, [=, this] {
                                                    Report report = m_databases[i].data.status();
                                                    report.role.reset();
                                                    if (!link(host, i).isUp || random(100) < m_lossPercent)
                                                        return;
                                                    at(m_now + delay(), [=, this] {
                                                        runOnHost(host, incarnation, [=, this] {
                                                            m_hosts[host].openPolls[i] = false;
                                                            observe(host, i, report, sentAt);
                                                            act(host);
                                                        });
                                                    });
                                                } });
                return {};
            },
            [=, this] { closePoll(host, i, number); });
    }
}

bool Simulation::closePoll(std::size_t host, std::size_t database, std::uint64_t number)
{
    std::uint64_t& open = m_hosts[host].openPolls[database];
    return std::exchange(open, open == number ? 0 : open) == number;
}

void Simulation::resolveWrites(std::size_t host)
{
    Host& owner = m_hosts[host];
    std::erase_if(owner.sentWrites, [&](const Write& write) {
        const Confirmation state = owner.group->confirmation(write.toConfirm);
        if (state == Confirmation::Confirmed || !m_settings.confirmWrites) {
            acknowledge(write);
            return true;
        }
        if (state == Confirmation::Pending && m_now - write.arrivedAt < writeDeadline)
            return false;
        ++m_counts.unknown;
        m_unknownValues.push_back(write.value);
        return true;
    });
}

void Simulation::issueStatements(std::size_t host)
{
    const auto every = static_cast<std::uint64_t>(m_settings.statementInterval / tickInterval);
    if (every > 1 && random(every) != 0)
        return;
    const std::size_t session = random(m_sessions.size());
    Write write { .value = 0, .session = session, .arrivedAt = m_now };
    if (!m_unknownValues.empty() && random(4) == 0) {
        write.value = m_unknownValues.back();
        m_unknownValues.pop_back();
    } else {
        write.value = m_nextValue++;
    }
    if (!tryWrite(host, write))
        m_hosts[host].queuedWrites.push_back(write);
    const Session& reader = m_sessions[random(m_sessions.size())];
    Read read { session, reader.entry, reader.value, {}, m_now };
    if (random(3) == 0)
        read = { session, {}, 0, Model::Duration(random(3'000'000)), m_now };
    if (!tryRead(host, read))
        m_hosts[host].queuedReads.push_back(read);
}

bool Simulation::tryWrite(std::size_t host, const Write& write)
{
    const WriteRoute route = m_hosts[host].group->routeWrite(write.arrivedAt, m_now);
    if (route.kind == WriteRoute::Kind::Wait)
        return false;
    if (route.kind == WriteRoute::Kind::NoPrimary) {
        ++m_counts.refused;
        return true;
    }
    const Model::Time sentAt = m_now;
    const Primary primary = route.primary;
    ++m_hosts[host].running;
    call(
        host, indexOf(primary.member), ConnectionKind::Established,
        [=, this]() -> Event {
            const auto entry
                = m_databases[indexOf(primary.member)].data.write(primary.term, write.value, m_now);
            return [=, this]() mutable {
                Host& owner = m_hosts[host];
                --owner.running;
                if (!entry) {
                    ++m_counts.refused;
                    return;
                }
                Write sent = write;
                sent.entry = *entry;
                sent.toConfirm
                    = owner.group->observeWrite(primary.member, primary.term, *entry, sentAt, m_now);
                owner.sentWrites.push_back(sent);
            };
        },
        [=, this] {
            --m_hosts[host].running;
            ++m_counts.unknown;
            m_unknownValues.push_back(write.value);
            m_hosts[host].group->observeFailure(primary.member, ConnectionKind::Established, m_now);
        });
    return true;
}

bool Simulation::tryRead(std::size_t host, const Read& read)
{
    const Group& group = *m_hosts[host].group;
    const ReadRequest request { read.entry, read.maxAge, m_settings.zones[host % m_settings.zones.size()],
        read.arrivedAt };
    const std::vector<MemberLoad> loads(m_databases.size(), MemberLoad { 0, m_settings.replicaReads });
    const ReadRoute route = group.routeRead(request, loads, m_now);
    switch (route.kind) {
    case ReadRoute::Kind::Wait:
        return false;
    case ReadRoute::Kind::PositionLost:
        fail("a position was reported as lost although no entry is");
        return true;
    case ReadRoute::Kind::Unavailable:
        ++m_counts.refusedReads;
        return true;
    case ReadRoute::Kind::Replica:
    case ReadRoute::Kind::Primary:
        sendRead(host, read, route);
        return true;
    }
    return true;
}

void Simulation::sendRead(std::size_t host, const Read& read, const ReadRoute& route)
{
    const bool isReplica = route.kind == ReadRoute::Kind::Replica;
    std::optional<Model::Time> notOlderThan;
    if (read.maxAge)
        notOlderThan = m_now - (isReplica ? *read.maxAge : std::max(*read.maxAge, unresponsiveLimit));
    const std::size_t database = indexOf(route.member);
    call(
        host, database, ConnectionKind::Established,
        [=, this]() -> Event {
            if (m_databases[database].data.promisedTerm() != route.term)
                return {};
            ++(isReplica ? m_counts.replicaReads : m_counts.primaryReads);
            checkRead(m_databases[database], read, notOlderThan);
            return [] {};
        },
        [] {});
}

void Simulation::checkRead(
    const Database& database, const Read& read, std::optional<Model::Time> notOlderThan)
{
    if (read.value != 0 && !database.data.holds(read.entry, read.value))
        fail("a read was older than the session's position");
    if (!notOlderThan)
        return;
    for (auto ack = m_acknowledgements.rbegin(); ack != m_acknowledgements.rend(); ++ack) {
        if (ack->at > *notOlderThan)
            continue;
        if (!database.data.holds(ack->entry, ack->value))
            fail("a read was older than its maximum age");
        return;
    }
}

void Simulation::acknowledge(const Write& write)
{
    m_acknowledgements.push_back({ write.value, write.entry, write.toConfirm.term, write.arrivedAt, m_now });
    Session& session = m_sessions[write.session];
    if (write.entry > session.entry)
        session = { write.entry, write.value };
    if (!m_settings.confirmWrites)
        return;
    for (const Database& database : m_databases) {
        if (database.data.isPrimary() && database.data.promisedTerm() > write.toConfirm.term
            && !database.data.holds(write.entry, write.value))
            fail("a write was acknowledged after its term had been replaced without it");
    }
}

void Simulation::checkPromoted(const FakeDatabase& database)
{
    ++m_counts.promotions;
    for (const Acknowledgement& ack : m_acknowledgements) {
        if (m_settings.confirmWrites && ack.confirmedTerm < database.promisedTerm()
            && !database.holds(ack.entry, ack.value)) {
            fail("a member without an acknowledged write was promoted");
            return;
        }
    }
}

void Simulation::checkSurvivingLog()
{
    const auto survivor = std::ranges::max_element(
        m_databases, {}, [](const Database& database) { return database.data.lastEntry(); });
    std::vector<std::uint64_t> values;
    for (const FakeDatabase::Entry& entry : survivor->data.log()) {
        if (entry.value != 0)
            values.push_back(entry.value);
    }
    std::ranges::sort(values);
    if (std::ranges::adjacent_find(values) != values.end())
        fail("a write is in the surviving log twice");
    for (const Acknowledgement& ack : m_acknowledgements) {
        if (std::ranges::binary_search(values, ack.value))
            continue;
        ++m_counts.lostWrites;
        fail("an acknowledged write is not in the surviving log");
    }
}

void Simulation::fail(const std::string& what)
{
    ++m_counts.violations;
    if (m_failure.empty() && m_settings.confirmWrites)
        m_failure = what;
}
