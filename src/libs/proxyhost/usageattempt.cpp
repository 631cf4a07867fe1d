#include "proxyhost/usageattempt.h"

#include "proxyhost/rows.h"
#include "proxyhost/tables.h"

#include <algorithm>
#include <array>
#include <random>

namespace ProxyHost {

namespace {

    constexpr const char* leaseKey = "duty";
    /// A report may be sent for this long after the read of the lease began. The lease lasts 3.2 s; the
    /// remaining second lets a delayed report arrive before another host can hold the lease.
    constexpr Model::Duration sendTimeLimit = std::chrono::milliseconds(2200);

    const StoreRow* findRow(const std::vector<StoreRow>& rows, const std::string& key)
    {
        const auto row = std::ranges::find(rows, key, &StoreRow::key);
        return row == rows.end() ? nullptr : &*row;
    }

    StoreWrite leaseWrite(const StoreRow* current, const Failover::PromotionLease& lease)
    {
        StoreRow row { Tables::usage, leaseKey };
        row.value = formatPromotionLeaseRow({ lease, std::random_device {}() });
        return { row, current ? current->version : 0 };
    }

    /// Decides on the counts of the window, and adds the write of its row unless the row exists.
    AcquireFailure chooseCounts(const StoreAnswer& stored, const Usage::Proposal& proposal,
        Usage::Counts& counts, std::vector<StoreWrite>& writes)
    {
        const std::string key = usageWindowKey(proposal.window);
        counts = proposal.counts;
        const StoreRow* row = findRow(stored.rows, key);
        if (!row) {
            if (!proposal.isFinal && proposal.epoch != stored.epoch)
                return AcquireFailure::StoreRestored;
            const StoreRow added { Tables::usage, key, formatUsageRow({ counts, stored.epoch }) };
            writes.push_back({ added, 0 });
            return AcquireFailure::None;
        }
        const auto parsed = parseUsageRow(row->value);
        if (!parsed)
            return AcquireFailure::RowMalformed;
        if (proposal.isFinal)
            return parsed->counts == counts ? AcquireFailure::None : AcquireFailure::CountsConflict;
        // A write from before the restoration, executed after it, may replace a lost row.
        if (parsed->epoch != stored.epoch)
            return AcquireFailure::StoreRestored;
        counts = parsed->counts;
        return AcquireFailure::None;
    }

    void addDeletions(
        const std::vector<StoreRow>& rows, Usage::Window oldestKept, std::vector<StoreWrite>& writes)
    {
        for (const StoreRow& row : rows) {
            const auto stored = usageWindowOfKey(row.key);
            if (!stored || *stored >= oldestKept)
                continue;
            StoreRow deleted { Tables::usage, row.key };
            deleted.isDeleted = true;
            writes.push_back({ deleted, row.version });
        }
    }

    /// Whether the transaction was executed, and the store was not restored since it was read with `epoch`.
    AcquireFailure commit(
        const PlatformCalls& calls, const std::vector<StoreWrite>& writes, std::uint64_t epoch)
    {
        StoreAnswer written = calls.commit(writes);
        if (written.status == StoreStatus::Refused)
            return AcquireFailure::LeaseHeld;
        if (written.status == StoreStatus::Unavailable)
            return AcquireFailure::StoreUnavailable;
        if (written.status == StoreStatus::Unknown) {
            written = calls.read(Tables::usage, leaseKey);
            const std::string& own = writes.front().row.value;
            if (written.status != StoreStatus::Done || written.rows.empty()
                || written.rows.front().value != own)
                return AcquireFailure::StoreUnavailable;
        }
        return written.epoch == epoch ? AcquireFailure::None : AcquireFailure::StoreRestored;
    }

}

std::string_view acquireFailureName(AcquireFailure failure)
{
    static constexpr std::array<std::string_view, 6> names { "none", "store_unavailable", "lease_held",
        "store_restored", "counts_conflict", "row_malformed" };
    return names.at(static_cast<std::size_t>(failure));
}

AcquiredWindow acquireWindow(
    const PlatformCalls& calls, const std::string& host, const Usage::Proposal& proposal, Model::Time now)
{
    AcquiredWindow result;
    const StoreAnswer stored = calls.readAll(Tables::usage);
    if (stored.status != StoreStatus::Done) {
        result.failure = AcquireFailure::StoreUnavailable;
        return result;
    }
    // Leases that the store has lost may still be in use.
    if (proposal.settledEpoch != stored.epoch) {
        result.failure = AcquireFailure::StoreRestored;
        return result;
    }
    const StoreRow* leaseRow = findRow(stored.rows, leaseKey);
    const auto current
        = leaseRow ? parsePromotionLeaseRow(leaseRow->value).lease : Failover::PromotionLease {};
    const bool isOwn = current.holder.empty() || current.holder == host;
    const auto lease = Failover::acquireLease(current, stored.version, host, stored.storeTime);
    if (!lease || (!isOwn && !proposal.mayTakeOver)) {
        result.failure = AcquireFailure::LeaseHeld;
        return result;
    }
    std::vector<StoreWrite> writes { leaseWrite(leaseRow, *lease) };
    Usage::Counts counts;
    result.failure = chooseCounts(stored, proposal, counts, writes);
    if (result.failure != AcquireFailure::None)
        return result;
    addDeletions(stored.rows, proposal.oldestKept, writes);
    result.failure = commit(calls, writes, stored.epoch);
    result.report = { proposal.window, std::move(counts), host, lease->token, now + sendTimeLimit };
    return result;
}

UsageReportResult sendReport(const PlatformCalls& calls, const UsageReport& report, Model::Time now)
{
    if (now > report.sendBefore)
        return UsageReportResult::Unavailable;
    return calls.reportUsage(report);
}

}
