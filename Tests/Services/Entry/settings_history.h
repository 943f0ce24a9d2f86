#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "Services/Entry/settings_rows.h"

namespace dogwood {

// The settings operations and versions that operators and hosts observed, for a
// check against the rows of the store.
struct SettingsHistory {
  enum class Outcome {
    kAccepted,
    kRefused,      // conflict, invalid or not accepted
    kProvisional,  // emergency order
    kUnknown,
  };
  struct Operation {
    std::string id;
    std::string path;
    nlohmann::json value;
    Outcome outcome = Outcome::kUnknown;
    std::uint64_t version = 0;  // when accepted
  };

  std::vector<Operation> operations;
  // Published versions of each host process, in order.
  std::map<std::string, std::vector<std::uint64_t>> host_versions;

  // Returns the violations of these invariants, given the newest rows of the
  // store: an accepted change is in the log exactly once and at the reported
  // version; a refused one is absent; an unknown one occurs at most once; a
  // provisional one occurs exactly once or is recorded as superseded; versions
  // have no gap; no host's version decreases.
  std::vector<std::string> Check(
      const std::map<std::string, TableRow>& rows) const {
    std::vector<std::string> violations;
    const auto head = rows.find(kHeadKey);
    const std::uint64_t newest = head == rows.end() ? 0 : head->second.version;
    std::map<std::string, std::vector<SettingsChange>> changes;
    std::uint64_t expected = 1;
    for (const auto& [key, row] : rows) {
      if (!key.starts_with(kChangePrefix)) continue;
      const auto change = SettingsChange::FromJson(ParseRowValue(row.value));
      if (!change || change.value().version.value() != expected++ ||
          row.version != 1) {
        violations.push_back("row " + key +
                             " is malformed, out of sequence "
                             "or was written twice");
        continue;
      }
      changes[change.value().id.value()].push_back(change.value());
    }
    if (expected != newest + 1)
      violations.push_back("the head does not match the changes");
    for (const Operation& operation : operations)
      CheckOperation(operation, changes[operation.id], rows, violations);
    for (const auto& [host, versions] : host_versions) {
      if (!std::is_sorted(versions.begin(), versions.end()))
        violations.push_back("host " + host + " went back");
      if (!versions.empty() && versions.back() > newest)
        violations.push_back("host " + host + " is ahead of the store");
    }
    return violations;
  }

 private:
  static void CheckOperation(const Operation& operation,
                             const std::vector<SettingsChange>& found,
                             const std::map<std::string, TableRow>& rows,
                             std::vector<std::string>& violations) {
    const auto add = [&](const char* what) {
      violations.push_back("operation " + operation.id + " " + what);
    };
    if (found.size() > 1) add("is in the chain more than once");
    if (!found.empty() &&
        (found[0].path != operation.path || found[0].value != operation.value))
      add("is in the chain with other content");
    switch (operation.outcome) {
      case Outcome::kAccepted:
        if (found.empty())
          add("was accepted and is missing");
        else if (found[0].version.value() != operation.version)
          add("was accepted with another version");
        break;
      case Outcome::kRefused:
        if (!found.empty()) add("was refused and is in the chain");
        break;
      case Outcome::kProvisional: {
        const auto row = rows.find(OperationKey(OperationId(operation.id)));
        const bool is_superseded =
            row != rows.end() &&
            ParseRowValue(row->second.value).value("superseded", false);
        if (found.empty() && !is_superseded)
          add("was provisional and is neither written nor superseded");
        if (!found.empty() && is_superseded)
          add("is both written and superseded");
        break;
      }
      case Outcome::kUnknown:
        break;
    }
  }
};

}  // namespace dogwood
