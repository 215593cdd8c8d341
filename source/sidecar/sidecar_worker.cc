// The part of Sidecar that reacts to changes of the local worker, and reports its end to the other
// nodes.

#include <algorithm>
#include <utility>

#include "source/sidecar/peer_protocol.h"
#include "source/sidecar/sidecar.h"

namespace runshelf::sidecar {
namespace {

// Number of nodes asked to write a received worker end to the store. If nodes restart while the
// store is unreachable, at least one of the writers must survive; each writer may cost one or two
// calls when the store is reachable again.
constexpr size_t kWorkerEndWriters = 8;
// A node that does not accept the message within this time learns of the worker's end from the
// store, once that is reachable again.
constexpr Duration kWorkerEndCallTimeout = std::chrono::seconds(1);

}  // namespace

void Sidecar::OnWorkerChanged(bool former_gone) {
  const WorkerState state = monitor_.state();
  const std::string worker = monitor_.worker_id();
  gate_.SetWorker(worker, settings_.worker_service, monitor_.slots());
  gate_.SetDraining(state == WorkerState::kDraining,
                    monitor_.draining_since() + settings_.bounds.DrainSendTime());
  holder_.SetWorker(worker, former_gone);
  holder_.SetLeaving(ShouldReleaseKeys());
  Announce();
}

void Sidecar::OnFormerRecord(const store::Item& item) {
  const auto record = NodeRecord::Parse(item.value);
  if (!record.has_value() || record->node != settings_.node_name) return;
  if (record->service != settings_.worker_service || record->worker_id.empty()) return;
  monitor_.OnRecordedWorker(record->worker_id);
}

// These log lines are sufficient to find a request that crashes workers: it is being executed
// whenever one ends.
void Sidecar::OnWorkerEnded(const std::string& worker_id) {
  const auto at_work = gate_.TakeInFlight(worker_id);
  if (at_work.empty()) return;
  log_.Write(LogLevel::kWarning, "worker_ended_at_work",
             {{"worker", worker_id}, {"requests", at_work.size()}});
  for (const InterruptedRequest& request : at_work) {
    log_.Write(LogLevel::kWarning, "request_at_work_in_ended_worker",
               {{"request", request.request_id},
                {"fingerprint", request.fingerprint.ToString()},
                {"asks", request.description},
                {"ran_ms", ToMilliseconds(request.interrupted_at - request.sent_at)},
                {"worker", worker_id}});
  }
  quarantine_.OnWorkerEnded(worker_id, at_work);
}

// Only responses to requests tell that a worker states no limit any more.
void Sidecar::OnHealthAnswer(Instant sent_at, const http::Headers& headers) {
  if (headers.Has(wire_.headers().worker_limit)) gate_.OnWorkerLimit(sent_at, headers);
}

void Sidecar::BroadcastWorkerEnd(const std::string& worker_end) {
  std::vector<event::Endpoint> others;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node != settings_.node_name) others.push_back(peer.record.inbound);
  }
  const size_t writers = std::min(others.size(), kWorkerEndWriters);
  for (size_t index = 0; index < others.size(); ++index) {
    // The writers are chosen at random from all other nodes.
    if (index < writers) {
      std::swap(others[index], others[index + random_.Below(others.size() - index)]);
    }
    http::RequestHead head;
    head.method = "POST";
    head.target = "/worker-end";
    peer_protocol::MarkWorkerEnd(/*write=*/index < writers, &head.headers);
    worker_end_calls_.Start(others[index], http::SerializeRequest(head, worker_end),
                            http::CallOptions(http::AnswerMatch::InOrder(), "worker_end"),
                            kWorkerEndCallTimeout, [](const std::optional<http::Response>&) {});
  }
}

}  // namespace runshelf::sidecar
