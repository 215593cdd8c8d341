#include "runshelf/infrastructure/etcd_key_value_store.h"

#include <chrono>
#include <utility>

#include "source/infrastructure/etcd_messages.h"
#include "source/infrastructure/http_call.h"

namespace runshelf::infrastructure {
namespace {

enum class CallKind { kRead, kWrite };

constexpr int kHttpOk = 200;

class EtcdKeyValueStore : public KeyValueStore {
 public:
  EtcdKeyValueStore(const Poco::Net::SocketAddress& address, Duration timeout)
      : address_(address), timeout_(timeout) {}

  absl::StatusOr<RangeResult> Range(const std::string& prefix) override {
    return Exchange("/v3/kv/range", EncodeRangeRequest(prefix), CallKind::kRead, DecodeRangeAnswer);
  }

  absl::StatusOr<CommitResult> Commit(const std::vector<Condition>& conditions,
                                      const std::vector<Write>& writes) override {
    return Exchange("/v3/kv/txn", EncodeCommitRequest(conditions, writes), CallKind::kWrite,
                    DecodeCommitAnswer);
  }

  absl::StatusOr<int64_t> GrantLease(Duration time_to_live) override {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live);
    const absl::StatusOr<LeaseAnswer> answer =
        Exchange("/v3/lease/grant", EncodeLeaseGrantRequest(seconds.count()), CallKind::kWrite,
                 DecodeLeaseGrantAnswer);
    if (!answer.ok()) return answer.status();
    return answer->lease;
  }

  absl::Status KeepLeaseAlive(int64_t lease) override {
    const absl::StatusOr<LeaseAnswer> answer = Exchange(
        "/v3/lease/keepalive", EncodeLeaseRequest(lease), CallKind::kWrite, DecodeKeepAliveAnswer);
    if (!answer.ok()) return answer.status();
    if (answer->time_to_live_s <= 0) return absl::NotFoundError("the lease does not exist");
    return absl::OkStatus();
  }

  absl::Status RevokeLease(int64_t lease) override {
    return Send("/v3/lease/revoke", EncodeLeaseRequest(lease), CallKind::kWrite).status();
  }

  absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t revision, const std::vector<WatchEvent>&)>& on_events,
      const std::function<bool()>& stop) override {
    const auto on_line = [&on_events](const std::string& line) {
      return HandleWatchLine(line, on_events);
    };
    HttpAnswer refusal;
    absl::Status status =
        CallForLines(address_, {"POST", "/v3/watch", EncodeWatchRequest(prefix, start_revision)},
                     timeout_, on_line, stop, refusal);
    if (refusal.status != 0) {
      return StatusOfRefusal(refusal.status, refusal.body, /*is_write=*/false);
    }
    return status;
  }

 private:
  static absl::Status HandleWatchLine(
      const std::string& line,
      const std::function<void(int64_t revision, const std::vector<WatchEvent>&)>& on_events) {
    const std::optional<WatchAnswer> answer = DecodeWatchAnswer(line);
    if (!answer.has_value()) return absl::UnavailableError("a malformed line in the watch");
    if (answer->compact_revision != 0) {
      return absl::OutOfRangeError("the revisions asked for have been compacted");
    }
    if (answer->canceled) return absl::UnavailableError("watch canceled: " + answer->cancel_reason);
    // The header's revision may be ahead of events that follow in the next line; that of the last
    // event is not.
    if (!answer->events.empty()) {
      on_events(answer->events.back().key_value.mod_revision, answer->events);
    }
    return absl::OkStatus();
  }

  // Returns the body of an answer with status 200.
  absl::StatusOr<std::string> Send(const std::string& path, std::string body, CallKind kind) const {
    absl::StatusOr<HttpAnswer> answer = Call(address_, {"POST", path, std::move(body)}, timeout_);
    if (!answer.ok()) return answer.status();
    if (answer->status != kHttpOk) {
      return StatusOfRefusal(answer->status, answer->body, kind == CallKind::kWrite);
    }
    return std::move(answer->body);
  }

  template <typename Answer>
  absl::StatusOr<Answer> Exchange(const std::string& path, std::string body, CallKind kind,
                                  std::optional<Answer> (*decode)(const std::string&)) const {
    const absl::StatusOr<std::string> text = Send(path, std::move(body), kind);
    if (!text.ok()) return text.status();
    std::optional<Answer> answer = decode(*text);
    if (!answer.has_value()) return absl::UnknownError("the answer is malformed");
    return *std::move(answer);
  }

  Poco::Net::SocketAddress address_;
  Duration timeout_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<KeyValueStore>> MakeEtcdKeyValueStore(const std::string& address,
                                                                     Duration timeout) {
  if (timeout <= Duration::zero()) return absl::InvalidArgumentError("the timeout is not positive");
  absl::StatusOr<Poco::Net::SocketAddress> parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  return std::make_unique<EtcdKeyValueStore>(*parsed, timeout);
}

}  // namespace runshelf::infrastructure
