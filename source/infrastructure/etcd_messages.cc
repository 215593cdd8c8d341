#include "source/infrastructure/etcd_messages.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace runshelf::infrastructure {
namespace {

using nlohmann::json;

constexpr unsigned char kLargestByte = 0xff;

// The first key after all those that start with `prefix`; a zero byte when there is none.
std::string EndOfPrefix(const std::string& prefix) {
  std::string end = prefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == kLargestByte) end.pop_back();
  if (end.empty()) return std::string(1, '\0');
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return end;
}

json PrefixRange(const std::string& prefix) {
  const std::string first = prefix.empty() ? std::string(1, '\0') : prefix;
  return {{"key", absl::Base64Escape(first)},
          {"range_end", absl::Base64Escape(EndOfPrefix(prefix))}};
}

json EncodeWrite(const Write& write) {
  json operation{{"key", absl::Base64Escape(write.key)}};
  if (!write.value.has_value()) return {{"request_delete_range", std::move(operation)}};
  operation["value"] = absl::Base64Escape(*write.value);
  if (write.lease != 0) operation["lease"] = std::to_string(write.lease);
  return {{"request_put", std::move(operation)}};
}

// Reads fields of one object, and remembers whether one had the wrong type.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object), ok_(object.is_object()) {}

  bool ok() const { return ok_; }

  int64_t Integer(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) return 0;
    int64_t number = 0;
    if (field->is_number_integer()) {
      number = field->get<int64_t>();
    } else if (!field->is_string() ||
               !absl::SimpleAtoi(field->get_ref<const std::string&>(), &number)) {
      ok_ = false;
    }
    return number;
  }

  bool Boolean(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) return false;
    if (!field->is_boolean()) {
      ok_ = false;
      return false;
    }
    return field->get<bool>();
  }

  std::string String(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) return "";
    if (!field->is_string()) {
      ok_ = false;
      return "";
    }
    return field->get<std::string>();
  }

  std::string Bytes(const char* name) {
    std::string bytes;
    if (!absl::Base64Unescape(String(name), &bytes)) ok_ = false;
    return bytes;
  }

  // An empty array when the field is absent.
  const json& Array(const char* name) {
    static const json empty = json::array();
    const json* field = Find(name);
    if (field == nullptr) return empty;
    if (field->is_array()) return *field;
    ok_ = false;
    return empty;
  }

  // An empty object when the field is absent or is none.
  const json& Object(const char* name) {
    static const json empty = json::object();
    const json* field = Find(name);
    if (field != nullptr && field->is_object()) return *field;
    ok_ = false;
    return empty;
  }

 private:
  const json* Find(const char* name) {
    if (!ok_) return nullptr;
    const auto field = object_.find(name);
    return field == object_.end() || field->is_null() ? nullptr : &*field;
  }

  const json& object_;
  bool ok_;
};

std::optional<KeyValue> DecodeKeyValue(const json& message) {
  FieldReader reader(message);
  KeyValue key_value;
  key_value.key = reader.Bytes("key");
  key_value.value = reader.Bytes("value");
  key_value.create_revision = reader.Integer("create_revision");
  key_value.mod_revision = reader.Integer("mod_revision");
  key_value.lease = reader.Integer("lease");
  if (!reader.ok() || key_value.mod_revision <= 0) return std::nullopt;
  return key_value;
}

std::optional<WatchEvent> DecodeEvent(const json& message) {
  FieldReader reader(message);
  const std::string type = reader.String("type");
  const json& key_value_message = reader.Object("kv");
  if (!reader.ok() || (!type.empty() && type != "PUT" && type != "DELETE")) return std::nullopt;
  std::optional<KeyValue> key_value = DecodeKeyValue(key_value_message);
  if (!key_value.has_value()) return std::nullopt;
  return WatchEvent{type == "DELETE", *std::move(key_value)};
}

// The revision in the answer's header; zero when there is none.
int64_t HeaderRevision(FieldReader& reader) {
  FieldReader header(reader.Object("header"));
  const int64_t revision = header.Integer("revision");
  return header.ok() ? revision : 0;
}

std::optional<LeaseAnswer> DecodeLease(const json& message) {
  FieldReader reader(message);
  LeaseAnswer answer;
  answer.lease = reader.Integer("ID");
  answer.time_to_live_s = reader.Integer("TTL");
  if (!reader.ok() || answer.lease == 0) return std::nullopt;
  return answer;
}

json Parse(const std::string& text) { return json::parse(text, nullptr, false); }

// Whether etcd says for certain that it did not begin to carry out the call. Its other refusals
// with code "unavailable", such as "request timed out", may come after the write was proposed.
bool CertainlyNotBegun(const std::string& message) { return message == "etcdserver: no leader"; }

}  // namespace

std::string EncodeRangeRequest(const std::string& prefix) { return PrefixRange(prefix).dump(); }

std::string EncodeCommitRequest(const std::vector<Condition>& conditions,
                                const std::vector<Write>& writes) {
  json request{{"compare", json::array()}, {"success", json::array()}};
  for (const Condition& condition : conditions) {
    request["compare"].push_back({{"key", absl::Base64Escape(condition.key)},
                                  {"target", "MOD"},
                                  {"result", "EQUAL"},
                                  {"mod_revision", std::to_string(condition.mod_revision)}});
  }
  for (const Write& write : writes) request["success"].push_back(EncodeWrite(write));
  return request.dump();
}

std::string EncodeLeaseGrantRequest(int64_t time_to_live_s) {
  return json{{"TTL", std::to_string(time_to_live_s)}}.dump();
}

std::string EncodeLeaseRequest(int64_t lease) { return json{{"ID", std::to_string(lease)}}.dump(); }

std::string EncodeWatchRequest(const std::string& prefix, int64_t start_revision) {
  json create = PrefixRange(prefix);
  create["start_revision"] = std::to_string(start_revision);
  return json{{"create_request", std::move(create)}}.dump();
}

std::optional<RangeResult> DecodeRangeAnswer(const std::string& text) {
  const json message = Parse(text);
  FieldReader reader(message);
  RangeResult result;
  result.revision = HeaderRevision(reader);
  for (const json& item : reader.Array("kvs")) {
    std::optional<KeyValue> key_value = DecodeKeyValue(item);
    if (!key_value.has_value()) return std::nullopt;
    result.key_values.push_back(*std::move(key_value));
  }
  if (!reader.ok() || result.revision <= 0) return std::nullopt;
  return result;
}

std::optional<CommitResult> DecodeCommitAnswer(const std::string& text) {
  const json message = Parse(text);
  FieldReader reader(message);
  CommitResult result;
  result.succeeded = reader.Boolean("succeeded");
  result.revision = HeaderRevision(reader);
  if (!reader.ok() || result.revision <= 0) return std::nullopt;
  return result;
}

std::optional<LeaseAnswer> DecodeLeaseGrantAnswer(const std::string& text) {
  return DecodeLease(Parse(text));
}

std::optional<LeaseAnswer> DecodeKeepAliveAnswer(const std::string& text) {
  const json message = Parse(text);
  FieldReader reader(message);
  const json& result = reader.Object("result");
  if (!reader.ok()) return std::nullopt;
  return DecodeLease(result);
}

std::optional<WatchAnswer> DecodeWatchAnswer(const std::string& text) {
  const json message = Parse(text);
  FieldReader outer(message);
  FieldReader reader(outer.Object("result"));
  WatchAnswer answer;
  answer.canceled = reader.Boolean("canceled");
  answer.compact_revision = reader.Integer("compact_revision");
  answer.cancel_reason = reader.String("cancel_reason");
  for (const json& item : reader.Array("events")) {
    std::optional<WatchEvent> event = DecodeEvent(item);
    if (!event.has_value()) return std::nullopt;
    answer.events.push_back(*std::move(event));
  }
  if (!outer.ok() || !reader.ok()) return std::nullopt;
  return answer;
}

absl::Status StatusOfRefusal(int http_status, const std::string& body, bool is_write) {
  const json message = Parse(body);
  FieldReader reader(message);
  const int64_t code = reader.Integer("code");
  const std::string reason = reader.String("message");
  const std::string text = absl::StrCat("HTTP status ", http_status, ": ", reason);
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  if (http_status == kTooManyRequests ||
      code == static_cast<int64_t>(absl::StatusCode::kResourceExhausted)) {
    return absl::ResourceExhaustedError(text);
  }
  if (http_status >= kFirstServerError) {
    const bool certain = !is_write || CertainlyNotBegun(reason);
    return certain ? absl::UnavailableError(text) : absl::UnknownError(text);
  }
  if (code == static_cast<int64_t>(absl::StatusCode::kNotFound)) return absl::NotFoundError(text);
  if (code == static_cast<int64_t>(absl::StatusCode::kOutOfRange)) {
    return absl::OutOfRangeError(text);
  }
  return absl::InvalidArgumentError(text);
}

}  // namespace runshelf::infrastructure
