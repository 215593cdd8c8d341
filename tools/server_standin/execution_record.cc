#include "tools/server_standin/execution_record.h"

#include <nlohmann/json.hpp>

namespace runshelf::server_standin {
namespace {

using nlohmann::json;

json RangesAsJson(const std::vector<SlotRange>& ranges) {
  json array = json::array();
  for (const SlotRange& range : ranges) array.push_back({range.first, range.last});
  return array;
}

json AsJson(const Execution& execution) {
  json object = {{"kind", "execution"},        {"service", execution.service},
                 {"server", execution.server}, {"request_id", execution.request_id},
                 {"key", execution.key},       {"method", execution.method},
                 {"path", execution.path},     {"at_us", ToMicroseconds(execution.at)}};
  if (!execution.idempotency_key.empty()) object["idempotency_key"] = execution.idempotency_key;
  if (execution.slot) object["slot"] = *execution.slot;
  if (execution.token) object["token"] = execution.token->ToString();
  return object;
}

json AsJson(const AcceptedGrant& grant) {
  return {{"kind", "grant"},
          {"service", grant.service},
          {"server", grant.server},
          {"token", grant.token.ToString()},
          {"slots", RangesAsJson(grant.slots)},
          {"at_us", ToMicroseconds(grant.at)},
          {"expires_at_us", ToMicroseconds(grant.expires_at)}};
}

std::string StringAt(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

Instant InstantAt(const json& object, const char* name) {
  const auto found = object.find(name);
  const bool valid = found != object.end() && found->is_number_integer();
  return InstantFromMicroseconds(valid ? found->get<int64_t>() : 0);
}

absl::StatusOr<RecordEntry> ParseExecution(const json& object) {
  Execution execution;
  execution.service = StringAt(object, "service");
  execution.server = StringAt(object, "server");
  execution.request_id = StringAt(object, "request_id");
  execution.idempotency_key = StringAt(object, "idempotency_key");
  execution.key = StringAt(object, "key");
  execution.method = StringAt(object, "method");
  execution.path = StringAt(object, "path");
  execution.at = InstantAt(object, "at_us");
  const auto slot = object.find("slot");
  if (slot != object.end()) {
    FencingToken token;
    if (!slot->is_number_unsigned() || !FencingToken::Parse(StringAt(object, "token"), token)) {
      return absl::InvalidArgumentError("execution with a bad slot or token");
    }
    execution.slot = slot->get<SlotNumber>();
    execution.token = token;
  }
  return execution;
}

absl::StatusOr<RecordEntry> ParseGrant(const json& object) {
  AcceptedGrant grant;
  grant.service = StringAt(object, "service");
  grant.server = StringAt(object, "server");
  grant.at = InstantAt(object, "at_us");
  grant.expires_at = InstantAt(object, "expires_at_us");
  if (!FencingToken::Parse(StringAt(object, "token"), grant.token)) {
    return absl::InvalidArgumentError("grant with a bad token");
  }
  const auto ranges = ParseSlotRanges(object.value("slots", json()));
  if (!ranges) return absl::InvalidArgumentError("grant with bad slots");
  grant.slots = *ranges;
  return grant;
}

}  // namespace

std::optional<std::vector<SlotRange>> ParseSlotRanges(const json& array) {
  if (!array.is_array()) return std::nullopt;
  std::vector<SlotRange> ranges;
  for (const json& pair : array) {
    if (!pair.is_array() || pair.size() != 2) return std::nullopt;
    if (!pair[0].is_number_unsigned() || !pair[1].is_number_unsigned()) return std::nullopt;
    const auto first = pair[0].get<uint64_t>();
    const auto last = pair[1].get<uint64_t>();
    if (first > last || last > kLargestSlot) return std::nullopt;
    if (!ranges.empty() && first <= ranges.back().last) return std::nullopt;
    ranges.push_back({static_cast<SlotNumber>(first), static_cast<SlotNumber>(last)});
  }
  return ranges;
}

std::string ToJsonLine(const RecordEntry& entry) {
  const json object = std::visit([](const auto& value) { return AsJson(value); }, entry);
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<RecordEntry> ParseRecordLine(const std::string& line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object()) return absl::InvalidArgumentError("not a JSON object");
  const std::string kind = StringAt(object, "kind");
  if (kind == "execution") return ParseExecution(object);
  if (kind == "grant") return ParseGrant(object);
  return absl::InvalidArgumentError("unknown kind of record entry");
}

}  // namespace runshelf::server_standin
