#include "runshelf/consensus/message_json.h"

#include <absl/status/status.h>
#include <absl/strings/escaping.h>

#include <algorithm>
#include <string>
#include <utility>

namespace runshelf::consensus {
namespace {

using Json = nlohmann::json;

constexpr char kVoteRequest[] = "vote";
constexpr char kVoteResponse[] = "vote_answer";
constexpr char kAppendRequest[] = "append";
constexpr char kAppendResponse[] = "append_answer";
constexpr char kSnapshotRequest[] = "snapshot";

// Names of the fields. An entry, a snapshot and each message have their own scope.
constexpr char kType[] = "m";
constexpr char kTerm[] = "t";
constexpr char kIndex[] = "i";
constexpr char kIndexTerm[] = "it";
constexpr char kPreVote[] = "p";
constexpr char kOk[] = "ok";
constexpr char kCommit[] = "c";
constexpr char kRound[] = "r";
constexpr char kEntries[] = "e";
constexpr char kSnapshot[] = "s";
constexpr char kKind[] = "k";
constexpr char kVoters[] = "v";
constexpr char kText[] = "d";
constexpr char kBase64[] = "b";

void PutBytes(Json& json, const std::string& bytes) {
  if (bytes.empty()) return;
  const bool is_ascii = std::all_of(bytes.begin(), bytes.end(), [](char byte) {
    return static_cast<unsigned char>(byte) < 0x80U;
  });
  if (is_ascii) {
    json[kText] = bytes;
  } else {
    json[kBase64] = absl::Base64Escape(bytes);
  }
}

void PutVoters(Json& json, const std::vector<InstanceId>& voters) {
  Json list = Json::array();
  for (const InstanceId& voter : voters) list.push_back(voter.ToString());
  json[kVoters] = std::move(list);
}

// Reads the fields of one object and remembers whether all were well-formed.
class Reader {
 public:
  explicit Reader(const Json& json) : json_(json), ok_(json.is_object()) {}

  uint64_t Unsigned(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr || !field->is_number_unsigned()) return Fail<uint64_t>();
    return field->get<uint64_t>();
  }

  bool Boolean(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr || !field->is_boolean()) return Fail<bool>();
    return field->get<bool>();
  }

  std::string String(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr || !field->is_string()) return Fail<std::string>();
    return field->get<std::string>();
  }

  // Text, base64 or, when both are missing, no bytes.
  std::string Bytes() {
    if (Find(kText) != nullptr) return String(kText);
    if (Find(kBase64) == nullptr) return {};
    std::string bytes;
    if (!absl::Base64Unescape(String(kBase64), &bytes)) return Fail<std::string>();
    return bytes;
  }

  std::vector<InstanceId> Voters() {
    std::vector<InstanceId> voters;
    for (const Json& item : Array(kVoters)) {
      InstanceId voter =
          item.is_string() ? InstanceId::Parse(item.get<std::string>()) : InstanceId();
      if (voter.empty()) return Fail<std::vector<InstanceId>>();
      voters.push_back(std::move(voter));
    }
    return voters;
  }

  const Json& Array(const char* name) {
    static const Json kNone = Json::array();
    const Json* field = Find(name);
    if (field != nullptr && field->is_array()) return *field;
    ok_ = false;
    return kNone;
  }

  const Json& Object(const char* name) {
    static const Json kNone = Json::object();
    const Json* field = Find(name);
    if (field != nullptr && field->is_object()) return *field;
    ok_ = false;
    return kNone;
  }

  bool ok() const { return ok_; }

 private:
  template <typename Value>
  Value Fail() {
    ok_ = false;
    return Value();
  }

  const Json* Find(const char* name) const {
    if (!json_.is_object()) return nullptr;
    const auto field = json_.find(name);
    return field == json_.end() ? nullptr : &*field;
  }

  const Json& json_;
  bool ok_;
};

absl::Status Malformed(const char* what) {
  return absl::InvalidArgumentError(absl::string_view(what));
}

Json Encode(const VoteRequest& request) {
  return {{kType, kVoteRequest},
          {kTerm, request.term},
          {kPreVote, request.pre_vote},
          {kIndex, request.last_log_index},
          {kIndexTerm, request.last_log_term}};
}

Json Encode(const VoteResponse& response) {
  return {{kType, kVoteResponse},
          {kTerm, response.term},
          {kPreVote, response.pre_vote},
          {kOk, response.granted}};
}

Json Encode(const AppendRequest& request) {
  Json json = {{kType, kAppendRequest},          {kTerm, request.term},
               {kIndex, request.previous_index}, {kIndexTerm, request.previous_term},
               {kCommit, request.commit_index},  {kRound, request.round}};
  Json entries = Json::array();
  for (const LogEntry& entry : request.entries) entries.push_back(ToJson(entry));
  json[kEntries] = std::move(entries);
  return json;
}

Json Encode(const AppendResponse& response) {
  return {{kType, kAppendResponse},
          {kTerm, response.term},
          {kOk, response.accepted},
          {kIndex, response.match_index},
          {kRound, response.round}};
}

Json Encode(const SnapshotRequest& request) {
  return {{kType, kSnapshotRequest},
          {kTerm, request.term},
          {kRound, request.round},
          {kSnapshot, ToJson(request.snapshot)}};
}

VoteRequest ReadVoteRequest(Reader& reader) {
  VoteRequest request;
  request.term = reader.Unsigned(kTerm);
  request.pre_vote = reader.Boolean(kPreVote);
  request.last_log_index = reader.Unsigned(kIndex);
  request.last_log_term = reader.Unsigned(kIndexTerm);
  return request;
}

VoteResponse ReadVoteResponse(Reader& reader) {
  VoteResponse response;
  response.term = reader.Unsigned(kTerm);
  response.pre_vote = reader.Boolean(kPreVote);
  response.granted = reader.Boolean(kOk);
  return response;
}

AppendResponse ReadAppendResponse(Reader& reader) {
  AppendResponse response;
  response.term = reader.Unsigned(kTerm);
  response.accepted = reader.Boolean(kOk);
  response.match_index = reader.Unsigned(kIndex);
  response.round = reader.Unsigned(kRound);
  return response;
}

absl::StatusOr<Message> ReadAppendRequest(Reader& reader) {
  AppendRequest request;
  request.term = reader.Unsigned(kTerm);
  request.previous_index = reader.Unsigned(kIndex);
  request.previous_term = reader.Unsigned(kIndexTerm);
  request.commit_index = reader.Unsigned(kCommit);
  request.round = reader.Unsigned(kRound);
  for (const Json& item : reader.Array(kEntries)) {
    absl::StatusOr<LogEntry> entry = LogEntryFromJson(item);
    if (!entry.ok()) return entry.status();
    request.entries.push_back(*std::move(entry));
  }
  return Message(std::move(request));
}

absl::StatusOr<Message> ReadSnapshotRequest(Reader& reader) {
  SnapshotRequest request;
  request.term = reader.Unsigned(kTerm);
  request.round = reader.Unsigned(kRound);
  absl::StatusOr<Snapshot> snapshot = SnapshotFromJson(reader.Object(kSnapshot));
  if (!snapshot.ok()) return snapshot.status();
  request.snapshot = *std::move(snapshot);
  return Message(std::move(request));
}

absl::StatusOr<Message> ReadMessage(const std::string& type, Reader& reader) {
  if (type == kVoteRequest) return Message(ReadVoteRequest(reader));
  if (type == kVoteResponse) return Message(ReadVoteResponse(reader));
  if (type == kAppendRequest) return ReadAppendRequest(reader);
  if (type == kAppendResponse) return Message(ReadAppendResponse(reader));
  if (type == kSnapshotRequest) return ReadSnapshotRequest(reader);
  return Malformed("unknown type of consensus message");
}

}  // namespace

nlohmann::json ToJson(const Message& message) {
  return std::visit([](const auto& value) { return Encode(value); }, message);
}

nlohmann::json ToJson(const LogEntry& entry) {
  Json json = {
      {kIndex, entry.index}, {kTerm, entry.term}, {kKind, static_cast<uint64_t>(entry.kind)}};
  PutBytes(json, entry.command);
  if (entry.kind == EntryKind::kVoters) PutVoters(json, entry.voters);
  return json;
}

nlohmann::json ToJson(const Snapshot& snapshot) {
  Json json = {{kIndex, snapshot.index}, {kTerm, snapshot.term}};
  PutVoters(json, snapshot.voters);
  PutBytes(json, snapshot.state);
  return json;
}

absl::StatusOr<Message> MessageFromJson(const nlohmann::json& json) {
  Reader reader(json);
  const std::string type = reader.String(kType);
  if (!reader.ok()) return Malformed("consensus message without a type");
  absl::StatusOr<Message> message = ReadMessage(type, reader);
  if (message.ok() && !reader.ok()) return Malformed("malformed field of a consensus message");
  return message;
}

absl::StatusOr<LogEntry> LogEntryFromJson(const nlohmann::json& json) {
  Reader reader(json);
  LogEntry entry;
  entry.index = reader.Unsigned(kIndex);
  entry.term = reader.Unsigned(kTerm);
  const uint64_t kind = reader.Unsigned(kKind);
  if (kind > static_cast<uint64_t>(EntryKind::kVoters))
    return Malformed("unknown kind of log entry");
  entry.kind = static_cast<EntryKind>(kind);
  entry.command = reader.Bytes();
  if (entry.kind == EntryKind::kVoters) entry.voters = reader.Voters();
  if (!reader.ok()) return Malformed("malformed log entry");
  return entry;
}

absl::StatusOr<Snapshot> SnapshotFromJson(const nlohmann::json& json) {
  Reader reader(json);
  Snapshot snapshot;
  snapshot.index = reader.Unsigned(kIndex);
  snapshot.term = reader.Unsigned(kTerm);
  snapshot.voters = reader.Voters();
  snapshot.state = reader.Bytes();
  if (!reader.ok()) return Malformed("malformed snapshot");
  return snapshot;
}

}  // namespace runshelf::consensus
