#pragma once

#include "core/model/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// An IP address and a TCP port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// The settings of one `parsleytackd` process. docs/settings.md describes the fields.
struct HostSettings {
    std::string host;
    std::string zone;
    Address callers;
    Address operators;
    Address peers;
    /// The platform's table service and object store.
    Address store;
    /// Peer addresses that are asked beside the platform's list of live hosts.
    std::vector<Address> seeds;
    /// At least 32 characters; all hosts have the same one.
    std::string fleetSecret;
    /// Bearer token of operators, at least 16 characters.
    std::string operatorSecret;
    /// CURVE key pair of the fleet, Z85 text of 40 characters each.
    std::string curvePublicKey;
    std::string curveSecretKey;
    /// Empty for standard output.
    std::string logFile;
    /// Share of the traces begun on this host that are logged, from 0 to 1. A caller's `traceparent` decides
    /// for its own trace.
    double traceSampleRate = 0.01;
    int maxCallerConnections = 4096;
    /// Stack of the thread that serves a caller's connection, in KiB.
    int callerStackKib = 256;
    /// How long a shutdown waits for running requests, in ms.
    int drainTimeoutMs = 35000;
};

/// Reads settings from JSON text. The error names the wrong field and what is expected of it.
Model::Result<HostSettings> parseHostSettings(std::string_view json);
/// Reads settings from a file.
Model::Result<HostSettings> loadHostSettings(const std::string& path);
/// Reads `IP:PORT`; IPv4 only.
Model::Result<Address> parseAddress(std::string_view text);

}
