#pragma once

#include "core/model/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// An IPv4 address and a TCP port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /// The form IP:PORT.
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// The settings of one `parsleytackd` process. docs/settings.md describes the fields.
struct HostSettings {
    /// Name of the host, unique among all hosts.
    std::string host;
    /// Availability zone of the host.
    std::string zone;
    /// Address on which callers are served.
    Address callers;
    /// Address on which operators are served, and `/metrics`, `/healthz` and `/readyz`.
    Address operators;
    /// Address on which the other hosts are served.
    Address peers;
    /// Address of the platform's table service and object store.
    Address store;
    /// Addresses of other hosts that are contacted in addition to the platform's list of live hosts.
    std::vector<Address> seeds;
    /// At least 32 characters, the same on all hosts.
    std::string fleetSecret;
    /// Bearer token of operators, at least 16 characters.
    std::string operatorSecret;
    /// CURVE key pair, the same on all hosts; 40 characters of Z85 text each.
    std::string curvePublicKey;
    std::string curveSecretKey;
    /// Path of the log file; empty for standard output.
    std::string logFile;
    /// Fraction of the traces started on this host that are logged, from 0 to 1. Whether a caller's trace is
    /// logged is decided by its `traceparent`.
    double traceSampleRate = 0.01;
    /// Further connections of callers are closed at once.
    int maxCallerConnections = 4096;
    /// Stack size of the thread that serves a caller's connection, in KiB.
    int callerStackKib = 256;
    /// How long a shutdown waits for running requests, in ms.
    int drainTimeoutMs = 35000;
};

/// Parses settings from JSON text. Unknown fields are errors. The error message contains the name of the
/// invalid field and the expected value.
Model::Result<HostSettings> parseHostSettings(std::string_view json);
/// Reads a file and parses it with `parseHostSettings`.
Model::Result<HostSettings> loadHostSettings(const std::string& path);
/// Parses an IPv4 address and a port from 1 to 65535, in the form `IP:PORT`.
Model::Result<Address> parseAddress(std::string_view text);

}
