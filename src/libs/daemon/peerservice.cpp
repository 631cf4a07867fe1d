#include "daemon/peerservice.h"

#include "daemon/clock.h"
#include "daemon/forwardmessages.h"
#include "daemon/gossipmessages.h"
#include "logging/log.h"
#include "wire/peer.pb.h"

#include <future>

namespace Daemon {

using Membership::MemberEventKind;
using Model::ErrorCode;
using std::chrono::milliseconds;
using Transport::ReplyStatus;

namespace {

    constexpr milliseconds tickInterval(50);
    /// Later acknowledgements are not evidence that a member is alive.
    constexpr milliseconds gossipTimeout(1500);
    /// How long a received gossip request can be acknowledged.
    constexpr milliseconds responderLifetime(3000);
    constexpr milliseconds pullTimeout(1000);
    /// If a group's owner has not responded after this time, the host that waits for it probes it at once.
    constexpr milliseconds probeDelay(500);
    constexpr milliseconds ownerCheckInterval(100);
    /// The owner responds at the request's deadline at the latest; this allows for network latency.
    constexpr milliseconds networkLatencyMargin(100);

}

PeerService::PeerService(const Transport::TransportSettings& transport, const std::string& zone,
    std::vector<std::string> seeds, Metrics::Registry& metrics, PeerHooks hooks)
    : m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_generator(std::random_device {}())
    , m_contact(transport.hostName)
    , m_gossip({ transport.hostName, transport.listenAddress, zone, transport.incarnation }, steadyNow(),
          m_contact)
    , m_transport(transport, [this](const Wire::Envelope& request, const Transport::Responder& respond) {
        onRequest(request, respond);
    })
{
    m_gossip.setSeeds(std::move(seeds));
}

PeerService::~PeerService() { stop(); }

std::optional<std::string> PeerService::start()
{
    if (auto error = m_transport.start())
        return error;
    m_thread = std::thread([this] { run(); });
    return std::nullopt;
}

void PeerService::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    m_transport.stop();
}

void PeerService::run()
{
    while (!m_isStopping) {
        const Model::Time now = steadyNow();
        Membership::GossipOutput output;
        {
            const std::lock_guard lock(m_mutex);
            output = m_gossip.tick(now, m_generator);
        }
        perform(std::move(output));
        removeExpiredResponders(now);
        std::this_thread::sleep_for(tickInterval);
    }
}

void PeerService::setLiveHosts(const std::vector<TableStore::LiveHost>& hosts)
{
    std::vector<Membership::ListedHost> listed;
    listed.reserve(hosts.size());
    for (const TableStore::LiveHost& host : hosts)
        listed.push_back({ host.name, host.address, host.zone, host.isLeaving });
    Membership::GossipOutput output;
    {
        const std::lock_guard lock(m_mutex);
        output = m_gossip.setLiveHosts(listed, steadyNow());
    }
    perform(std::move(output));
}

void PeerService::leave()
{
    Membership::GossipOutput output;
    {
        const std::lock_guard lock(m_mutex);
        output = m_gossip.leave(steadyNow(), m_generator);
    }
    perform(std::move(output));
}

std::vector<Membership::Member> PeerService::liveMembers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Membership::Member> members;
    for (const auto& [name, member] : m_gossip.members()) {
        if (member.isLive())
            members.push_back(member);
    }
    return members;
}

std::vector<Membership::Member> PeerService::allMembers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Membership::Member> members;
    for (const auto& [name, member] : m_gossip.members())
        members.push_back(member);
    return members;
}

std::optional<Membership::Member> PeerService::member(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_gossip.members().find(name);
    return found == m_gossip.members().end() ? std::nullopt : std::optional(found->second);
}

Membership::ContactState PeerService::contactState(Model::Time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_contact.state(now);
}

void PeerService::withContact(const std::function<void(Membership::ContactTracker&)>& use)
{
    const std::lock_guard lock(m_mutex);
    use(m_contact);
}

std::optional<std::string> PeerService::addressOf(const std::string& host) const
{
    const auto found = member(host);
    return found && found->isLive() ? std::optional(found->address) : std::nullopt;
}

GroupAnswer PeerService::forward(const std::string& host, const GroupRequest& request)
{
    const auto address = addressOf(host);
    if (!address)
        return errorAnswer(ErrorCode::OwnerUnreachable);
    const Model::Time now = steadyNow();
    Wire::Envelope envelope;
    *envelope.mutable_forward_request() = toMessage(request, now);
    const auto promise = std::make_shared<std::promise<GroupAnswer>>();
    std::future<GroupAnswer> answer = promise->get_future();
    const milliseconds timeout = timeLeft(request.deadline, now) + networkLatencyMargin;
    m_transport.request(
        *address, std::move(envelope), timeout, [promise](ReplyStatus status, const Wire::Envelope* reply) {
            if (status == ReplyStatus::NotSent)
                return promise->set_value(errorAnswer(ErrorCode::OwnerUnreachable));
            if (status == ReplyStatus::NoAnswer || !reply->has_forward_reply())
                return promise->set_value(
                    errorAnswer(ErrorCode::OutcomeUnknown, "the group's owner did not respond"));
            promise->set_value(fromMessage(reply->forward_reply()));
        });
    if (answer.wait_for(probeDelay) == std::future_status::ready)
        return answer.get();
    probe(host);
    while (answer.wait_for(ownerCheckInterval) != std::future_status::ready) {
        if (!addressOf(host))
            return errorAnswer(
                ErrorCode::OutcomeUnknown, "the group's owner was presumed dead before it responded");
    }
    return answer.get();
}

void PeerService::probe(const std::string& host)
{
    Membership::GossipOutput output;
    {
        const std::lock_guard lock(m_mutex);
        output = m_gossip.probeNow(host, steadyNow(), m_generator);
    }
    perform(std::move(output));
}

std::optional<Wire::CatalogDelta> PeerService::pullCatalog(
    const std::string& address, std::uint64_t fromVersion)
{
    Wire::Envelope envelope;
    envelope.mutable_catalog_pull()->set_from_version(fromVersion);
    const auto promise = std::make_shared<std::promise<std::optional<Wire::CatalogDelta>>>();
    auto answer = promise->get_future();
    m_transport.request(
        address, std::move(envelope), pullTimeout, [promise](ReplyStatus, const Wire::Envelope* reply) {
            if (reply && reply->has_catalog_delta())
                promise->set_value(reply->catalog_delta());
            else
                promise->set_value(std::nullopt);
        });
    return answer.get();
}

void PeerService::draw(const std::string& host, const Wire::DrawRequest& request, milliseconds timeout,
    std::function<void(const Wire::DrawReply*)> onReply)
{
    const auto address = addressOf(host);
    if (!address)
        return onReply(nullptr);
    Wire::Envelope envelope;
    *envelope.mutable_draw_request() = request;
    m_transport.request(*address, std::move(envelope), timeout,
        [handler = std::move(onReply)](ReplyStatus, const Wire::Envelope* reply) {
            handler(reply && reply->has_draw_reply() ? &reply->draw_reply() : nullptr);
        });
}

void PeerService::onRequest(const Wire::Envelope& request, const Transport::Responder& respond)
{
    switch (request.body_case()) {
    case Wire::Envelope::kForwardRequest:
        return m_hooks.onForward(request.forward_request(), [respond](const Wire::ForwardReply& reply) {
            Wire::Envelope envelope;
            *envelope.mutable_forward_reply() = reply;
            respond(std::move(envelope));
        });
    case Wire::Envelope::kDrawRequest: {
        Wire::Envelope envelope;
        *envelope.mutable_draw_reply()
            = m_hooks.onDraw(request.sender(), request.incarnation(), request.draw_request());
        return respond(std::move(envelope));
    }
    case Wire::Envelope::kCatalogPull: {
        Wire::Envelope envelope;
        *envelope.mutable_catalog_delta() = m_hooks.onCatalogPull(request.catalog_pull().from_version());
        return respond(std::move(envelope));
    }
    case Wire::Envelope::kPing:
    case Wire::Envelope::kPingRequest:
        return onGossip(request, respond);
    default:
        m_metrics.counter("parsleytack_peer_malformed_total").add();
    }
}

void PeerService::onGossip(const Wire::Envelope& request, const Transport::Responder& respond)
{
    const auto message = toGossip(request);
    if (!message) {
        m_metrics.counter("parsleytack_peer_malformed_total").add();
        return;
    }
    const Model::Time now = steadyNow();
    {
        const std::lock_guard lock(m_responderMutex);
        m_responders[{ message->sender, message->request }] = { respond, now + responderLifetime };
    }
    Model::Result<Membership::GossipOutput> output;
    {
        const std::lock_guard lock(m_mutex);
        output = m_gossip.handle(*message, now, m_generator);
    }
    if (output)
        return perform(std::move(*output));
    m_metrics.counter("parsleytack_peer_malformed_total").add();
    Logging::write(Logging::EventId::PeerMessageMalformed,
        { { "sender", message->sender }, { "reason", output.error().message } });
}

void PeerService::onGossipReply(std::uint64_t request, const Wire::Envelope& reply)
{
    auto message = toGossip(reply);
    if (!message) {
        m_metrics.counter("parsleytack_peer_malformed_total").add();
        return;
    }
    message->request = request;
    Model::Result<Membership::GossipOutput> output;
    {
        const std::lock_guard lock(m_mutex);
        output = m_gossip.handle(*message, steadyNow(), m_generator);
    }
    if (output)
        perform(std::move(*output));
}

void PeerService::perform(Membership::GossipOutput output)
{
    for (const Membership::OutgoingMessage& message : output.messages)
        sendGossip(message);
    reportEvents(output.events);
    if (output.versionAnnouncement)
        m_hooks.onVersionAnnounced(*output.versionAnnouncement);
}

void PeerService::sendGossip(const Membership::OutgoingMessage& message)
{
    if (!std::holds_alternative<Membership::Ack>(message.body)) {
        m_transport.request(message.address, toEnvelope(message), gossipTimeout,
            [this, request = message.request](ReplyStatus, const Wire::Envelope* reply) {
                if (reply)
                    onGossipReply(request, *reply);
            });
        return;
    }
    // An acknowledgement is sent as the transport's reply to the request.
    Transport::Responder respond;
    {
        const std::lock_guard lock(m_responderMutex);
        const auto found = m_responders.find({ message.name, message.request });
        if (found == m_responders.end())
            return;
        respond = std::move(found->second.respond);
        m_responders.erase(found);
    }
    respond(toEnvelope(message));
}

void PeerService::removeExpiredResponders(Model::Time now)
{
    const std::lock_guard lock(m_responderMutex);
    std::erase_if(m_responders, [now](const auto& entry) { return entry.second.expiresAt <= now; });
}

void PeerService::reportEvents(const std::vector<Membership::MemberEvent>& events)
{
    for (const Membership::MemberEvent& event : events) {
        const bool isSuspicion = event.kind == MemberEventKind::Suspected;
        const bool isDeath = event.kind == MemberEventKind::Died || event.kind == MemberEventKind::Removed;
        const Logging::EventId id = isSuspicion ? Logging::EventId::MemberSuspect
            : isDeath                           ? Logging::EventId::MemberDead
                                                : Logging::EventId::MemberAlive;
        Logging::write(
            id, { { "member", event.name }, { "incarnation", std::to_string(event.incarnation) } });
        if (event.kind == MemberEventKind::Superseded)
            m_hooks.onSuperseded();
    }
    if (!events.empty())
        m_hooks.onMembersChanged();
}

}
