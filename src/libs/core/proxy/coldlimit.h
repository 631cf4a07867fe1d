#pragma once

#include "core/model/time.h"

#include <cstdint>
#include <deque>

namespace Proxy {

/// Limits the statements that this host sends to one cold upstream to its share of the fleet's limit, counted
/// over any one-second interval. Used on one thread.
class ColdLimit {
public:
    /// Returns this host's share of the fleet's limit. Shares are whole numbers, so that the hosts together
    /// stay within the limit in any second; if there are more hosts than statements, only some hosts have a
    /// share. `rank` is this host's place among the `hosts`; `salt` moves the shares to other hosts for each
    /// upstream. A limit below 1 is the share of one host.
    static double shareOf(double perSecond, int hosts, int rank, std::uint64_t salt);

    /// Returns whether another statement may be sent. `perSecond` is this host's share; below 1, the
    /// statements keep a distance of 1 / `perSecond` seconds, and at 0 none is sent.
    bool mayRun(double perSecond, Model::Time now) const;
    /// Returns when `mayRun` will be true, `now` if it is already.
    Model::Time nextAt(double perSecond, Model::Time now) const;
    /// Records that a statement is sent.
    void record(Model::Time now);

private:
    /// Times of the statements sent; statements too old to matter are removed when others are recorded.
    std::deque<Model::Time> m_sent;
};

}
