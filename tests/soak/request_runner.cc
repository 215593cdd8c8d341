#include "tests/soak/request_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "source/event/event_loop.h"
#include "tests/soak/download_target.h"

namespace runshelf::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kInternalError = 500;
constexpr int kGatewayTimeout = 504;
constexpr Duration kNoDeadline = std::chrono::seconds(30);
// One in this many requests makes a nested call.
constexpr uint64_t kCallEvery = 2;

std::string HeaderOf(const http::Request& request, const char* name) {
  const std::string* value = request.head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

// Draws a processing time: up to some hundred milliseconds, occasionally more than a second.
// Sharded services get shorter times, so that keys become idle and can be moved.
Duration DrawWorkTime(Random& random, bool sharded) {
  if (random.Below(25) == 0) return random.Between(milliseconds(400), milliseconds(1300));
  return random.Between(milliseconds(3), sharded ? milliseconds(120) : milliseconds(450));
}

bool MakesCalls(const std::string& target) {
  if (IsFatalRequest(target)) return false;
  return !target.starts_with("/inner/") && !target.starts_with("/note/");
}

}  // namespace

// A request that a worker is processing.
struct RequestRunner::Run {
  Run(event::EventLoop& loop, const SoakNode& at, http::ExchangePtr open_exchange,
      std::function<void(Run*)> on_timer)
      : node(&at),
        worker(at.worker->life()),
        exchange(std::move(open_exchange)),
        timer(loop, [this, on_timer = std::move(on_timer)] { on_timer(this); }) {}

  const SoakNode* node;
  std::string worker;
  http::ExchangePtr exchange;
  std::string id;
  std::optional<uint32_t> key;
  Instant deadline{};
  Instant planned_end{};
  bool calls = false;  // Still has to make a nested call.
  std::string call_id;
  std::unique_ptr<CallerConnection> call;
  event::Timer timer;
  bool over = false;
};

RequestRunner::RequestRunner(event::EventLoop& loop, Witness& witness, uint64_t seed)
    : loop_(loop), witness_(witness), random_(seed) {}

RequestRunner::~RequestRunner() = default;

void RequestRunner::Begin(const SoakNode& node, const http::ExchangePtr& exchange,
                          const std::vector<std::string>& others) {
  std::erase_if(runs_, [](const auto& run) { return run->over; });
  const http::Request& request = exchange->request();
  const Instant now = loop_.Now();
  auto owned = std::make_unique<Run>(loop_, node, exchange, [this](Run* due) { Continue(due); });
  Run* run = owned.get();
  run->id = HeaderOf(request, "Attempt-Id");
  const auto deadline = http::ParseNumber(HeaderOf(request, "Deadline-Ms"));
  run->deadline = now + (deadline.has_value() ? milliseconds(*deadline) : kNoDeadline);
  const bool fatal = IsFatalRequest(request.head.target);
  run->planned_end = now + (fatal ? kNoDeadline : DrawWorkTime(random_, node.sharded));
  run->calls = MakesCalls(request.head.target) && random_.Below(kCallEvery) == 0;
  witness_.OnWorkBegan(node.index, run->worker,
                       {run->id, request.head.target, request.body,
                        HeaderOf(request, "Caller-Service"), run->worker, node.service});
  if (const auto key = http::ParseNumber(HeaderOf(request, "Shard-Key")); node.sharded && key) {
    run->key = static_cast<uint32_t>(*key);
    const auto* grant = node.worker->Holds(*run->key);
    witness_.ownership().OnRunBegan(now, run->worker, *run->key,
                                    grant == nullptr ? now : grant->until, others);
  }
  exchange->set_on_client_gone([this, run] { End(run, WorkEnd::kCancelled, 0); });
  runs_.push_back(std::move(owned));
  const Duration until_call = (run->planned_end - now) / 2;
  run->timer.Start(run->calls ? until_call : run->planned_end - now);
}

void RequestRunner::Continue(Run* run) {
  if (run->calls) {
    run->calls = false;
    return Call(run);
  }
  const Instant now = loop_.Now();
  if (now >= run->deadline) return Answer(run, kGatewayTimeout);
  const bool lost_its_key = run->key.has_value() && run->node->worker->Holds(*run->key) == nullptr;
  Answer(run, lost_its_key ? kInternalError : kOk);
}

std::unique_ptr<CallerConnection> RequestRunner::TakeConnection(const SoakNode& node) {
  auto& idle = idle_[&node];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->usable()) return connection;
  }
  return std::make_unique<CallerConnection>(loop_, node.outbound);
}

// Makes a nested call. One in four ("note") must not be repeated; the others may be retried.
void RequestRunner::Call(Run* run) {
  const SoakNode& node = *run->node;
  const std::string route = random_.Below(4) == 0 ? "note" : "inner";
  Attempt attempt;
  attempt.request.id = run->id + "." + std::to_string(++calls_);
  attempt.request.target = "/" + route + "/" + std::to_string(calls_);
  attempt.request.repeatable = route == "inner";
  attempt.request.body = attempt.request.repeatable ? "" : "note";
  attempt.request.caller_service = node.service;
  attempt.node = node.index;
  attempt.life = node.process->life();
  attempt.route = route;
  attempt.nested = true;
  attempt.deadline = run->deadline;
  run->call = TakeConnection(node);
  run->call_id = attempt.request.id;
  attempt.kept_connection = run->call->requests() > 0;
  http::RequestHead head;
  head.method = attempt.request.repeatable ? "GET" : "POST";
  head.target = attempt.request.target;
  head.headers.Add("Host", "h.example");
  head.headers.Add("Attempt-Id", attempt.request.id);
  const Duration left = std::max(run->deadline - loop_.Now(), Duration(milliseconds(1)));
  head.headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(left)));
  const std::string bytes = http::SerializeRequest(head, attempt.request.body);
  witness_.OnSent(std::move(attempt));
  // If the node does not respond, the run ends at the deadline.
  run->timer.Start(left);
  run->call->Send(bytes, [this, run](CallerConnection::End end, http::Response&& response) {
    OnCalled(run, end, std::move(response));
  });
}

void RequestRunner::OnCalled(Run* run, CallerConnection::End end, http::Response&& response) {
  witness_.OnEnded(run->call_id, end, response);
  run->call_id.clear();
  const bool served = end == CallerConnection::End::kAnswered && response.status == kOk;
  if (run->call->usable()) idle_[run->node].push_back(std::move(run->call));
  if (!served) {
    return Answer(run, loop_.Now() >= run->deadline ? kGatewayTimeout : kInternalError);
  }
  run->timer.Start(std::max(run->planned_end - loop_.Now(), Duration(milliseconds(1))));
}

void RequestRunner::Answer(Run* run, int status) {
  http::Headers headers;
  headers.Add("Attempt-Id", run->id);
  headers.Add("Server-Stamp", run->worker);
  if (run->node->stated_limit > 0) {
    headers.Add("Server-Limit", fmt::format("{:.1f}", run->node->stated_limit));
  }
  if (run->node->worker->draining()) headers.Add("Server-Leaving", "1");
  const http::ExchangePtr exchange = run->exchange;
  const std::string body =
      status == kOk ? ExpectedAnswerBody(run->worker, run->id, exchange->request().body) +
                          DownloadPadding(exchange->request().head.target)
                    : "";
  End(run, WorkEnd::kAnswered, status);
  exchange->Respond(status, headers, body);
}

void RequestRunner::End(Run* run, WorkEnd end, int status) {
  if (run->over) return;
  run->over = true;
  run->timer.Stop();
  run->exchange->set_on_client_gone(nullptr);
  if (!run->call_id.empty()) {
    // Closing the connection cancels the nested call.
    witness_.OnLeft(run->call_id);
    run->call_id.clear();
    run->call.reset();
  }
  if (run->key.has_value()) witness_.ownership().OnRunEnded(run->worker, *run->key);
  witness_.OnWorkEnded(run->id, run->worker, end, status, run->planned_end);
}

void RequestRunner::OnWorkerEnded(const SoakNode& node) {
  for (const auto& run : runs_) {
    if (run->node == &node && !run->over) End(run.get(), WorkEnd::kBrokenOff, 0);
  }
  idle_.erase(&node);
  witness_.ownership().OnWorkerEnded(node.worker->life());
}

bool RequestRunner::Busy(const SoakNode& node, uint32_t first, uint32_t last) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& run) {
    return run->node == &node && !run->over && run->key.has_value() && first <= *run->key &&
           *run->key <= last;
  });
}

}  // namespace runshelf::soak
