#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Libraries/Core/core.h"

namespace dogwood {

enum class Promise {
  kOnce,            // a request that must not be repeated runs at most once
  kAsked,           // what runs is what a caller asked for
  kNotRun,          // an answer that says so is true
  kOwnAnswer,       // a success is the whole answer to the own request
  kVersionForward,  // a process never goes back to an older configuration
  kDrained,         // a drained backend server gets nothing
  kPlannedStop,     // a planned stop loses no request that was handed over
  kRecovery,        // without faults callers are served
};

inline constexpr NameTable<Promise, 8> kPromiseNames{{{
    {Promise::kOnce, "ran twice"},
    {Promise::kAsked, "ran what nobody asked for"},
    {Promise::kNotRun, "told as not run, but ran"},
    {Promise::kOwnAnswer, "success with another answer"},
    {Promise::kVersionForward, "configuration went back"},
    {Promise::kDrained, "request at a drained server"},
    {Promise::kPlannedStop, "lost in a planned stop"},
    {Promise::kRecovery, "not served without faults"},
}}};

struct AskedRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  bool may_repeat = false;
};

// What callers asked and were told, and what backend servers ran; checks the
// system's promises from these alone.
class SoakLedger {
 public:
  struct Violation {
    Promise promise;
    std::string detail;
  };
  // Violations kept; more of them tell nothing new.
  static constexpr std::size_t kMostViolations = 20;

  void OnAsked(const AskedRequest& request);
  void OnRun(const AskedRequest& request, const std::string& server);
  // `status` 0: the connection ended without an answer.
  void OnAnswer(const std::string& id, unsigned status, bool is_own_answer);
  // A process of `host` answered a request on the route that version `version`
  // added; `incarnation` counts its starts.
  void OnVersionProbe(const std::string& host, int incarnation,
                      std::uint64_t version, unsigned status);
  void OnViolation(Promise promise, std::string detail);

  // Without faults: shares of callers that were served are judged from here to
  // EndCalm().
  void BeginCalm();
  void EndCalm(double least_served_share);
  // Requests that ran since BeginCalm and got no answer at all.
  std::size_t calm_lost_count() const { return calm_lost_; }

  std::size_t asked_count() const { return requests_.size(); }
  std::size_t served_count() const { return served_; }
  const std::vector<Violation>& violations() const { return violations_; }

 private:
  struct Record {
    AskedRequest asked;
    int runs = 0;
    bool is_told_not_run = false;
    bool is_calm = false;
  };

  std::map<std::string, Record> requests_;
  std::map<std::pair<std::string, int>, std::uint64_t> versions_;
  std::vector<Violation> violations_;
  std::size_t served_ = 0;
  bool is_calm_ = false;
  std::size_t calm_answered_ = 0;
  std::size_t calm_served_ = 0;
  std::size_t calm_lost_ = 0;
};

}  // namespace dogwood
