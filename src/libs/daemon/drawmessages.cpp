#include "daemon/drawmessages.h"

#include "wire/peer.pb.h"

#include <algorithm>

namespace Daemon {

namespace {

    /// In micro-tokens: a billion requests. No bucket holds more, and sums of such amounts do not overflow.
    constexpr std::uint64_t maxAmount = 1'000'000'000'000'000;

    bool isAmount(std::uint64_t amount) { return amount <= maxAmount; }

    /// Without a validity in the message, the maximum is assumed. This is safe, because the holder then
    /// counts the granted tokens as outstanding for the longest time.
    Model::Duration validityOf(const Wire::Draw& draw)
    {
        const auto longest = static_cast<std::uint64_t>(Quota::maxGrantValidity.count());
        const std::uint64_t stated
            = draw.validity_us() == 0 ? longest : std::min(draw.validity_us(), longest);
        return Model::Duration(static_cast<std::int64_t>(stated));
    }

    bool isValid(const Wire::Draw& draw)
    {
        return isAmount(draw.wanted())
            && std::ranges::all_of(draw.reports(), [](const Wire::GrantReport& report) {
                   return isAmount(report.spent()) && isAmount(report.returned());
               });
    }

}

Wire::DrawRequest toMessage(const Quota::DrawRequest& request)
{
    Wire::DrawRequest message;
    message.set_sequence(request.sequence);
    for (const Quota::Draw& draw : request.draws) {
        Wire::Draw* added = message.add_draws();
        added->set_customer(draw.customer);
        added->set_wanted(static_cast<std::uint64_t>(draw.wanted));
        added->set_validity_us(static_cast<std::uint64_t>(draw.validity.count()));
        for (const Quota::GrantReport& report : draw.reports) {
            Wire::GrantReport* addedReport = added->add_reports();
            addedReport->set_grant(report.grant);
            addedReport->set_spent(static_cast<std::uint64_t>(report.spent));
            addedReport->set_returned(static_cast<std::uint64_t>(report.returned));
        }
    }
    return message;
}

std::optional<Quota::DrawRequest> fromMessage(const Wire::DrawRequest& message)
{
    Quota::DrawRequest request;
    request.sequence = message.sequence();
    for (const Wire::Draw& draw : message.draws()) {
        if (!isValid(draw))
            return std::nullopt;
        Quota::Draw added { draw.customer(), static_cast<Quota::MicroTokens>(draw.wanted()), validityOf(draw),
            {} };
        for (const Wire::GrantReport& report : draw.reports())
            added.reports.push_back({ report.grant(), static_cast<Quota::MicroTokens>(report.spent()),
                static_cast<Quota::MicroTokens>(report.returned()) });
        request.draws.push_back(std::move(added));
    }
    return request;
}

Wire::DrawReply toMessage(const Quota::DrawReply& reply)
{
    Wire::DrawReply message;
    message.set_sequence(reply.sequence);
    for (const Quota::Grant& grant : reply.grants) {
        Wire::Grant* added = message.add_grants();
        added->set_customer(grant.customer);
        added->set_granted(static_cast<std::uint64_t>(grant.granted));
        added->set_not_holder(grant.notHolder);
    }
    return message;
}

std::optional<Quota::DrawReply> fromMessage(const Wire::DrawReply& message)
{
    Quota::DrawReply reply;
    reply.sequence = message.sequence();
    for (const Wire::Grant& grant : message.grants()) {
        if (!isAmount(grant.granted()))
            return std::nullopt;
        reply.grants.push_back(
            { grant.customer(), static_cast<Quota::MicroTokens>(grant.granted()), grant.not_holder() });
    }
    return reply;
}

}
