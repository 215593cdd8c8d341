#include "source/daemon/router_response.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

#include "source/daemon/request_headers.h"

namespace runshelf::daemon {
namespace {

constexpr std::string_view kHeaderPrefix = "runshelf-";

}  // namespace

transport::HttpResponse ErrorResponse(const RequestError& error, const std::string& request_id) {
  transport::HttpResponse response;
  response.status = error.http_status;
  response.headers.Set("Content-Type", "application/json");
  if (error.retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after).count();
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(error.retry_after).count();
    response.headers.Set(kRetryAfterHeader, std::to_string(std::max<int64_t>(seconds, 1)));
    response.headers.Set(kRetryAfterMsHeader, std::to_string(std::max<int64_t>(milliseconds, 1)));
  }
  const nlohmann::json body = {{"error", error.identifier},
                               {"verdict", std::string(VerdictName(error.verdict))},
                               {"detail", error.detail}};
  // Details may quote what the caller sent: bytes that are no UTF-8 are replaced.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  SetVerdict(response, error.verdict, request_id);
  return response;
}

void SetVerdict(transport::HttpResponse& response, Verdict verdict, const std::string& request_id) {
  response.headers.Set(kVerdictHeader, std::string(VerdictName(verdict)));
  response.headers.Set(kRequestIdHeader, request_id);
}

bool IsRunshelfHeader(const std::string& name) {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == right;
  };
  return name.size() >= kHeaderPrefix.size() &&
         std::equal(kHeaderPrefix.begin(), kHeaderPrefix.end(), name.begin(),
                    [&](char expected, char actual) { return same(actual, expected); });
}

int64_t MillisecondsLeft(Instant now, Instant deadline) {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - now).count();
  return std::max<int64_t>(left, 0);
}

}  // namespace runshelf::daemon
