// Carries the calls of one process to the store: directly, or through a peer while the direct way
// fails.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "source/event/event_loop.h"
#include "source/http/call_set.h"
#include "source/store/store_operations.h"
#include "source/store/watch_schedule.h"

namespace runshelf::store {

// Chooses peers that pass calls on to the store, and marks the requests that ask them to.
class StoreRelay {
 public:
  virtual ~StoreRelay() = default;
  // A peer that answered lately; nullopt when none is known.
  virtual std::optional<event::Endpoint> ChoosePeer() = 0;
  // Marks `request` as one that the peer hands to the store.
  virtual void MarkForRelay(http::Request* request) = 0;
};

struct StoreClientConfig {
  event::Endpoint endpoint;
  Duration call_timeout = std::chrono::milliseconds(900);
  Duration watch_wait = std::chrono::seconds(25);
  // Watches that go through a peer are short: the peer may go away without a word.
  Duration relayed_watch_wait = std::chrono::seconds(2);
  // How long calls go to a peer first after the direct way has failed.
  Duration avoid_direct = std::chrono::seconds(2);
};

// Calls by what they ask for, those that were sent again by another way included.
struct StoreCallCounts {
  uint64_t reads = 0;  // Of a range, page by page.
  uint64_t watches = 0;
  uint64_t transactions = 0;
  uint64_t leases = 0;  // Taken or ended.
  uint64_t renewals = 0;
  uint64_t forwarded_for_peers = 0;  // Of peers.
};

// Status codes of answers: those of StoreCodec, and kUnknown when no answer came, so that a write
// may have been done or may still be done later. Callbacks are never made inside the call itself.
class StoreClient {
 public:
  StoreClient(event::EventLoop& loop, http::ConnectionPool& pool, StoreCodec& codec,
              StoreClientConfig config);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void set_relay(StoreRelay* relay) { relay_ = relay; }
  // Called when the direct way begins to fail: watches that wait on it may never hear anything.
  void set_on_direct_lost(std::function<void()> callback) { on_direct_lost_ = std::move(callback); }
  // Called when the store is lost (false) or reached again (true).
  void set_on_reachable_changed(std::function<void(bool)> callback) {
    on_reachable_changed_ = std::move(callback);
  }
  // Called when an answer tells that the store came back from an older copy of its data, before
  // the callback of that call.
  void set_on_restored(std::function<void(StoreEra former, StoreEra present)> callback) {
    on_restored_ = std::move(callback);
  }

  void Range(const std::string& prefix, const std::string& after_key,
             std::function<void(absl::StatusOr<RangePage>)> callback);
  // Tells watches under way apart.
  using WatchId = uint64_t;
  WatchId Watch(const std::string& prefix, Revision after,
                std::function<void(absl::StatusOr<WatchPage>)> callback);
  // The same with a wait of its own, where that is shorter.
  WatchId Watch(const std::string& prefix, Revision after, const WatchTimes& times,
                std::function<void(absl::StatusOr<WatchPage>)> callback);
  // Its callback is not made, and its connection is closed; not from that callback.
  void CancelWatch(WatchId watch) { active_.Cancel(watch); }
  void Commit(const Transaction& transaction,
              std::function<void(absl::StatusOr<CommitResult>)> callback);
  void GrantLease(Duration time_to_live, std::function<void(absl::StatusOr<Lease>)> callback);
  void KeepLease(LeaseId lease, std::function<void(absl::Status)> callback);
  // Fire and forget.
  void EndLease(LeaseId lease);

  // Passes a request of a peer on, directly only; nullopt when no answer came. While the direct way
  // fails here too, it is refused at once, inside the call, and nothing was done.
  void ForwardForPeer(const http::Request& request, Duration timeout,
                      std::function<void(std::optional<http::Response>)> callback);

  // Connections that are open may have fallen silent: later calls are made on new ones.
  void CloseIdleConnections() { pool_.CloseIdle(config_.endpoint); }
  bool reachable() const { return reachable_; }
  // The latest call that was sent to the store directly and answered had its answer soon.
  bool answers_promptly() const { return answers_promptly_; }
  // The store answered the latest call that was sent to it directly.
  bool direct_path_works() const { return avoid_direct_until_ == Instant{}; }
  // The latest that an answer told of; zero before.
  StoreEra era() const { return era_.value_or(0); }
  // When this process first knew of the present era.
  Instant era_since() const { return era_since_; }
  // The present era began since this process started.
  bool restored() const { return restored_; }
  uint64_t calls() const { return call_count_; }
  const StoreCallCounts& call_counts() const { return counts_; }

 private:
  using ResponseCallback = std::function<void(absl::StatusOr<http::Response>)>;
  enum class Path { kDirect, kRelayed };
  struct PendingCall;

  // `count`: the kind of the call in `counts_`.
  void Call(uint64_t* count, http::Request request, ResponseCallback callback);
  void OnDirectFailed(const PendingCall& call);
  void Send(const std::shared_ptr<PendingCall>& call, Path path);
  void OnResponse(const std::shared_ptr<PendingCall>& call, Path path,
                  std::optional<http::Response> response);
  void Finish(const std::shared_ptr<PendingCall>& call, absl::StatusOr<http::Response> result);
  uint64_t Start(const event::Endpoint& endpoint, const http::Request& request, Duration timeout,
                 std::function<void(std::optional<http::Response>)> callback);
  void SetReachable(bool reachable);
  void UpdateEra(const http::Response& response);
  // In which the store gave the answer, as far as is known.
  StoreEra EraOfAnswer(const http::Response& response) const;
  // The transaction as the store understands it. A condition from another era holds for no item.
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
  Instant avoid_direct_until_{};
  Instant direct_loss_reported_at_{};  // When that was told last.
  Instant answered_call_sent_at_{};    // Of the calls that the store answered directly, the latest.
  bool reachable_ = true;
  bool answers_promptly_ = true;
};

}  // namespace runshelf::store
