#include "transport/peertransport.h"
#include "wire/peer.pb.h"

#include <array>
#include <future>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <zmq.hpp>

using namespace Transport;
using namespace std::chrono_literals;

namespace {

struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

KeyPair newKeyPair()
{
    std::array<char, 41> publicKey {};
    std::array<char, 41> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return { publicKey.data(), secretKey.data() };
}

// Binds a socket to a port that the system chooses, closes it and returns the address.
std::string freeAddress()
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::rep);
    socket.bind("tcp://127.0.0.1:*");
    return socket.get(zmq::sockopt::last_endpoint).substr(6);
}

Wire::Envelope catalogPull(std::uint64_t version)
{
    Wire::Envelope message;
    message.mutable_catalog_pull()->set_from_version(version);
    return message;
}

struct Reply {
    ReplyStatus status;
    Wire::Envelope message;
};

Reply sendRequest(PeerTransport& transport, const std::string& address, Wire::Envelope message,
    std::chrono::milliseconds timeout)
{
    std::promise<Reply> promise;
    transport.request(
        address, std::move(message), timeout, [&promise](ReplyStatus status, const Wire::Envelope* reply) {
            promise.set_value({ status, reply ? *reply : Wire::Envelope() });
        });
    return promise.get_future().get();
}

RequestHandler echo()
{
    return [](const Wire::Envelope& request, const Responder& respond) {
        Wire::Envelope reply;
        reply.mutable_catalog_delta()->set_version(request.catalog_pull().from_version());
        respond(reply);
    };
}

}

// Guards against a reply that completes another request than its own.
TEST(PeerTransport, MatchesRepliesToRequests)
{
    const KeyPair fleet = newKeyPair();
    PeerTransport server({ freeAddress(), "a", 1, fleet.publicKey, fleet.secretKey }, echo());
    const std::string address = freeAddress();
    PeerTransport other({ address, "b", 2, fleet.publicKey, fleet.secretKey }, echo());
    ASSERT_FALSE(server.start());
    ASSERT_FALSE(other.start());
    for (std::uint64_t i = 0; i < 100; ++i) {
        const Reply reply = sendRequest(server, address, catalogPull(i), 10s);
        ASSERT_EQ(reply.status, ReplyStatus::Answered);
        EXPECT_EQ(reply.message.catalog_delta().version(), i);
        EXPECT_EQ(reply.message.sender(), "b");
    }
}

// Guards against a reply that arrives after the timeout of its request and completes a later request.
TEST(PeerTransport, DiscardsLateReply)
{
    const KeyPair fleet = newKeyPair();
    const std::string address = freeAddress();
    std::promise<Responder> late;
    std::atomic<int> requests = 0;
    PeerTransport server({ address, "a", 1, fleet.publicKey, fleet.secretKey },
        [&](const Wire::Envelope& request, const Responder& respond) {
            if (requests++ == 0)
                return late.set_value(respond);
            echo()(request, respond);
        });
    PeerTransport client({ freeAddress(), "b", 2, fleet.publicKey, fleet.secretKey }, echo());
    ASSERT_FALSE(server.start());
    ASSERT_FALSE(client.start());
    EXPECT_EQ(sendRequest(client, address, catalogPull(1), 300ms).status, ReplyStatus::NoAnswer);
    Wire::Envelope reply;
    reply.mutable_catalog_delta()->set_version(1);
    late.get_future().get()(reply);
    EXPECT_EQ(sendRequest(client, address, catalogPull(2), 10s).message.catalog_delta().version(), 2U);
}

// Guards against a process without the fleet's key, or without encryption, that takes part in the peer
// traffic.
TEST(PeerTransport, RejectsPeerWithoutFleetKey)
{
    const KeyPair fleet = newKeyPair();
    const std::string address = freeAddress();
    std::atomic<int> requests = 0;
    PeerTransport server({ address, "a", 1, fleet.publicKey, fleet.secretKey },
        [&](const Wire::Envelope&, const Responder&) { ++requests; });
    ASSERT_FALSE(server.start());
    zmq::context_t context;
    const KeyPair own = newKeyPair();
    zmq::socket_t wrongKeySocket(context, zmq::socket_type::dealer);
    wrongKeySocket.set(zmq::sockopt::linger, 0);
    wrongKeySocket.set(zmq::sockopt::curve_serverkey, fleet.publicKey);
    wrongKeySocket.set(zmq::sockopt::curve_publickey, own.publicKey);
    wrongKeySocket.set(zmq::sockopt::curve_secretkey, own.secretKey);
    wrongKeySocket.connect("tcp://" + address);
    zmq::socket_t plainSocket(context, zmq::socket_type::dealer);
    plainSocket.set(zmq::sockopt::linger, 0);
    plainSocket.connect("tcp://" + address);
    const std::string bytes = catalogPull(1).SerializeAsString();
    wrongKeySocket.send(zmq::buffer(bytes));
    plainSocket.send(zmq::buffer(bytes));
    while (server.counts().rejected == 0)
        std::this_thread::sleep_for(10ms);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(requests, 0);
}

// Guards against an invalid address from another host that terminates the process with an exception.
TEST(PeerTransport, ReportsNotSentForUnusableAddress)
{
    const KeyPair fleet = newKeyPair();
    PeerTransport transport({ freeAddress(), "one", 1, fleet.publicKey, fleet.secretKey }, echo());
    ASSERT_FALSE(transport.start());
    for (const char* address : { "", "nowhere", "127.0.0.1:" })
        EXPECT_EQ(sendRequest(transport, address, catalogPull(1), 500ms).status, ReplyStatus::NotSent)
            << address;
}

// Guards against messages from a peer that cannot be parsed or have too many frames: they must neither
// terminate the process nor reach the request handler.
TEST(PeerTransport, DiscardsMalformedMessages)
{
    const KeyPair fleet = newKeyPair();
    const std::string address = freeAddress();
    PeerTransport server({ address, "a", 1, fleet.publicKey, fleet.secretKey }, echo());
    ASSERT_FALSE(server.start());
    zmq::context_t context;
    zmq::socket_t peer(context, zmq::socket_type::dealer);
    peer.set(zmq::sockopt::linger, 0);
    peer.set(zmq::sockopt::curve_serverkey, fleet.publicKey);
    peer.set(zmq::sockopt::curve_publickey, fleet.publicKey);
    peer.set(zmq::sockopt::curve_secretkey, fleet.secretKey);
    peer.connect("tcp://" + address);
    const std::string valid = catalogPull(1).SerializeAsString();
    for (const std::string& bytes :
        { std::string(), std::string("\xff\xff\xff"), valid.substr(0, valid.size() - 1) })
        peer.send(zmq::buffer(bytes));
    peer.send(zmq::buffer(valid), zmq::send_flags::sndmore);
    peer.send(zmq::buffer(valid));
    while (server.counts().malformed < 4)
        std::this_thread::sleep_for(10ms);
    PeerTransport client({ freeAddress(), "b", 2, fleet.publicKey, fleet.secretKey }, echo());
    ASSERT_FALSE(client.start());
    EXPECT_EQ(sendRequest(client, address, catalogPull(7), 10s).message.catalog_delta().version(), 7U);
}
