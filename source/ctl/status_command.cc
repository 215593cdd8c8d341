#include "source/ctl/status_command.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <array>
#include <istream>
#include <nlohmann/json.hpp>

#include "source/ctl/files.h"

namespace runshelf::ctl {
namespace {

// Limit for each network operation of the request.
constexpr int kTimeoutSeconds = 5;
constexpr size_t kMaxStatusSize = size_t{16} << 20U;
// Bounds the recursion; values nested deeper are printed as "none".
constexpr int kMaxDepth = 32;
constexpr int kIndentWidth = 2;  // Spaces for each level.

bool IsNested(const nlohmann::json& value) { return value.is_structured() && !value.empty(); }

std::string ScalarText(const nlohmann::json& value) {
  if (value.is_string()) return Printable(value.get<std::string>());
  if (value.is_null()) return "none";
  if (value.is_structured()) return "none";
  return value.dump();
}

// Whether `value` is an array without nested values, which is printed on one line.
bool IsPlainArray(const nlohmann::json& value) {
  return value.is_array() && std::none_of(value.begin(), value.end(), IsNested);
}

std::string PlainArrayText(const nlohmann::json& array) {
  std::string text;
  for (const nlohmann::json& element : array) {
    if (!text.empty()) text += ", ";
    text += ScalarText(element);
  }
  return text.empty() ? "none" : text;
}

void AppendValue(const nlohmann::json& value, int depth, std::string& text);

void AppendNamed(const std::string& name, const nlohmann::json& value, int depth,
                 std::string& text) {
  text += fmt::format("{:{}}{}:", "", depth * kIndentWidth, Printable(name));
  if (IsPlainArray(value)) {
    text += " " + PlainArrayText(value) + "\n";
  } else if (IsNested(value) && depth < kMaxDepth) {
    text += "\n";
    AppendValue(value, depth + 1, text);
  } else {
    text += " " + ScalarText(value) + "\n";
  }
}

void AppendValue(const nlohmann::json& value, int depth, std::string& text) {
  size_t position = 0;
  for (const auto& [name, element] : value.items()) {
    const std::string label = value.is_array() ? fmt::format("#{}", ++position) : name;
    AppendNamed(label, element, depth, text);
  }
}

absl::StatusOr<std::string> ReadBody(std::istream& stream) {
  std::string body;
  std::array<char, 4096> buffer{};
  while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
    body.append(buffer.data(), static_cast<size_t>(stream.gcount()));
    if (body.size() > kMaxStatusSize) return absl::UnavailableError("the response exceeds 16 MiB");
  }
  return body;
}

}  // namespace

absl::StatusOr<std::string> FormatStatus(std::string_view json) {
  const nlohmann::json status = nlohmann::json::parse(json, nullptr, false);
  if (!status.is_object()) return absl::InvalidArgumentError("the response is not a JSON object");
  std::string text;
  AppendValue(status, 0, text);
  return text;
}

absl::StatusOr<std::string> FetchStatus(const std::string& address) {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/status",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return absl::UnavailableError(fmt::format("the daemon returned HTTP status {}",
                                                static_cast<int>(response.getStatus())));
    }
    return ReadBody(body);
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(exception.displayText());
  }
}

int RunStatusCommand(const StatusCommand& command, const Streams& streams) {
  const absl::StatusOr<std::string> json = FetchStatus(command.daemon_address);
  absl::StatusOr<std::string> text = json.ok() ? FormatStatus(*json) : json;
  if (text.ok()) {
    streams.out << *text;
    return kExitOk;
  }
  fmt::print(streams.err,
             "runshelfctl: cannot get status from {}: {}; try another daemon with --daemon\n",
             command.daemon_address, std::string(text.status().message()));
  return kExitUnavailable;
}

}  // namespace runshelf::ctl
