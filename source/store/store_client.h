// Sends the calls of one process to the store, either directly or, while the direct path fails,
// through a peer.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/http/call_set.h"
#include "source/store/store_operations.h"
#include "source/store/watch_schedule.h"

namespace runshelf::store {

// Chooses peers that forward calls to the store, and marks the requests to be forwarded.
class StoreRelay {
 public:
  virtual ~StoreRelay() = default;
  // A peer that answered recently; nullopt if none is known.
  virtual std::optional<event::Endpoint> ChoosePeer() = 0;
  // Marks `request` as one that the peer is to forward to the store.
  virtual void MarkForRelay(http::Request* request) = 0;
};

// Address of the store, and time limits of calls to it.
struct StoreClientConfig {
  event::Endpoint endpoint;
  Duration call_timeout = std::chrono::milliseconds(900);
  Duration watch_wait = std::chrono::seconds(25);
  // Watches through a peer are short, because the peer may disappear without closing them.
  Duration relayed_watch_wait = std::chrono::seconds(2);
  // How long calls are sent to a peer first after the direct path has failed.
  Duration avoid_direct = std::chrono::seconds(2);
};

// Number of calls by operation, including those that were sent again on another path.
struct StoreCallCounts {
  uint64_t reads = 0;  // Pages of ranges.
  uint64_t watches = 0;
  uint64_t transactions = 0;
  uint64_t leases = 0;  // Granted or revoked.
  uint64_t renewals = 0;
  uint64_t forwarded_for_peers = 0;  // Calls of peers, forwarded to the store.
};

// What a call to the store is for.
struct StoreCallCause {
  std::string_view operation;  // "read", "watch", "write", "lease" or "renewal".
  std::string subject;         // The prefix, or the purpose of the transaction; may be empty.

  auto operator<=>(const StoreCallCause&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Number of calls with one cause, including those that were sent again on another path.
struct StoreCallsOfCause {
  uint64_t sent = 0;
  uint64_t conflicts = 0;  // Writes whose conditions were not satisfied.
};

// Results carry the status codes of StoreCodec, and kUnknown if no response arrived: a write may
// have been executed or may still be executed later. Except in ForwardForPeer, callbacks are never
// invoked from within the call itself.
class StoreClient {
 public:
  StoreClient(event::EventLoop& loop, http::ConnectionPool& pool, StoreCodec& codec,
              StoreClientConfig config);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void set_relay(StoreRelay* relay) { relay_ = relay; }
  // Called when the direct path begins to fail: watches pending on it may never be answered.
  void set_on_direct_lost(std::function<void()> callback) { on_direct_lost_ = std::move(callback); }
  // Called when the store becomes unreachable (false) or reachable again (true).
  void set_on_reachable_changed(std::function<void(bool)> callback) {
    on_reachable_changed_ = std::move(callback);
  }
  // Called when a response shows that the store was restored from a backup, before the callback of
  // that call.
  void set_on_restored(std::function<void(StoreEra former, StoreEra present)> callback) {
    on_restored_ = std::move(callback);
  }

  // Reads one page of the items below `prefix`, starting after `after_key`.
  void Range(const std::string& prefix, const std::string& after_key,
             std::function<void(absl::StatusOr<RangePage>)> callback);
  // Identifies a pending watch.
  using WatchId = uint64_t;
  // Waits for changes below `prefix` after the given revision.
  WatchId Watch(const std::string& prefix, Revision after,
                std::function<void(absl::StatusOr<WatchPage>)> callback);
  // The same with `times`; a wait longer than the configured one is reduced to it.
  WatchId Watch(const std::string& prefix, Revision after, const WatchTimes& times,
                std::function<void(absl::StatusOr<WatchPage>)> callback);
  // Closes the connection of the watch without invoking its callback. Must not be called from that
  // callback.
  void CancelWatch(WatchId watch) { active_.Cancel(watch); }
  // Executes a transaction.
  void Commit(const Transaction& transaction,
              std::function<void(absl::StatusOr<CommitResult>)> callback);
  // Acquires a lease; the store may grant another time to live.
  void GrantLease(Duration time_to_live, std::function<void(absl::StatusOr<Lease>)> callback);
  // Renews a lease; kNotFound: it has ended.
  void KeepLease(LeaseId lease, std::function<void(absl::Status)> callback);
  // Revokes the lease; the response is ignored.
  void EndLease(LeaseId lease);

  // Forwards a request of a peer on the direct path only; nullopt if no response arrived. While the
  // direct path fails here too, the request is refused with status 503 without being sent, and the
  // callback is invoked from within the call.
  void ForwardForPeer(const http::Request& request, Duration timeout,
                      std::function<void(std::optional<http::Response>)> callback);

  // Open connections may be dead: later calls use new ones.
  void CloseIdleConnections() { pool_.CloseIdle(config_.endpoint); }
  bool reachable() const { return reachable_; }
  // The store answered promptly the latest direct call that it answered.
  bool answers_promptly() const { return answers_promptly_; }
  // When the store last answered a call that was not relayed; Instant{}: never.
  Instant answered_directly_at() const { return answered_directly_at_; }
  // No direct call has failed since the latest one that was answered.
  bool direct_path_works() const { return avoid_direct_until_ == Instant{}; }
  // Latest era reported by a response; zero before the first one.
  StoreEra era() const { return era_.value_or(0); }
  // When this process first learned of the current era.
  Instant era_since() const { return era_since_; }
  // The current era began after this process had started.
  bool restored() const { return restored_; }
  uint64_t calls() const { return call_count_; }
  const StoreCallCounts& call_counts() const { return counts_; }
  const std::map<StoreCallCause, StoreCallsOfCause>& calls_by_cause() const {
    return calls_by_cause_;
  }

 private:
  using ResponseCallback = std::function<void(absl::StatusOr<http::Response>)>;
  enum class Path { kDirect, kRelayed };
  struct PendingCall;

  // The counters to increase for each sending of a call.
  struct Counters {
    uint64_t* of_operation = nullptr;
    StoreCallsOfCause* of_cause = nullptr;

    void OnSent() const {
      ++*of_operation;
      ++of_cause->sent;
    }
  };

  void Call(const Counters& counters, http::Request request, ResponseCallback callback);
  void OnDirectFailed(const PendingCall& call);
  void Send(const std::shared_ptr<PendingCall>& call, Path path);
  void OnResponse(const std::shared_ptr<PendingCall>& call, Path path,
                  std::optional<http::Response> response);
  void Finish(const std::shared_ptr<PendingCall>& call, absl::StatusOr<http::Response> result);
  uint64_t Start(const event::Endpoint& endpoint, const http::Request& request, Duration timeout,
                 std::function<void(std::optional<http::Response>)> callback);
  void SetReachable(bool reachable);
  void UpdateEra(const http::Response& response);
  // Era in which the store sent the response; the latest known era if the response does not tell.
  StoreEra EraOfAnswer(const http::Response& response) const;
  // Replaces revisions with the store's own counters. A condition from another era is never
  // satisfied.
  Transaction WithCounters(Transaction transaction) const;

  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
  StoreCodec& codec_;
  StoreClientConfig config_;
  StoreRelay* relay_ = nullptr;
  std::function<void()> on_direct_lost_;
  std::function<void(bool)> on_reachable_changed_;
  std::function<void(StoreEra, StoreEra)> on_restored_;
  std::optional<StoreEra> era_;
  Instant era_since_{};
  bool restored_ = false;
  http::CallSet active_;
  uint64_t call_count_ = 0;
  StoreCallCounts counts_;
  std::map<StoreCallCause, StoreCallsOfCause> calls_by_cause_;
  Instant avoid_direct_until_{};
  Instant answered_directly_at_{};
  Instant direct_loss_reported_at_{};  // When `on_direct_lost_` was last called.
  Instant answered_call_sent_at_{};    // Sending time of the latest answered direct call.
  bool reachable_ = true;
  bool answers_promptly_ = true;
};

}  // namespace runshelf::store
