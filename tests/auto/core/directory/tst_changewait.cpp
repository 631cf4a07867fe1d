#include "core/directory/changewait.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

using namespace Directory;
using namespace std::chrono_literals;

namespace {

/// Ends of the calls of all hosts in the two minutes after a change that all of them have read at `start`.
std::vector<Model::Duration> endsOfCalls(int hosts, Model::Duration start)
{
    std::vector<Model::Duration> result;
    for (int rank = 0; rank < hosts; ++rank) {
        Model::Duration end = start;
        while ((end += changeWait({ hosts, rank }, end)) < start + 2min)
            result.push_back(end);
    }
    std::ranges::sort(result);
    return result;
}

}

// Guards against a fleet whose connections to the store are all silent and that learns of it only when all
// calls end together (review/9): 30 s after the last change.
TEST(ChangeWait, CallsOfFleetEndInShortIntervals)
{
    for (const int hosts : { 1, 2, 3, 9, 10, 11, 195, 810 }) {
        for (const Model::Duration start : { 0ms, 2700ms, 3000ms, 17345ms, 59999ms }) {
            Model::Duration previous = start;
            for (const Model::Duration end : endsOfCalls(hosts, start)) {
                EXPECT_LE(end - previous, 3500ms) << hosts;
                previous = end;
            }
            EXPECT_GE(previous, start + 2min - 3500ms) << hosts;
        }
    }
}

// Guards against calls of a large fleet that cost as much as those of many small ones, and against waits that
// the store does not permit.
TEST(ChangeWait, FewHostsOfLargeFleetWaitForShorterTime)
{
    int shorter = 0;
    for (int rank = 0; rank < 810; ++rank) {
        shorter += changeWait({ 810, rank }, 17345ms) < 30s ? 1 : 0;
        EXPECT_LE(changeWait({ 810, rank }, 29900ms), 30s);
    }
    EXPECT_LE(shorter, 10);
    EXPECT_EQ(changeWait({}, 17345ms), 30s);
}
