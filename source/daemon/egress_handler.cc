#include "source/daemon/egress_handler.h"

#include <utility>
#include <variant>
#include <vector>

#include "runshelf/common/log.h"
#include "source/daemon/request_headers.h"
#include "source/daemon/router_response.h"

namespace runshelf::daemon {
namespace {

using transport::HttpRequest;
using transport::HttpResponse;

constexpr Duration kRetryAfterOverload = std::chrono::milliseconds(50);
constexpr uint32_t kWeightWithoutCell = 1;
constexpr int kStatusOfRefusal = 503;
constexpr int kStatusOfMismatch = 422;

// Keeps the slot entered in the gate until the request is over.
class SlotPass {
 public:
  SlotPass(ownership::SlotGate& gate, Instant now, SlotNumber slot)
      : gate_(gate), slot_(slot), token_(gate.Enter(now, slot)) {}

  ~SlotPass() {
    if (token_.has_value()) {
      gate_.Leave(slot_);
    }
  }

  SlotPass(const SlotPass&) = delete;
  SlotPass& operator=(const SlotPass&) = delete;

  const std::optional<FencingToken>& token() const { return token_; }

 private:
  ownership::SlotGate& gate_;
  const SlotNumber slot_;
  const std::optional<FencingToken> token_;
};

std::shared_ptr<const routing::RecordedAnswer> ToAnswer(HttpResponse response) {
  auto answer = std::make_shared<routing::RecordedAnswer>();
  answer->http_status = response.status;
  for (const transport::HttpHeader& field : response.headers.All()) {
    if (!IsRunshelfHeader(field.name)) {
      answer->headers.push_back({field.name, field.value});
    }
  }
  answer->body = std::move(response.body);
  return answer;
}

admission::Completion CompletionOf(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kAnswered:
      return admission::Completion::kServed;
    case ServerOutcome::kOverloaded:
      return admission::Completion::kShed;
    default:
      return admission::Completion::kFailed;
  }
}

class InProgress {
 public:
  explicit InProgress(std::atomic<int64_t>& count) : count_(count) { ++count_; }
  ~InProgress() { --count_; }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

 private:
  std::atomic<int64_t>& count_;
};

}  // namespace

EgressHandler::EgressHandler(std::string service, const EgressParts& parts)
    : service_(std::move(service)), parts_(parts) {}

HttpResponse EgressHandler::Handle(HttpRequest request, transport::PeerWatch caller) {
  const InProgress in_progress(in_progress_);
  const absl::StatusOr<ForwardedRequest> forwarded = ParseForwardedRequest(request);
  if (!forwarded.ok() || request.body_too_large) {
    HttpResponse response;
    response.status = forwarded.ok() ? 413 : 400;
    SetVerdict(response, Verdict::kNotRun, forwarded.ok() ? forwarded->request_id : "");
    return response;
  }
  const Result result = Serve(*forwarded, request, caller);
  return ToResponse(result, forwarded->request_id);
}

EgressHandler::Result EgressHandler::Serve(const ForwardedRequest& forwarded,
                                           const HttpRequest& original,
                                           transport::PeerWatch caller) {
  if (forwarded.service != service_) {
    return Refused(kRefusedNotOwner);
  }
  const Instant received = parts_.clock.Now();
  Context context{forwarded, original, received, received + forwarded.time_left, caller, {}};
  if (forwarded.slot.has_value()) {
    return ServeOwned(context);
  }
  // Without ownership of a slot there is no memory that an idempotency key could rely on.
  if (forwarded.idempotency_key.has_value()) {
    return Refused(kRefusedNotOwner);
  }
  const bool leaving = leaving_ || parts_.gate.IsLeaving();
  return leaving ? Refused(kRefusedLeaving) : Admit(context);
}

EgressHandler::Result EgressHandler::ServeOwned(Context& context) {
  const SlotPass pass(parts_.gate, context.received, *context.forwarded.slot);
  if (!pass.token().has_value()) {
    return Refused(kRefusedNotOwner);
  }
  context.token = pass.token();
  if (!context.forwarded.idempotency_key.has_value()) {
    return Admit(context);
  }
  const std::optional<Instant> held_since =
      parts_.gate.HeldSince(context.received, *context.forwarded.slot);
  return held_since.has_value() ? ServeRepeatable(context, *held_since) : Refused(kRefusedNotOwner);
}

EgressHandler::Result EgressHandler::ServeRepeatable(const Context& context,
                                                     Instant slot_held_since) {
  routing::IdempotentRequest request;
  request.key = context.forwarded.caller_class + "/" + *context.forwarded.idempotency_key;
  request.request_id = context.forwarded.request_id;
  request.slot = *context.forwarded.slot;
  request.attempt = context.forwarded.attempt;
  request.fingerprint = routing::FingerprintOf(context.original.method, context.original.target,
                                               context.original.body);
  request.slot_held_since = slot_held_since;
  const routing::BeginResult begun = parts_.repeats.Begin(request);
  switch (begun.outcome) {
    case routing::BeginOutcome::kRun:
      break;
    case routing::BeginOutcome::kAttach:
      return FollowEarlier(context, request);
    case routing::BeginOutcome::kReplay:
      return {Verdict::kRan, "", "", Duration::zero(), begun.answer, {}};
    case routing::BeginOutcome::kUnknownRepeat:
      return Refused(kRefusedUnknownRepeat);
    case routing::BeginOutcome::kMismatch:
      return Mismatch();
    case routing::BeginOutcome::kFull:
      return Refused(kRefusedOverloaded, begun.retry_after);
  }
  Result result = Admit(context);
  parts_.repeats.Complete(request.key, result.verdict, result.answer);
  return result;
}

EgressHandler::Result EgressHandler::FollowEarlier(const Context& context,
                                                   const routing::IdempotentRequest& request) {
  std::optional<EarlierResult> earlier =
      parts_.repeats.WaitForEarlier(request, context.deadline, context.caller);
  if (!earlier.has_value()) {
    return Failed(kFailedTimedOut);
  }
  if (earlier->verdict == Verdict::kNotRun) {
    return Refused(kRefusedOverloaded, kRetryAfterOverload);
  }
  if (earlier->verdict == Verdict::kRan && earlier->answer != nullptr) {
    return {Verdict::kRan, "", "", Duration::zero(), std::move(earlier->answer), {}};
  }
  return Refused(kRefusedUnknownRepeat);
}

EgressHandler::Result EgressHandler::Admit(const Context& context) {
  parts_.load.OnRequest(context.forwarded.slot);
  const table::TableSnapshot table = parts_.table.Current();
  const table::Cell* cell =
      table->Lookup(context.forwarded.service, context.forwarded.caller_class);
  const uint32_t weight =
      cell == nullptr ? kWeightWithoutCell : static_cast<uint32_t>(cell->value.weight);
  const AdmissionOutcome admitted = parts_.admission.Wait(context.forwarded.caller_class, weight,
                                                          context.deadline, context.caller);
  if (const auto* started = std::get_if<Started>(&admitted)) {
    return CallServer(context, started->id);
  }
  if (const auto* refusal = std::get_if<admission::Refusal>(&admitted)) {
    return Refused(admission::RefusalName(refusal->reason), refusal->retry_after);
  }
  return Refused(kRefusedOverloaded, kRetryAfterOverload);  // Nobody is left to read it.
}

EgressHandler::Result EgressHandler::CallServer(const Context& context, uint64_t admission_id) {
  const Instant started = parts_.clock.Now();
  const ServerRequestContext server_context{context.forwarded.request_id, context.deadline,
                                            context.forwarded.slot, context.token};
  ServerResult server = parts_.server.Call(context.original, server_context, context.caller);
  parts_.admission.Complete(admission_id, CompletionOf(server.outcome),
                            parts_.clock.Now() - started);
  return ResultOf(std::move(server), context.forwarded.slot.has_value());
}

EgressHandler::Result EgressHandler::ResultOf(ServerResult server, bool by_ownership) {
  switch (server.outcome) {
    case ServerOutcome::kAnswered: {
      Result result;
      result.verdict = Verdict::kRan;
      result.announced_length = server.response.announced_length;
      result.answer = ToAnswer(std::move(server.response));
      return result;
    }
    case ServerOutcome::kNotOwner:
      return Refused(kRefusedNotOwner);
    case ServerOutcome::kOverloaded:
      return Refused(kRefusedOverloaded, kRetryAfterOverload);
    case ServerOutcome::kDeadline:
      return Refused(kRefusedDeadline);
    case ServerOutcome::kDraining:
      return Refused(kRefusedLeaving);
    case ServerOutcome::kUnreachable:
      // An owner without a server will lose the slot; others leave the choice to the router.
      return Refused(by_ownership ? kRefusedNotOwner : kRefusedLeaving);
    case ServerOutcome::kTimedOut:
      return Failed(kFailedTimedOut);
    case ServerOutcome::kLost:
    case ServerOutcome::kCallerGone:
      return Failed(kFailedConnectionLost);
  }
  return Failed(kFailedConnectionLost);
}

HttpResponse EgressHandler::ToResponse(const Result& result, const std::string& request_id) const {
  HttpResponse response;
  response.status = kStatusOfRefusal;
  parts_.metrics.OnEgress(!result.refused.empty()  ? result.refused
                          : !result.failed.empty() ? result.failed
                                                   : "answered");
  if (result.answer != nullptr) {
    response.status = result.answer->http_status;
    response.body = result.answer->body;
    response.announced_length = result.announced_length;
    for (const routing::HeaderField& field : result.answer->headers) {
      response.headers.Add(field.name, field.value);
    }
  }
  if (!result.refused.empty()) {
    response.headers.Set(kRefusedHeader, result.refused);
  }
  if (!result.failed.empty()) {
    response.headers.Set(kFailedHeader, result.failed);
  }
  if (result.retry_after > Duration::zero()) {
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(result.retry_after).count();
    response.headers.Set(kRetryAfterMsHeader, std::to_string(milliseconds));
  }
  response.headers.Set(kLoadHeader, parts_.admission.Load().ToString());
  SetVerdict(response, result.verdict, request_id);
  return response;
}

EgressHandler::Result EgressHandler::Refused(const char* reason, Duration retry_after) {
  Result result;
  result.refused = reason;
  result.retry_after = retry_after;
  if (result.refused == kRefusedUnknownRepeat) {
    result.verdict = Verdict::kMayHaveRun;
  }
  return result;
}

EgressHandler::Result EgressHandler::Failed(const char* reason) {
  Result result;
  result.verdict = Verdict::kMayHaveRun;
  result.failed = reason;
  return result;
}

// An answer of the router's own that is passed through: asking elsewhere would not change it.
EgressHandler::Result EgressHandler::Mismatch() {
  auto answer = std::make_shared<routing::RecordedAnswer>();
  answer->http_status = kStatusOfMismatch;
  answer->headers.push_back({"Content-Type", "application/json"});
  answer->body = R"({"error":"idempotency_key_reused","verdict":"not-run",)"
                 R"("detail":"the key was used for another request"})"
                 "\n";
  Result result;
  result.answer = std::move(answer);
  return result;
}

}  // namespace runshelf::daemon
