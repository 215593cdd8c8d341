// The part of ShardHolder that grants keys to the worker and releases them by calls to it.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "source/sidecar/shard_holder.h"

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

// Releases that take longer are logged. A release waits for the requests on its keys, which usually
// run less long.
constexpr Duration kSlowRelease = std::chrono::seconds(1);

// Lane that the grants of several shards share.
constexpr std::string_view kSharedGrantLane = "grant";
// One shard per this many connections of the worker gets a dedicated lane for its grants.
constexpr uint32_t kConnectionsPerGrantLane = 16;
constexpr size_t kMaxGrantLanes = 16;

}  // namespace

void ShardHolder::SetMaxConnections(uint32_t max_connections) {
  if (max_connections == 0) return;
  grant_lanes_ = std::clamp<size_t>(max_connections / kConnectionsPerGrantLane, 1, kMaxGrantLanes);
}

// Responses to grants of the same shard and token are interchangeable, but must not be mistaken for
// those of other grants; hence the dedicated lanes. As a worker accepts few connections, the shards
// beyond the first `grant_lanes_` share one lane.
std::string ShardHolder::GrantLane(const HeldShardKey& key) const {
  const auto position =
      static_cast<size_t>(std::distance(holdings_.begin(), holdings_.lower_bound(key)));
  if (position >= grant_lanes_) return std::string(kSharedGrantLane);
  const auto& [first, last, token] = key;
  return fmt::format("grant {}-{}-{}", first, last, token);
}

void ShardHolder::SendGrant(const HeldShardKey& key, HeldShard* holding) {
  const Instant now = loop_.Now();
  const Duration authority = context_.AuthorityUntil() - now;
  // The worker's clock may be slow, and it counts from the arrival of the grant.
  const Duration hold =
      std::min(config_.hold, authority - authority / kClockRateDivisor - config_.call_timeout / 4);
  if (hold < kMinHold) return;
  KeyGrant grant;
  grant.first = holding->shard.first;
  grant.last = holding->shard.last;
  grant.token = holding->shard.token;
  grant.hold = hold;
  grant.handover = holding->shard.handover;
  holding->sent_at = now;
  holding->token_use = TokenUse::kByThisProcess;
  holding->held_until =
      std::max(holding->held_until, now + hold + hold / kClockRateDivisor + config_.call_timeout);
  ++grants_sent_;
  holding->call = ++order_count_;
  const std::string lane = GrantLane(key);
  const bool own_answer = holding->refusal_unverified || lane != kSharedGrantLane;
  const http::AnswerMatch match = holding->refusal_unverified ? http::AnswerMatch::OwnConnection()
                                                              : http::AnswerMatch::Lane(lane);
  StartCall(&grants_, wire_.EncodeGrant(grant), http::CallOptions(match, "grant"),
            config_.call_timeout,
            [this, key, now, hold, call = holding->call,
             own_answer](const std::optional<http::Response>& response) {
              OnGrantAnswer(key, call, now, hold, own_answer, response);
            });
}

void ShardHolder::OnGrantAnswer(const HeldShardKey& key, uint64_t call, Instant sent, Duration hold,
                                bool own_answer, const std::optional<http::Response>& response) {
  const auto found = holdings_.find(key);
  if (found == holdings_.end() || found->second.call != call) return;
  HeldShard& holding = found->second;
  holding.call = 0;
  const bool refused = response.has_value() && response->status == kConflict;
  holding.refusal_unverified = refused && !own_answer;
  if (response.has_value() && response->status == kOk) {
    holding.usable_until = std::max(holding.usable_until, sent + hold - hold / kClockRateDivisor);
  } else if (holding.refusal_unverified) {
    // Possibly the response to another shard's grant: repeat this one on a connection of its own.
    holding.sent_at = Instant{};
  } else if (refused) {
    log_.Write(LogLevel::kWarning, "grant_refused",
               {{"first", holding.shard.first},
                {"last", holding.shard.last},
                {"token", holding.shard.token},
                {"worker", holding.worker_id}});
    // An earlier run of this node released the keys but ended before it handed them over.
    holding.usable_until = Instant{};
    holding.superseded = true;
  } else {
    // Retry soon: the worker may not have received the grant.
    holding.sent_at = Instant{};
    holding.retry_at = loop_.Now() + config_.order_retry;
    SuspectEnd("grant-unanswered");
  }
  Reconcile();
}

void ShardHolder::ReleaseMoving() {
  for (auto& [key, holding] : holdings_) {
    if (!MustMove(holding.shard) || holding.released || holding.call != 0) continue;
    if (holding.worker_id != worker_id_ || loop_.Now() < holding.retry_at) continue;
    if (releases_.size() >= config_.max_concurrent_releases) return;
    SendRelease(key, &holding);
  }
}

void ShardHolder::SendRelease(const HeldShardKey& key, HeldShard* holding) {
  holding->releasing = true;
  holding->usable_until = Instant{};
  if (holding->release_sent_at == Instant{}) holding->release_sent_at = loop_.Now();
  KeyRelease release;
  release.first = holding->shard.first;
  release.last = holding->shard.last;
  // Above the tokens of this shard's grants, so that a grant without a response is refused if it is
  // processed late; not above the token that the next owner gets.
  release.token = shards_.map().last_token() + 1;
  holding->call = ++order_count_;
  StartCall(
      &releases_, wire_.EncodeRelease(release),
      http::CallOptions(http::AnswerMatch::MarkedAnswer(wire_.headers().handover, GrantLane(key)),
                        "release"),
      config_.release_timeout,
      [this, key, call = holding->call](const std::optional<http::Response>& response) {
        OnReleaseAnswer(key, call, response);
      });
}

void ShardHolder::OnReleaseAnswer(const HeldShardKey& key, uint64_t call,
                                  const std::optional<http::Response>& response) {
  const auto found = holdings_.find(key);
  if (found == holdings_.end() || found->second.call != call) return;
  HeldShard& holding = found->second;
  holding.call = 0;
  LogSlowRelease(holding, response);
  if (response.has_value() && response->status == kOk) {
    holding.released = true;
    holding.handover = wire_.DecodeHandover(response->headers);
  } else if (GrantsExpired(holding, loop_.Now())) {
    // The worker cannot be reached, and all its grants have expired.
    holding.released = true;
  } else {
    holding.retry_at = loop_.Now() + config_.order_retry;
  }
  Reconcile();
}

void ShardHolder::LogSlowRelease(const HeldShard& holding,
                                 const std::optional<http::Response>& response) {
  const Duration waited = loop_.Now() - holding.release_sent_at;
  const bool released = response.has_value() && response->status == kOk;
  if (released && waited < kSlowRelease) return;
  log_.Write(LogLevel::kInfo, "release_slow",
             {{"first", holding.shard.first},
              {"last", holding.shard.last},
              {"token", holding.shard.token},
              {"worker", holding.worker_id},
              {"waited_ms", ToMilliseconds(waited)},
              {"status", response.has_value() ? response->status : 0}});
}

void ShardHolder::StartCall(http::CallSet* calls, const http::Request& request,
                            http::CallOptions options, Duration timeout,
                            http::CallSet::Callback callback) {
  http::RequestHead head = request.head;
  head.headers.Set("Host", config_.worker.ToString());
  options.connect_timeout = config_.call_timeout;
  calls->Start(config_.worker, http::SerializeRequest(head, request.body), options, timeout,
               std::move(callback));
}

}  // namespace runshelf::sidecar
