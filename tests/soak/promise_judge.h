// Judges single requests, and the processes, against the promises of the users' pages: what callers
// and workers see of them. Free of input and output. What spans several requests has judges of its
// own, beside this one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// A request as a caller sent it.
struct SentRequest {
  std::string id;
  std::string target;
  std::string body;
  std::string caller_service;  // Of the node that it was sent to.
  bool repeatable = false;
};

// A request as a worker began to run it.
struct Execution {
  std::string id;
  std::string target;
  std::string body;
  std::string caller_service;
  std::string worker;
  std::string service;
};

// The final answer that a caller got.
struct ReceivedAnswer {
  std::string id;
  int status = 0;
  std::string body;
  std::string worker_stamp;  // Names the worker; empty when the answer is not a worker's.
};

class PromiseJudge {
 public:
  void OnSent(const SentRequest& request);
  void OnExecuted(const Execution& execution);
  // A worker gives its answer to a request that it ran.
  void OnWorkerAnswered(const std::string& id, const std::string& worker, int status);
  void OnAnswer(const ReceivedAnswer& answer);
  // The caller waited for its whole deadline and more; nothing came, not even an end.
  void OnNoAnswer(const std::string& id);
  // A process ended that nobody had asked to end.
  void OnProcessEnded(const std::string& node, int exit);

  // One line for each broken promise, in the order in which they were seen.
  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t executions() const { return executions_; }

 private:
  struct Request {
    SentRequest sent;
    std::vector<std::string> workers;     // That ran it.
    std::map<std::string, int> statuses;  // That workers answered with.
    std::optional<int> promised;          // A status that promises that it has not run.
  };

  void CheckStamp(const Request& request, const ReceivedAnswer& answer);
  void Violate(const std::string& promise, const std::string& what);

  std::map<std::string, Request> requests_;
  std::vector<std::string> violations_;
  uint64_t executions_ = 0;
};

// The body of the answer of a worker to a request, by which both are known.
std::string ExpectedAnswerBody(const std::string& worker, const std::string& id,
                               const std::string& body);

}  // namespace runshelf::soak
