#pragma once

#include "core/model/errorcode.h"

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace Model {

/// An error code and the message that is shown to the caller or operator.
struct Error {
    std::error_code code;
    std::string message;

    /// The row of the error table.
    const ErrorInfo& info() const { return errorInfo(static_cast<ErrorCode>(code.value())); }
};

/// A value or an `Error`.
template <typename T> using Result = tl::expected<T, Error>;

/// Creates the error of a `Result`. Without a message, it gets the description of the code.
inline tl::unexpected<Error> makeError(ErrorCode code, std::string message = {})
{
    if (message.empty())
        message = errorInfo(code).description;
    return tl::unexpected<Error>(Error { make_error_code(code), std::move(message) });
}

}
