#include "source/sidecar/answer_relay.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

// Answers up to this size are held until they are complete, so that one that breaks off can be
// asked for again and one write suffices.
constexpr size_t kHeldBodyBytes = size_t{32} * 1024;
// Bytes that wait for a slow reader before the sender is held back, and below which it goes on.
constexpr size_t kHighWaterBytes = size_t{256} * 1024;

}  // namespace

void AnswerRelay::OnHead(http::ResponseHead&& head) {
  head_ = std::move(head);
  body_.clear();
}

void AnswerRelay::OnBody(std::string_view data) {
  if (streaming_) {
    exchange_->WriteBody(data);
    HoldBackWhenSlow();
    return;
  }
  body_.append(data);
  if (body_.size() > kHeldBodyBytes) StartStreaming();
}

void AnswerRelay::StartStreaming() {
  streaming_ = true;
  exchange_->Start(head_.status, head_.headers, head_.content_length);
  exchange_->WriteBody(body_);
  body_ = std::string();
  exchange_->set_on_drained([this] {
    if (!paused_ || attempt_ == nullptr) return;
    paused_ = false;
    attempt_->Resume();
  });
  HoldBackWhenSlow();
}

void AnswerRelay::HoldBackWhenSlow() {
  if (paused_ || attempt_ == nullptr || exchange_->unsent_bytes() < kHighWaterBytes) return;
  paused_ = true;
  attempt_->Pause();
}

void AnswerRelay::OnComplete() {
  if (streaming_) {
    exchange_->Finish();
  } else {
    exchange_->Respond(head_.status, head_.headers, body_);
  }
}

void AnswerRelay::Reset() {
  head_ = http::ResponseHead();
  body_.clear();
}

}  // namespace runshelf::sidecar
