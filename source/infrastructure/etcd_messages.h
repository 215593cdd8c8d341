// The messages of etcd's v3 API in their JSON mapping, as its client writes and reads them.
//
// Keys and values are base64, 64-bit integers are strings, and fields with default values are left
// out by the service. Every Decode function returns nullopt for an answer of another form.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"

namespace runshelf::infrastructure {

std::string EncodeRangeRequest(const std::string& prefix);
std::string EncodeCommitRequest(const std::vector<Condition>& conditions,
                                const std::vector<Write>& writes);
std::string EncodeLeaseGrantRequest(int64_t time_to_live_s);
std::string EncodeLeaseRequest(int64_t lease);
std::string EncodeWatchRequest(const std::string& prefix, int64_t start_revision);

// What a lease call answers; the time to live is zero when the lease does not exist.
struct LeaseAnswer {
  int64_t lease = 0;
  int64_t time_to_live_s = 0;
};

// One line of a watch.
struct WatchAnswer {
  bool canceled = false;
  int64_t compact_revision = 0;  // Not zero when the revisions asked for have been compacted.
  std::string cancel_reason;
  std::vector<WatchEvent> events;
};

std::optional<RangeResult> DecodeRangeAnswer(const std::string& text);
std::optional<CommitResult> DecodeCommitAnswer(const std::string& text);
std::optional<LeaseAnswer> DecodeLeaseGrantAnswer(const std::string& text);
std::optional<LeaseAnswer> DecodeKeepAliveAnswer(const std::string& text);
std::optional<WatchAnswer> DecodeWatchAnswer(const std::string& text);

// The status that an answer with an HTTP status other than 200 stands for. `is_write` makes a
// refusal that may have come too late kUnknown.
absl::Status StatusOfRefusal(int http_status, const std::string& body, bool is_write);

}  // namespace runshelf::infrastructure
