#include "source/http/request_reader.h"

#include <algorithm>
#include <utility>

namespace runshelf::http {
namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kServiceUnavailable = 503;
constexpr size_t kMinBodyCapacity = 512;

// The assignment of an empty string keeps the capacity.
void Free(std::string* text) { std::string().swap(*text); }

}  // namespace

ReadStatus RequestReader::ReadNext(size_t max_head_bytes, size_t max_body_bytes) {
  if (refusal_ != 0) return ReadStatus::kRefused;
  if (input_.empty()) return ReadStatus::kIncomplete;
  if (!parser_.in_message()) parser_.set_max_head_bytes(max_head_bytes);
  max_body_bytes_ = max_body_bytes;
  const ParseResult result = parser_.Feed(input_);
  if (result.consumed == input_.size()) {
    Free(&input_);
  } else {
    input_.erase(0, result.consumed);
  }
  request_bytes_ += result.consumed;
  if (result.status == ParseStatus::kHeadTooLarge) RefuseRequest(kHeadTooLarge);
  if (result.status == ParseStatus::kMalformed) RefuseRequest(kBadRequest);
  if (refusal_ == 0 && !Charge(reserved_body_bytes_)) RefuseRequest(kServiceUnavailable);
  if (refusal_ != 0) return ReadStatus::kRefused;
  return complete_ ? ReadStatus::kRequest : ReadStatus::kIncomplete;
}

void RequestReader::RefuseRequest(int status) {
  if (refusal_ == 0) refusal_ = status;
}

bool RequestReader::Charge(size_t body_bytes) {
  const size_t head = parser_.head_complete() ? head_memory_ : parser_.head_memory();
  return charge_.Resize(input_.size() + head + body_bytes);
}

ReadRequest RequestReader::TakeRequest() {
  request_.memory = charge_.Split(head_memory_ + request_.body.size());
  charge_.Resize(input_.size());
  ReadRequest read{std::move(request_), keep_alive_, request_bytes_};
  request_ = Request();
  head_memory_ = 0;
  reserved_body_bytes_ = 0;
  request_bytes_ = 0;
  complete_ = false;
  expects_continue_ = false;
  return read;
}

void RequestReader::Discard() {
  Free(&input_);
  Free(&request_.body);
  request_ = Request();
  parser_.Clear();
  head_memory_ = 0;
  reserved_body_bytes_ = 0;
  charge_.Resize(0);
}

void RequestReader::OnRequestHead(RequestHead&& head) {
  request_.head = std::move(head);
  head_memory_ = request_.head.target.size() + request_.head.headers.memory();
  const std::string* expect = request_.head.headers.Find("expect");
  expects_continue_ = expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
  const uint64_t length = parser_.content_length().value_or(0);
  if (length > max_body_bytes_) {
    RefuseRequest(kContentTooLarge);
  } else if (length > 0) {
    ReserveBody(length);
  }
}

bool RequestReader::ReserveBody(size_t bytes) {
  if (!Charge(bytes)) {
    RefuseRequest(kServiceUnavailable);
    return false;
  }
  reserved_body_bytes_ = bytes;
  request_.body.reserve(bytes);
  return true;
}

void RequestReader::OnBody(std::string_view data) {
  if (refusal_ != 0) return;
  std::string& body = request_.body;
  const size_t size = body.size() + data.size();
  if (size > max_body_bytes_) {
    RefuseRequest(kContentTooLarge);
    return;
  }
  // Grows by doubling, as a string does by itself, but not beyond the limit.
  if (size > reserved_body_bytes_) {
    const size_t reserved = std::max({size, 2 * reserved_body_bytes_, kMinBodyCapacity});
    if (!ReserveBody(std::min(reserved, max_body_bytes_))) return;
  }
  body.append(data);
}

void RequestReader::OnMessageComplete(bool keep_alive) {
  complete_ = true;
  keep_alive_ = keep_alive;
}

}  // namespace runshelf::http
