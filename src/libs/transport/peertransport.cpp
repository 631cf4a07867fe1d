#include "transport/peertransport.h"

#include "wire/peer.pb.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

namespace Transport {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

    constexpr const char* zapAddress = "inproc://zeromq.zap.01";
    constexpr std::int64_t maxMessageBytes = 4L * 1024 * 1024;
    constexpr int sendQueueMessages = 10000;
    /// Number of consecutive timeouts after which the connection to a peer is closed.
    constexpr std::size_t maxConsecutiveTimeouts = 2;

    struct Outgoing {
        std::string address;
        Wire::Envelope message;
        milliseconds timeout {};
        ReplyHandler onReply;
        /// Only for replies: the ZeroMQ identity of the socket that sent the request.
        std::string identity;
        /// Whether to close the connection to the address instead of sending a message.
        bool isReset = false;
    };

    struct PendingRequest {
        ReplyHandler onReply;
        std::string address;
        SteadyClock::time_point deadline;
    };

    struct Peer {
        zmq::socket_t socket;
        /// Number of consecutive requests that timed out.
        std::size_t timeouts = 0;
    };

}

struct PeerTransport::Private {
    Private(TransportSettings transportSettings, RequestHandler handler)
        : settings(std::move(transportSettings))
        , onRequest(std::move(handler))
        , nextRequest(std::random_device {}())
    {
    }

    TransportSettings settings;
    RequestHandler onRequest;
    zmq::context_t context { 1 };
    zmq::socket_t zap;
    zmq::socket_t router;
    std::map<std::string, Peer> peers;
    std::unordered_map<std::uint64_t, PendingRequest> pending;
    std::multimap<SteadyClock::time_point, std::uint64_t> deadlines;
    std::uint64_t nextRequest;

    std::mutex queueMutex;
    std::deque<Outgoing> queue;
    int wakeFd = -1;
    std::atomic<bool> isStopping = false;
    std::thread thread;

    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> messagesSent = 0;
    std::atomic<std::uint64_t> messagesReceived = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::atomic<std::uint64_t> rejected = 0;

    void run();
    void enqueue(Outgoing outgoing);
    void wake() const;
    void processQueue();
    void processOutgoing(Outgoing& outgoing);
    bool sendTo(zmq::socket_t& socket, const std::string* identity, const Wire::Envelope& message);
    /// Returns the peer, connecting to the address if necessary; null if the address is invalid.
    Peer* peerFor(const std::string& address);
    void closeConnection(const std::string& address);
    void handleZapRequest();
    void receiveRequests();
    void receiveReplies(Peer& peer);
    void handleReply(Peer& peer, const Wire::Envelope& message);
    bool parse(const zmq::message_t& frame, Wire::Envelope& message);
    void completeRequest(std::uint64_t request, ReplyStatus status, const Wire::Envelope* message);
    void expireRequests(SteadyClock::time_point now);
    milliseconds pollTimeout(SteadyClock::time_point now) const;
    void setOrigin(Wire::Envelope& message) const;
};

PeerTransport::PeerTransport(TransportSettings settings, RequestHandler onRequest)
    : m_d(std::make_unique<Private>(std::move(settings), std::move(onRequest)))
{
}

PeerTransport::~PeerTransport() { stop(); }

std::optional<std::string> PeerTransport::start()
{
    try {
        m_d->zap = zmq::socket_t(m_d->context, zmq::socket_type::rep);
        m_d->zap.set(zmq::sockopt::linger, 0);
        m_d->zap.bind(zapAddress);
        m_d->router = zmq::socket_t(m_d->context, zmq::socket_type::router);
        m_d->router.set(zmq::sockopt::linger, 0);
        m_d->router.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        m_d->router.set(zmq::sockopt::sndhwm, sendQueueMessages);
        m_d->router.set(zmq::sockopt::curve_server, 1);
        m_d->router.set(zmq::sockopt::curve_secretkey, m_d->settings.curveSecretKey);
        m_d->router.set(zmq::sockopt::zap_domain, "fleet");
        m_d->router.bind("tcp://" + m_d->settings.listenAddress);
    } catch (const zmq::error_t& error) {
        return std::string(error.what());
    }
    m_d->wakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    m_d->thread = std::thread([this] { m_d->run(); });
    return std::nullopt;
}

void PeerTransport::stop()
{
    if (!m_d->thread.joinable())
        return;
    m_d->isStopping = true;
    m_d->wake();
    m_d->thread.join();
    ::close(m_d->wakeFd);
}

void PeerTransport::send(const std::string& address, Wire::Envelope message)
{
    m_d->enqueue({ address, std::move(message), {}, nullptr, {}, false });
}

void PeerTransport::request(
    const std::string& address, Wire::Envelope message, milliseconds timeout, ReplyHandler onReply)
{
    m_d->enqueue({ address, std::move(message), timeout, std::move(onReply), {}, false });
}

void PeerTransport::resetConnection(const std::string& address)
{
    m_d->enqueue({ address, {}, {}, nullptr, {}, true });
}

TransportCounts PeerTransport::counts() const
{
    return { m_d->bytesSent, m_d->bytesReceived, m_d->messagesSent, m_d->messagesReceived, m_d->malformed,
        m_d->rejected };
}

void PeerTransport::Private::enqueue(Outgoing outgoing)
{
    {
        const std::lock_guard lock(queueMutex);
        queue.push_back(std::move(outgoing));
    }
    wake();
}

void PeerTransport::Private::wake() const
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full; the thread wakes then as well.
    [[maybe_unused]] const ssize_t written = ::write(wakeFd, &one, sizeof one);
}

void PeerTransport::Private::run()
{
    while (!isStopping) {
        std::vector<zmq::pollitem_t> items { { nullptr, wakeFd, ZMQ_POLLIN, 0 },
            { zap.handle(), 0, ZMQ_POLLIN, 0 }, { router.handle(), 0, ZMQ_POLLIN, 0 } };
        for (auto& [address, peer] : peers)
            items.push_back({ peer.socket.handle(), 0, ZMQ_POLLIN, 0 });
        zmq::poll(items, pollTimeout(SteadyClock::now()));
        std::uint64_t wakes = 0;
        [[maybe_unused]] const ssize_t read = ::read(wakeFd, &wakes, sizeof wakes);
        if ((items[1].revents & ZMQ_POLLIN) != 0)
            handleZapRequest();
        if ((items[2].revents & ZMQ_POLLIN) != 0)
            receiveRequests();
        std::size_t index = 3;
        for (auto& [address, peer] : peers) {
            if ((items[index++].revents & ZMQ_POLLIN) != 0)
                receiveReplies(peer);
        }
        processQueue();
        expireRequests(SteadyClock::now());
    }
    while (!pending.empty())
        completeRequest(pending.begin()->first, ReplyStatus::NoAnswer, nullptr);
}

milliseconds PeerTransport::Private::pollTimeout(SteadyClock::time_point now) const
{
    constexpr milliseconds maxPollTimeout(1000);
    if (deadlines.empty())
        return maxPollTimeout;
    const auto left = std::chrono::ceil<milliseconds>(deadlines.begin()->first - now);
    return std::clamp(left, milliseconds(0), maxPollTimeout);
}

void PeerTransport::Private::processQueue()
{
    std::deque<Outgoing> taken;
    {
        const std::lock_guard lock(queueMutex);
        taken.swap(queue);
    }
    for (Outgoing& outgoing : taken)
        processOutgoing(outgoing);
}

void PeerTransport::Private::setOrigin(Wire::Envelope& message) const
{
    message.set_sender(settings.hostName);
    message.set_incarnation(settings.incarnation);
}

void PeerTransport::Private::processOutgoing(Outgoing& outgoing)
{
    if (outgoing.isReset)
        return closeConnection(outgoing.address);
    setOrigin(outgoing.message);
    if (!outgoing.identity.empty()) {
        sendTo(router, &outgoing.identity, outgoing.message);
        return;
    }
    const std::uint64_t number = nextRequest++;
    outgoing.message.set_request(number);
    Peer* peer = peerFor(outgoing.address);
    const bool isSent = peer && sendTo(peer->socket, nullptr, outgoing.message);
    if (!outgoing.onReply)
        return;
    if (!isSent)
        return outgoing.onReply(ReplyStatus::NotSent, nullptr);
    const auto deadline = SteadyClock::now() + outgoing.timeout;
    pending[number] = { std::move(outgoing.onReply), outgoing.address, deadline };
    deadlines.emplace(deadline, number);
}

bool PeerTransport::Private::sendTo(
    zmq::socket_t& socket, const std::string* identity, const Wire::Envelope& message)
{
    const std::string bytes = message.SerializeAsString();
    try {
        if (identity
            && !socket.send(zmq::buffer(*identity), zmq::send_flags::sndmore | zmq::send_flags::dontwait))
            return false;
        if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            return false;
    } catch (const zmq::error_t&) {
        return false;
    }
    bytesSent += bytes.size();
    ++messagesSent;
    return true;
}

Peer* PeerTransport::Private::peerFor(const std::string& address)
{
    const auto found = peers.find(address);
    if (found != peers.end())
        return &found->second;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    socket.set(zmq::sockopt::sndhwm, sendQueueMessages);
    socket.set(zmq::sockopt::reconnect_ivl, 50);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    socket.set(zmq::sockopt::curve_serverkey, settings.curvePublicKey);
    socket.set(zmq::sockopt::curve_publickey, settings.curvePublicKey);
    socket.set(zmq::sockopt::curve_secretkey, settings.curveSecretKey);
    // Addresses come from other hosts, so an invalid one must not terminate the process.
    try {
        socket.connect("tcp://" + address);
    } catch (const zmq::error_t&) {
        return nullptr;
    }
    return &peers.emplace(address, Peer { std::move(socket), 0 }).first->second;
}

void PeerTransport::Private::closeConnection(const std::string& address) { peers.erase(address); }

void PeerTransport::Private::handleZapRequest()
{
    // A ZAP request (ZeroMQ RFC 27) consists of the frames version, id, domain, address, identity, mechanism
    // and, for CURVE, public key.
    std::vector<zmq::message_t> frames;
    do {
        frames.emplace_back();
        if (!zap.recv(frames.back(), zmq::recv_flags::dontwait))
            return;
    } while (frames.back().more());
    std::array<char, 41> publicKey {};
    constexpr std::size_t keyFrame = 6;
    const bool hasKey = frames.size() > keyFrame && frames[keyFrame].size() == 32;
    if (hasKey)
        zmq_z85_encode(publicKey.data(), frames[keyFrame].data<std::uint8_t>(), 32);
    const bool isAdmitted = hasKey && settings.curvePublicKey == publicKey.data();
    if (!isAdmitted)
        ++rejected;
    const std::string id = frames.size() > 1 ? frames[1].to_string() : std::string();
    const std::array<std::string, 6> reply { "1.0", id, isAdmitted ? "200" : "400",
        isAdmitted ? "OK" : "refused", "", "" };
    for (std::size_t i = 0; i < reply.size(); ++i) {
        const auto flags = i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        zap.send(zmq::buffer(reply[i]), flags);
    }
}

bool PeerTransport::Private::parse(const zmq::message_t& frame, Wire::Envelope& message)
{
    bytesReceived += frame.size();
    ++messagesReceived;
    const bool isParsed = message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))
        && message.body_case() != Wire::Envelope::BODY_NOT_SET;
    if (!isParsed)
        ++malformed;
    return isParsed;
}

void PeerTransport::Private::receiveRequests()
{
    zmq::message_t identity;
    while (router.recv(identity, zmq::recv_flags::dontwait)) {
        zmq::message_t frame;
        bool isSingleFrame = identity.more() && router.recv(frame).has_value();
        while (frame.more()) {
            isSingleFrame = false;
            static_cast<void>(router.recv(frame));
        }
        Wire::Envelope message;
        if (!isSingleFrame) {
            ++malformed;
            continue;
        }
        if (!parse(frame, message) || message.reply())
            continue;
        const std::uint64_t number = message.request();
        onRequest(message, [this, number, from = identity.to_string()](Wire::Envelope reply) {
            reply.set_request(number);
            reply.set_reply(true);
            enqueue({ {}, std::move(reply), {}, nullptr, from, false });
        });
    }
}

void PeerTransport::Private::receiveReplies(Peer& peer)
{
    zmq::message_t frame;
    while (peer.socket.recv(frame, zmq::recv_flags::dontwait)) {
        Wire::Envelope message;
        if (parse(frame, message) && message.reply())
            handleReply(peer, message);
    }
}

void PeerTransport::Private::handleReply(Peer& peer, const Wire::Envelope& message)
{
    peer.timeouts = 0;
    completeRequest(message.request(), ReplyStatus::Answered, &message);
}

void PeerTransport::Private::completeRequest(
    std::uint64_t request, ReplyStatus status, const Wire::Envelope* message)
{
    const auto found = pending.find(request);
    // The reply to a request that has already timed out is discarded.
    if (found == pending.end())
        return;
    const ReplyHandler onReply = std::move(found->second.onReply);
    pending.erase(found);
    onReply(status, message);
}

void PeerTransport::Private::expireRequests(SteadyClock::time_point now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const std::uint64_t number = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        const auto found = pending.find(number);
        if (found == pending.end())
            continue;
        const std::string address = found->second.address;
        completeRequest(number, ReplyStatus::NoAnswer, nullptr);
        const auto peer = peers.find(address);
        // The connection may be unresponsive although a new one would work, so it is replaced.
        if (peer != peers.end() && ++peer->second.timeouts >= maxConsecutiveTimeouts)
            closeConnection(address);
    }
}

}
