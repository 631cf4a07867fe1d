#include "parsleytack/run.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    const Tool::Environment environment = [](const std::string& name) {
        const char* value = std::getenv(name.c_str());
        return value ? std::optional<std::string>(value) : std::nullopt;
    };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Tool::run(arguments, environment, { std::cin, std::cout, std::cerr }));
}
