#pragma once

#include "settings/hostsettings.h"

#include <string>
#include <string_view>

namespace Settings {

/// The settings of a `parsleytackd` that runs as a session proxy. docs/proxysettings.md describes the fields.
struct ProxySettings {
    /// Name of the host, unique among all hosts.
    std::string host;
    /// Availability zone of the host.
    std::string zone;
    /// Address on which callers are served.
    Address callers;
    /// Address of the readiness probe and of `/metrics`.
    Address probe;
    /// Path of the readiness probe.
    std::string probePath;
    /// IPv4 address on which the other hosts reach this one.
    std::string ip;
    /// Inclusive range of ports; the first free one is used for messages between hosts.
    int firstPeerPort = 0;
    int lastPeerPort = 0;
    /// Address of the platform's store.
    Address store;
    /// Address of the platform's promoter, which replaces the primary of a service on request.
    Address promoter;
    /// Whether the promoter checks fencing tokens and takes the role from the previous primary. If not, the
    /// hosts keep each other from using a primary that is being replaced.
    bool promoterChecksFencing = true;
    /// Maximum duration of a shutdown, in ms.
    int shutdownMs = 6000;
    /// Maximum number of file descriptors that the process opens.
    int maxDescriptors = 4096;
    /// The row of a host in the store is deleted if the host has not reported for this many seconds.
    int forgetHostsAfterS = 600;
    /// Fraction of the statements whose hops are logged, from 0 to 1.
    double traceSampleRate = 0.001;
    /// Number of availability zones that may fail at the same time while the fleet keeps all guarantees.
    int toleratedZoneLosses = 1;
    /// Features that are on by default only if `toleratedZoneLosses` is 0.
    bool scheduleStatements = false;
    bool balanceUpstreams = false;
    bool forwardStatements = false;
    /// Share of a processor that the host has, from 0 to 1; hosts with more execute more statements of
    /// others.
    double processorShare = 1;
    /// Length of the windows for which the customers' usage is reported to the promoter's address, in s; 0 if
    /// it is not reported.
    int usageWindowS = 0;
    /// Time after the end of a window within which its report has to arrive, in s.
    int usageDueS = 10;
    /// Memory of the machine in MB; 0 if it is unknown.
    int memoryMb = 0;
    /// Memory for all clients together in MB; 0 for a share of the machine's memory.
    int clientMemoryMb = 0;
    /// Time for a caller's message from its first byte to its last one, in ms.
    int messageTimeoutMs = 30000;
    /// Statements of a session that wait for the previous one, in KB, before reading from it pauses.
    int pipelinedKb = 2048;
    /// Values and prepared statements of a session, in KB.
    int sessionValuesKb = 2048;

    /// Memory for all clients together, in MB.
    int effectiveClientMemoryMb() const;
};

/// Parses settings from JSON text. Unknown fields are ignored, since the platform adds fields of its own. The
/// error message contains the name of the invalid field and the expected value.
Model::Result<ProxySettings> parseProxySettings(std::string_view json);
/// Reads a file and parses it with `parseProxySettings`.
Model::Result<ProxySettings> loadProxySettings(const std::string& path);

}
