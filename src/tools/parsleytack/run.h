#pragma once

#include "parsleytack/arguments.h"
#include "parsleytack/exitcode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Tool {

/// Standard streams of the process; tests pass string streams.
struct Streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// Runs the program with the arguments that follow its name. Returns its exit code.
ExitCode run(const std::vector<std::string>& arguments, const Environment& environment, Streams streams);

}
