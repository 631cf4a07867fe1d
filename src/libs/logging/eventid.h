#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Logging {

/// Numbers of the log events. docs/events.md documents them; a test compares it with `eventTable`.
enum class EventId : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopped = 101,
    DrainStarted = 102,
    SettingsInvalid = 103,
    ListenFailed = 104,
    LoopStalled = 105,
    SettingsReloaded = 106,
    SpanFinished = 110,
    MemberAlive = 200,
    MemberSuspect = 201,
    MemberDead = 202,
    ContactChanged = 203,
    PeerMessageMalformed = 204,
    PeerRejected = 205,
    OwnershipGained = 210,
    OwnershipLost = 211,
    PrimarySuspected = 300,
    PromotionStarted = 301,
    PromotionFinished = 302,
    PromotionFailed = 303,
    DutyHeldElsewhere = 304,
    PrimaryFenced = 305,
    PrimaryPermissionGained = 306,
    PrimaryPermissionLost = 307,
    PrimaryAllowed = 308,
    PrimaryRestored = 309,
    UpstreamSilent = 310,
    ConnectionFailed = 311,
    PromotionSurveyed = 312,
    ReplicaPaused = 313,
    ReplicaResumed = 314,
    UpstreamChanged = 320,
    UpstreamGone = 321,
    ZoneChanged = 322,
    CatalogAdopted = 400,
    CatalogRejected = 401,
    CatalogPublished = 402,
    KeyGranted = 403,
    KeyWithdrawn = 404,
    StoreUnavailable = 410,
    StoreRecovered = 411,
    StoreChangeMissed = 412,
    HostRowDropped = 413,
    HostRowLost = 414,
    StoreRestored = 415,
    StoreReadFailed = 416,
    SlotTaken = 500,
    SlotLost = 501,
    SlotReleased = 502,
    LeaseLapsed = 503,
    CustomerLimitExceeded = 504,
    UsageReported = 510,
    UsageReportFailed = 511,
    UsageReportOverdue = 512,
    UsageHostsNotHeard = 513,
    UsageCountsConflict = 514,
    RequestRefused = 600,
    RequestRetried = 601,
    RequestInDoubt = 602,
    TransactionAborted = 603,
    SessionRejected = 604,
    UpstreamConnectionRefused = 605,
    UpstreamConnectionLost = 606,
    PoolHostLost = 620,
    RequestRefusedByEstimate = 630,
    ReadsLeftZone = 640,
    ReadsReturnedToZone = 641,
    UpstreamSetAside = 642,
    UpstreamTakenBack = 643,
    ClientMemoryExhausted = 650,
    ClientMemoryExceeded = 651,
    MessageIncomplete = 652,
    MessageTooLong = 653,
    AnswersNotRead = 654,
    TooManyPipelined = 655,
    TooManySessions = 656,
    ReadingPaused = 657,
    SessionValuesRefused = 658,
};

enum class Severity : std::uint8_t {
    Info,
    Warning,
    Error,
};

/// Description of one log event.
struct EventInfo {
    EventId id;
    /// Written in each log line; does not change between releases.
    std::string_view name;
    Severity severity;
    /// The column "meaning" of docs/events.md.
    std::string_view description;
};

/// All events, in ascending order of their numbers.
std::span<const EventInfo> eventTable();
const EventInfo& eventInfo(EventId id);

}
