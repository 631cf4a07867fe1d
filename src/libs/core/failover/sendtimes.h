#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Failover {

/// Confirms to a host that another one has received a message of it.
struct Receipt {
    /// The host that sent the message, and the incarnation of its process.
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// When the message was received, on the clock of the host that received it.
    Model::Time receivedAt;
};

/// Bounds when the messages of other hosts were sent, however long they were held up on the way.
///
/// The clocks of two hosts share nothing but their rate. A receipt relates them: the other host's clock
/// showed the time of the receipt no earlier than this host sent the message that it confirms. Every message
/// carries the time of its sender's clock, so that one receipt bounds the age of all later messages. Used on
/// one thread.
class SendTimes {
public:
    /// Sets the incarnation of this process. Receipts for earlier ones are ignored.
    void setIncarnation(std::uint64_t incarnation) { m_incarnation = incarnation; }
    /// Records that a message of this host was sent.
    void sent(std::uint64_t sequence, Model::Time now);
    /// Records a message of another host.
    void received(
        const std::string& host, std::uint64_t incarnation, std::uint64_t sequence, Model::Time now);
    /// The receipts that the next message carries: those for processes that have none yet, and one of the
    /// others in turn.
    std::vector<Receipt> takeReceipts();
    /// Records a receipt for a message of this host, sent by `host`.
    void receiptArrived(const std::string& host, std::uint64_t incarnation, const Receipt& receipt);
    /// Returns the earliest time on this host's clock at which the host can have sent a message that carries
    /// the time `sentAt` of its clock; `nullopt` before its first receipt.
    std::optional<Model::Time> notSentBefore(
        const std::string& host, std::uint64_t incarnation, Model::Time sentAt) const;
    /// Discards what is known about a host that was removed.
    void removeHost(const std::string& host) { m_hosts.erase(host); }

private:
    struct SentMessage {
        std::uint64_t sequence = 0;
        Model::Time at;
    };
    /// The other host's clock showed `theirs` no earlier than this host's clock showed `ours`.
    struct ClockBound {
        Model::Time theirs;
        Model::Time ours;
    };
    struct Host {
        std::uint64_t incarnation = 0;
        std::uint64_t lastSequence = 0;
        Model::Time lastReceivedAt;
        bool hasReceipt = false;
        std::optional<ClockBound> bound;
    };

    static Model::Time earliest(const ClockBound& bound, Model::Time theirs);
    Host& hostOf(const std::string& host, std::uint64_t incarnation);

    std::uint64_t m_incarnation = 0;
    std::deque<SentMessage> m_sent;
    std::map<std::string, Host> m_hosts;
    /// The host that got the last receipt in turn.
    std::string m_lastInTurn;
};

}
