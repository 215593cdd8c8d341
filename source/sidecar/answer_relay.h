// Passes the answer of an attempt on to the client of an HTTP exchange. Small answers are buffered
// and written whole; large ones are streamed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/attempt.h"

namespace runshelf::sidecar {

// How far an answer has got.
struct AnswerProgress {
  bool streaming = false;
  bool paused = false;          // Nothing more is read from the worker for now.
  uint64_t received_bytes = 0;  // Of the body, from the worker or its node.
  uint64_t waiting_bytes = 0;   // Of these, not written to the connection.
  uint64_t unsent_bytes = 0;    // Written to the connection and not read by its other end.
};

// Relays one answer, with backpressure on the attempt while the reader is slow.
class AnswerRelay : private PacedAnswer {
 public:
  // Streams large answers without pacing.
  explicit AnswerRelay(http::ExchangePtr exchange) : exchange_(std::move(exchange)) {}
  // Streams large answers at the rate that `pacer` allows; `pacer` must outlive the relay. The
  // caller wants the complete answer by `due_time` and gives up at `deadline`.
  AnswerRelay(http::ExchangePtr exchange, AnswerPacer* pacer, Instant due_time, Instant deadline)
      : exchange_(std::move(exchange)), pacer_(pacer), due_time_(due_time), deadline_(deadline) {}
  ~AnswerRelay() override;
  AnswerRelay(const AnswerRelay&) = delete;
  AnswerRelay& operator=(const AnswerRelay&) = delete;

  // `attempt` is paused while the reader is slow. It must outlive the relay, or be replaced by
  // nullptr before it is destroyed.
  void set_attempt(Attempt* attempt) { attempt_ = attempt; }
  // Takes the head of the answer, which may still be changed through head().
  void OnHead(http::ResponseHead&& head);
  // Takes the next part of the body.
  void OnBody(std::string_view data);
  // Completes the answer. `on_written` is called once all of it has been written, possibly before
  // this call returns; it may destroy the relay.
  void OnComplete(std::function<void()> on_written);
  // Discards a buffered answer, so that another attempt can answer. Not allowed while streaming.
  void Reset();
  // True once part of the answer has been passed on, after which no other answer can replace it.
  bool streaming() const { return streaming_; }
  AnswerProgress progress() const;
  const http::ResponseHead& head() const { return head_; }
  http::ResponseHead& head() { return head_; }

 private:
  // PacedAnswer
  size_t WritePaced(size_t max_bytes) override;
  size_t waiting_bytes() const override { return body_.size() - written_; }
  uint64_t bytes_to_write() const override;
  Instant due_time() const override { return due_time_; }
  Instant deadline() const override { return deadline_; }

  void StartStreaming();
  void WriteOrEnqueue();
  void OnDrained();
  void ResumeIfDrained();
  void PauseIfReaderSlow();

  http::ExchangePtr exchange_;
  AnswerPacer* pacer_ = nullptr;
  Instant due_time_{};
  Instant deadline_{};
  Attempt* attempt_ = nullptr;
  http::ResponseHead head_;
  std::string body_;    // Buffered or waiting to be written.
  size_t written_ = 0;  // Bytes at the front of `body_` that were written.
  uint64_t size_ = 0;   // Body bytes received so far.
  bool body_complete_ = false;
  std::function<void()> on_written_;
  bool streaming_ = false;
  bool paused_ = false;
};

}  // namespace runshelf::sidecar
