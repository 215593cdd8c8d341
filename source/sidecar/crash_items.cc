#include "source/sidecar/crash_items.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "runshelf/common/json_reader.h"

namespace runshelf::sidecar {
namespace {

using nlohmann::json;

// A worker runs a few dozen requests at once.
constexpr size_t kMaxRequestsPerEnd = 512;
constexpr size_t kMaxWorkersPerRequest = 64;
constexpr size_t kMaxTextBytes = 256;

json ParseJson(const std::string& text) {
  if (!HasBoundedDepth(text)) return json(json::value_t::discarded);
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

bool IsBounded(const std::string& text) { return text.size() <= kMaxTextBytes; }

bool ReadFingerprint(const json& element, std::optional<RequestFingerprint>& out) {
  if (element.is_string()) out = RequestFingerprint::Parse(element.get<std::string>());
  return out.has_value();
}

bool ReadText(const json& element, std::string& out) {
  if (!element.is_string()) return false;
  out = element.get<std::string>();
  return IsBounded(out);
}

// Names come from other machines and may not be valid UTF-8.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', /*ensure_ascii=*/true, json::error_handler_t::replace);
}

}  // namespace

std::string WorkerEnd::Serialize() const {
  json fingerprints = json::array();
  for (const RequestFingerprint& request : requests) fingerprints.push_back(request.ToString());
  return Dump(json{{"worker", worker_id}, {"node", node}, {"requests", std::move(fingerprints)}});
}

std::optional<WorkerEnd> WorkerEnd::Parse(const std::string& text) {
  const json value = ParseJson(text);
  JsonReader reader(value);
  WorkerEnd end;
  std::vector<std::optional<RequestFingerprint>> requests;
  reader.Read("worker", end.worker_id)
      .Read("node", end.node)
      .ReadArray("requests", requests, ReadFingerprint);
  const bool valid = reader.ok() && !end.worker_id.empty() && IsBounded(end.worker_id) &&
                     IsBounded(end.node) && requests.size() <= kMaxRequestsPerEnd;
  if (!valid) return std::nullopt;
  for (const auto& request : requests) end.requests.push_back(*request);
  return end;
}

std::string QuarantineItem::Serialize() const {
  return Dump(json{
      {"released", released}, {"trials", trials}, {"workers", worker_ids}, {"asks", description}});
}

std::optional<QuarantineItem> QuarantineItem::Parse(const std::string& text) {
  const json value = ParseJson(text);
  JsonReader reader(value);
  QuarantineItem item;
  reader.Read("released", item.released)
      .Read("trials", item.trials)
      .ReadArray("workers", item.worker_ids, ReadText)
      .Read("asks", item.description);
  const bool valid =
      reader.ok() && IsBounded(item.description) && item.worker_ids.size() <= kMaxWorkersPerRequest;
  return valid ? std::optional(item) : std::nullopt;
}

}  // namespace runshelf::sidecar
