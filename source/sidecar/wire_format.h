// Interface to the protocol of the platform on which a sidecar runs: header names, calls from and
// to workers, and the operators' configuration. There is one implementation for each platform;
// implementations only encode and decode.
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

// Names of the headers of requests and responses.
struct HeaderNames {
  std::string request_id;       // Identifies one attempt of a client; echoed by workers.
  std::string deadline;         // How long the sender will wait, in ms.
  std::string expected_worker;  // Any other worker refuses the request.
  std::string caller_service;   // Service of the machine that sent the request.
  std::string shard_key;        // Shard key of a request to a sharded service.
  std::string worker_stamp;     // Response: proof of the worker that it executed the request.
  std::string not_executed;     // Response: the worker did not execute the request.
  std::string worker_load;      // Response: load of the worker; see DecodeWorkerLoad.
  std::string worker_limit;     // Response: requests per second that the worker accepts from all.
  std::string worker_leaving;   // Response: the worker is leaving.
  std::string cold_remaining;   // Response to a health check: ms until the worker is warmed up.
  std::string handover;         // Response to a release: data for the next holder of the keys.
  std::string retry_after;      // Refusal: seconds, possibly fractional.
};

// Range of keys that a worker holds under one fencing token, or for which it still executes
// requests.
struct HeldKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inclusive.
  sharding::FencingToken token = 0;
};

// Range of keys that a worker has released.
struct ReleasedKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inclusive.
  std::string handover;         // For the next holder; without it requests are slow at first.
};

// Keys that a worker reports in a heartbeat.
struct KeyReport {
  std::vector<HeldKeys> held;
  std::vector<ReleasedKeys> released;  // Since the last acknowledged heartbeat.
};

// Range of keys that a worker is to hold.
struct LeasedKeys {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inclusive.
  sharding::FencingToken token = 0;
  std::string handover;  // From the last holder; empty if there is none or the worker has it.
};

// Part of the response to a heartbeat: all keys that the worker is to hold. The worker releases
// keys that are not listed.
struct KeyLease {
  std::vector<LeasedKeys> keys;
  Duration hold{0};  // Validity, counted by the worker from when it sent the heartbeat.
};

// Periodic report of a worker that is running or draining.
struct WorkerHeartbeat {
  std::string worker_id;  // Identifies the worker's incarnation.
  std::string service;
  std::string address;
  std::string zone;
  uint32_t slots = 0;
  bool draining = false;
  Duration cold_remaining{0};  // Remaining time until the worker is warmed up.
  int64_t sequence = 0;        // Increases with each call of the worker.
  KeyReport keys;              // Empty if keys are granted by calls.
};

// A worker has left or is about to.
struct WorkerLeave {
  std::string worker_id;  // Identifies the worker's incarnation.
};

// A call by which a worker reports its state to its sidecar.
using WorkerNotice = std::variant<WorkerHeartbeat, WorkerLeave>;

// Grants a range of keys to a worker; repeated unchanged, renews the grant.
struct KeyGrant {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;  // Inclusive.
  sharding::FencingToken token = 0;
  Duration hold{0};      // Validity, counted by the worker from the arrival of the grant.
  std::string handover;  // From the last holder; empty if there is none.
};

// Revokes a grant of keys.
struct KeyRelease {
  sharding::ShardKey first = 0;
  sharding::ShardKey last = 0;
  sharding::FencingToken token = 0;
};

// Load that a worker states in its responses.
struct WorkerLoad {
  uint32_t running = 0;  // Requests in its slots.
  uint32_t waiting = 0;  // Requests that it has queued.
  uint32_t slots = 0;

  bool HasRoom() const { return running < slots && waiting == 0; }
};

// Encodes and decodes the platform's messages.
class WireFormat {
 public:
  virtual ~WireFormat() = default;

  virtual const HeaderNames& headers() const = 0;

  // The identity that a worker states in the headers of a response, see StatedIdentity. kNotFound:
  // it states none; kInvalidArgument: what it states is no identity.
  virtual absl::StatusOr<std::string> DecodeStatedIdentity(const http::Headers& headers) const = 0;
  // The handover in the headers of the response to a release; empty if there is none or it is
  // malformed.
  virtual std::string DecodeHandover(const http::Headers& headers) const = 0;

  // Identity that a worker states in its responses and that requests name. A restarted worker may
  // state the same identity; in that case `worker_id`, which identifies one incarnation, is longer.
  virtual std::string_view StatedIdentity(std::string_view worker_id) const = 0;
  // True if both are incarnations of the same worker and `worker_id` states an earlier start than
  // `other`.
  virtual bool StartedBefore(std::string_view worker_id, std::string_view other) const = 0;

  // Id of the request that a worker was executing when it sent the request with this id; empty if
  // the id does not contain one. The caller must check that the worker really executes that
  // request.
  virtual std::string_view ParentRequestId(std::string_view request_id) const = 0;

  // True if the request is a check whether this node accepts new requests.
  virtual bool IsReadinessCheck(const http::Request& request) const = 0;

  // kNotFound: the request is not a worker's call; kInvalidArgument: it is malformed, the message
  // gives the reason.
  virtual absl::StatusOr<WorkerNotice> DecodeWorkerNotice(const http::Request& request) const = 0;
  // Body of the response that acknowledges a notice. Without a lease the worker's keys are neither
  // changed nor renewed.
  virtual std::string EncodeAcknowledgement(const std::optional<KeyLease>& lease) const = 0;
  // Maximum size of that body, and maximum size in it of one row of a lease, in bytes.
  virtual size_t MaxAcknowledgementBytes() const = 0;
  virtual size_t LeaseRowBytes(const LeasedKeys& keys) const = 0;

  // Value of the header that states a worker's load; nullopt if it is malformed.
  virtual std::optional<WorkerLoad> DecodeWorkerLoad(std::string_view text) const = 0;

  // Value of the header that states a worker's limit, in requests per second; nullopt if it is
  // malformed.
  virtual std::optional<double> DecodeWorkerLimit(std::string_view text) const = 0;

  // Calls to the worker.
  virtual http::Request EncodeGrant(const KeyGrant& grant) const = 0;
  virtual http::Request EncodeRelease(const KeyRelease& release) const = 0;
  virtual http::Request EncodeHealthCheck(const std::string& path) const = 0;

  // Prefix of the keys in the store that name the zones which operators have evacuated. The rest
  // of a key is the zone; the value has no meaning.
  virtual std::string EvacuationPrefix() const = 0;

  // Key of the operators' configuration in the store, and the decoder of its value.
  virtual std::string ConfigurationKey() const = 0;
  virtual absl::StatusOr<routes::RoutingConfiguration> DecodeConfiguration(
      const std::string& value) const = 0;
};

}  // namespace runshelf::sidecar
