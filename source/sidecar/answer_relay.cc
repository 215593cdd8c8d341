#include "source/sidecar/answer_relay.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// Answers up to this size are buffered until they are complete, so that the request can be retried
// if the answer breaks off, and so that one write suffices.
constexpr size_t kMaxBufferedBodyBytes = size_t{32} * 1024;
// Reading from the worker pauses when this many bytes wait for a slow reader, and resumes when no
// more than the low-water mark wait.
constexpr size_t kHighWaterBytes = size_t{256} * 1024;
constexpr size_t kLowWaterBytes = size_t{64} * 1024;

}  // namespace

AnswerRelay::~AnswerRelay() {
  exchange_->set_on_drained(nullptr);
  if (pacer_ != nullptr) pacer_->Remove(this);
}

void AnswerRelay::OnHead(http::ResponseHead&& head) {
  head_ = std::move(head);
  body_.clear();
}

void AnswerRelay::OnBody(std::string_view data) {
  size_ += data.size();
  body_.append(data);
  if (streaming_) {
    WriteOrEnqueue();
    PauseIfReaderSlow();
  } else if (body_.size() > kMaxBufferedBodyBytes) {
    StartStreaming();
  }
}

void AnswerRelay::StartStreaming() {
  streaming_ = true;
  exchange_->Start(head_.status, head_.headers, head_.content_length);
  exchange_->set_on_drained([this] { OnDrained(); });
  WriteOrEnqueue();
  PauseIfReaderSlow();
}

void AnswerRelay::WriteOrEnqueue() {
  if (pacer_ != nullptr) {
    pacer_->Enqueue(this);
  } else {
    exchange_->WriteBody(body_);
    body_.clear();
  }
}

AnswerProgress AnswerRelay::progress() const {
  return {streaming_, paused_, size_, waiting_bytes(), exchange_->unsent_bytes()};
}

uint64_t AnswerRelay::bytes_to_write() const {
  const uint64_t passed_on = size_ - waiting_bytes();
  const uint64_t whole = std::max(size_, head_.content_length.value_or(size_));
  return whole - passed_on;
}

size_t AnswerRelay::WritePaced(size_t max_bytes) {
  if (exchange_->unsent_bytes() >= kHighWaterBytes) return 0;
  const size_t count = std::min(max_bytes, waiting_bytes());
  exchange_->WriteBody(std::string_view(body_).substr(written_, count));
  written_ += count;
  if (written_ >= kHighWaterBytes || waiting_bytes() == 0) {
    body_.erase(0, written_);
    written_ = 0;
  }
  if (body_complete_ && waiting_bytes() == 0) {
    exchange_->Finish();
    const auto on_written = std::move(on_written_);
    on_written();
  } else {
    ResumeIfDrained();
  }
  return count;
}

void AnswerRelay::OnDrained() {
  if (pacer_ != nullptr && waiting_bytes() > 0) {
    pacer_->Enqueue(this);
  } else {
    ResumeIfDrained();
  }
}

// May complete the answer and destroy the relay.
void AnswerRelay::ResumeIfDrained() {
  if (!paused_ || attempt_ == nullptr) return;
  if (exchange_->unsent_bytes() + waiting_bytes() > kLowWaterBytes) return;
  paused_ = false;
  attempt_->Resume();
}

void AnswerRelay::PauseIfReaderSlow() {
  if (paused_ || attempt_ == nullptr) return;
  if (exchange_->unsent_bytes() + waiting_bytes() < kHighWaterBytes) return;
  paused_ = true;
  attempt_->Pause();
}

void AnswerRelay::OnComplete(std::function<void()> on_written) {
  if (!streaming_) {
    exchange_->Respond(head_.status, head_.headers, body_);
    on_written();
    return;
  }
  if (pacer_ != nullptr) pacer_->OnAnswerSize(size_);
  if (waiting_bytes() > 0) {
    body_complete_ = true;
    on_written_ = std::move(on_written);
    return;
  }
  exchange_->Finish();
  on_written();
}

void AnswerRelay::Reset() {
  head_ = http::ResponseHead();
  body_.clear();
  size_ = 0;
}

}  // namespace runshelf::sidecar
