#include "tests/platform_adapter/steady_traffic.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

namespace runshelf::platform_adapter {
namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(2);
// A request holds one slot while its nested call needs another. 24 slots hold all requests of 0.3 s
// and their calls; with the default of four, concurrent requests deadlock waiting for slots that
// they hold themselves.
constexpr int kSlots = 24;
constexpr Duration kRunBeforeCall = std::chrono::milliseconds(30);
constexpr Duration kCallTime = std::chrono::milliseconds(10);
constexpr Duration kSendInterval = std::chrono::milliseconds(25);

bool IsCall(const std::string& request_id) { return request_id.find('.') != std::string::npos; }

}  // namespace

std::string RequestId(const http::Request& request) {
  return *request.head.headers.Find("Attempt-Id");
}

CallingWorker::CallingWorker(Fleet& fleet, size_t node)
    : fleet_(fleet), node_(node), step_(fleet.loop, [this] { Step(); }) {
  step_.Start(kStepInterval, /*repeating=*/true);
  fleet.nodes[node].worker->set_slots(kSlots);
  fleet.nodes[node].worker->set_behaviour(
      [this](const http::ExchangePtr& exchange) { Begin(exchange); });
}

void CallingWorker::Begin(const http::ExchangePtr& exchange) {
  const Instant now = fleet_.loop.Now();
  const std::string id = RequestId(exchange->request());
  if (!IsCall(id)) last_begun_ = now;
  runs_.push_back({exchange, id, now, nullptr, false});
}

void CallingWorker::Step() {
  for (Run& run : runs_) Continue(&run);
  runs_.remove_if([](const Run& run) { return run.over; });
}

void CallingWorker::Continue(Run* run) {
  const Duration age = fleet_.loop.Now() - run->began;
  if (IsCall(run->id)) {
    if (age >= kCallTime) End(run, 200);
  } else if (run->call == nullptr) {
    if (age >= kRunBeforeCall) Call(run);
  } else if (run->call->over) {
    if (!run->call->answer.has_value()) ++calls_cut_;
    const bool served = run->call->answer.has_value() && run->call->answer->status == 200;
    End(run, served ? 200 : 500);
  }
}

void CallingWorker::Call(Run* run) {
  ++calls_made_;
  http::Headers headers;
  headers.Add("Attempt-Id", run->id + ".call");
  headers.Add("Deadline-Ms", "600");
  run->call = fleet_.Begin(node_, "GET", "/read/call", "", headers);
}

void CallingWorker::End(Run* run, int status) {
  AnswerRun(run->exchange, status);
  run->over = true;
}

SteadyClients::SteadyClients(Fleet& fleet, size_t node)
    : fleet_(fleet), node_(node), timer_(fleet.loop, [this] { Send(); }) {
  timer_.Start(kSendInterval, /*repeating=*/true);
}

void SteadyClients::SendAtOnce(size_t count) {
  for (size_t sent = 0; sent < count; ++sent) Send();
}

void SteadyClients::Finish() {
  timer_.Stop();
  CHECK(event::RunUntil(fleet_.loop, [this] {
    return std::all_of(requests_.begin(), requests_.end(),
                       [](const Sent& request) { return request.pending->over; });
  }));
}

size_t SteadyClients::Count(int status, Instant from, Instant until) const {
  return static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(), [&](const Sent& request) {
        if (request.at < from || request.at >= until || !request.pending->over) return false;
        const auto& answer = request.pending->answer;
        return (answer.has_value() ? answer->status : 0) == status;
      }));
}

std::string SteadyClients::NotServed() const {
  std::string text;
  for (const Sent& request : requests_) {
    const auto& answer = request.pending->answer;
    const int status = answer.has_value() ? answer->status : 0;
    if (status == 200) continue;
    text += fmt::format("{} ms: {}{} {}\n", ToMilliseconds(request.at - requests_.front().at),
                        status, request.pending->over ? "" : " (not over)",
                        answer.has_value() ? answer->body : "");
  }
  return text;
}

void SteadyClients::Send() {
  requests_.push_back({fleet_.loop.Now(), fleet_.Begin(node_, "POST", "/send/order", "")});
}

}  // namespace runshelf::platform_adapter
