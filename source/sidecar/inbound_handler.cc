#include "source/sidecar/inbound_handler.h"

#include <algorithm>
#include <utility>

#include "source/sidecar/answer_relay.h"
#include "source/sidecar/peer_protocol.h"

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
// Timeout of calls that are forwarded to the store. Watches that peers send are shorter.
constexpr Duration kStoreCallTimeout = std::chrono::seconds(4);
// A large answer is admitted if at least this percentage of its expected delay on the link is left
// before its target time. At 100 %, half of the admitted answers would be late, since sizes vary.
constexpr int kDelayMarginPercent = 135;

}  // namespace

// One request forwarded by another node, until its answer has been sent completely.
class InboundHandler::Forward : public AttemptObserver,
                                public std::enable_shared_from_this<Forward> {
 public:
  Forward(InboundHandler* handler, http::ExchangePtr exchange, const AttemptRequest& request)
      : handler_(handler),
        exchange_(std::move(exchange)),
        relay_(exchange_, &handler->pacer_, handler->AnswerBy(request),
               handler->AnswerDeadline(request)),
        request_id_(request.request_id),
        answer_by_(handler->AnswerBy(request)),
        large_answer_(request.large_answer),
        attempt_(handler->gate_.Submit(request, this)) {}

  void Begin() {
    const auto self = shared_from_this();
    relay_.set_attempt(attempt_.get());
    exchange_->set_on_client_gone([this] { OnClientGone(); });
    if (large_answer_) {
      const Duration delay = handler_->pacer_.ExpectedDelay();
      if (handler_->loop_.Now() + delay * kDelayMarginPercent / 100 > answer_by_) {
        OnAttemptFailure({Verdict::kNotRun, FailureReason::kFull, false, delay});
        return;
      }
      handler_->pacer_.OnAnswerExpected();
      answer_expected_ = true;
    }
    attempt_->Begin();
  }

  void OnAnswerHead(http::ResponseHead&& head) override {
    handler_->AddNodeState(&head.headers);
    relay_.OnHead(std::move(head));
  }

  void OnAnswerBody(std::string_view data) override {
    relay_.OnBody(data);
    if (relay_.streaming()) StopExpecting();
  }

  void OnAnswerComplete() override {
    const auto self = shared_from_this();
    StopExpecting();
    relay_.set_attempt(nullptr);
    relay_.OnComplete([this] { End(); });
  }

  bool CallerGone() const override { return exchange_->client_gone(); }

  void OnAttemptFailure(const AttemptFailure& failure) override {
    const auto self = shared_from_this();
    handler_->log_.Write(LogLevel::kInfo, "forwarded_request_failed",
                         {{"request", request_id_},
                          {"reason", std::string(FailureReasonName(failure.reason))},
                          {"verdict", std::string(VerdictName(failure.verdict))},
                          {"running", handler_->gate_.load().running},
                          {"queued", handler_->gate_.load().queued},
                          {"worker", handler_->gate_.worker_id()}});
    if (relay_.streaming()) {
      exchange_->Abort();
    } else {
      http::Headers headers = peer_protocol::FailureHeaders(failure);
      handler_->AddNodeState(&headers);
      const bool not_run = failure.verdict == Verdict::kNotRun;
      exchange_->Respond(not_run ? kServiceUnavailable : kBadGateway, headers, "");
    }
    End();
  }

  void LogUnfinished() const { LogCut("stopping"); }

 private:
  // Logs an answer that ends incomplete.
  void LogCut(std::string_view reason) const {
    const AnswerProgress progress = relay_.progress();
    const PacerBacklog backlog = handler_->pacer_.backlog();
    handler_->log_.Write(LogLevel::kInfo, "forwarded_request_cut",
                         {{"request", request_id_},
                          {"reason", std::string(reason)},
                          {"answering", progress.streaming},
                          {"running", handler_->gate_.IsRunning(request_id_)},
                          {"received_bytes", progress.received_bytes},
                          {"waiting_bytes", progress.waiting_bytes},
                          {"unsent_bytes", progress.unsent_bytes},
                          {"paused", progress.paused},
                          {"backlog_answers", backlog.answers},
                          {"backlog_bytes", backlog.bytes},
                          {"worker", handler_->gate_.worker_id()}});
  }

  void OnClientGone() {
    if (relay_.streaming()) LogCut("caller-gone");
    End();
  }

  void StopExpecting() {
    if (!answer_expected_) return;
    answer_expected_ = false;
    handler_->pacer_.OnAnswerNoLongerExpected();
  }

  void End() {
    const auto self = shared_from_this();
    StopExpecting();
    exchange_->set_on_client_gone(nullptr);
    relay_.set_attempt(nullptr);
    handler_->RemoveForward(this);
    attempt_.reset();
  }

  InboundHandler* handler_;
  http::ExchangePtr exchange_;
  AnswerRelay relay_;
  std::string request_id_;
  Instant answer_by_;
  bool large_answer_;
  bool answer_expected_ = false;  // The pacer counts this answer as expected.
  std::unique_ptr<Attempt> attempt_;
};

InboundHandler::InboundHandler(event::EventLoop& loop, WorkerGate& gate, store::StoreClient& store,
                               StateFeed& feed, RequestQuarantine& quarantine,
                               HandoverWriter& handovers, LogWriter& log, const StopSchedule& stop,
                               double link_bytes_per_second)
    : loop_(loop),
      gate_(gate),
      store_(store),
      feed_(feed),
      quarantine_(quarantine),
      handovers_(handovers),
      log_(log),
      stop_(stop),
      pacer_(loop, link_bytes_per_second) {}

// Moves the requests out of the map first: destroying one frees its slot for the next, which finds
// that its caller has disconnected, ends too and calls RemoveForward().
InboundHandler::~InboundHandler() { const auto ending = std::exchange(forwards_, {}); }

void InboundHandler::Handle(const http::ExchangePtr& exchange) {
  if (peer_protocol::IsStoreCall(exchange->request().head.headers)) {
    ForwardToStore(exchange);
    return;
  }
  if (peer_protocol::IsChangeSet(exchange->request().head.headers)) {
    ForwardingInstruction order;
    order.whole_zone = peer_protocol::IsForZone(exchange->request().head.headers);
    order.nodes = peer_protocol::ReadPassOnTo(exchange->request().head.headers);
    order.failed = peer_protocol::ReadFailedReaders(exchange->request().head.headers);
    const std::string body = std::move(exchange->request().body);
    feed_.OnForwardedChanges(body, order, [&](bool understood) {
      exchange->Respond(understood ? kOk : kBadRequest, {}, "");
    });
    return;
  }
  if (peer_protocol::IsWorkerEnd(exchange->request().head.headers)) {
    const bool write = peer_protocol::IsWorkerEndToWrite(exchange->request().head.headers);
    const bool understood = quarantine_.OnBroadcastEnd(exchange->request().body, write);
    exchange->Respond(understood ? kOk : kBadRequest, {}, "");
    return;
  }
  if (peer_protocol::IsHandover(exchange->request().head.headers)) {
    AddHandover(exchange);
    return;
  }
  if (const auto prefix = peer_protocol::ReadSnapshotRequest(exchange->request().head.headers)) {
    const auto snapshot = feed_.SnapshotFor(*prefix);
    exchange->Respond(snapshot.has_value() ? kOk : kServiceUnavailable, {}, snapshot.value_or(""));
    return;
  }
  const auto attempt = peer_protocol::ReadAttempt(std::move(exchange->request()), loop_.Now());
  if (!attempt.has_value()) {
    exchange->Respond(kBadRequest, {}, "");
    return;
  }
  auto forward = std::make_shared<Forward>(this, exchange, *attempt);
  forwards_[forward.get()] = forward;
  if (Accepts(*attempt)) {
    forward->Begin();
    return;
  }
  ++refused_in_stop_;
  forward->OnAttemptFailure({Verdict::kNotRun, FailureReason::kStopping, false, Duration(0)});
}

void InboundHandler::AddHandover(const http::ExchangePtr& exchange) {
  const auto report = HandoverReport::Parse(exchange->request().body);
  if (!report.has_value()) {
    exchange->Respond(kBadRequest, {}, "");
    return;
  }
  handovers_.Add(*report, [exchange](bool written) {
    exchange->Respond(written ? kOk : kServiceUnavailable, {}, "");
  });
}

// A stopping node accepts only requests whose deadline passes before it exits. From the moment that
// it refuses new requests of clients, it refuses these too, so that their senders choose another
// node, except requests that only the local worker may run, since it still owns their key.
bool InboundHandler::Accepts(const AttemptRequest& attempt) const {
  if (!stop_.EndsInTime(attempt.deadline)) return false;
  return stop_.TakesNewRequests(loop_.Now()) || gate_.RequiresKeyOwner(attempt);
}

// The node of the caller, or this one, may be asked to stop right after it has sent or accepted the
// request.
Instant InboundHandler::AnswerDeadline(const AttemptRequest& attempt) const {
  return std::min(attempt.deadline, loop_.Now() + stop_.CompletionTime());
}

Instant InboundHandler::AnswerBy(const AttemptRequest& attempt) const {
  return std::min(attempt.answer_by, AnswerDeadline(attempt));
}

void InboundHandler::AddNodeState(http::Headers* headers) const {
  peer_protocol::AddLoad(gate_.load(), headers);
  peer_protocol::AddStopNotice(stop_.Notice(loop_.Now()), headers);
}

RequestCounts InboundHandler::UnderWay() const {
  RequestCounts counts;
  counts.forwarded = forwards_.size();
  return counts;
}

void InboundHandler::LogUnfinished() const {
  for (const auto& [pointer, forward] : forwards_) forward->LogUnfinished();
}

void InboundHandler::RemoveForward(Forward* forward) { forwards_.erase(forward); }

void InboundHandler::ForwardToStore(const http::ExchangePtr& exchange) {
  http::Request request = std::move(exchange->request());
  peer_protocol::RemoveHeaders(&request.head.headers);
  request.head.headers.RemoveConnectionHeaders();
  request.head.headers.Remove("Host");
  store_.ForwardForPeer(request, kStoreCallTimeout,
                        [exchange](std::optional<http::Response> response) {
                          if (!response.has_value()) {
                            exchange->Abort();
                            return;
                          }
                          response->headers.RemoveConnectionHeaders();
                          exchange->Respond(response->status, response->headers, response->body);
                        });
}

}  // namespace runshelf::sidecar
