#pragma once

#include "daemon.h"
#include "record.h"

#include <memory>
#include <string>
#include <vector>

namespace Review2 {

/// Exit codes of a case.
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// What `run.sh` passes to the program of a case.
struct CaseContext {
    /// The command of the deploy file.
    std::vector<std::string> command;
    /// Temporary folder for settings and logs.
    std::string folder;
    /// Whether the disruption takes place.
    bool hasTrouble = true;
    std::unique_ptr<Record> record;
};

/// Parses COMMAND FOLDER RECORD TROUBLE. Returns false if an argument is missing.
inline bool parseArguments(int argc, char** argv, CaseContext& context)
{
    constexpr int argumentCount = 5;
    if (argc != argumentCount)
        return false;
    context.command = splitCommand(argv[1]);
    context.folder = argv[2];
    context.record = std::make_unique<Record>(argv[3]);
    context.hasTrouble = std::string(argv[4]) != "0";
    return true;
}

}
