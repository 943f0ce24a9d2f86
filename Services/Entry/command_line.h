#pragma once

#include <string>

#include "Libraries/Core/core.h"

namespace dogwood {

// Parsed command line of dogwood-entry.
struct CommandLine {
  enum class Action { kRun, kCheckConfiguration, kShowHelp, kShowVersion };

  Action action = Action::kRun;
  std::string configuration_file;

  // Fails with kInvalidArgument and a message for the user.
  static Result<CommandLine> Parse(int argument_count, char** arguments);
  static std::string_view HelpText();
};

}  // namespace dogwood
