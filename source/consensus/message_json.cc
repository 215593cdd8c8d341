#include "runshelf/consensus/message_json.h"

#include <absl/status/status.h>
#include <absl/strings/escaping.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/common/json_reader.h"

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

// Text, base64 or, when both are missing, no bytes.
void ReadBytes(JsonReader& reader, std::string& bytes) {
  if (reader.Find(kText) != nullptr) {
    reader.Read(kText, bytes);
    return;
  }
  if (reader.Find(kBase64) == nullptr) return;
  std::string encoded;
  reader.Read(kBase64, encoded);
  if (!absl::Base64Unescape(encoded, &bytes)) reader.Fail();
}

void ReadVoters(JsonReader& reader, std::vector<InstanceId>& voters) {
  reader.Read(kVoters, voters);
  for (const InstanceId& voter : voters) {
    if (voter.empty()) reader.Fail();
  }
}

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

Message ReadVoteRequest(JsonReader& reader) {
  VoteRequest request;
  reader.Read(kTerm, request.term)
      .Read(kPreVote, request.pre_vote)
      .Read(kIndex, request.last_log_index)
      .Read(kIndexTerm, request.last_log_term);
  return request;
}

Message ReadVoteResponse(JsonReader& reader) {
  VoteResponse response;
  reader.Read(kTerm, response.term).Read(kPreVote, response.pre_vote).Read(kOk, response.granted);
  return response;
}

Message ReadAppendRequest(JsonReader& reader) {
  AppendRequest request;
  reader.Read(kTerm, request.term)
      .Read(kIndex, request.previous_index)
      .Read(kIndexTerm, request.previous_term)
      .Read(kCommit, request.commit_index)
      .Read(kRound, request.round)
      .ReadArray(kEntries, request.entries, [](const Json& element, LogEntry& item) {
        absl::StatusOr<LogEntry> entry = LogEntryFromJson(element);
        if (!entry.ok()) return false;
        item = *std::move(entry);
        return true;
      });
  return request;
}

Message ReadAppendResponse(JsonReader& reader) {
  AppendResponse response;
  reader.Read(kTerm, response.term)
      .Read(kOk, response.accepted)
      .Read(kIndex, response.match_index)
      .Read(kRound, response.round);
  return response;
}

Message ReadSnapshotRequest(JsonReader& reader) {
  SnapshotRequest request;
  reader.Read(kTerm, request.term).Read(kRound, request.round);
  const Json* field = reader.Require(kSnapshot);
  if (field == nullptr) return request;
  absl::StatusOr<Snapshot> snapshot = SnapshotFromJson(*field);
  if (snapshot.ok()) {
    request.snapshot = *std::move(snapshot);
  } else {
    reader.Fail();
  }
  return request;
}

std::optional<Message> ReadMessage(const std::string& type, JsonReader& reader) {
  if (type == kVoteRequest) return ReadVoteRequest(reader);
  if (type == kVoteResponse) return ReadVoteResponse(reader);
  if (type == kAppendRequest) return ReadAppendRequest(reader);
  if (type == kAppendResponse) return ReadAppendResponse(reader);
  if (type == kSnapshotRequest) return ReadSnapshotRequest(reader);
  return std::nullopt;
}

}  // namespace

nlohmann::json ToJson(const Message& message) {
  return std::visit([](const auto& value) { return Encode(value); }, message);
}

nlohmann::json ToJson(const LogEntry& entry) {
  Json json = {
      {kIndex, entry.index}, {kTerm, entry.term}, {kKind, static_cast<uint64_t>(entry.kind)}};
  PutBytes(json, entry.command);
  if (entry.kind == EntryKind::kVoters) json[kVoters] = runshelf::ToJson(entry.voters);
  return json;
}

nlohmann::json ToJson(const Snapshot& snapshot) {
  Json json = {{kIndex, snapshot.index}, {kTerm, snapshot.term}};
  json[kVoters] = runshelf::ToJson(snapshot.voters);
  PutBytes(json, snapshot.state);
  return json;
}

absl::StatusOr<Message> MessageFromJson(const nlohmann::json& json) {
  JsonReader reader(json);
  std::string type;
  reader.Read(kType, type);
  std::optional<Message> message = ReadMessage(type, reader);
  if (!message) return Malformed("unknown type of consensus message");
  if (!reader.ok()) return Malformed("malformed consensus message");
  return *std::move(message);
}

absl::StatusOr<LogEntry> LogEntryFromJson(const nlohmann::json& json) {
  JsonReader reader(json);
  LogEntry entry;
  uint64_t kind = 0;
  reader.Read(kIndex, entry.index).Read(kTerm, entry.term).Read(kKind, kind);
  if (kind > static_cast<uint64_t>(EntryKind::kVoters)) reader.Fail();
  if (!reader.ok()) return Malformed("malformed log entry");
  entry.kind = static_cast<EntryKind>(kind);
  ReadBytes(reader, entry.command);
  if (entry.kind == EntryKind::kVoters) ReadVoters(reader, entry.voters);
  if (!reader.ok()) return Malformed("malformed log entry");
  return entry;
}

absl::StatusOr<Snapshot> SnapshotFromJson(const nlohmann::json& json) {
  JsonReader reader(json);
  Snapshot snapshot;
  reader.Read(kIndex, snapshot.index).Read(kTerm, snapshot.term);
  ReadVoters(reader, snapshot.voters);
  ReadBytes(reader, snapshot.state);
  if (!reader.ok()) return Malformed("malformed snapshot");
  return snapshot;
}

}  // namespace runshelf::consensus
