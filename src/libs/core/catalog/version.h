#pragma once

#include "core/catalog/document.h"
#include "core/catalog/fault.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Catalog {

/// One published version. Its hash covers all fields, so two publications never have the same hash, even if
/// their documents are equal.
struct Version {
    std::uint64_t number = 0;
    /// Hash of the version before; empty for the first one.
    std::string previousHash;
    /// Chosen by the operator's tool for each publication.
    std::string nonce;
    Document document;

    bool operator==(const Version&) const = default;
};

/// Value of the store row `catalog/current`.
struct CurrentRow {
    /// 0 if nothing has been published yet.
    std::uint64_t version = 0;
    std::string hash;
    std::string nonce;
    std::string previousHash;

    bool operator==(const CurrentRow&) const = default;
};

/// The JSON text of a normalized document: sorted and without white space. Optional fields with their
/// default value are left out, so that releases with and without a new field compute the same text; for
/// the same reason a default value never changes.
std::string canonicalText(const Document& document);
/// The JSON text of a version, which is the content of its store object.
std::string canonicalText(const Version& version);
/// SHA-256 of a canonical text in base64url: 43 characters.
std::string textHash(std::string_view text);
std::string versionHash(const Version& version);

/// Reads a version from the content of a store object. References and ranges are left to `check`.
Checked<Version> parseVersion(std::string_view json);

std::string rowText(const CurrentRow& row);
/// `invalid_request` if the text is not a row.
Model::Result<CurrentRow> parseRow(std::string_view json);

}
