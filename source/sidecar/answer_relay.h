// Passes the answer of an attempt on to whoever asked: small ones whole, large ones as they come.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "source/http/server.h"
#include "source/sidecar/attempt.h"

namespace runshelf::sidecar {

class AnswerRelay {
 public:
  explicit AnswerRelay(http::ExchangePtr exchange) : exchange_(std::move(exchange)) {}
  ~AnswerRelay() { exchange_->set_on_drained(nullptr); }
  AnswerRelay(const AnswerRelay&) = delete;
  AnswerRelay& operator=(const AnswerRelay&) = delete;

  // `attempt` is paused while the reader is slow; it must outlive the relay or be reset.
  void set_attempt(Attempt* attempt) { attempt_ = attempt; }
  void OnHead(http::ResponseHead&& head);
  void OnBody(std::string_view data);
  void OnComplete();
  // Forgets an answer of which nothing was passed on yet.
  void Reset();
  // Part of the answer has been passed on: it can only go on or break off.
  bool streaming() const { return streaming_; }
  const http::ResponseHead& head() const { return head_; }
  http::ResponseHead& head() { return head_; }

 private:
  void StartStreaming();
  void HoldBackWhenSlow();

  http::ExchangePtr exchange_;
  Attempt* attempt_ = nullptr;
  http::ResponseHead head_;
  std::string body_;
  bool streaming_ = false;
  bool paused_ = false;
};

}  // namespace runshelf::sidecar
