#pragma once

namespace Scheduling {

/// Limits the retries of one host to a share of its requests, so that retries cannot amplify an overload.
///
/// At any time, the number of retries is at most `burst` + requests / `requestsPerRetry`. Not thread-safe:
/// the caller holds a mutex.
class RetryBudget {
public:
    static constexpr int defaultRequestsPerRetry = 10;
    static constexpr int defaultBurst = 10;

    explicit RetryBudget(int requestsPerRetry = defaultRequestsPerRetry, int burst = defaultBurst);

    /// Counts a request. Has to be called for its first attempt only.
    void countRequest();
    /// Takes one retry from the budget. Returns false if none is left.
    [[nodiscard]] bool tryRetry();

private:
    int m_requestsPerRetry;
    int m_limit;
    int m_credit;
};

}
