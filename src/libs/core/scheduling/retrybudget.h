#pragma once

namespace Scheduling {

/// Limits the retries of one host to a share of its requests, so that retries cannot multiply an overload.
///
/// Retries so far never exceed `burst` + requests so far / `requestsPerRetry`. Not thread-safe: the caller
/// holds a mutex.
class RetryBudget {
public:
    static constexpr int defaultRequestsPerRetry = 10;
    static constexpr int defaultBurst = 10;

    explicit RetryBudget(int requestsPerRetry = defaultRequestsPerRetry, int burst = defaultBurst);

    /// Counts the first attempt of a request.
    void countRequest();
    /// Takes one retry from the budget; false if none is left.
    [[nodiscard]] bool tryRetry();

private:
    int m_requestsPerRetry;
    int m_limit;
    int m_credit;
};

}
