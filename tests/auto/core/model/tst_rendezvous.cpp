#include "core/model/rendezvous.h"

#include <vector>

#include <gtest/gtest.h>

using namespace Model;

// Guards against moving subjects whose candidate has not been removed. Connections would be reopened without
// need.
TEST(Rendezvous, RemovingCandidateMovesOnlyItsSubjects)
{
    const std::vector<std::string> all { "a", "b", "c", "d" };
    const std::vector<std::string> fewer { "a", "b", "c" };
    for (int i = 0; i < 1000; ++i) {
        const std::string subject = "service-" + std::to_string(i);
        const int before = rendezvousIndex(subject, all);
        if (before == 3)
            continue;
        EXPECT_EQ(rendezvousIndex(subject, fewer), before);
    }
}

// Guards against an index into an empty list, for example while no host is live.
TEST(Rendezvous, ReturnsMinusOneWithoutCandidates) { EXPECT_EQ(rendezvousIndex("service", {}), -1); }
