#include "tools/platform_standin/etcd_codec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

#include "tools/platform_standin/json_fields.h"

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;

absl::Status NotSupported(const char* name) {
  return absl::InvalidArgumentError(absl::StrCat("field ", name, " is not supported"));
}

absl::Status NotAnObject(const char* name) {
  return absl::InvalidArgumentError(absl::StrCat("each of ", name, " must be an object"));
}

absl::StatusOr<CompareTarget> DecodeTarget(const json& compare) {
  const absl::StatusOr<std::string> target = StringField(compare, "target");
  if (!target.ok()) return target.status();
  if (target->empty() || *target == "VERSION") return CompareTarget::kVersion;
  if (*target == "CREATE") return CompareTarget::kCreateRevision;
  if (*target == "MOD") return CompareTarget::kModRevision;
  return NotSupported("target");
}

absl::StatusOr<CompareResult> DecodeResult(const json& compare) {
  const absl::StatusOr<std::string> result = StringField(compare, "result");
  if (!result.ok()) return result.status();
  if (result->empty() || *result == "EQUAL") return CompareResult::kEqual;
  if (*result == "NOT_EQUAL") return CompareResult::kNotEqual;
  if (*result == "GREATER") return CompareResult::kGreater;
  if (*result == "LESS") return CompareResult::kLess;
  return NotSupported("result");
}

const char* ValueFieldName(CompareTarget target) {
  switch (target) {
    case CompareTarget::kVersion:
      return "version";
    case CompareTarget::kCreateRevision:
      return "create_revision";
    case CompareTarget::kModRevision:
      return "mod_revision";
  }
  return "version";
}

absl::StatusOr<Compare> DecodeCompare(const json& message) {
  if (!message.is_object()) return NotAnObject("compare");
  if (message.contains("range_end")) return NotSupported("range_end");
  const absl::StatusOr<std::string> key = BytesField(message, "key");
  if (!key.ok()) return key.status();
  const absl::StatusOr<CompareTarget> target = DecodeTarget(message);
  if (!target.ok()) return target.status();
  const absl::StatusOr<CompareResult> result = DecodeResult(message);
  if (!result.ok()) return result.status();
  const absl::StatusOr<int64_t> value = IntegerField(message, ValueFieldName(*target));
  if (!value.ok()) return value.status();
  return Compare{*key, *target, *result, *value};
}

absl::StatusOr<Operation> DecodePut(const json& put) {
  if (!put.is_object()) return NotAnObject("request_put");
  for (const char* name : {"prev_kv", "ignore_value", "ignore_lease"}) {
    if (put.contains(name)) return NotSupported(name);
  }
  const absl::StatusOr<std::string> key = BytesField(put, "key");
  if (!key.ok()) return key.status();
  const absl::StatusOr<std::string> value = BytesField(put, "value");
  if (!value.ok()) return value.status();
  const absl::StatusOr<int64_t> lease = IntegerField(put, "lease");
  if (!lease.ok()) return lease.status();
  return PutOperation{*key, *value, *lease};
}

absl::StatusOr<Operation> DecodeOperation(const json& message) {
  if (!message.is_object() || message.size() != 1) return NotAnObject("operations");
  const auto put = message.find("request_put");
  if (put != message.end()) return DecodePut(*put);
  const auto removal = message.find("request_delete_range");
  if (removal == message.end()) return NotSupported(message.begin().key().c_str());
  if (!removal->is_object()) return NotAnObject("request_delete_range");
  absl::StatusOr<KeyRange> range = DecodeRange(*removal);
  if (!range.ok()) return range.status();
  return DeleteOperation{*std::move(range)};
}

absl::StatusOr<std::vector<Operation>> DecodeOperations(const json& request, const char* name) {
  const absl::StatusOr<json> messages = ArrayField(request, name);
  if (!messages.ok()) return messages.status();
  std::vector<Operation> operations;
  for (const json& message : *messages) {
    absl::StatusOr<Operation> operation = DecodeOperation(message);
    if (!operation.ok()) return operation.status();
    operations.push_back(*std::move(operation));
  }
  return operations;
}

json EncodeItem(const Item& item) {
  const infrastructure::KeyValue& key_value = item.key_value;
  json message{{"key", absl::Base64Escape(key_value.key)},
               {"mod_revision", std::to_string(key_value.mod_revision)}};
  if (key_value.create_revision != 0) {
    message["create_revision"] = std::to_string(key_value.create_revision);
    message["version"] = std::to_string(item.version);
  }
  if (!key_value.value.empty()) message["value"] = absl::Base64Escape(key_value.value);
  if (key_value.lease != 0) message["lease"] = std::to_string(key_value.lease);
  return message;
}

}  // namespace

absl::StatusOr<KeyRange> DecodeRange(const json& request) {
  for (const char* name :
       {"limit", "revision", "sort_order", "sort_target", "keys_only", "count_only", "prev_kv"}) {
    if (request.contains(name)) return NotSupported(name);
  }
  absl::StatusOr<std::string> key = BytesField(request, "key");
  if (!key.ok()) return key.status();
  if (key->empty()) return absl::InvalidArgumentError("etcdserver: key is not provided");
  absl::StatusOr<std::string> end = BytesField(request, "range_end");
  if (!end.ok()) return end.status();
  return KeyRange{*std::move(key), *std::move(end)};
}

absl::StatusOr<Transaction> DecodeTransaction(const json& request) {
  Transaction transaction;
  const absl::StatusOr<json> compares = ArrayField(request, "compare");
  if (!compares.ok()) return compares.status();
  for (const json& message : *compares) {
    absl::StatusOr<Compare> compare = DecodeCompare(message);
    if (!compare.ok()) return compare.status();
    transaction.compares.push_back(*std::move(compare));
  }
  absl::StatusOr<std::vector<Operation>> success = DecodeOperations(request, "success");
  if (!success.ok()) return success.status();
  absl::StatusOr<std::vector<Operation>> failure = DecodeOperations(request, "failure");
  if (!failure.ok()) return failure.status();
  transaction.success = *std::move(success);
  transaction.failure = *std::move(failure);
  return transaction;
}

absl::StatusOr<LeaseGrantRequest> DecodeLeaseGrant(const json& request) {
  const absl::StatusOr<int64_t> id = IntegerField(request, "ID");
  if (!id.ok()) return id.status();
  if (*id != 0) return NotSupported("ID");
  const absl::StatusOr<int64_t> time_to_live = IntegerField(request, "TTL");
  if (!time_to_live.ok()) return time_to_live.status();
  constexpr int64_t kMaxTimeToLiveSeconds = 9'000'000'000;  // As etcd's own limit.
  if (*time_to_live <= 0 || *time_to_live > kMaxTimeToLiveSeconds) {
    return absl::InvalidArgumentError("field TTL is out of range");
  }
  return LeaseGrantRequest{*time_to_live};
}

absl::StatusOr<int64_t> DecodeLeaseId(const json& request) { return IntegerField(request, "ID"); }

absl::StatusOr<int64_t> DecodeCompaction(const json& request) {
  return IntegerField(request, "revision");
}

absl::StatusOr<WatchRequest> DecodeWatch(const json& request) {
  const auto create = request.find("create_request");
  if (create == request.end() || !create->is_object()) {
    return absl::InvalidArgumentError("field create_request must be an object");
  }
  if (create->contains("filters") || create->contains("watch_id")) {
    return NotSupported("filters or watch_id");
  }
  absl::StatusOr<KeyRange> range = DecodeRange(*create);
  if (!range.ok()) return range.status();
  const absl::StatusOr<int64_t> start_revision = IntegerField(*create, "start_revision");
  if (!start_revision.ok()) return start_revision.status();
  if (*start_revision < 0) {
    return absl::InvalidArgumentError("field start_revision must not be negative");
  }
  return WatchRequest{*std::move(range), *start_revision};
}

json EncodeHeader(int64_t revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(revision)},
          {"raft_term", "1"}};
}

json EncodeRange(const ItemRange& range) {
  json message{{"header", EncodeHeader(range.revision)}};
  if (range.items.empty()) return message;
  message["count"] = std::to_string(range.items.size());
  for (const Item& item : range.items) message["kvs"].push_back(EncodeItem(item));
  return message;
}

json EncodeTransaction(const TransactionResult& result) {
  json message{{"header", EncodeHeader(result.revision)}};
  if (result.succeeded) message["succeeded"] = true;
  const json header{{"revision", std::to_string(result.revision)}};
  for (size_t index = 0; index < result.operations.size(); ++index) {
    json response;
    if (std::holds_alternative<PutOperation>(result.operations[index])) {
      response["response_put"] = {{"header", header}};
    } else {
      response["response_delete_range"] = {
          {"header", header}, {"deleted", std::to_string(result.deleted_counts[index])}};
    }
    message["responses"].push_back(std::move(response));
  }
  return message;
}

json EncodeEvents(const EventBatch& batch) {
  json events = json::array();
  for (const ChangeEvent& event : batch.events) {
    json message{{"kv", EncodeItem(event.item)}};
    if (event.deleted) message["type"] = "DELETE";
    events.push_back(std::move(message));
  }
  return {{"header", EncodeHeader(batch.revision)}, {"events", std::move(events)}};
}

}  // namespace runshelf::platform_standin
