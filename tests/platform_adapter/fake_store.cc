#include "tests/platform_adapter/fake_store.h"

#include <Poco/URI.h>
#include <absl/strings/escaping.h>

#include <algorithm>
#include <utility>

namespace runshelf::platform_adapter {
namespace {

constexpr size_t kMaxTransactionEntries = 32;

using nlohmann::json;

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const auto& [key, value] : Poco::URI(target).getQueryParameters()) {
    if (key == name) return value;
  }
  return "";
}

bool IsOperatorsKey(const std::string& key) { return key.starts_with("op/"); }

int64_t NumberAfter(const std::string& path, const std::string& prefix) {
  return std::stoll(path.substr(prefix.size()));
}

}  // namespace

struct FakeStore::Copy {
  std::map<std::string, Entry> entries;
  std::map<int64_t, int64_t> leases;  // TTL in milliseconds by lease id.
  int64_t revision = 0;
  int64_t next_lease = 0;
};

FakeStore::FakeStore(event::EventLoop& loop)
    : loop_(loop),
      server_(loop, [this](const http::ExchangePtr& exchange) { Handle(exchange, Fault::kNone); }) {
  server_.Listen({"127.0.0.1", 0});
}

size_t FakeStore::AddEntrance() {
  const size_t number = entrances_.size();
  Entrance entrance;
  entrance.server =
      std::make_unique<http::Server>(loop_, [this, number](const http::ExchangePtr& exchange) {
        Handle(exchange, entrances_[number].fault);
      });
  entrance.server->Listen({"127.0.0.1", 0});
  entrances_.push_back(std::move(entrance));
  return number;
}

event::Endpoint FakeStore::entrance(size_t number) const {
  return {"127.0.0.1", entrances_[number].server->bound_port()};
}

void FakeStore::SetLeasesWait(bool wait) {
  if (wait == leases_wait_) return;
  leases_wait_ = wait;
  for (auto& [id, lease] : leases_) {
    if (wait) {
      lease.left = lease.ends - loop_.Now();
      lease.timer->Stop();
    } else {
      RestartLease(&lease, lease.left);
    }
  }
}

void FakeStore::RestartLease(Lease* lease, Duration time) {
  lease->left = time;
  lease->ends = loop_.Now() + time;
  if (!leases_wait_) lease->timer->Start(std::max(time, Duration(0)));
}

void FakeStore::DoLater(Duration delay, std::function<void()> action) {
  std::erase_if(later_, [](const auto& timer) { return !timer->active(); });
  later_.push_back(std::make_unique<event::Timer>(loop_, std::move(action)));
  later_.back()->Start(delay);
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  Write(key, absl::Base64Escape(value), 0);
  AnswerWatches();
}

void FakeStore::Remove(const std::string& key) {
  Erase(key);
  AnswerWatches();
}

const std::string* FakeStore::Find(const std::string& key) const {
  static std::string decoded;
  const auto found = entries_.find(key);
  if (found == entries_.end()) return nullptr;
  absl::Base64Unescape(found->second.value, &decoded);
  return &decoded;
}

uint64_t FakeStore::calls(const std::string& path) const {
  const auto found = calls_.find(path);
  return found == calls_.end() ? 0 : found->second;
}

void FakeStore::CompactAndCutWatches() {
  compacted_ = revision_;
  history_.clear();
  for (const auto& watch : std::exchange(watches_, {})) watch->exchange->Abort();
}

void FakeStore::CarryOutHeld() {
  for (const auto& exchange : std::exchange(held_, {})) {
    DoTransaction(json::parse(exchange->request().body));
    unanswered_.push_back(exchange);
  }
}

void FakeStore::LosePendingWatches() {
  for (const auto& watch : std::exchange(watches_, {})) unanswered_.push_back(watch->exchange);
}

void FakeStore::LapseLeases() {
  std::vector<int64_t> ids;
  for (const auto& [id, lease] : leases_) ids.push_back(id);
  for (const int64_t id : ids) EndLease(id);
}

std::shared_ptr<const FakeStore::Copy> FakeStore::TakeCopy() const {
  auto copy = std::make_shared<Copy>();
  copy->entries = entries_;
  for (const auto& [id, lease] : leases_) copy->leases[id] = lease.time_to_live_ms;
  copy->revision = revision_;
  copy->next_lease = next_lease_;
  return copy;
}

void FakeStore::Restore(const Copy& copy) {
  for (const auto& watch : std::exchange(watches_, {})) watch->exchange->Abort();
  ++era_;
  const std::map<std::string, Entry> lost = std::exchange(entries_, copy.entries);
  revision_ = copy.revision;
  compacted_ = copy.revision;
  history_.clear();
  leases_.clear();
  next_lease_ = copy.next_lease;
  for (const auto& [id, time_to_live_ms] : copy.leases) AddLease(id, time_to_live_ms);
  for (const auto& [key, entry] : lost) {
    if (!IsOperatorsKey(key)) continue;
    const auto copied = entries_.find(key);
    if (copied == entries_.end() || copied->second.value != entry.value) Write(key, entry.value, 0);
  }
}

void FakeStore::Reply(const http::ExchangePtr& exchange, int status, const json& body) {
  http::Headers headers;
  headers.Add("Content-Type", "application/json");
  headers.Add("Store-Era", std::to_string(era_));
  const Duration latency = latency_ ? latency_() : Duration(0);
  if (latency <= Duration(0)) return exchange->Respond(status, headers, body.dump());
  DoLater(latency, [exchange, status, headers, text = body.dump()] {
    exchange->Respond(status, headers, text);
  });
}

json FakeStore::ItemOf(const std::string& key, const Entry& entry) const {
  return {{"private_key", key},
          {"value", entry.value},
          {"revision", entry.revision},
          {"made", entry.made},
          {"lease", entry.lease}};
}

void FakeStore::Write(const std::string& key, const std::string& encoded, int64_t lease) {
  ++revision_;
  Entry& entry = entries_[key];
  if (entry.made == 0) entry.made = revision_;
  entry.value = encoded;
  if (std::string decoded; value_filter_ && absl::Base64Unescape(encoded, &decoded)) {
    entry.value = absl::Base64Escape(value_filter_(key, decoded));
  }
  entry.revision = revision_;
  entry.lease = lease;
  Record(key, ItemOf(key, entry));
}

void FakeStore::Erase(const std::string& key) {
  if (entries_.erase(key) == 0) return;
  ++revision_;
  Record(key, {{"private_key", key}, {"revision", revision_}, {"gone", true}});
}

void FakeStore::Record(const std::string& key, json event) {
  history_.push_back({key, revision_, std::move(event)});
}

void FakeStore::EndLease(int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == id) keys.push_back(key);
  }
  for (const std::string& key : keys) Erase(key);
  AnswerWatches();
}

void FakeStore::Handle(const http::ExchangePtr& exchange, Fault entrance_fault) {
  const std::string path = Poco::URI(exchange->request().head.target).getPath();
  ++calls_[path.starts_with("/runshelf/kv-keep/") ? "/runshelf/kv-keep" : path];
  const bool hit = !fault_filter_ || fault_filter_(exchange->request());
  const Fault fault = hit && fault_ != Fault::kNone ? fault_ : entrance_fault;
  switch (fault) {
    case Fault::kRefuse:
      return Reply(exchange, 503, json::object());
    case Fault::kThrottle:
      return Reply(exchange, 429, json::object());
    case Fault::kReset:
      return exchange->Abort();
    case Fault::kSilent:
      unanswered_.push_back(exchange);
      return;
    case Fault::kHoldWrites:
      if (path == "/runshelf/kv-txn") {
        held_.push_back(exchange);
        return;
      }
      return Perform(exchange, path, Fault::kNone);
    case Fault::kNone:
    case Fault::kLoseWrites:
    case Fault::kLateWrites:
      return Perform(exchange, path, fault);
  }
}

void FakeStore::Perform(const http::ExchangePtr& exchange, const std::string& path, Fault fault) {
  if (path == "/runshelf/kv-range") return HandleRange(exchange);
  if (path == "/runshelf/kv-watch") return HandleWatch(exchange);
  if (path == "/runshelf/kv-txn") return HandleTransaction(exchange, fault);
  if (path == "/runshelf/kv-lease") return HandleLease(exchange, fault == Fault::kNone);
  if (path.starts_with("/runshelf/kv-keep/")) {
    return HandleKeep(exchange, NumberAfter(path, "/runshelf/kv-keep/"));
  }
  if (path.starts_with("/runshelf/kv-lease-end/")) {
    EndLease(NumberAfter(path, "/runshelf/kv-lease-end/"));
    return Reply(exchange, 200, json::object());
  }
  Reply(exchange, 404, json::object());
}

void FakeStore::HandleRange(const http::ExchangePtr& exchange) {
  const std::string& target = exchange->request().head.target;
  const std::string prefix = QueryValue(target, "path_prefix");
  const std::string after = QueryValue(target, "after");
  constexpr size_t kPage = 3;  // Small, so that tests cover paginated range reads.
  json items = json::array();
  bool more = false;
  for (const auto& [key, entry] : entries_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    if (items.size() == kPage) {
      more = true;
      break;
    }
    items.push_back(ItemOf(key, entry));
  }
  Reply(exchange, 200, {{"items", items}, {"more", more}, {"at", revision_}});
}

void FakeStore::HandleWatch(const http::ExchangePtr& exchange) {
  const std::string& target = exchange->request().head.target;
  auto watch = std::make_unique<Watch>();
  watch->exchange = exchange;
  watch->prefix = QueryValue(target, "path_prefix");
  watch->after = std::stoll(QueryValue(target, "after"));
  if (watch->after < compacted_ || watch->after > revision_)
    return Reply(exchange, 410, json::object());
  if (AnswerWatch(watch.get())) return;
  const auto wait = std::chrono::milliseconds(std::stoll(QueryValue(target, "wait_timeout_ms")));
  watch->timer = std::make_unique<event::Timer>(loop_, [this, waiting = watch.get()] {
    Reply(waiting->exchange, 200, {{"events", json::array()}, {"at", revision_}});
    std::erase_if(watches_, [&](const auto& other) { return other.get() == waiting; });
  });
  watch->timer->Start(wait);
  watches_.push_back(std::move(watch));
}

bool FakeStore::AnswerWatch(Watch* watch) {
  if (watches_silent_) return false;
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision > watch->after && change.key.starts_with(watch->prefix)) {
      events.push_back(change.event);
    }
  }
  if (events.empty()) return false;
  Reply(watch->exchange, 200, {{"events", events}, {"at", revision_}});
  return true;
}

void FakeStore::AnswerWatches() {
  std::erase_if(watches_, [this](const auto& watch) {
    return !watch->exchange->open() || AnswerWatch(watch.get());
  });
}

void FakeStore::HandleTransaction(const http::ExchangePtr& exchange, Fault fault) {
  const json body = json::parse(exchange->request().body);
  if (fault == Fault::kLateWrites) {
    unanswered_.push_back(exchange);
    const Duration lateness = lateness_ ? lateness_() : Duration(0);
    if (lateness > Duration(0)) {
      DoLater(lateness, [this, body] { DoTransaction(body); });
    } else {
      DoTransaction(body);
    }
    return;
  }
  const Verdict verdict = DoTransaction(body);
  if (verdict.status == 200 && fault == Fault::kLoseWrites) {
    unanswered_.push_back(exchange);
  } else {
    Reply(exchange, verdict.status, verdict.body);
  }
}

FakeStore::Verdict FakeStore::DoTransaction(const json& body) {
  size_t entries = 0;
  for (const char* name : {"expected_revision", "put", "remove"}) {
    if (body.contains(name)) entries += body[name].size();
  }
  if (entries > kMaxTransactionEntries) return {400, {{"reason", "too many entries"}}};
  bool holds = true;
  json found = json::array();
  for (const json& condition : body["expected_revision"]) {
    const std::string key = condition["private_key"];
    const auto entry = entries_.find(key);
    const int64_t revision = entry == entries_.end() ? 0 : entry->second.revision;
    holds = holds && revision == condition["revision"].get<int64_t>();
    if (entry != entries_.end()) found.push_back(ItemOf(key, entry->second));
  }
  if (!holds) return {412, {{"items", found}}};
  for (const json& put : body["put"]) {
    const int64_t lease = put.value("lease", 0);
    if (lease != 0 && !leases_.contains(lease)) return {404, json::object()};
  }
  for (const json& put : body["put"]) {
    Write(put["private_key"], put["value"], put.value("lease", 0));
  }
  for (const json& key : body["remove"]) Erase(key);
  AnswerWatches();
  return {200, {{"revision", revision_}}};
}

void FakeStore::HandleLease(const http::ExchangePtr& exchange, bool answer) {
  const int64_t id = next_lease_++;
  const int64_t time_to_live_ms = json::parse(exchange->request().body)["ttl_ms"];
  AddLease(id, time_to_live_ms);
  if (answer) Reply(exchange, 200, {{"lease", id}, {"ttl_ms", time_to_live_ms}});
}

void FakeStore::AddLease(int64_t id, int64_t time_to_live_ms) {
  Lease& lease = leases_[id];
  lease.time_to_live_ms = time_to_live_ms;
  lease.timer = std::make_unique<event::Timer>(loop_, [this, id] { EndLease(id); });
  RestartLease(&lease, std::chrono::milliseconds(time_to_live_ms));
}

void FakeStore::HandleKeep(const http::ExchangePtr& exchange, int64_t id) {
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return Reply(exchange, 404, json::object());
  RestartLease(&lease->second, std::chrono::milliseconds(lease->second.time_to_live_ms));
  Reply(exchange, 200, {{"ttl_ms", lease->second.time_to_live_ms}});
}

}  // namespace runshelf::platform_adapter
