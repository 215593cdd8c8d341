#include "source/sidecar/stop_sequence.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(50);
// Interval between log lines about what the stop is waiting for.
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

StopSequence::StopSequence(const StopContext& context, Observer observer)
    : context_(context),
      observer_(std::move(observer)),
      poll_timer_(context.loop, [this] { Continue(); }),
      end_timer_(context.loop, [this] { on_stopped_(); }) {}

void StopSequence::Begin(std::function<void()> on_stopped) {
  on_stopped_ = std::move(on_stopped);
  const Instant now = context_.loop.Now();
  context_.schedule.Begin(now);
  logged_at_ = now;
  const RequestCounts running = UnderWay();
  context_.log.Write(LogLevel::kInfo, "stopping",
                     {{"clients", running.clients},
                      {"nested", running.nested},
                      {"forwarded", running.forwarded},
                      {"holds_keys", !context_.holder.OwnsNoShards()},
                      {"store_reachable", context_.store.reachable()}});
  Continue();
}

RequestCounts StopSequence::UnderWay() const {
  return context_.ingress.UnderWay() + context_.inbound_handler.UnderWay();
}

bool StopSequence::Idle() const {
  return UnderWay().total() == 0 && context_.unsent_answers().bytes == 0 &&
         context_.holder.OwnsNoShards();
}

void StopSequence::Continue() {
  const Instant now = context_.loop.Now();
  observer_.on_progress();
  const bool done = Idle() && !context_.schedule.TakesNewRequests(now);
  if (done || context_.schedule.OutOfTime(now)) {
    End();
    return;
  }
  LogWaiting(now);
  poll_timer_.Start(kPollInterval);
}

void StopSequence::LogWaiting(Instant now) {
  if (now - logged_at_ < kLogInterval) return;
  logged_at_ = now;
  const RequestCounts running = UnderWay();
  context_.log.Write(LogLevel::kInfo, "stop_waiting",
                     {{"elapsed_ms", ToMilliseconds(context_.schedule.Elapsed(now))},
                      {"takes_requests", context_.schedule.TakesNewRequests(now)},
                      {"clients", running.clients},
                      {"nested", running.nested},
                      {"forwarded", running.forwarded},
                      {"unsent_bytes", context_.unsent_answers().bytes},
                      {"holds_keys", !context_.holder.OwnsNoShards()},
                      {"store_reachable", context_.store.reachable()}});
}

void StopSequence::End() {
  const Instant now = context_.loop.Now();
  context_.schedule.Close();
  // Requests that no worker has received are refused, so that the sender can retry elsewhere.
  context_.gate.Close();
  context_.ingress.RefuseWaiting();
  observer_.on_ending();
  const RequestCounts cut = UnderWay();
  const http::UnsentAnswers unsent = context_.unsent_answers();
  context_.ingress.LogUnfinished();
  context_.inbound_handler.LogUnfinished();
  context_.log.Write(LogLevel::kInfo, "stopped",
                     {{"elapsed_ms", ToMilliseconds(context_.schedule.Elapsed(now))},
                      {"requests_cut", cut.total()},
                      {"clients_cut", cut.clients},
                      {"nested_cut", cut.nested},
                      {"forwarded_cut", cut.forwarded},
                      {"unsent_answers", unsent.connections},
                      {"unsent_bytes", unsent.bytes},
                      {"refused", context_.ingress.refused_in_stop()},
                      {"forwarded_refused", context_.inbound_handler.refused_in_stop()},
                      {"holds_keys", !context_.holder.OwnsNoShards()}});
  // Leaves the event loop time to send the last responses and calls.
  end_timer_.Start(kPollInterval);
}

}  // namespace runshelf::sidecar
