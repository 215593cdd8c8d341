// Divides the bytes of one connection into requests. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "source/http/memory_budget.h"
#include "source/http/message.h"

namespace runshelf::http {

// A complete request as it was read from a connection.
struct ReadRequest {
  Request request;
  bool keep_alive = true;  // Whether its head allows another request on the connection.
  size_t bytes = 0;        // Size on the wire.
};

// Result of RequestReader::ReadNext().
enum class ReadStatus {
  kIncomplete,  // All bytes were read; the next request is not complete.
  kRequest,     // TakeRequest() returns a request.
  kRefused,     // No further request can be read: refusal() says why.
};

// Parses requests one after the other. What it keeps is charged to a budget: the announced length
// of a body with its head, otherwise what has arrived.
class RequestReader : private ParserObserver {
 public:
  // Without a budget every request fits.
  explicit RequestReader(std::shared_ptr<MemoryBudget> budget = nullptr)
      : parser_(ParserKind::kRequest, this), charge_(std::move(budget)) {}

  void Append(std::string_view data) { input_.append(data); }
  // Parses up to the end of the next request. A change of `max_head_bytes` applies to requests that
  // have not begun.
  ReadStatus ReadNext(size_t max_head_bytes, size_t max_body_bytes);
  // To be called once after each kRequest.
  ReadRequest TakeRequest();
  // Status of the response to a request that cannot be read.
  int refusal() const { return refusal_; }

  bool has_input() const { return !input_.empty(); }
  // Whether a request has begun and is not complete.
  bool in_request() const { return parser_.in_message(); }
  // Whether the client waits for "100 Continue" before it sends the body of the request in
  // progress.
  bool expects_continue() const { return in_request() && expects_continue_; }
  void ContinueSent() { expects_continue_ = false; }
  // Bytes kept: those not parsed, and those of the request in progress.
  size_t buffered_bytes() const { return input_.size() + request_bytes_; }
  // Bytes charged to the budget.
  size_t charged_bytes() const { return charge_.bytes(); }
  // Drops everything that was received and not taken; nothing more can be read.
  void Discard();

 private:
  void OnRequestHead(RequestHead&& head) override;
  void OnBody(std::string_view data) override;
  void OnMessageComplete(bool keep_alive) override;
  // Sets the refusal, unless there is one.
  void RefuseRequest(int status);
  // Charges the request in progress with a body of this size.
  bool Charge(size_t body_bytes);
  // Makes room for a body of this size; refuses the request if there is none.
  bool ReserveBody(size_t bytes);

  Parser parser_;
  std::string input_;  // Received and not parsed yet.
  Request request_;
  MemoryCharge charge_;
  size_t head_memory_ = 0;          // Of the complete head of `request_`.
  size_t reserved_body_bytes_ = 0;  // Charged for its body.
  size_t request_bytes_ = 0;        // Parsed bytes of `request_`.
  size_t max_body_bytes_ = 0;
  int refusal_ = 0;
  bool complete_ = false;
  bool keep_alive_ = true;
  bool expects_continue_ = false;
};

}  // namespace runshelf::http
