// How the surroundings of a sidecar speak: names of headers, calls of and to workers, the
// operators' configuration. One implementation for each kind of surroundings; implementations only
// translate.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/http/message.h"
#include "source/routes/routing_configuration.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// Names of the headers that requests and answers carry.
struct HeaderNames {
  std::string request_id;       // Of one attempt of a client; echoed by workers.
  std::string deadline;         // Milliseconds that the sender will wait.
  std::string expected_worker;  // Every other worker refuses the request.
  std::string caller_service;   // Service of the machine where the request began.
  std::string shard_key;        // Key of a request to a sharded service.
  std::string worker_stamp;     // On an answer to a request that ran: the worker vouches for it.
  std::string not_executed;     // On an answer: the worker did not run the request.
  std::string worker_load;      // On an answer: running, waiting and slots, joined by commas.
  std::string worker_id;        // On an answer to a health check.
  std::string handover;         // On an answer to a release.
  std::string retry_after;      // On a refusal: seconds, with a fraction.
};

// Keys that a worker holds under one token, or still works on.
struct HeldKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inside.
  sharding::FencingToken token = 0;
};

// Keys that a worker has let go.
struct ReleasedKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inside.
  std::string handover;         // For the next holder; without it the keys are slow at first.
};

// What a worker says of its keys in a heartbeat.
struct KeyReport {
  std::vector<HeldKeys> held;
  std::vector<ReleasedKeys> released;  // Since its last heartbeat that was acknowledged.
};

// Keys that a worker is to hold.
struct LeasedKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inside.
  sharding::FencingToken token = 0;
  std::string handover;  // Of the last holder; empty when there is none or the worker has it.
};

// Answer to a heartbeat: all keys that the worker is to hold. What is missing it lets go.
struct KeyLease {
  std::vector<LeasedKeys> keys;
  Duration hold{0};  // Counted by the worker from the sending of the heartbeat.
};

// A worker says that it is well, or that it is leaving.
struct WorkerHeartbeat {
  std::string worker_id;  // Of this incarnation.
  std::string service;
  std::string address;
  std::string zone;
  uint32_t slots = 0;
  bool draining = false;
  Duration cold_remaining{0};  // How much longer it is slow from its start.
  int64_t sequence = 0;        // Rises with each call of the worker.
  KeyReport keys;              // Empty where keys are granted by calls.
};

// A worker has left or is about to.
struct WorkerLeave {
  std::string worker_id;  // Of this incarnation.
};

using WorkerNotice = std::variant<WorkerHeartbeat, WorkerLeave>;

// Gives keys to a worker, or renews what it holds when repeated unchanged.
struct KeyGrant {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inside.
  sharding::FencingToken token = 0;
  Duration hold{0};      // Counted by the worker from the arrival.
  std::string handover;  // Of the last holder; empty when there is none.
};

// Takes keys back.
struct KeyRelease {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;
  sharding::FencingToken token = 0;
};

class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual const HeaderNames& headers() const = 0;

  // The identity that a worker states in its answers, and that requests name. A worker that starts
  // again may state the same one; then `worker_id`, which names one incarnation, is longer.
  virtual std::string_view StatedIdentity(std::string_view worker_id) const = 0;
  // Both are incarnations of one worker, and the first one says that it began before the other.
  virtual bool StartedBefore(std::string_view worker_id, std::string_view other) const = 0;

  // Id of the request during whose run a worker sent the request with this id; empty when the id
  // does not tell. Whether the worker really runs that request is for the caller to check.
  virtual std::string_view ParentRequestId(std::string_view request_id) const = 0;

  // True when the request asks whether this node takes new work.
  virtual bool IsReadinessCheck(const http::Request& request) const = 0;

  // kNotFound: the request is no call of a worker; kInvalidArgument: it is broken, and why.
  virtual absl::StatusOr<WorkerNotice> DecodeWorkerNotice(const http::Request& request) const = 0;
  // Body of the answer that acknowledges a notice. Without a lease the worker's keys stay as they
  // are, and are not renewed.
  virtual std::string EncodeAcknowledgement(const std::optional<KeyLease>& lease) const = 0;
  // Bytes that the body may have at most, and at most needs for one row of a lease.
  virtual size_t MaxAcknowledgementBytes() const = 0;
  virtual size_t LeaseRowBytes(const LeasedKeys& keys) const = 0;

  virtual http::Request EncodeGrant(const KeyGrant& grant) const = 0;
  virtual http::Request EncodeRelease(const KeyRelease& release) const = 0;
  virtual http::Request EncodeHealthCheck(const std::string& path) const = 0;

  // Where the operators' configuration lies in the store, and what it says.
  virtual std::string ConfigurationKey() const = 0;
  virtual absl::StatusOr<routes::RoutingConfiguration> DecodeConfiguration(
      const std::string& value) const = 0;
};

}  // namespace runshelf::sidecar
