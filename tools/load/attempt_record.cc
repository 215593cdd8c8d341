#include "tools/load/attempt_record.h"

#include <nlohmann/json.hpp>

namespace runshelf::load {
namespace {

using nlohmann::json;

std::optional<Verdict> ParseVerdict(const std::string& name) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (name == VerdictName(verdict)) return verdict;
  }
  return std::nullopt;
}

// Reads the members of one object and remembers whether any was missing or of another type.
class MemberReader {
 public:
  explicit MemberReader(const json& object) : object_(object) {}

  void Read(const char* name, std::string& value) {
    const json* member = Find(name);
    if (member != nullptr && Require(member->is_string())) value = member->get<std::string>();
  }
  void Read(const char* name, bool& value) {
    const json* member = Find(name);
    if (member != nullptr && Require(member->is_boolean())) value = member->get<bool>();
  }
  template <typename Integer>
  void ReadInteger(const char* name, Integer& value) {
    const json* member = Find(name);
    if (member != nullptr && Require(member->is_number_integer())) value = member->get<Integer>();
  }
  void Read(const char* name, Instant& value) {
    int64_t microseconds = 0;
    ReadInteger(name, microseconds);
    value = InstantFromMicroseconds(microseconds);
  }

  bool valid() const { return valid_; }

 private:
  const json* Find(const char* name) {
    const auto found = object_.find(name);
    return Require(found != object_.end()) ? &*found : nullptr;
  }
  bool Require(bool condition) {
    valid_ = valid_ && condition;
    return condition;
  }

  const json& object_;
  bool valid_ = true;
};

}  // namespace

std::string ToJsonLine(const AttemptRecord& record) {
  const json object = {
      {"call", record.call},
      {"attempt", record.attempt},
      {"service", record.service},
      {"class", record.caller_class},
      {"key", record.key},
      {"idempotency_key", record.idempotency_key},
      {"repeatable", record.repeatable},
      {"warm_up", record.warm_up},
      {"direct", record.direct},
      {"endpoint", record.endpoint},
      {"scheduled_us", ToMicroseconds(record.scheduled_at)},
      {"sent_us", ToMicroseconds(record.sent_at)},
      {"done_us", ToMicroseconds(record.done_at)},
      {"status", record.status},
      {"verdict", record.verdict ? std::string(VerdictName(*record.verdict)) : std::string()},
      {"error", record.error},
      {"request_id", record.request_id},
      {"wrong_answer", record.wrong_answer}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<AttemptRecord> ParseAttemptLine(const std::string& line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object()) return absl::InvalidArgumentError("not a JSON object");
  AttemptRecord record;
  MemberReader reader(object);
  std::string verdict;
  reader.Read("call", record.call);
  reader.ReadInteger("attempt", record.attempt);
  reader.Read("service", record.service);
  reader.Read("class", record.caller_class);
  reader.Read("key", record.key);
  reader.Read("idempotency_key", record.idempotency_key);
  reader.Read("repeatable", record.repeatable);
  reader.Read("warm_up", record.warm_up);
  reader.Read("direct", record.direct);
  reader.Read("endpoint", record.endpoint);
  reader.Read("scheduled_us", record.scheduled_at);
  reader.Read("sent_us", record.sent_at);
  reader.Read("done_us", record.done_at);
  reader.ReadInteger("status", record.status);
  reader.Read("verdict", verdict);
  reader.Read("error", record.error);
  reader.Read("request_id", record.request_id);
  reader.Read("wrong_answer", record.wrong_answer);
  record.verdict = ParseVerdict(verdict);
  if (!reader.valid()) return absl::InvalidArgumentError("attempt with a bad member");
  return record;
}

}  // namespace runshelf::load
