// Checks single requests and process exits against the guarantees of the user documentation, from
// the observations of callers and workers. Performs no I/O. Guarantees that span several requests
// are checked by the other judges in this directory.
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
  std::string caller_service;  // Service of the node that received it.
  bool repeatable = false;
};

// A request as received by the worker that began to process it.
struct Execution {
  std::string id;
  std::string target;
  std::string body;
  std::string caller_service;
  std::string worker;
  std::string service;
};

// The final response that a caller received.
struct ReceivedAnswer {
  std::string id;
  int status = 0;
  std::string body;
  std::string worker_stamp;  // Name of the worker; empty for responses of a node.
};

// Follows each request from caller to worker and back, and reports violated guarantees.
class PromiseJudge {
 public:
  void OnSent(const SentRequest& request);
  void OnExecuted(const Execution& execution);
  // A worker responded to a request that it had processed.
  void OnWorkerAnswered(const std::string& id, const std::string& worker, int status);
  void OnAnswer(const ReceivedAnswer& answer);
  // Well after its deadline the caller had received neither a response nor a close.
  void OnNoAnswer(const std::string& id);
  // A process exited unexpectedly.
  void OnProcessEnded(const std::string& node, int exit);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t executions() const { return executions_; }

 private:
  struct Request {
    SentRequest sent;
    std::vector<std::string> workers;     // Workers that processed it.
    std::map<std::string, int> statuses;  // Response status by worker.
    std::optional<int> promised;          // A status that rules out execution.
  };

  void CheckStamp(const Request& request, const ReceivedAnswer& answer);
  void AddViolation(const std::string& promise, const std::string& what);

  std::map<std::string, Request> requests_;
  std::vector<std::string> violations_;
  uint64_t executions_ = 0;
};

// The response body that identifies both the worker and the request.
std::string ExpectedAnswerBody(const std::string& worker, const std::string& id,
                               const std::string& body);

}  // namespace runshelf::soak
