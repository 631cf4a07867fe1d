#pragma once

#include "core/proxy/engine.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

/// An engine in front of a service with the primary `p` and the replicas `q` and `r`. The test acts as the
/// callers and the upstreams.
class EngineFixture : public testing::Test {
protected:
    struct Link {
        std::string upstream;
        std::string customer;
        std::vector<Proxy::Command> commands;
        bool isClosed = false;
    };

    explicit EngineFixture(Proxy::EngineSettings settings = {});
    /// Replaces the engine by a new one with these settings.
    void createEngine(Proxy::EngineSettings settings = {});

    void setUpstream(const std::string& id, Directory::Role role,
        Directory::Availability availability = Directory::Availability::Ready);
    /// Puts the default configuration in force, after applying `change` to it.
    void configure(const std::function<void(Directory::Configuration&)>& change = {});

    Proxy::SessionId open(const std::string& database, const std::string& key = "key-acme");
    void send(Proxy::SessionId session, Proxy::Statement statement);
    static Proxy::Statement statement(Proxy::StatementKind kind, const std::string& argument = {});
    static Proxy::Statement named(Proxy::StatementKind kind, const std::string& name,
        const std::string& argument = {}, Proxy::PreparedKind prepared = Proxy::PreparedKind::Read);

    /// Accepts the connections that the engine is opening.
    void acceptConnections();
    /// Returns the newest open connection to an upstream; 0 if there is none.
    Proxy::ConnectionId linkTo(const std::string& upstream) const;
    /// Returns and removes the commands that were sent on a connection since the last call.
    std::vector<Proxy::Command> take(Proxy::ConnectionId link);
    /// Answers the oldest message on a connection.
    void answer(Proxy::ConnectionId link, Proxy::ResultCode code = Proxy::ResultCode::Complete,
        Proxy::TransactionState state = Proxy::TransactionState::None, std::uint64_t position = 0);
    /// Sends a statement of the session and lets it reach the primary. Returns the connection that runs it.
    Proxy::ConnectionId run(Proxy::SessionId session, Proxy::StatementKind kind);
    /// Lets the engine observe a position of the primary by running a write.
    void observePrimary(std::uint64_t position);
    void advance(Model::Duration duration);

    /// The last reply to a session.
    const Proxy::Reply& lastReply(Proxy::SessionId session) const { return m_replies.at(session).back(); }
    std::size_t replyCount(Proxy::SessionId session) const
    {
        const auto found = m_replies.find(session);
        return found == m_replies.end() ? 0 : found->second.size();
    }

    Directory::View m_view;
    Model::Time m_now { std::chrono::seconds(100) };
    bool m_isAdmitted = true;
    /// When an operation that is not admitted would be.
    std::optional<Model::Duration> m_admissionWait;
    int m_demanded = 0;
    /// Forwarded sessions whose statement the engine has not taken.
    std::vector<Proxy::SessionId> m_declined;
    bool m_mayUsePrimaries = true;
    bool m_isTraced = false;
    /// Hops of the traced statement that was answered last.
    std::vector<Proxy::Hop> m_hops;
    std::map<Proxy::SessionId, std::vector<Proxy::Reply>> m_replies;
    std::map<Proxy::SessionId, Proxy::ResultCode> m_rejections;
    std::set<Proxy::SessionId> m_closedSessions;
    std::map<Proxy::ConnectionId, Link> m_links;
    std::vector<Proxy::ConnectionId> m_opening;
    std::vector<Proxy::Decision> m_decisions;
    /// Statements that count as usage, by customer.
    std::map<std::string, int> m_operationsRan;
    std::unique_ptr<Proxy::Engine> m_engine;

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_revision = 0;
    Proxy::SessionId m_lastSession = 0;
    std::uint64_t m_term = 3;
};
