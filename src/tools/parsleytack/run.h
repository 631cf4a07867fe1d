#pragma once

#include "parsleytack/arguments.h"
#include "parsleytack/exitcode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Tool {

/// Streams of the process.
struct Streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// Runs the program with the arguments behind its name.
ExitCode run(const std::vector<std::string>& arguments, const Environment& environment, Streams streams);

}
