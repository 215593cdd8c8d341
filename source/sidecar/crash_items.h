// Items in the store about requests that were running when workers terminated.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// Key prefixes, followed by the worker id or the request's fingerprint.
constexpr std::string_view kWorkerEndPrefix = "runshelf/worker-ends/";
constexpr std::string_view kQuarantinePrefix = "runshelf/quarantine/";

// The termination of one worker. The node that observed it writes one item for all requests that
// were in flight, so that concurrent terminations at many machines do not overwrite each other.
struct WorkerEnd {
  std::string worker_id;  // Identifies one incarnation of the worker.
  std::string node;
  std::vector<RequestFingerprint> requests;  // In flight in the worker.

  std::string Serialize() const;
  // Returns nullopt unless `text` is a complete, valid item with no more requests than a worker can
  // run.
  static std::optional<WorkerEnd> Parse(const std::string& text);
};

// The quarantine state of one request. Changed only by compare-and-swap.
struct QuarantineItem {
  bool released = false;                // Found harmless, or released by an operator.
  uint32_t trials = 0;                  // Started since it was put in quarantine.
  std::vector<std::string> worker_ids;  // Workers that terminated while running it.
  std::string description;  // Method, host and path, for operators; see DescribeRequest.

  std::string Serialize() const;
  static std::optional<QuarantineItem> Parse(const std::string& text);
};

}  // namespace runshelf::sidecar
