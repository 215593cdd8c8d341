#include "source/store/store_client.h"

#include <algorithm>
#include <utility>

namespace runshelf::store {
namespace {

void JoinWithEra(StoreEra era, Item* item) { item->revision = MakeRevision(era, item->revision); }

void JoinWithEra(StoreEra era, RangePage* page) {
  page->revision = MakeRevision(era, page->revision);
  for (Item& item : page->items) JoinWithEra(era, &item);
}

void JoinWithEra(StoreEra era, WatchPage* page) {
  page->revision = MakeRevision(era, page->revision);
  for (WatchEvent& event : page->events) JoinWithEra(era, &event.item);
}

void JoinWithEra(StoreEra era, CommitResult* result) {
  if (result->outcome == CommitOutcome::kCommitted) {
    result->revision = MakeRevision(era, result->revision);
  }
  for (Item& item : result->found) JoinWithEra(era, &item);
}

void JoinWithEra(StoreEra era, Lease* lease) { lease->era = era; }

// Adds the era of the response to the decoded revisions.
template <typename Result>
absl::StatusOr<Result> InEra(StoreEra era, absl::StatusOr<Result> decoded) {
  if (decoded.ok()) JoinWithEra(era, &*decoded);
  return decoded;
}

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
// Several times the largest page of items, and of the largest item, in base64.
constexpr size_t kMaxAnswerBytes = size_t{16} * 1024 * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kIdleTimeout = std::chrono::seconds(8);
// Well below the timeout of a short watch.
constexpr Duration kPromptAnswer = std::chrono::milliseconds(150);

// The store did not execute the request, and may serve it on another path.
bool IsRefusal(const http::Response& response) {
  return response.status == kTooManyRequests || response.status == kServiceUnavailable;
}

}  // namespace

struct StoreClient::PendingCall {
  Counters counters;
  http::Request request;
  ResponseCallback callback;
  Instant sent_directly_at{};
  bool tried_direct = false;
  bool tried_relay = false;
  bool may_have_executed = false;  // A path gave no response.
  std::optional<http::Response> refusal;
};

StoreClient::StoreClient(event::EventLoop& loop, http::ConnectionPool& pool, StoreCodec& codec,
                         StoreClientConfig config)
    : loop_(loop), pool_(pool), codec_(codec), config_(std::move(config)), active_(loop, pool) {}

StoreClient::~StoreClient() = default;

uint64_t StoreClient::Start(const event::Endpoint& endpoint, const http::Request& request,
                            Duration timeout,
                            std::function<void(std::optional<http::Response>)> callback) {
  ++call_count_;
  http::RequestHead head = request.head;
  if (!head.headers.Has("host")) head.headers.Set("Host", endpoint.ToString());
  http::CallOptions options(http::AnswerMatch::InOrder(), "store_call");
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = kIdleTimeout;
  options.wait_while_answer_arrives = true;
  options.max_body_bytes = kMaxAnswerBytes;
  return active_.Start(
      endpoint, http::SerializeRequest(head, request.body), options, timeout,
      [this, endpoint, callback = std::move(callback)](std::optional<http::Response> response) {
        if (response.has_value()) {
          UpdateEra(*response);
        } else {
          // Other open connections may have failed together with this one.
          pool_.CloseIdle(endpoint);
        }
        callback(std::move(response));
      });
}

void StoreClient::UpdateEra(const http::Response& response) {
  const std::optional<StoreEra> era = codec_.DecodeEra(response);
  // A response of an earlier era may arrive late.
  if (!era.has_value() || (era_.has_value() && *era <= *era_)) return;
  const std::optional<StoreEra> former = std::exchange(era_, era);
  era_since_ = loop_.Now();
  if (!former.has_value()) return;
  restored_ = true;
  if (on_restored_) on_restored_(*former, *era);
}

StoreEra StoreClient::EraOfAnswer(const http::Response& response) const {
  return codec_.DecodeEra(response).value_or(era());
}

Transaction StoreClient::WithCounters(Transaction transaction) const {
  for (Condition& condition : transaction.conditions) {
    if (condition.revision == 0) continue;
    const bool present = EraOf(condition.revision) == era();
    condition.revision = present ? CounterOf(condition.revision) : kRevisionCounterMax;
  }
  return transaction;
}

void StoreClient::ForwardForPeer(const http::Request& request, Duration timeout,
                                 std::function<void(std::optional<http::Response>)> callback) {
  if (!direct_path_works()) {
    callback(http::Response{kServiceUnavailable, {}, ""});
    return;
  }
  ++counts_.forwarded_for_peers;
  Start(config_.endpoint, request, timeout, std::move(callback));
}

void StoreClient::Call(const Counters& counters, http::Request request, ResponseCallback callback) {
  auto call = std::make_shared<PendingCall>();
  call->counters = counters;
  call->request = std::move(request);
  call->callback = std::move(callback);
  const bool avoid_direct = relay_ != nullptr && loop_.Now() < avoid_direct_until_;
  Send(call, avoid_direct ? Path::kRelayed : Path::kDirect);
}

void StoreClient::Send(const std::shared_ptr<PendingCall>& call, Path path) {
  if (path == Path::kDirect) {
    call->tried_direct = true;
    call->sent_directly_at = loop_.Now();
    call->counters.OnSent();
    Start(config_.endpoint, call->request, config_.call_timeout,
          [this, call](std::optional<http::Response> response) {
            OnResponse(call, Path::kDirect, std::move(response));
          });
    return;
  }
  call->tried_relay = true;
  const auto peer = relay_ == nullptr ? std::nullopt : relay_->ChoosePeer();
  if (!peer.has_value()) {
    if (!call->tried_direct) {
      Send(call, Path::kDirect);
    } else {
      Finish(call, call->refusal.has_value() && !call->may_have_executed
                       ? absl::StatusOr<http::Response>(*call->refusal)
                       : absl::UnknownError("no answer from the store"));
    }
    return;
  }
  http::Request marked = call->request;
  relay_->MarkForRelay(&marked);
  call->counters.OnSent();
  Start(*peer, marked, config_.call_timeout, [this, call](std::optional<http::Response> response) {
    OnResponse(call, Path::kRelayed, std::move(response));
  });
}

void StoreClient::OnResponse(const std::shared_ptr<PendingCall>& call, Path path,
                             std::optional<http::Response> response) {
  const bool answered = response.has_value() && !IsRefusal(*response);
  if (path == Path::kDirect) {
    if (answered) {
      avoid_direct_until_ = Instant{};
      answered_directly_at_ = loop_.Now();
      answered_call_sent_at_ = std::max(answered_call_sent_at_, call->sent_directly_at);
      answers_promptly_ = loop_.Now() - call->sent_directly_at <= kPromptAnswer;
    } else {
      OnDirectFailed(*call);
    }
  }
  if (answered) {
    SetReachable(true);
    Finish(call, *std::move(response));
    return;
  }
  if (response.has_value()) {
    call->refusal = std::move(response);
  } else {
    call->may_have_executed = true;
  }
  if (!call->tried_direct) {
    Send(call, Path::kDirect);
  } else if (!call->tried_relay) {
    Send(call, Path::kRelayed);
  } else {
    SetReachable(false);
    if (call->refusal.has_value() && !call->may_have_executed) {
      Finish(call, *call->refusal);
    } else {
      Finish(call, absl::UnknownError("no answer from the store"));
    }
  }
}

void StoreClient::OnDirectFailed(const PendingCall& call) {
  const bool works = avoid_direct_until_ == Instant{};
  // If the store has answered a call that was sent later, only this call's connection failed.
  const bool only_connection =
      !call.refusal.has_value() && answered_call_sent_at_ > call.sent_directly_at;
  if (!only_connection) avoid_direct_until_ = loop_.Now() + config_.avoid_direct;
  const bool reported_recently = loop_.Now() - direct_loss_reported_at_ < config_.avoid_direct;
  if (!works || (only_connection && reported_recently)) return;
  direct_loss_reported_at_ = loop_.Now();
  if (on_direct_lost_) on_direct_lost_();
}

void StoreClient::Finish(const std::shared_ptr<PendingCall>& call,
                         absl::StatusOr<http::Response> result) {
  if (!result.ok()) SetReachable(false);
  call->callback(std::move(result));
}

void StoreClient::SetReachable(bool reachable) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  if (on_reachable_changed_) on_reachable_changed_(reachable);
}

void StoreClient::Range(const std::string& prefix, const std::string& after_key,
                        std::function<void(absl::StatusOr<RangePage>)> callback) {
  Call({&counts_.reads, &calls_by_cause_[{"read", prefix}]}, codec_.EncodeRange(prefix, after_key),
       [this, callback = std::move(callback)](absl::StatusOr<http::Response> response) {
         callback(response.ok() ? InEra(EraOfAnswer(*response), codec_.DecodeRange(*response))
                                : absl::StatusOr<RangePage>(response.status()));
       });
}

StoreClient::WatchId StoreClient::Watch(const std::string& prefix, Revision after,
                                        std::function<void(absl::StatusOr<WatchPage>)> callback) {
  return Watch(prefix, after, {config_.watch_wait, config_.call_timeout}, std::move(callback));
}

// A watch is sent on one path only: if it fails, the range is read again, and that call chooses its
// own path.
StoreClient::WatchId StoreClient::Watch(const std::string& prefix, Revision after,
                                        const WatchTimes& times,
                                        std::function<void(absl::StatusOr<WatchPage>)> callback) {
  const bool avoid_direct = relay_ != nullptr && loop_.Now() < avoid_direct_until_;
  const auto peer = avoid_direct ? relay_->ChoosePeer() : std::nullopt;
  const Duration longest = peer.has_value() ? config_.relayed_watch_wait : config_.watch_wait;
  const Duration wait = std::min(times.wait, longest);
  http::Request request = codec_.EncodeWatch(prefix, CounterOf(after), wait);
  if (peer.has_value()) relay_->MarkForRelay(&request);
  Counters{&counts_.watches, &calls_by_cause_[{"watch", prefix}]}.OnSent();
  return Start(
      peer.value_or(config_.endpoint), request, wait + times.grace,
      [this, callback = std::move(callback)](const std::optional<http::Response>& response) {
        callback(response.has_value()
                     ? InEra(EraOfAnswer(*response), codec_.DecodeWatch(*response))
                     : absl::StatusOr<WatchPage>(absl::UnknownError("no response to the watch")));
      });
}

void StoreClient::Commit(const Transaction& transaction,
                         std::function<void(absl::StatusOr<CommitResult>)> callback) {
  StoreCallsOfCause* calls = &calls_by_cause_[{"write", std::string(transaction.purpose)}];
  Call({&counts_.transactions, calls}, codec_.EncodeTransaction(WithCounters(transaction)),
       [this, calls, callback = std::move(callback)](absl::StatusOr<http::Response> response) {
         auto result = response.ok()
                           ? InEra(EraOfAnswer(*response), codec_.DecodeTransaction(*response))
                           : absl::StatusOr<CommitResult>(response.status());
         if (result.ok() && result->outcome == CommitOutcome::kConflict) ++calls->conflicts;
         callback(std::move(result));
       });
}

void StoreClient::GrantLease(Duration time_to_live,
                             std::function<void(absl::StatusOr<Lease>)> callback) {
  Call({&counts_.leases, &calls_by_cause_[{"lease", ""}]}, codec_.EncodeGrantLease(time_to_live),
       [this, callback = std::move(callback)](absl::StatusOr<http::Response> response) {
         callback(response.ok() ? InEra(EraOfAnswer(*response), codec_.DecodeGrantLease(*response))
                                : absl::StatusOr<Lease>(response.status()));
       });
}

void StoreClient::KeepLease(LeaseId lease, std::function<void(absl::Status)> callback) {
  Call({&counts_.renewals, &calls_by_cause_[{"renewal", ""}]}, codec_.EncodeKeepLease(lease),
       [this, callback = std::move(callback)](absl::StatusOr<http::Response> response) {
         callback(response.ok() ? codec_.DecodeKeepLease(*response) : response.status());
       });
}

void StoreClient::EndLease(LeaseId lease) {
  Call({&counts_.leases, &calls_by_cause_[{"lease", ""}]}, codec_.EncodeEndLease(lease),
       [](const absl::StatusOr<http::Response>&) {});
}

}  // namespace runshelf::store
