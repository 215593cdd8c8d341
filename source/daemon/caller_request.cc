#include "source/daemon/caller_request.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "source/daemon/request_headers.h"

namespace runshelf::daemon {
namespace {

using transport::HttpRequest;

constexpr uint32_t kDefaultDeadlineMs = 2000;
constexpr uint32_t kMaxDeadlineMs = 60'000;
constexpr uint32_t kMaxAttempt = 1'000'000;
constexpr size_t kMaxKeyBytes = 1024;
constexpr size_t kMaxClassBytes = 64;

RequestError BadRequest(const HttpRequest& request, std::string identifier, std::string detail) {
  RequestError error;
  error.identifier = std::move(identifier);
  error.detail = std::move(detail);
  error.verdict = VerdictBeforeForwarding(request);
  return error;
}

RequestError BadHeader(const HttpRequest& request, const std::string& name,
                       const std::string& expected) {
  return BadRequest(request, "bad_header", name + " must be " + expected);
}

// Parses a whole number in [low, high].
std::optional<uint32_t> ParseNumber(const std::string& text, uint32_t low, uint32_t high) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < low || number > high) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> ParseBoolean(const std::string& text) {
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

// Splits "/service/path?query".
void SplitTarget(const std::string& target, CallerRequest& parsed) {
  const size_t begin = target.starts_with('/') ? 1 : 0;
  const size_t end = std::min(target.find_first_of("/?", begin), target.size());
  parsed.service = target.substr(begin, end - begin);
  parsed.target = target.substr(end);
  if (!parsed.target.starts_with('/')) {
    parsed.target.insert(0, 1, '/');
  }
}

// Reads the headers that have defaults; returns the first error.
std::optional<RequestError> ParseOptions(const HttpRequest& request, CallerRequest& parsed) {
  const std::string deadline =
      request.headers.Find(kDeadlineHeader).value_or(std::to_string(kDefaultDeadlineMs));
  const std::optional<uint32_t> milliseconds = ParseNumber(deadline, 1, kMaxDeadlineMs);
  if (!milliseconds.has_value()) {
    return BadHeader(request, kDeadlineHeader, "a whole number from 1 to 60000");
  }
  parsed.time_limit = std::chrono::milliseconds(*milliseconds);

  const std::optional<uint32_t> attempt =
      ParseNumber(request.headers.Find(kAttemptHeader).value_or("1"), 1, kMaxAttempt);
  if (!attempt.has_value()) {
    return BadHeader(request, kAttemptHeader, "a whole number from 1 to 1000000");
  }
  parsed.attempt = *attempt;

  const bool safe_method = request.method == "GET" || request.method == "HEAD";
  const std::optional<bool> repeatable = ParseBoolean(
      request.headers.Find(kRepeatableHeader).value_or(safe_method ? "true" : "false"));
  if (!repeatable.has_value()) {
    return BadHeader(request, kRepeatableHeader, "true or false");
  }
  parsed.repeatable = *repeatable;

  parsed.idempotency_key = request.headers.Find(kIdempotencyKeyHeader);
  if (parsed.idempotency_key.has_value() &&
      (parsed.idempotency_key->empty() || parsed.idempotency_key->size() > kMaxKeyBytes)) {
    return BadHeader(request, kIdempotencyKeyHeader, "1 to 1024 bytes");
  }
  return std::nullopt;
}

}  // namespace

Verdict VerdictBeforeForwarding(const HttpRequest& request) {
  const std::string attempt = request.headers.Find(kAttemptHeader).value_or("1");
  return attempt == "1" ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

ParsedRequest ParseCallerRequest(const HttpRequest& request,
                                 const std::set<std::string>& keyed_services) {
  CallerRequest parsed;
  SplitTarget(request.target, parsed);
  const std::optional<std::string> caller_class = request.headers.Find(kClassHeader);
  if (!caller_class.has_value() || caller_class->empty()) {
    return BadRequest(request, "missing_class", "the header Runshelf-Class is required");
  }
  if (caller_class->size() > kMaxClassBytes) {
    return BadHeader(request, kClassHeader, "1 to 64 bytes");
  }
  parsed.caller_class = *caller_class;
  if (keyed_services.contains(parsed.service)) {
    parsed.key = request.headers.Find(kKeyHeader);
    if (!parsed.key.has_value() || parsed.key->empty()) {
      return BadRequest(request, "missing_key", "this service needs the header Runshelf-Key");
    }
    if (parsed.key->size() > kMaxKeyBytes) {
      return BadHeader(request, kKeyHeader, "1 to 1024 bytes");
    }
  }
  if (std::optional<RequestError> error = ParseOptions(request, parsed)) {
    return *error;
  }
  return parsed;
}

}  // namespace runshelf::daemon
