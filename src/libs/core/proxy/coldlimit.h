#pragma once

#include "core/model/time.h"

#include <deque>

namespace Proxy {

/// Limits the statements that this host sends to one cold upstream to its share of the fleet's limit, counted
/// over any one-second interval. Used on one thread.
class ColdLimit {
public:
    /// Returns whether another statement may be sent. `perSecond` is this host's share, above 0; below 1, the
    /// statements keep a distance of 1 / `perSecond` seconds.
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
