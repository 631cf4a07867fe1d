#include "logging/eventid.h"

#include <algorithm>
#include <array>

namespace Logging {

namespace {

    using enum EventId;

    constexpr std::array<EventInfo, 58> table { {
        { ProcessStarted, "process_started", Severity::Info, "the process listens on all its addresses" },
        { ProcessStopped, "process_stopped", Severity::Info, "the process ended after its last request" },
        { DrainStarted, "drain_started", Severity::Info, "SIGTERM received; no new requests are accepted" },
        { SettingsInvalid, "settings_invalid", Severity::Error,
            "a field of the settings is missing or wrong" },
        { ListenFailed, "listen_failed", Severity::Error, "an address cannot be bound" },
        { LoopStalled, "loop_stalled", Severity::Warning, "the process was paused or got no processor time" },
        { SettingsReloaded, "settings_reloaded", Severity::Info, "SIGHUP received; the settings were read" },
        { SpanFinished, "span_finished", Severity::Info, "one hop of a traced request ended" },
        { MemberAlive, "member_alive", Severity::Info, "a host joined or refuted a suspicion" },
        { MemberSuspect, "member_suspect", Severity::Warning,
            "a host did not respond to direct and indirect probes" },
        { MemberDead, "member_dead", Severity::Warning,
            "a suspected host did not refute the suspicion in time" },
        { ContactChanged, "contact_changed", Severity::Warning, "the host's contact with the fleet changed" },
        { PeerMessageMalformed, "peer_message_malformed", Severity::Warning,
            "a malformed peer message was discarded" },
        { PeerRejected, "peer_rejected", Severity::Warning, "a peer without the fleet's key was rejected" },
        { OwnershipGained, "ownership_gained", Severity::Info, "the host became the owner of a group" },
        { OwnershipLost, "ownership_lost", Severity::Info, "the host is no longer the owner of a group" },
        { PrimarySuspected, "primary_suspected", Severity::Warning, "the primary does not respond" },
        { PromotionStarted, "promotion_started", Severity::Warning,
            "members are being fenced with a new term" },
        { PromotionFinished, "promotion_finished", Severity::Warning, "a member is primary of a new term" },
        { PromotionFailed, "promotion_failed", Severity::Warning, "a promotion ended without a new primary" },
        { DutyHeldElsewhere, "duty_held_elsewhere", Severity::Info,
            "another host holds the promotion lease of a service" },
        { PrimaryFenced, "primary_fenced", Severity::Info,
            "no upstream of a service is used as its primary any more, because a promotion is under way" },
        { PrimaryPermissionGained, "primary_permission_gained", Severity::Info,
            "the host may use primaries: it would learn of a promotion in time" },
        { PrimaryPermissionLost, "primary_permission_lost", Severity::Warning,
            "the host uses no primaries, because it would not learn of a promotion in time" },
        { PrimaryAllowed, "primary_allowed", Severity::Info,
            "only one upstream of a service may be used as its primary, the one that is being promoted" },
        { PrimaryRestored, "primary_restored", Severity::Warning,
            "the store has lost which upstream may be used as the primary; it is written again" },
        { UpstreamSilent, "upstream_silent", Severity::Warning,
            "a connection did not respond and was closed" },
        { ConnectionFailed, "connection_failed", Severity::Warning,
            "a connection to an upstream cannot be opened" },
        { PromotionSurveyed, "promotion_surveyed", Severity::Info,
            "a promotion has chosen the new primary, or found that none can be promoted" },
        { UpstreamChanged, "upstream_changed", Severity::Info,
            "an upstream was registered, or its entry changed" },
        { UpstreamGone, "upstream_gone", Severity::Info, "an upstream is no longer registered" },
        { ZoneChanged, "zone_changed", Severity::Info,
            "an availability zone was taken out of service or put back in service" },
        { CatalogAdopted, "catalog_adopted", Severity::Info,
            "a newer configuration is in force on this host" },
        { CatalogRejected, "catalog_rejected", Severity::Warning, "a configuration was not adopted" },
        { CatalogPublished, "catalog_published", Severity::Info, "an operator's publication took effect" },
        { KeyGranted, "key_granted", Severity::Info, "a key was granted" },
        { KeyWithdrawn, "key_withdrawn", Severity::Info, "a key was withdrawn" },
        { StoreUnavailable, "store_unavailable", Severity::Warning, "the platform's store does not respond" },
        { StoreRecovered, "store_recovered", Severity::Info, "the platform's store responds again" },
        { StoreChangeMissed, "store_change_missed", Severity::Warning,
            "other hosts reported a store change that this host has not read yet" },
        { HostRowDropped, "host_row_dropped", Severity::Info,
            "the store row of a host without recent reports is being deleted" },
        { HostRowLost, "host_row_lost", Severity::Warning,
            "this host's row in the store was deleted or lost; it is written again" },
        { StoreRestored, "store_restored", Severity::Warning,
            "the platform's store was restored from an older copy; a table is read again as a whole" },
        { StoreReadFailed, "store_read_failed", Severity::Info,
            "a call that follows a table of the store failed and is repeated" },
        { SlotTaken, "slot_taken", Severity::Info, "the host became the holder of quota slots" },
        { SlotLost, "slot_lost", Severity::Warning,
            "the lease lapsed, so the quota slots are acquired again" },
        { SlotReleased, "slot_released", Severity::Info, "the host released quota slots" },
        { LeaseLapsed, "lease_lapsed", Severity::Warning, "a newer process of this host holds the lease" },
        { CustomerLimitExceeded, "customer_limit_exceeded", Severity::Warning,
            "the hosts together have admitted more of a customer's operations than its limit permits" },
        { RequestRefused, "request_refused", Severity::Info, "a statement was refused and did not run" },
        { RequestRetried, "request_retried", Severity::Info, "a statement that had no effect is retried" },
        { RequestInDoubt, "request_in_doubt", Severity::Warning,
            "the response to a write or commit was lost, so its outcome is unknown" },
        { TransactionAborted, "transaction_aborted", Severity::Info, "a transaction was rolled back" },
        { SessionRejected, "session_rejected", Severity::Info,
            "a caller's request for a session was rejected" },
        { UpstreamConnectionRefused, "upstream_connection_refused", Severity::Info,
            "an upstream refused a further connection" },
        { UpstreamConnectionLost, "upstream_connection_lost", Severity::Warning,
            "a connection in use failed or did not respond in time" },
        { PoolHostLost, "pool_host_lost", Severity::Warning,
            "the connection to a host that executes this host's statements was lost" },
        { RequestRefusedByEstimate, "request_refused_by_estimate", Severity::Info,
            "a statement was refused and did not run, because it would not get an execution slot in time" },
    } };

}

std::span<const EventInfo> eventTable() { return table; }

const EventInfo& eventInfo(EventId id) { return *std::ranges::find(table, id, &EventInfo::id); }

}
