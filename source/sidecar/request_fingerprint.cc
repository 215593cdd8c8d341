#include "source/sidecar/request_fingerprint.h"

#include <fmt/format.h>
#include <nettle/sha2.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace runshelf::sidecar {
namespace {

constexpr size_t kFingerprintBytes = 16;
constexpr size_t kMaxDescriptionBytes = 160;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::array<std::string_view, 2> kCredentialHeaders{"Authorization", "Cookie"};

// Prefixes each field with its length, so that different lists of fields never give the same input.
class Digest {
 public:
  Digest() { sha256_init(&context_); }

  void Add(std::string_view field) {
    const std::string length = fmt::format("{}:", field.size());
    Update(length);
    Update(field);
  }

  std::string Finish() {
    std::array<uint8_t, kFingerprintBytes> bytes{};
    sha256_digest(&context_, bytes.size(), bytes.data());
    std::string text;
    text.reserve(2 * bytes.size());
    for (const uint8_t byte : bytes) {
      text.push_back(kHexDigits[byte >> 4U]);
      text.push_back(kHexDigits[byte & 0xFU]);
    }
    return text;
  }

 private:
  void Update(std::string_view data) {
    sha256_update(&context_, data.size(), reinterpret_cast<const uint8_t*>(data.data()));
  }

  sha256_ctx context_{};
};

bool IsLowerHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string HostOf(const http::Request& request) {
  const std::string* host = request.head.headers.Find("Host");
  return host == nullptr ? std::string() : LowerCase(*host);
}

}  // namespace

std::optional<RequestFingerprint> RequestFingerprint::Parse(std::string_view text) {
  if (text.size() != 2 * kFingerprintBytes) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), IsLowerHexDigit)) return std::nullopt;
  return RequestFingerprint(std::string(text));
}

RequestFingerprint FingerprintOf(const http::Request& request,
                                 std::optional<sharding::ShardKey> key) {
  Digest digest;
  digest.Add(request.head.method);
  digest.Add(HostOf(request));
  digest.Add(request.head.target);
  digest.Add(key.has_value() ? std::to_string(*key) : std::string());
  for (const std::string_view name : kCredentialHeaders) {
    const std::string* value = request.head.headers.Find(name);
    digest.Add(value == nullptr ? std::string_view() : std::string_view(*value));
  }
  digest.Add(request.body);
  return RequestFingerprint(digest.Finish());
}

std::string DescribeRequest(const http::Request& request) {
  std::string text =
      fmt::format("{} {}{}", request.head.method, HostOf(request), request.head.target);
  if (text.size() > kMaxDescriptionBytes) text.resize(kMaxDescriptionBytes);
  return text;
}

}  // namespace runshelf::sidecar
