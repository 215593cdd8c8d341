#include "source/ctl/quarantine_commands.h"

#include <absl/strings/str_join.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <set>

#include "source/sidecar/crash_items.h"

namespace runshelf::ctl {
namespace {

using infrastructure::KeyValue;
using infrastructure::KeyValueStore;
using sidecar::QuarantineItem;
using sidecar::RequestFingerprint;

// The lifetime of quarantine items that nodes write, the longest lease that the store grants.
constexpr Duration kItemLifetime = std::chrono::minutes(10);

int ReportUnavailable(const absl::Status& status, const Streams& streams) {
  fmt::print(streams.err,
             "runshelfctl: the platform could not be read or written, nothing was changed: {}; "
             "check --platform and try again\n",
             std::string(status.message()));
  return kExitUnavailable;
}

// Returns the ids of workers that terminated while running the request.
absl::StatusOr<std::set<std::string>> FindWorkersEndedDuring(const RequestFingerprint& request,
                                                             KeyValueStore& store) {
  const auto range = store.Range(std::string(sidecar::kWorkerEndPrefix));
  if (!range.ok()) return range.status();
  std::set<std::string> workers;
  for (const KeyValue& entry : range->key_values) {
    const auto end = sidecar::WorkerEnd::Parse(entry.value);
    if (!end.has_value()) continue;
    const bool was_running =
        std::find(end->requests.begin(), end->requests.end(), request) != end->requests.end();
    if (was_running) workers.insert(end->worker_id);
  }
  return workers;
}

// A quarantine item with its revision in the store.
struct StoredQuarantineItem {
  QuarantineItem item;
  int64_t revision = 0;  // 0 if the store has no item.
};

absl::StatusOr<StoredQuarantineItem> ReadQuarantineItem(const RequestFingerprint& request,
                                                        KeyValueStore& store) {
  const std::string key = std::string(sidecar::kQuarantinePrefix) + request.ToString();
  const auto range = store.Range(key);
  if (!range.ok()) return range.status();
  StoredQuarantineItem stored;
  for (const KeyValue& entry : range->key_values) {
    if (entry.key != key) continue;
    stored.revision = entry.mod_revision;
    if (const auto item = QuarantineItem::Parse(entry.value)) stored.item = *item;
  }
  return stored;
}

}  // namespace

int RunQuarantineList(KeyValueStore& store, const Streams& streams) {
  const auto range = store.Range(std::string(sidecar::kQuarantinePrefix));
  if (!range.ok()) return ReportUnavailable(range.status(), streams);
  size_t listed = 0;
  for (const KeyValue& entry : range->key_values) {
    const auto item = QuarantineItem::Parse(entry.value);
    if (!item.has_value() || item->released) continue;
    ++listed;
    fmt::print(streams.out, "{} trials={} asks=\"{}\" workers={}\n",
               entry.key.substr(sidecar::kQuarantinePrefix.size()), item->trials, item->description,
               absl::StrJoin(item->worker_ids, ","));
  }
  fmt::print(streams.out, "{} in quarantine\n", listed);
  return kExitOk;
}

int RunQuarantineRelease(const QuarantineReleaseCommand& command, KeyValueStore& store,
                         const Streams& streams) {
  const auto request = RequestFingerprint::Parse(command.fingerprint);
  if (!request.has_value()) {
    fmt::print(streams.err,
               "runshelfctl: '{}' is not a fingerprint; see runshelfctl quarantine list\n",
               command.fingerprint);
    return kExitUsage;
  }
  auto stored = ReadQuarantineItem(*request, store);
  if (!stored.ok()) return ReportUnavailable(stored.status(), streams);
  auto workers = FindWorkersEndedDuring(*request, store);
  if (!workers.ok()) return ReportUnavailable(workers.status(), streams);
  if (stored->revision == 0 && workers->empty()) {
    fmt::print(streams.err,
               "runshelfctl: the request is not in quarantine and no worker termination is "
               "recorded for it\n");
    return kExitRefused;
  }
  workers->insert(stored->item.worker_ids.begin(), stored->item.worker_ids.end());
  stored->item.worker_ids.assign(workers->begin(), workers->end());
  stored->item.released = true;
  const auto lease = store.GrantLease(kItemLifetime);
  if (!lease.ok()) return ReportUnavailable(lease.status(), streams);
  const std::string key = std::string(sidecar::kQuarantinePrefix) + request->ToString();
  const auto result =
      store.Commit({{key, stored->revision}}, {{key, stored->item.Serialize(), *lease}});
  if (!result.ok()) {
    if (!absl::IsUnknown(result.status())) return ReportUnavailable(result.status(), streams);
    fmt::print(streams.err,
               "runshelfctl: undetermined: the store's response was lost; see "
               "runshelfctl quarantine list\n");
    return kExitUndetermined;
  }
  if (!result->succeeded) {
    fmt::print(
        streams.err,
        "runshelfctl: the quarantine item was changed concurrently, possibly by a trial run; "
        "nothing was changed, try again\n");
    return kExitRefused;
  }
  fmt::print(streams.out, "released {} revision={}\n", request->ToString(), result->revision);
  return kExitOk;
}

}  // namespace runshelf::ctl
