#include "tools/sim/egress.h"

#include <charconv>
#include <utility>

namespace runshelf::sim {
namespace {

using routing::AttemptOutcome;

AttemptOutcome OutcomeOf(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kExecuted:
      return AttemptOutcome::kAnswered;
    case ServerOutcome::kNotOwner:
      return AttemptOutcome::kNotOwner;
    case ServerOutcome::kOverloaded:
      return AttemptOutcome::kOverloaded;
    case ServerOutcome::kDeadline:
    case ServerOutcome::kCancelled:
      return AttemptOutcome::kDeadlinePassed;
    case ServerOutcome::kDraining:
      return AttemptOutcome::kLeaving;
    case ServerOutcome::kConnectionRefused:
      return AttemptOutcome::kConnectFailed;
    case ServerOutcome::kConnectionLost:
      return AttemptOutcome::kConnectionLost;
  }
  return AttemptOutcome::kConnectionLost;
}

admission::Completion CompletionOf(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kAnswered) {
    return admission::Completion::kServed;
  }
  if (outcome == AttemptOutcome::kOverloaded) {
    return admission::Completion::kShed;
  }
  return admission::Completion::kFailed;
}

AttemptOutcome OutcomeOf(admission::RefusalReason reason) {
  switch (reason) {
    case admission::RefusalReason::kDeadline:
      return AttemptOutcome::kDeadlinePassed;
    case admission::RefusalReason::kDraining:
      return AttemptOutcome::kLeaving;
    default:
      return AttemptOutcome::kOverloaded;
  }
}

// The answer's body, from which the caller sees to which operation it belongs.
std::string AnswerBody(uint64_t operation) { return std::to_string(operation); }

std::optional<uint64_t> OperationOf(const std::string& body) {
  uint64_t operation = 0;
  const auto [end, error] = std::from_chars(body.data(), body.data() + body.size(), operation);
  return error == std::errc() ? std::optional(operation) : std::nullopt;
}

}  // namespace

Egress::Egress(const EgressParts& parts, bool remembers_repeats)
    : parts_(parts),
      remembers_repeats_(remembers_repeats),
      admission_(admission::AdmissionConfig{}),
      cache_(routing::IdempotencyConfig{}) {}

void Egress::Handle(const ForwardedRequest& request, ForwardAnswerHandler reply) {
  const uint64_t id = request.request_id;
  Pending& pending = pending_[id];
  pending.request = request;
  pending.reply = std::move(reply);
  pending.deadline = Now() + request.time_left;
  if (request.request.service != parts_.server.config().service || !EnterSlot(pending)) {
    End(id, AttemptOutcome::kNotOwner, std::nullopt);
    return;
  }
  const bool leaving = leaving_ || parts_.node->IsLeaving();
  if (leaving && !request.slot) {
    End(id, AttemptOutcome::kLeaving, std::nullopt);
    return;
  }
  if (BeginUnderKey(id)) {
    Admit(id);
  }
}

bool Egress::EnterSlot(Pending& pending) {
  if (!pending.request.slot) {
    return true;
  }
  pending.entered_at = parts_.node;
  pending.token = pending.entered_at->Enter(Now(), *pending.request.slot);
  return pending.token.has_value();
}

bool Egress::BeginUnderKey(uint64_t id) {
  Pending& pending = pending_[id];
  if (!remembers_repeats_ || !pending.request.request.idempotency_key || !pending.request.slot) {
    return true;
  }
  const SlotNumber slot = *pending.request.slot;
  routing::IdempotentRequest request;
  request.key = CacheKey(pending.request);
  request.request_id = std::to_string(id);
  request.slot = slot;
  request.attempt = pending.request.request.Attempt();
  request.fingerprint = pending.request.request.operation;
  request.slot_held_since = parts_.node->HeldSince(Now(), slot).value_or(Now());
  const routing::BeginResult begun = cache_.Begin(Now(), request);
  switch (begun.outcome) {
    case routing::BeginOutcome::kRun:
      pending.runs_under_key = true;
      return true;
    case routing::BeginOutcome::kAttach:
      return false;
    case routing::BeginOutcome::kReplay:
      End(id, AttemptOutcome::kAnswered, OperationOf(begun.answer->body));
      return false;
    case routing::BeginOutcome::kUnknownRepeat:
      End(id, AttemptOutcome::kUnknownRepeat, std::nullopt);
      return false;
    case routing::BeginOutcome::kMismatch:
    case routing::BeginOutcome::kFull:
      End(id, AttemptOutcome::kOverloaded, std::nullopt, begun.retry_after);
      return false;
  }
  return false;
}

void Egress::Admit(uint64_t id) {
  const Pending& pending = pending_[id];
  admission::AdmissionRequest request;
  request.id = id;
  request.caller_class = pending.request.request.caller_class;
  request.weight = WeightOf(pending.request.request);
  request.deadline = pending.deadline;
  Apply(admission_.Offer(Now(), request));
}

void Egress::Apply(const admission::AdmissionChanges& changes) {
  for (const uint64_t id : changes.started) {
    Submit(id);
  }
  for (const admission::Refusal& refusal : changes.refused) {
    End(refusal.id, OutcomeOf(refusal.reason), std::nullopt, refusal.retry_after);
  }
}

void Egress::Submit(uint64_t id) {
  Pending& pending = pending_[id];
  pending.started = true;
  pending.started_at = Now();
  ServerRequest request;
  request.request_id = id;
  request.operation = pending.request.request.operation;
  request.sending = pending.request.request.sending;
  request.slot = pending.request.slot;
  request.token = pending.token;
  request.time_left = pending.deadline - Now();
  const uint64_t run = parts_.process.run();
  parts_.server.Submit(request,
                       [this, id, run, &process = parts_.process](const ServerAnswer& answer) {
                         if (process.run() == run) {
                           process.Post([this, id, answer] { OnServerAnswer(id, answer); });
                         }
                       });
  parts_.process.After(request.time_left, [this, id] { OnServerTimeout(id); });
}

void Egress::OnServerAnswer(uint64_t id, const ServerAnswer& answer) {
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return;
  }
  const AttemptOutcome outcome = OutcomeOf(answer.outcome);
  std::optional<uint64_t> answered;
  if (outcome == AttemptOutcome::kAnswered) {
    answered = answer.operation;
    ++served_;
    if (pending->second.request.slot) {
      ++slot_counts_[*pending->second.request.slot];
    }
  }
  End(id, outcome, answered);
}

void Egress::OnServerTimeout(uint64_t id) {
  if (pending_.contains(id)) {
    parts_.server.Cancel(id);
    End(id, AttemptOutcome::kTimedOut, std::nullopt);
  }
}

void Egress::End(uint64_t id, AttemptOutcome outcome, std::optional<uint64_t> answered,
                 Duration retry_after) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  ForwardAnswer answer;
  answer.result.outcome = outcome;
  answer.result.retry_after = retry_after;
  answer.answered_operation = answered;
  if (pending.runs_under_key) {
    std::shared_ptr<routing::RecordedAnswer> recorded;
    if (answered) {
      recorded = std::make_shared<routing::RecordedAnswer>();
      recorded->body = AnswerBody(*answered);
    }
    const std::string key = CacheKey(pending.request);
    for (const std::string& attached :
         cache_.Complete(Now(), key, routing::VerdictOf(outcome), recorded)) {
      End(std::stoull(attached), outcome, answered, retry_after);
    }
  }
  if (pending.token) {
    pending.entered_at->Leave(Now(), *pending.request.slot);
  }
  answer.result.load = Load();
  pending.reply(answer);
  if (pending.started) {
    Apply(admission_.OnCompleted(Now(), id, CompletionOf(outcome), Now() - pending.started_at));
  }
}

void Egress::Cancel(uint64_t request_id) {
  const auto pending = pending_.find(request_id);
  if (pending == pending_.end()) {
    return;
  }
  if (pending->second.started) {
    parts_.server.Cancel(request_id);
    return;
  }
  admission_.Cancel(request_id);
  if (!pending->second.runs_under_key && pending->second.request.request.idempotency_key) {
    cache_.Detach(CacheKey(pending->second.request), std::to_string(request_id));
  }
  End(request_id, AttemptOutcome::kDeadlinePassed, std::nullopt);
}

void Egress::Tick() {
  if (admission_.queued() > 0) {
    Apply(admission_.Tick(Now()));
  }
  std::vector<uint64_t> late;
  for (const auto& [id, pending] : pending_) {
    if (!pending.started && Now() >= pending.deadline) {
      late.push_back(id);
    }
  }
  for (const uint64_t id : late) {
    Cancel(id);
  }
}

uint64_t Egress::TakeServedCount() { return std::exchange(served_, 0); }

std::map<SlotNumber, uint64_t> Egress::TakeSlotCounts() { return std::exchange(slot_counts_, {}); }

std::string Egress::CacheKey(const ForwardedRequest& request) const {
  return request.request.service + "/" + *request.request.idempotency_key;
}

uint32_t Egress::WeightOf(const CallerRequest& request) const {
  const table::TableSnapshot snapshot = parts_.table.Current();
  const table::Cell* cell = snapshot->Lookup(request.service, request.caller_class);
  return cell == nullptr ? 1 : static_cast<uint32_t>(cell->value.weight);
}

routing::TargetLoad Egress::Load() const {
  routing::TargetLoad load;
  load.running = static_cast<uint32_t>(admission_.running());
  load.queued = static_cast<uint32_t>(admission_.queued());
  load.slots = admission_.ConcurrencyLimit(Now());
  load.cold = load.slots < admission_.slots();
  return load;
}

}  // namespace runshelf::sim
