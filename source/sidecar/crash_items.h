// What nodes keep in the store of requests under which workers ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// Keys of the items: a worker's identity, and a request's fingerprint, follow.
constexpr std::string_view kWorkerEndPrefix = "runshelf/worker-ends/";
constexpr std::string_view kQuarantinePrefix = "runshelf/quarantine/";

// The end of one worker, written by the node beside it: one item, however many requests were at
// work, so that ends at many machines are never written over each other.
struct WorkerEnd {
  std::string worker_id;  // Of the incarnation.
  std::string node;
  std::vector<RequestFingerprint> requests;  // That were at work in it.

  std::string Serialize() const;
  // nullopt for anything but a whole item; also one with more requests than any worker runs.
  static std::optional<WorkerEnd> Parse(const std::string& text);
};

// What was decided of one request; changed by compare-and-swap only.
struct QuarantineItem {
  bool released = false;                // Found good, or released by an operator.
  uint32_t trials = 0;                  // Begun since it was put in quarantine.
  std::vector<std::string> worker_ids;  // That ended under it.
  std::string description;              // What it asks, for operators; see DescribeRequest.

  std::string Serialize() const;
  static std::optional<QuarantineItem> Parse(const std::string& text);
};

}  // namespace runshelf::sidecar
