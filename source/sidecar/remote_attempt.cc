#include "source/sidecar/remote_attempt.h"

#include <utility>

#include "source/sidecar/peer_protocol.h"

namespace runshelf::sidecar {
namespace {

// Nodes send failures without a body.
constexpr size_t kMaxFailureBodyBytes = size_t{64} * 1024;
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(15);

}  // namespace

RemoteAttempt::RemoteAttempt(event::EventLoop& loop, http::ConnectionPool& pool,
                             PeerDirectory& peers, std::string node, event::Endpoint endpoint,
                             AttemptRequest request, AttemptObserver* observer)
    : loop_(loop),
      pool_(pool),
      peers_(peers),
      node_(std::move(node)),
      endpoint_(std::move(endpoint)),
      request_(std::move(request)),
      observer_(observer) {}

RemoteAttempt::~RemoteAttempt() = default;

void RemoteAttempt::Begin() {
  http::RequestHead head = request_.request->head;
  peer_protocol::AddAttemptHeaders(request_, loop_.Now(), &head.headers);
  http::CallOptions options(http::AnswerMatch::InOrder(), "forwarded_request");
  options.idle_timeout = kPeerIdleTimeout;
  options.head_request = head.method == "HEAD";
  const http::SerializedRequest request = http::SerializeSharedRequest(head, request_.request);
  peers_.OnTraffic(TrafficKind::kRequests, node_, request.size());
  call_ = pool_.Send(endpoint_, request, options, this);
}

void RemoteAttempt::Pause() {
  if (call_ != nullptr) call_->Pause();
}

void RemoteAttempt::Resume() {
  if (call_ != nullptr) call_->Resume();
}

void RemoteAttempt::OnResponseHead(http::ResponseHead&& head) {
  const Instant now = loop_.Now();
  peers_.OnAnswer(now, node_, peer_protocol::ReadStopNotice(head.headers));
  if (const auto load = peer_protocol::ReadLoad(head.headers)) peers_.OnLoad(now, node_, *load);
  failure_ = peer_protocol::ReadFailure(head.headers);
  if (failure_.has_value()) return;
  answering_ = true;
  peer_protocol::RemoveHeaders(&head.headers);
  head.headers.RemoveConnectionHeaders();
  observer_->OnAnswerHead(std::move(head));
}

void RemoteAttempt::OnResponseBody(std::string_view data) {
  const TrafficKind kind =
      request_.large_answer ? TrafficKind::kLargeAnswers : TrafficKind::kAnswers;
  peers_.OnTraffic(kind, node_, data.size());
  if (answering_) {
    observer_->OnAnswerBody(data);
    return;
  }
  failure_body_bytes_ += data.size();
  if (failure_body_bytes_ <= kMaxFailureBodyBytes) return;
  call_.reset();
  observer_->OnAttemptFailure(*failure_);
}

void RemoteAttempt::OnResponseComplete() {
  if (failure_.has_value()) {
    observer_->OnAttemptFailure(*failure_);
  } else {
    observer_->OnAnswerComplete();
  }
}

void RemoteAttempt::OnClientFailure(http::ClientFailure failure) {
  peers_.OnFailure(loop_.Now(), node_);
  // If the node terminated, its other connections are broken as well. Without them, the next
  // attempt has to connect and finds an unreachable node before it sends the request.
  pool_.CloseIdle(endpoint_);
  AttemptFailure result;
  if (http::CertainlyNotSent(failure)) {
    result = {Verdict::kNotRun, FailureReason::kUnreachable, false, Duration(0)};
  } else if (failure_.has_value()) {
    result = *failure_;
  } else {
    const bool began = failure == http::ClientFailure::kIncomplete;
    result = {Verdict::kMayHaveRun, began ? FailureReason::kIncomplete : FailureReason::kBroken,
              true, Duration(0)};
  }
  observer_->OnAttemptFailure(result);
}

}  // namespace runshelf::sidecar
