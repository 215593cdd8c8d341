#include "runshelf/coordination/message_json.h"

#include <absl/status/status.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/json_reader.h"
#include "runshelf/consensus/message_json.h"
#include "runshelf/ownership/assignment_json.h"
#include "source/coordination/binary_bounds.h"

namespace runshelf::coordination {
namespace {

using nlohmann::json;

// Value of the field "k" of an envelope, in the order of MessageBody's alternatives.
constexpr std::array<const char*, 9> kKinds = {"consensus", "renew", "reply",  "redirect", "now",
                                               "hello",     "seal",  "sealed", "group"};

// ---- Parts ----

json ToJson(const std::vector<SlotLoad>& loads) {
  json array = json::array();
  for (const SlotLoad& load : loads) {
    array.push_back(json::array({load.slot, load.requests_per_second}));
  }
  return array;
}

bool FromJson(const json& value, SlotLoad& load) {
  if (!value.is_array() || value.size() != 2) return false;
  if (!value[0].is_number_unsigned() || !value[1].is_number()) return false;
  const uint64_t slot = value[0].get<uint64_t>();
  if (slot >= kMaxSlotCount) return false;
  load.slot = static_cast<SlotNumber>(slot);
  load.requests_per_second = value[1].get<double>();
  return true;
}

json ToJson(const std::vector<CellRate>& rates) {
  json array = json::array();
  for (const CellRate& rate : rates) {
    array.push_back(json::array({rate.service, rate.caller_class, rate.requests_per_second}));
  }
  return array;
}

bool FromJson(const json& value, CellRate& rate) {
  if (!value.is_array() || value.size() != 3) return false;
  if (!value[0].is_string() || !value[1].is_string() || !value[2].is_number()) return false;
  rate.service = value[0].get<std::string>();
  rate.caller_class = value[1].get<std::string>();
  rate.requests_per_second = value[2].get<double>();
  return true;
}

bool FromJson(const json& value, ReleaseOrder& order) {
  JsonReader reader(value);
  reader.Read("i", order.release_id).Read("r", order.ranges);
  return reader.ok();
}

bool FromJson(const json& value, GroupMember& member) {
  JsonReader reader(value);
  reader.Read("i", member.instance).Read("a", member.address);
  return reader.ok() && !member.instance.empty();
}

// ---- Bodies ----

json BodyToJson(const consensus::Message& message) { return consensus::ToJson(message); }

json BodyToJson(const RenewalRequest& request) {
  json value = {{"at", request.sent_at_us},
                {"n", ownership::ToJson(request.node)},
                {"v", request.assignment_version},
                {"t", request.table_revision},
                {"s", static_cast<uint64_t>(request.server)},
                {"q", request.requests_per_second}};
  if (request.platform_reached) value["p"] = true;
  if (!request.released.empty()) value["r"] = request.released;
  if (!request.hottest_slots.empty()) value["h"] = ToJson(request.hottest_slots);
  if (!request.demands.empty()) value["d"] = ToJson(request.demands);
  if (!request.leaving.empty()) value["l"] = runshelf::ToJson(request.leaving);
  if (!request.table_update.empty()) value["u"] = request.table_update;
  return value;
}

bool BodyFromJson(const json& value, RenewalRequest& request) {
  uint64_t server = 0;
  JsonReader reader(value);
  const json* node = reader.Require("n");
  reader.Read("at", request.sent_at_us)
      .Read("v", request.assignment_version)
      .Read("t", request.table_revision)
      .Read("s", server)
      .Read("q", request.requests_per_second);
  if (!reader.ok() || !ownership::FromJson(*node, request.node)) return false;
  if (server > static_cast<uint64_t>(ServerState::kSilent)) return false;
  request.server = static_cast<ServerState>(server);
  if (reader.Find("p") != nullptr) reader.Read("p", request.platform_reached);
  if (reader.Find("r") != nullptr) reader.Read("r", request.released);
  if (reader.Find("h") != nullptr) {
    reader.ReadArray("h", request.hottest_slots,
                     [](const json& element, SlotLoad& item) { return FromJson(element, item); });
  }
  if (reader.Find("d") != nullptr) {
    reader.ReadArray("d", request.demands,
                     [](const json& element, CellRate& item) { return FromJson(element, item); });
  }
  if (reader.Find("l") != nullptr) reader.Read("l", request.leaving);
  if (reader.Find("u") != nullptr) reader.Read("u", request.table_update);
  return reader.ok();
}

json BodyToJson(const RenewalReply& reply) {
  json value = {{"at", reply.sent_at_us},
                {"t", reply.term},
                {"d", reply.grant_duration_us},
                {"a", ownership::ToJson(reply.assignment)}};
  for (const ReleaseOrder& order : reply.releases) {
    value["r"].push_back({{"i", order.release_id}, {"r", runshelf::ToJson(order.ranges)}});
  }
  if (reply.departed) value["x"] = true;
  if (reply.follow_platform) value["f"] = true;
  if (!reply.table_update.empty()) value["u"] = reply.table_update;
  if (reply.wanted_table_since) value["w"] = *reply.wanted_table_since;
  if (reply.shares_valid_us > 0) {
    value["c"] = ToJson(reply.shares);
    value["cv"] = reply.shares_valid_us;
  }
  return value;
}

bool BodyFromJson(const json& value, RenewalReply& reply) {
  JsonReader reader(value);
  const json* assignment = reader.Require("a");
  reader.Read("at", reply.sent_at_us).Read("t", reply.term).Read("d", reply.grant_duration_us);
  if (!reader.ok() || !ownership::FromJson(*assignment, reply.assignment)) return false;
  if (reader.Find("r") != nullptr) {
    reader.ReadArray("r", reply.releases, [](const json& element, ReleaseOrder& item) {
      return FromJson(element, item);
    });
  }
  if (reader.Find("x") != nullptr) reader.Read("x", reply.departed);
  if (reader.Find("f") != nullptr) reader.Read("f", reply.follow_platform);
  if (reader.Find("u") != nullptr) reader.Read("u", reply.table_update);
  if (reader.Find("w") != nullptr) reader.Read("w", reply.wanted_table_since.emplace());
  if (reader.Find("cv") != nullptr) {
    reader.Read("cv", reply.shares_valid_us)
        .ReadArray("c", reply.shares,
                   [](const json& element, CellRate& item) { return FromJson(element, item); });
  }
  return reader.ok();
}

json BodyToJson(const Redirect& redirect) {
  return {{"l", redirect.leader.ToString()}, {"a", redirect.leader_address}};
}

bool BodyFromJson(const json& value, Redirect& redirect) {
  JsonReader reader(value);
  reader.Read("l", redirect.leader).Read("a", redirect.leader_address);
  return reader.ok();
}

json BodyToJson(const RenewNow&) { return json::object(); }

bool BodyFromJson(const json& value, RenewNow&) { return value.is_object(); }

json BodyToJson(const Hello& hello) {
  return {{"n", ownership::ToJson(hello.node)}, {"r", hello.reply_wanted}};
}

bool BodyFromJson(const json& value, Hello& hello) {
  JsonReader reader(value);
  const json* node = reader.Require("n");
  reader.Read("r", hello.reply_wanted);
  return reader.ok() && ownership::FromJson(*node, hello.node);
}

json BodyToJson(const SealRequest& request) {
  return {{"g", request.generation}, {"p", request.probe}, {"r", request.record_revision}};
}

bool BodyFromJson(const json& value, SealRequest& request) {
  JsonReader reader(value);
  reader.Read("g", request.generation).Read("p", request.probe).Read("r", request.record_revision);
  return reader.ok();
}

json BodyToJson(const SealReply& reply) {
  return {{"g", reply.generation},
          {"p", reply.probe},
          {"r", reply.record_revision},
          {"s", reply.agreed},
          {"n", ownership::ToJson(reply.node)},
          {"t", reply.log_term},
          {"i", reply.log_index},
          {"a", reply.assignment}};
}

bool BodyFromJson(const json& value, SealReply& reply) {
  JsonReader reader(value);
  const json* node = reader.Require("n");
  reader.Read("g", reply.generation)
      .Read("r", reply.record_revision)
      .Read("p", reply.probe)
      .Read("s", reply.agreed)
      .Read("t", reply.log_term)
      .Read("i", reply.log_index)
      .Read("a", reply.assignment);
  return reader.ok() && ownership::FromJson(*node, reply.node);
}

json ToJson(const GroupRecord& record) {
  json voters = json::array();
  for (const GroupMember& member : record.voters) {
    voters.push_back({{"i", member.instance.ToString()}, {"a", member.address}});
  }
  return {{"generation", record.generation},
          {"initial", record.initial},
          {"voters", std::move(voters)},
          {"checkpoint_index", record.checkpoint_index},
          {"checkpoint_term", record.checkpoint_term},
          {"checkpoint", record.checkpoint}};
}

bool FromJson(const json& value, GroupRecord& record) {
  JsonReader reader(value);
  reader.Read("generation", record.generation)
      .Read("initial", record.initial)
      .Read("checkpoint_index", record.checkpoint_index)
      .Read("checkpoint_term", record.checkpoint_term)
      .Read("checkpoint", record.checkpoint)
      .ReadArray("voters", record.voters,
                 [](const json& element, GroupMember& item) { return FromJson(element, item); });
  return reader.ok() && record.generation > 0;
}

json BodyToJson(const GroupAnnouncement& announcement) {
  return {{"g", ToJson(announcement.record)}, {"r", announcement.record_revision}};
}

bool BodyFromJson(const json& value, GroupAnnouncement& announcement) {
  JsonReader reader(value);
  const json* record = reader.Require("g");
  reader.Read("r", announcement.record_revision);
  return reader.ok() && FromJson(*record, announcement.record);
}

bool BodyFromJson(const json& value, consensus::Message& message) {
  absl::StatusOr<consensus::Message> parsed = consensus::MessageFromJson(value);
  if (!parsed.ok()) return false;
  message = std::move(*parsed);
  return true;
}

template <size_t kIndex = 0>
bool ReadBody(size_t index, const json& value, MessageBody& body) {
  if constexpr (kIndex < std::variant_size_v<MessageBody>) {
    if (index == kIndex) return BodyFromJson(value, body.emplace<kIndex>());
    return ReadBody<kIndex + 1>(index, value, body);
  } else {
    return false;
  }
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// A discarded value, which no reader accepts, for anything malformed or out of bounds.
json ParseBytes(const std::string& bytes, Encoding encoding) {
  using Format = json::input_format_t;
  json value(json::value_t::discarded);
  switch (encoding) {
    case Encoding::kJson:
      if (HasBoundedDepth(bytes)) value = json::parse(bytes, nullptr, false);
      break;
    case Encoding::kCbor:
      if (IsBoundedBinary(bytes, Format::cbor)) value = json::from_cbor(bytes, true, false);
      break;
    case Encoding::kMessagePack:
      if (IsBoundedBinary(bytes, Format::msgpack)) value = json::from_msgpack(bytes, true, false);
      break;
  }
  return value;
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope, Encoding encoding) {
  const json value = {
      {"g", envelope.group},
      {"e", envelope.generation},
      {"f", envelope.from.ToString()},
      {"a", envelope.from_address},
      {"t", envelope.to.empty() ? "" : envelope.to.ToString()},
      {"k", kKinds.at(envelope.body.index())},
      {"b", std::visit([](const auto& body) { return BodyToJson(body); }, envelope.body)}};
  std::string bytes;
  switch (encoding) {
    case Encoding::kJson:
      return Dump(value);
    case Encoding::kCbor:
      json::to_cbor(value, bytes);
      return bytes;
    case Encoding::kMessagePack:
      json::to_msgpack(value, bytes);
      return bytes;
  }
  return bytes;
}

absl::StatusOr<Envelope> DecodeEnvelope(const std::string& bytes, Encoding encoding) {
  const json value = ParseBytes(bytes, encoding);
  Envelope envelope;
  std::string kind;
  JsonReader reader(value);
  reader.Read("g", envelope.group)
      .Read("e", envelope.generation)
      .Read("f", envelope.from)
      .Read("a", envelope.from_address)
      .Read("t", envelope.to)
      .Read("k", kind);
  const json* body = reader.Require("b");
  if (!reader.ok()) return absl::InvalidArgumentError("malformed envelope");
  for (size_t index = 0; index < kKinds.size(); ++index) {
    if (kind == kKinds.at(index) && ReadBody(index, *body, envelope.body)) return envelope;
  }
  return absl::InvalidArgumentError("malformed body of kind '" + kind + "'");
}

std::string EncodeGroupRecord(const GroupRecord& record) { return Dump(ToJson(record)); }

absl::StatusOr<GroupRecord> DecodeGroupRecord(const std::string& text) {
  GroupRecord record;
  if (!HasBoundedDepth(text) || !FromJson(json::parse(text, nullptr, false), record)) {
    return absl::InvalidArgumentError("malformed group record");
  }
  return record;
}

}  // namespace runshelf::coordination
