#include "source/transport/closing_notice.h"

namespace runshelf::transport {
namespace {

constexpr int kStatusRequestTimeout = 408;
constexpr char kRefusedHeader[] = "Runshelf-Refused";
constexpr char kConnectionClosing[] = "connection-closing";
constexpr char kBody[] = R"({"error":"connection_closing","verdict":"not-run","detail":""})"
                         "\n";

}  // namespace

std::string ClosingNotice() {
  const std::string body = kBody;
  return "HTTP/1.1 408 Request Timeout\r\nConnection: Close\r\nContent-Type: application/json\r\n"
         "Runshelf-Verdict: not-run\r\nRunshelf-Refused: " +
         std::string(kConnectionClosing) +
         "\r\nRetry-After: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool IsClosingNotice(const HttpResponse& response) {
  return response.status == kStatusRequestTimeout &&
         response.headers.Find(kRefusedHeader) == kConnectionClosing;
}

}  // namespace runshelf::transport
