#include "source/http/request_reader.h"

#include <utility>

namespace runshelf::http {
namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;

}  // namespace

ReadStatus RequestReader::ReadNext(size_t max_head_bytes, size_t max_body_bytes) {
  if (refusal_ != 0) return ReadStatus::kRefused;
  if (input_.empty()) return ReadStatus::kIncomplete;
  if (!parser_.in_message()) parser_.set_max_head_bytes(max_head_bytes);
  max_body_bytes_ = max_body_bytes;
  const ParseResult result = parser_.Feed(input_);
  input_.erase(0, result.consumed);
  request_bytes_ += result.consumed;
  if (result.status == ParseStatus::kHeadTooLarge) {
    refusal_ = kHeadTooLarge;
  } else if (result.status == ParseStatus::kMalformed) {
    refusal_ = kBadRequest;
  } else if (body_too_large_) {
    refusal_ = kContentTooLarge;
  }
  if (refusal_ != 0) return ReadStatus::kRefused;
  return complete_ ? ReadStatus::kRequest : ReadStatus::kIncomplete;
}

ReadRequest RequestReader::TakeRequest() {
  ReadRequest read{std::move(request_), keep_alive_, request_bytes_};
  request_ = Request();
  request_bytes_ = 0;
  complete_ = false;
  expects_continue_ = false;
  return read;
}

void RequestReader::OnRequestHead(RequestHead&& head) {
  request_.head = std::move(head);
  request_.body.clear();
  const std::string* expect = request_.head.headers.Find("expect");
  expects_continue_ = expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
}

void RequestReader::OnBody(std::string_view data) {
  if (request_.body.size() + data.size() > max_body_bytes_) {
    body_too_large_ = true;
    return;
  }
  request_.body.append(data);
}

void RequestReader::OnMessageComplete(bool keep_alive) {
  complete_ = true;
  keep_alive_ = keep_alive;
}

}  // namespace runshelf::http
