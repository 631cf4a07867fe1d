#include "forwarding/messages.h"

#include "core/proxy/session.h"
#include "wire/forward.pb.h"

#include <chrono>

namespace Forwarding {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;

    /// Longer times in a message are invalid.
    constexpr std::uint64_t maxTimeUs = 24ULL * 60 * 60 * 1'000'000;

    std::uint64_t microsecondsOf(Model::Duration duration)
    {
        const auto count = duration_cast<microseconds>(duration).count();
        return count > 0 ? static_cast<std::uint64_t>(count) : 0;
    }

    std::optional<Model::Duration> durationOf(std::uint64_t count)
    {
        if (count > maxTimeUs)
            return std::nullopt;
        return Model::Duration(static_cast<std::int64_t>(count));
    }

    /// Returns the enumerator with this number if there is one up to `last`.
    template <typename Enum> std::optional<Enum> enumOf(std::uint32_t number, Enum last)
    {
        if (number > static_cast<std::uint32_t>(last))
            return std::nullopt;
        return static_cast<Enum>(number);
    }

    template <typename Enum> std::uint32_t numberOf(Enum value) { return static_cast<std::uint32_t>(value); }

    void write(const Directory::Route& route, Wire::ForwardedRoute& target)
    {
        target.set_database(route.database);
        target.set_service(route.service);
        target.set_kind(numberOf(route.kind));
        target.set_max_staleness_us(microsecondsOf(route.maxStaleness));
        target.set_time_limit_us(microsecondsOf(route.statementTimeout));
        target.set_target_latency_us(microsecondsOf(route.targetLatency));
        target.set_priority(route.priority);
    }

    void write(const Proxy::ForwardedStatement& source, Wire::ForwardMessage& message)
    {
        Wire::ForwardedStatement& target = *message.mutable_statement();
        target.set_session(source.session);
        target.set_sequence(source.sequence);
        target.set_id(source.statement.id);
        target.set_kind(numberOf(source.statement.kind));
        target.set_name(source.statement.name);
        target.set_argument(source.statement.argument);
        if (source.shape) {
            target.mutable_shape()->set_is_write(source.shape->kind == Proxy::PreparedKind::Write);
            target.mutable_shape()->set_shape(source.shape->shape);
        }
        for (const auto& [name, value] : source.values) {
            Wire::ForwardedValue& entry = *target.add_values();
            entry.set_name(name);
            entry.set_value(value);
        }
        write(source.route, *target.mutable_route());
        target.set_customer(source.customer);
        target.set_is_transaction(source.state == Proxy::TransactionState::Open);
        target.set_is_read_only(source.isReadOnlyTransaction);
        target.set_is_continued(source.isContinued);
        target.set_commit_term(source.lastCommit.term);
        target.set_commit_position(source.lastCommit.position);
        target.set_is_traced(source.isTraced);
    }

    void write(const StatementReply& source, Wire::ForwardMessage& message)
    {
        Wire::ForwardedReply& target = *message.mutable_reply();
        target.set_session(source.session);
        target.set_sequence(source.sequence);
        for (const std::string& row : source.reply.rows)
            target.add_rows(row);
        target.set_code(numberOf(source.reply.code));
        target.set_text(source.reply.text);
        target.set_state(numberOf(source.reply.state));
        target.set_term(source.reply.position.term);
        target.set_position(source.reply.position.position);
    }

    void write(const Decline& source, Wire::ForwardMessage& message)
    {
        message.mutable_decline()->set_session(source.session);
        message.mutable_decline()->set_sequence(source.sequence);
        message.mutable_decline()->set_is_for_service(source.isForService);
    }

    void write(const End& source, Wire::ForwardMessage& message)
    {
        message.mutable_end()->set_session(source.session);
    }

    void write(const Ping& /*source*/, Wire::ForwardMessage& message) { message.mutable_ping(); }
    void write(const Pong& /*source*/, Wire::ForwardMessage& message) { message.mutable_pong(); }
    void write(const Drain& /*source*/, Wire::ForwardMessage& message) { message.mutable_drain(); }

    std::optional<Directory::Route> read(const Wire::ForwardedRoute& source)
    {
        const auto kind = enumOf(source.kind(), Directory::RouteKind::OwnWrites);
        const auto staleness = durationOf(source.max_staleness_us());
        const auto timeLimit = durationOf(source.time_limit_us());
        const auto targetLatency = durationOf(source.target_latency_us());
        if (!kind || !staleness || !timeLimit || !targetLatency)
            return std::nullopt;
        Directory::Route route;
        route.database = source.database();
        route.service = source.service();
        route.kind = *kind;
        route.maxStaleness = *staleness;
        route.statementTimeout = *timeLimit;
        route.targetLatency = *targetLatency;
        route.priority = source.priority();
        return route;
    }

    std::optional<Message> read(const Wire::ForwardedStatement& source)
    {
        const auto kind = enumOf(source.kind(), Proxy::StatementKind::Malformed);
        const auto route = read(source.route());
        if (!kind || !route || !Proxy::needsUpstream(*kind))
            return std::nullopt;
        // The pool host looks the shape up.
        if (*kind == Proxy::StatementKind::Execute && !source.has_shape())
            return std::nullopt;
        Proxy::ForwardedStatement result { source.session(), source.sequence() };
        result.statement = { source.id(), *kind, source.name(), source.argument() };
        if (source.has_shape()) {
            const bool isWrite = source.shape().is_write();
            result.shape = { isWrite ? Proxy::PreparedKind::Write : Proxy::PreparedKind::Read,
                source.shape().shape() };
        }
        for (const Wire::ForwardedValue& entry : source.values())
            result.values.emplace(entry.name(), entry.value());
        result.route = *route;
        result.customer = source.customer();
        if (source.is_transaction())
            result.state = Proxy::TransactionState::Open;
        result.isReadOnlyTransaction = source.is_read_only();
        result.isContinued = source.is_continued();
        result.lastCommit = { source.commit_term(), source.commit_position() };
        result.isTraced = source.is_traced();
        return result;
    }

    std::optional<Message> read(const Wire::ForwardedReply& source)
    {
        const auto code = enumOf(source.code(), Proxy::ResultCode::Malformed);
        const auto state = enumOf(source.state(), Proxy::TransactionState::Failed);
        if (!code || !state)
            return std::nullopt;
        StatementReply result { source.session(), source.sequence(), {} };
        result.reply.rows.assign(source.rows().begin(), source.rows().end());
        result.reply.code = *code;
        result.reply.text = source.text();
        result.reply.state = *state;
        result.reply.position = { source.term(), source.position() };
        return result;
    }

}

std::string encode(const Message& message)
{
    Wire::ForwardMessage target;
    std::visit([&](const auto& source) { write(source, target); }, message);
    return target.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes)
{
    Wire::ForwardMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    switch (message.body_case()) {
    case Wire::ForwardMessage::kStatement:
        return read(message.statement());
    case Wire::ForwardMessage::kEnd:
        return End { message.end().session() };
    case Wire::ForwardMessage::kPing:
        return Ping {};
    case Wire::ForwardMessage::kReply:
        return read(message.reply());
    case Wire::ForwardMessage::kDecline:
        return Decline { message.decline().session(), message.decline().sequence(),
            message.decline().is_for_service() };
    case Wire::ForwardMessage::kPong:
        return Pong {};
    case Wire::ForwardMessage::kDrain:
        return Drain {};
    case Wire::ForwardMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

}
