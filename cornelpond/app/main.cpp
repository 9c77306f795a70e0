// The entry point of the shipped binary.

#include "cornelpond/app/Commands.h"

#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    std::string_view const first = argc > 1 ? argv[1] : "";
    if (first.empty() || first == "--help" || first == "-h" || first == "help") {
        (first.empty() ? std::cerr : std::cout) << cornelpond::usageText();
        return first.empty() ? static_cast<int>(cornelpond::ExitCode::BadInput) : 0;
    }
    return cornelpond::runCommand(argc - 1, argv + 1);
}
