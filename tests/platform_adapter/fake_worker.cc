#include "tests/platform_adapter/fake_worker.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace runshelf::platform_adapter {
namespace {

using nlohmann::json;

// Timeout of a heartbeat; a later response is ignored.
constexpr Duration kAnswerWindow = std::chrono::seconds(1);
// Interval at which the worker checks whether the requests on keys being released have finished.
constexpr Duration kReleasePollInterval = std::chrono::milliseconds(5);

bool Overlaps(const FakeWorker::Grant& grant, uint32_t first, uint32_t last) {
  return grant.first <= last && first <= grant.last;
}

// Returns the subranges of a grant that no grant in `kept` covers.
std::vector<FakeWorker::Grant> Without(const FakeWorker::Grant& grant,
                                       const std::vector<FakeWorker::Grant>& kept) {
  std::vector<FakeWorker::Grant> parts{grant};
  for (const FakeWorker::Grant& cover : kept) {
    std::vector<FakeWorker::Grant> rest;
    for (FakeWorker::Grant part : parts) {
      if (!Overlaps(cover, part.first, part.last)) {
        rest.push_back(part);
        continue;
      }
      const uint32_t last = part.last;
      if (part.first < cover.first) {
        part.last = cover.first - 1;
        rest.push_back(part);
      }
      if (cover.last < last) {
        part.first = cover.last + 1;
        part.last = last;
        rest.push_back(part);
      }
    }
    parts = std::move(rest);
  }
  return parts;
}

}  // namespace

http::Headers RunHeaders(const http::ExchangePtr& exchange, const std::string& stamp) {
  http::Headers headers;
  if (const std::string* id = exchange->request().head.headers.Find("Attempt-Id")) {
    headers.Add("Attempt-Id", *id);
  }
  headers.Add("Server-Stamp", stamp);
  return headers;
}

void AnswerRun(const http::ExchangePtr& exchange, int status, const std::string& body,
               const std::string& stamp) {
  exchange->Respond(status, RunHeaders(exchange, stamp), body);
}

FakeWorker::FakeWorker(event::EventLoop& loop, std::string id, std::string service)
    : loop_(loop),
      id_(std::move(id)),
      stated_id_(id_),
      handover_("from-" + id_),
      service_(std::move(service)),
      server_(loop, [this](const http::ExchangePtr& exchange) { Handle(exchange); }),
      pool_(loop),
      heartbeat_timer_(loop, [this] { SendHeartbeat(); }),
      release_timer_(loop, [this] { FinishReleases(); }),
      late_heartbeat_(loop, [this] { send_late_(); }) {}

int FakeWorker::Listen(uint16_t port) { return server_.Listen({"127.0.0.1", port}); }

void FakeWorker::StartHeartbeats(const event::Endpoint& node, Duration interval) {
  node_ = node;
  interval_ = interval;
  SendHeartbeat();
}

void FakeWorker::SendHeartbeat() {
  heartbeat_timer_.Start(interval_);
  if (heartbeats_cut_) return;
  if (draining_ && leaves_without_draining_) return Deregister();
  const HeartbeatFault fault =
      next_heartbeat_fault_ ? next_heartbeat_fault_() : HeartbeatFault::kNone;
  const std::string body = HeartbeatBody();
  const Instant made = loop_.Now();
  if (fault == HeartbeatFault::kNotSent) return;
  if (fault != HeartbeatFault::kSentLate) return CallNode(body, made, fault);
  // At most one heartbeat is in flight: the next one waits for the response to this one.
  heartbeat_timer_.Start(kAnswerWindow);
  send_late_ = [this, body, made, fault] { CallNode(body, made, fault); };
  late_heartbeat_.Start(kAnswerWindow * 9 / 10);
}

// Retried at each heartbeat interval until acknowledged.
void FakeWorker::Deregister() {
  if (leaving_acknowledged_at_.has_value()) return;
  http::RequestHead head;
  head.method = "POST";
  head.target = "/runshelf/rpc?call=instances.deregister&of=" + id_;
  head.headers.Add("Host", node_.ToString());
  const std::string body = born_ == 0 ? std::string() : json{{"born", born_}}.dump();
  heartbeat_ = std::make_unique<http::SimpleCall>(
      loop_, pool_, node_, http::SerializeRequest(head, body),
      http::CallOptions(http::AnswerMatch::InOrder(), "heartbeat"), kAnswerWindow,
      [this](const std::optional<http::Response>& response, http::ClientFailure) {
        const bool acknowledged = response.has_value() && response->status == 200;
        if (acknowledged && !leaving_acknowledged_at_) leaving_acknowledged_at_ = loop_.Now();
      });
}

Duration FakeWorker::ColdRemaining() const {
  return std::max(Duration(0), cold_until_ - loop_.Now());
}

std::string FakeWorker::HeartbeatBody() {
  json body{{"service", service_},
            {"address", endpoint().ToString()},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", slots_},
            {"state", draining_ ? "draining" : "ready"},
            {"cold_remaining_ms", heartbeats_report_warm_ ? 0 : ToMilliseconds(ColdRemaining())},
            {"call_sequence", ++sequence_}};
  if (born_ != 0) body["born"] = born_;
  if (!keys_in_heartbeats_) return body.dump();
  std::erase_if(grants_, [this](const Grant& grant) { return loop_.Now() >= grant.until; });
  body["holds"] = json::array();
  body["released"] = json::array();
  for (const std::vector<Grant>* held : {&grants_, &ending_}) {
    for (const Grant& grant : *held) {
      body["holds"].push_back({grant.first, grant.last, grant.fence});
    }
  }
  for (const Grant& grant : released_) {
    body["released"].push_back({grant.first, grant.last, "from-" + id_});
  }
  return body.dump();
}

// Sends a heartbeat that was created at `made`; a response after kAnswerWindow is ignored.
void FakeWorker::CallNode(const std::string& body, Instant made, HeartbeatFault fault) {
  http::RequestHead head;
  head.method = "POST";
  head.target = "/runshelf/rpc?call=instances.heartbeat&of=" + id_;
  head.headers.Add("Host", node_.ToString());
  if (fault == HeartbeatFault::kHeldBack) {
    if (on_held_back_) on_held_back_(node_, http::SerializeRequest(head, body));
    return;
  }
  heartbeat_ = std::make_unique<http::SimpleCall>(
      loop_, pool_, node_, http::SerializeRequest(head, body),
      http::CallOptions(http::AnswerMatch::InOrder(), "heartbeat"),
      std::max(Duration(1000), made + kAnswerWindow - loop_.Now()),
      [this, leaving = draining_, made, released = released_.size(), fault, body](
          const std::optional<http::Response>& response, http::ClientFailure) {
        if (!response.has_value() || fault == HeartbeatFault::kAnswerLost) return;
        heartbeat_status_ = response->status;
        if (response->status != 200) return;
        if (leaving && !leaving_acknowledged_at_) leaving_acknowledged_at_ = loop_.Now();
        released_.erase(released_.begin(), released_.begin() + static_cast<long>(released));
        if (keys_in_heartbeats_) OnHeartbeatResponse(response->body, made);
        if (fault != HeartbeatFault::kSentTwice) return;
        // The response to the duplicate is ignored.
        send_late_ = [this, body, made] { CallNode(body, made, HeartbeatFault::kAnswerLost); };
        late_heartbeat_.Start(Duration(1000));
      });
}

// Handles the response to a heartbeat sent at `sent`, which lists all keys the worker is to hold.
void FakeWorker::OnHeartbeatResponse(const std::string& body, Instant sent) {
  const json answer = json::parse(body);
  if (!answer.contains("holds") || body.size() > 4096) return;
  const std::vector<Grant> before = std::move(grants_);
  grants_.clear();
  for (const json& row : answer["holds"]) {
    Grant grant{row[0], row[1], row[2], {}, row[3]};
    grant.until = sent + std::chrono::milliseconds(answer["hold_ms"].get<int64_t>());
    // Keeps the known handover when the response omits it.
    for (const Grant& old : before) {
      if (grant.handover.empty() && old.fence == grant.fence &&
          Overlaps(old, grant.first, grant.last))
        grant.handover = old.handover;
    }
    if (AcceptGrant(grant)) grants_.push_back(grant);
  }
  for (const Grant& old : before) {
    for (const Grant& left_out : Without(old, grants_)) ending_.push_back(left_out);
  }
  FinishReleases();
}

void FakeWorker::FinishReleases() {
  const size_t released_before = released_.size();
  std::erase_if(ending_, [this](const Grant& grant) {
    if (Busy(grant.first, grant.last)) return false;
    released_.push_back(grant);
    return true;
  });
  AnswerReleases();
  // Reports the released keys to the node within a tenth of a second.
  if (released_.size() > released_before) {
    heartbeat_timer_.Start(std::min<Duration>(interval_, std::chrono::milliseconds(50)));
  }
  if (!ending_.empty() || !open_releases_.empty()) release_timer_.Start(kReleasePollInterval);
}

// Reentrant: sending a response may synchronously deliver the next grant or release on the same
// connection, whose handling calls this function again.
void FakeWorker::AnswerReleases() {
  const auto over = std::stable_partition(
      open_releases_.begin(), open_releases_.end(),
      [this](const OpenRelease& release) { return Busy(release.first, release.last); });
  const std::vector<OpenRelease> answered(std::make_move_iterator(over),
                                          std::make_move_iterator(open_releases_.end()));
  open_releases_.erase(over, open_releases_.end());
  for (const OpenRelease& release : answered) {
    http::Headers headers;
    headers.Add("Handover", handover_);
    if (on_released_) on_released_(release.first, release.last);
    release.exchange->Respond(200, headers, "");
  }
}

// Returns false when a higher fencing token has been seen for one of the keys.
bool FakeWorker::AcceptGrant(const Grant& grant) {
  for (const Grant& seen : fences_seen_) {
    if (Overlaps(seen, grant.first, grant.last) && seen.fence > grant.fence) {
      ++refused_orders_;
      return false;
    }
  }
  fences_seen_.push_back(grant);
  if (on_granted_) on_granted_(grant, /*late=*/false);
  return true;
}

const FakeWorker::Grant* FakeWorker::Holds(uint32_t key) const {
  for (const Grant& grant : grants_) {
    if (Overlaps(grant, key, key) && loop_.Now() < grant.until) return &grant;
  }
  return nullptr;
}

void FakeWorker::Handle(const http::ExchangePtr& exchange) {
  const std::string& target = exchange->request().head.target;
  if (target == "/runshelf/grant" || target == "/runshelf/release") return HandleOrder(exchange);
  if (target == "/health" && health_silent_) {
    unanswered_.push_back(exchange);
    return;
  }
  if (target == "/health") {
    return DoLater(health_delay_ ? health_delay_() : Duration(0), [this, exchange] {
      http::Headers headers;
      headers.Add("Instance-Id", stated_id_);
      if (ColdRemaining() > Duration(0)) {
        headers.Add("Cold-Start-Ms", std::to_string(ToMilliseconds(ColdRemaining())));
      }
      if (!health_limit_.empty()) headers.Add("Server-Limit", health_limit_);
      exchange->Respond(draining_ ? 503 : 200, headers, "");
    });
  }
  HandleRequest(exchange);
}

void FakeWorker::DoLater(Duration delay, std::function<void()> action) {
  if (delay <= Duration(0)) return action();
  std::erase_if(later_, [](const auto& timer) { return !timer->active(); });
  later_.push_back(std::make_unique<event::Timer>(loop_, std::move(action)));
  later_.back()->Start(delay);
}

void FakeWorker::HandleOrder(const http::ExchangePtr& exchange) {
  const OrderFault fault = next_order_fault_ ? next_order_fault_() : OrderFault{};
  if (fault.cut) {
    exchange->Abort();
    return;
  }
  const bool late = fault.lateness > Duration(0);
  DoLater(fault.lateness, [this, exchange, answered = fault.answered, late] {
    ProcessOrder(exchange, answered, late);
  });
}

void FakeWorker::ProcessOrder(const http::ExchangePtr& exchange, bool answered, bool late) {
  const json body = json::parse(exchange->request().body);
  if (exchange->request().head.target == "/runshelf/grant") {
    const int status = HandleGrant(body, late);
    if (answered) exchange->Respond(status, {}, "");
    return;
  }
  HandleRelease(body);
  if (!answered) return;
  open_releases_.push_back({exchange, body["from_revision"], body["target_version"]});
  FinishReleases();
}

int FakeWorker::HandleGrant(const json& body, bool late) {
  Grant grant;
  grant.first = body["from_revision"];
  grant.last = body["target_version"];
  grant.fence = body["fence"];
  grant.handover = body.value("handover", "");
  grant.until = loop_.Now() + std::chrono::milliseconds(body["hold_ms"].get<int64_t>());
  for (const Grant& seen : fences_seen_) {
    if (Overlaps(seen, grant.first, grant.last) && seen.fence > grant.fence) {
      ++refused_orders_;
      return 409;
    }
  }
  fences_seen_.push_back(grant);
  std::erase_if(grants_, [&](const Grant& other) {
    return other.first >= grant.first && other.last <= grant.last;
  });
  grants_.push_back(grant);
  if (on_granted_) on_granted_(grant, late);
  return 200;
}

void FakeWorker::HandleRelease(const json& body) {
  const uint32_t first = body["from_revision"];
  const uint32_t last = body["target_version"];
  Grant seen;
  seen.first = first;
  seen.last = last;
  seen.fence = body["fence"];
  fences_seen_.push_back(seen);
  std::vector<Grant> kept;
  for (const Grant& grant : grants_) {
    if (!Overlaps(grant, first, last)) {
      kept.push_back(grant);
      continue;
    }
    if (grant.first < first) kept.push_back({grant.first, first - 1, grant.fence, grant.until, ""});
    if (grant.last > last) kept.push_back({last + 1, grant.last, grant.fence, grant.until, ""});
  }
  grants_ = std::move(kept);
}

void FakeWorker::HandleRequest(const http::ExchangePtr& exchange) {
  const http::Headers& received = exchange->request().head.headers;
  http::Headers headers;
  if (const std::string* id = received.Find("Attempt-Id")) headers.Add("Attempt-Id", *id);
  const std::string* expected = received.Find("Expect-Instance");
  if (expected != nullptr && *expected != stated_id_) {
    headers.Add("Instance-Id", stated_id_);
    return exchange->Respond(421, headers, "");
  }
  if (const std::string* key = received.Find("Shard-Key"); sharded_ && key != nullptr) {
    if (Holds(static_cast<uint32_t>(std::stoul(*key))) == nullptr) {
      headers.Add("Not-Executed", "1");
      return exchange->Respond(421, headers, "");
    }
  }
  if (keeps_executed_) executed_.push_back(exchange->request());
  if (behaviour_) return behaviour_(exchange);
  headers.Add("Server-Stamp", "stamp-of-" + id_);
  exchange->Respond(200, headers, id_ + ":" + exchange->request().body);
}

}  // namespace runshelf::platform_adapter
