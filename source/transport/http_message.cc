#include "runshelf/transport/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace runshelf::transport {
namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

constexpr std::array<std::string_view, 12> kConnectionHeaders = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Date",
                                                                 "Expect"};

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::Set(const std::string& name, std::string value) {
  Remove(name);
  Add(name, std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_,
                [&](const HttpHeader& field) { return EqualsIgnoringCase(field.name, name); });
}

std::optional<std::string> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : fields_) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [&](std::string_view known) { return EqualsIgnoringCase(known, name); });
}

}  // namespace runshelf::transport
