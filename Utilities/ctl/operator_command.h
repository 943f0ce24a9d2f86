#pragma once

#include <string>
#include <vector>

#include "Libraries/Core/core.h"
#include "Libraries/Http/http_message.h"

namespace dogwood {

// A command as a request to the operators' HTTP interface.
struct OperatorCommand {
  HttpRequest request;
  bool is_change = false;  // a change carries an operation id
};

// Fails with kInvalidArgument for an unknown command or a wrong number of
// arguments.
Result<OperatorCommand> ParseOperatorCommand(
    const std::vector<std::string>& command_words,
    const OperationId& operation_id);

// Usage text: one line per command with its arguments.
std::string OperatorCommandUsage();

}  // namespace dogwood
