#pragma once

#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// A command line's words as one HTTP request.
struct CtlCommand {
  HttpRequest request;
  bool is_change = false;  // carries an operation id
};

// Fails with kInvalidArgument for a wrong command or wrong arguments.
Result<CtlCommand> ParseCommand(const std::vector<std::string>& words,
                                const OperationId& operation);

// The commands and their arguments, one a line.
std::string CommandUsage();

}  // namespace dogwood
