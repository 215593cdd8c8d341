#include "source/sidecar/feed_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "runshelf/common/json_writer.h"
#include "source/sidecar/text_patch.h"

namespace runshelf::sidecar {
namespace {

using nlohmann::json;

json ToBinary(const std::string& text) {
  return json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

bool ReadEvent(const json& row, ForwardedEvent* forwarded) {
  store::WatchEvent* event = &forwarded->event;
  if (!row.is_array() || row.size() != 6) return false;
  if (!row[0].is_string() || !row[1].is_number_integer() || !row[2].is_number_integer() ||
      !row[3].is_boolean() || !row[4].is_binary() || !row[5].is_number_integer()) {
    return false;
  }
  event->item.key = row[0].get<std::string>();
  event->item.revision = row[1].get<store::Revision>();
  event->item.lease = row[2].get<store::LeaseId>();
  event->removed = row[3].get<bool>();
  const auto& bytes = row[4].get_binary();
  event->item.value.assign(bytes.begin(), bytes.end());
  forwarded->base_revision = row[5].get<store::Revision>();
  return true;
}

}  // namespace

ForwardedChanges WithFullValues(const store::ChangeSet& changes) {
  ForwardedChanges result;
  result.complete = changes.complete;
  result.from = changes.from;
  result.to = changes.to;
  for (const store::WatchEvent& event : changes.events) result.events.push_back({event, 0});
  return result;
}

store::ChangeSet LatestOfEachItem(store::ChangeSet changes) {
  std::map<std::string, store::Revision> latest;
  for (const store::WatchEvent& event : changes.events) {
    store::Revision& revision = latest[event.item.key];
    revision = std::max(revision, event.item.revision);
  }
  std::erase_if(changes.events, [&](const store::WatchEvent& event) {
    return event.item.revision < latest.at(event.item.key);
  });
  return changes;
}

std::optional<store::ChangeSet> ApplyPatches(const ForwardedChanges& changes,
                                             const std::map<std::string, store::Item>& items) {
  store::ChangeSet result;
  result.complete = changes.complete;
  result.from = changes.from;
  result.to = changes.to;
  for (const ForwardedEvent& forwarded : changes.events) {
    store::WatchEvent event = forwarded.event;
    if (forwarded.base_revision != 0) {
      const auto base = items.find(event.item.key);
      // The receiver has this or a newer revision; the watcher ignores the event.
      const bool known = base != items.end() && base->second.revision >= event.item.revision;
      if (known) {
        event.item = base->second;
      } else {
        if (base == items.end() || base->second.revision != forwarded.base_revision) {
          return std::nullopt;
        }
        auto value = ApplyTextPatch(base->second.value, event.item.value);
        if (!value.has_value()) return std::nullopt;
        event.item.value = *std::move(value);
      }
    }
    result.events.push_back(std::move(event));
  }
  return result;
}

std::string StateBeacon::Serialize() const {
  return SerializeJson({{"node", node}, {"revisions", revisions}});
}

std::optional<StateBeacon> StateBeacon::Parse(std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("node") || !value["node"].is_string()) {
    return std::nullopt;
  }
  if (!value.contains("revisions") || !value["revisions"].is_object()) return std::nullopt;
  StateBeacon beacon;
  beacon.node = value["node"].get<std::string>();
  for (const auto& [prefix, revision] : value["revisions"].items()) {
    if (!revision.is_number_integer()) return std::nullopt;
    beacon.revisions[prefix] = revision.get<store::Revision>();
  }
  return beacon;
}

std::string SerializeChanges(const std::string& prefix, const ForwardedChanges& changes) {
  json events = json::array();
  for (const ForwardedEvent& forwarded : changes.events) {
    const store::WatchEvent& event = forwarded.event;
    events.push_back({event.item.key, event.item.revision, event.item.lease, event.removed,
                      ToBinary(event.item.value), forwarded.base_revision});
  }
  const json body{{"prefix", prefix},
                  {"complete", changes.complete},
                  {"from", changes.from},
                  {"to", changes.to},
                  {"events", events}};
  const std::vector<uint8_t> bytes = json::to_cbor(body);
  return {bytes.begin(), bytes.end()};
}

bool ParseChanges(std::string_view text, std::string* prefix, ForwardedChanges* changes) {
  const json body = json::from_cbor(text.begin(), text.end(), /*strict=*/true,
                                    /*allow_exceptions=*/false);
  if (!body.is_object()) return false;
  for (const char* name : {"prefix", "complete", "from", "to", "events"}) {
    if (!body.contains(name)) return false;
  }
  if (!body["complete"].is_boolean() || !body["prefix"].is_string() ||
      !body["from"].is_number_integer() || !body["to"].is_number_integer() ||
      !body["events"].is_array()) {
    return false;
  }
  *prefix = body["prefix"].get<std::string>();
  changes->complete = body["complete"].get<bool>();
  changes->from = body["from"].get<store::Revision>();
  changes->to = body["to"].get<store::Revision>();
  changes->events.clear();
  for (const json& row : body["events"]) {
    ForwardedEvent event;
    if (!ReadEvent(row, &event)) return false;
    changes->events.push_back(std::move(event));
  }
  return true;
}

}  // namespace runshelf::sidecar
