// Passes the answer of an attempt on to whoever asked: small ones whole, large ones as they come.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/attempt.h"

namespace runshelf::sidecar {

class AnswerRelay : private PacedAnswer {
 public:
  // Answers are passed on as they come.
  explicit AnswerRelay(http::ExchangePtr exchange) : exchange_(std::move(exchange)) {}
  // Large answers are written when `pacer` allows, which must outlive the relay; the caller wants
  // them whole by `due_time`.
  AnswerRelay(http::ExchangePtr exchange, AnswerPacer* pacer, Instant due_time)
      : exchange_(std::move(exchange)), pacer_(pacer), due_time_(due_time) {}
  ~AnswerRelay() override;
  AnswerRelay(const AnswerRelay&) = delete;
  AnswerRelay& operator=(const AnswerRelay&) = delete;

  // `attempt` is paused while the reader is slow; it must outlive the relay or be reset.
  void set_attempt(Attempt* attempt) { attempt_ = attempt; }
  void OnHead(http::ResponseHead&& head);
  void OnBody(std::string_view data);
  // The answer is whole. `on_written` is called once all of it was written, possibly at once; it
  // may destroy the relay.
  void OnComplete(std::function<void()> on_written);
  // Forgets an answer of which nothing was passed on yet.
  void Reset();
  // Part of the answer has been passed on: it can only go on or break off.
  bool streaming() const { return streaming_; }
  const http::ResponseHead& head() const { return head_; }
  http::ResponseHead& head() { return head_; }

 private:
  // PacedAnswer
  size_t WritePaced(size_t max_bytes) override;
  size_t waiting_bytes() const override { return body_.size() - written_; }
  uint64_t bytes_to_write() const override;
  Instant due_time() const override { return due_time_; }

  void StartStreaming();
  void WriteOrEnqueue();
  void OnDrained();
  void ResumeIfDrained();
  void PauseIfReaderSlow();

  http::ExchangePtr exchange_;
  AnswerPacer* pacer_ = nullptr;
  Instant due_time_{};
  Attempt* attempt_ = nullptr;
  http::ResponseHead head_;
  std::string body_;    // Held, or waiting to be written.
  size_t written_ = 0;  // Bytes of the front of `body_` that were written.
  uint64_t size_ = 0;   // Bytes of the body so far.
  bool body_complete_ = false;
  std::function<void()> on_written_;
  bool streaming_ = false;
  bool paused_ = false;
};

}  // namespace runshelf::sidecar
