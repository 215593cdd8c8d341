// The part of Sidecar that applies the configuration, the evacuated zones and the state that the
// nodes share in the store.

#include <algorithm>
#include <utility>

#include "source/sidecar/part_configs.h"
#include "source/sidecar/sidecar.h"

namespace runshelf::sidecar {

void Sidecar::OnConfigurationItem(const store::Item& item) {
  if (item.key != wire_.ConfigurationKey()) return;
  auto decoded = wire_.DecodeConfiguration(item.value);
  if (!decoded.ok()) {
    log_.Write(LogLevel::kError, "configuration_refused",
               {{"revision", store::RevisionText(item.revision)},
                {"reason", std::string(decoded.status().message())}});
    return;
  }
  if (configuration_ != nullptr && decoded->version() <= configuration_->version()) return;
  configuration_ = std::make_shared<const routes::RoutingConfiguration>(*std::move(decoded));
  log_.Write(LogLevel::kInfo, "configuration_in_force",
             {{"version", configuration_->version()},
              {"revision", store::RevisionText(item.revision)},
              {"routes", configuration_->routes().size()}});
  ApplyLimits(configuration_->limits());
  UpdateConfigured();
  ingress_.SetConfiguration(configuration_);
  ApplyService();
}

// Puts what the configuration says of the worker's service into force.
void Sidecar::ApplyService() {
  const routes::Service* service = configuration_->FindService(settings_.worker_service);
  const bool sharded = service != nullptr && service->sharded && !ServiceNeedsRestart();
  if (service != nullptr) monitor_.SetHealthPath(service->health_check_path);
  ApplyColdStart(service);
  holder_.SetGrantDelivery(service == nullptr
                               ? settings_.grant_delivery
                               : service->grant_delivery.value_or(settings_.grant_delivery));
  holder_.SetSharded(sharded);
  if (service != nullptr) holder_.SetMaxConnections(service->max_connections);
  coordinator_.SetActive(sharded && !stop_schedule_.begun());
}

void Sidecar::ApplyColdStart(const routes::Service* service) {
  const double rate = service == nullptr ? 0 : service->cold_rate;
  gate_.SetColdStartLimits({rate * settings_.bounds.cold_rate_factor, settings_.bounds.cold_burst});
  monitor_.TrackColdState(rate > 0);
}

void Sidecar::ApplyLimits(const routes::ClientLimits& limits) {
  http::ServerLimits& server = outbound_.limits();
  if (limits.max_header_bytes > 0)
    server.max_head_bytes = static_cast<size_t>(limits.max_header_bytes);
  if (limits.max_body_bytes > 0) server.max_body_bytes = static_cast<size_t>(limits.max_body_bytes);
  inbound_.limits().max_body_bytes =
      std::max(http::ServerLimits().max_body_bytes, server.max_body_bytes);
  if (limits.header_timeout > Duration(0)) server.request_timeout = limits.header_timeout;
  if (limits.idle_timeout > Duration(0)) server.idle_timeout = limits.idle_timeout;
}

void Sidecar::OnEvacuationItem(const std::string& key, bool present) {
  const std::string zone = NameAfter(key, wire_.EvacuationPrefix());
  if (zone.empty()) return;
  if (present) {
    evacuations_.OnWritten(zone);
  } else {
    evacuations_.OnRemoved(loop_.Now(), zone);
  }
  UpdateEvacuations();
}

void Sidecar::OnEvacuationsSynchronized() { UpdateConfigured(); }

// Requests are sent to the worker only once it is known that its zone is not evacuated.
void Sidecar::UpdateConfigured() {
  gate_.SetConfigured(configuration_ != nullptr && evacuation_watcher_.synchronized());
}

// Puts changes of the evacuated zones into force.
void Sidecar::UpdateEvacuations() {
  const std::set<std::string> zones = evacuations_.ZonesAt(loop_.Now());
  const std::set<std::string> former = peers_.evacuated_zones();
  if (zones == former) return;
  for (const std::string& zone : zones) {
    if (!former.contains(zone)) OnZoneEvacuated(zone, true);
  }
  for (const std::string& zone : former) {
    if (!zones.contains(zone)) OnZoneEvacuated(zone, false);
  }
  ingress_.OnShardsChanged();
}

void Sidecar::OnZoneEvacuated(const std::string& zone, bool evacuated) {
  log_.Write(LogLevel::kWarning, evacuated ? "zone_evacuated" : "zone_returned",
             {{"zone", zone},
              {"own_zone", zone == settings_.zone},
              {"revision", store::RevisionText(evacuation_watcher_.revision())}});
  peers_.SetEvacuated(zone, evacuated);
  if (zone != settings_.zone) return;
  // Evacuated workers may turn cold, and get no requests from which that would be noticed.
  if (!evacuated) monitor_.ForgetColdState();
  gate_.SetEvacuated(evacuated, loop_.Now() + EvacuationKeyTime(settings_.bounds));
  holder_.SetLeaving(ShouldReleaseKeys());
  Announce();
}

void Sidecar::OnStateItem(const store::Item& item) {
  if (!lost_items_.OnItem(item)) return;
  if (!NameAfter(item.key, kNodePrefix).empty()) {
    const auto record = NodeRecord::Parse(item.value);
    if (record.has_value() && record->node == NameAfter(item.key, kNodePrefix)) {
      peers_.OnRecord(*record, item.revision);
      quarantine_.OnWorkerAt(record->node, record->worker_id);
    } else {
      LogRefusedItem(item, "not a valid record of the node named by the key");
    }
    ingress_.OnShardsChanged();
    return;
  }
  if (const auto key = ShardMapKey::Parse(item.key); key.has_value()) {
    if (!shard_directory_.OnItem(*key, item)) LogRefusedItem(item, "not a valid shard map");
    if (shard_store_.OnItem(item)) holder_.OnMapChanged();
    ingress_.OnShardsChanged();
    return;
  }
  if (RequestQuarantine::IsItemKey(item.key)) {
    if (!quarantine_.OnItem(item))
      LogRefusedItem(item, "not a valid record of a worker's end or of a quarantined request");
    return;
  }
  if (FormerGrants::IsItemKey(item.key)) return former_grants_.OnItem(item);
  if (CrashHistoryRecord::IsItemKey(item.key)) {
    if (!memory_.OnItem(item)) LogRefusedItem(item, "not a valid memory record");
    return;
  }
  if (TableOverrides::IsCellKey(item.key)) {
    const bool understood = table_.OnItem(item);
    log_.Write(understood ? LogLevel::kInfo : LogLevel::kError, "table_cell",
               {{"key", item.key},
                {"revision", store::RevisionText(item.revision)},
                {"in_force", understood}});
    return;
  }
  if (item.key == KeyOf(kDrainPrefix, settings_.node_name)) {
    monitor_.OnDrainRecord(item.value, item.revision);
  }
}

// The item may come from another writer. The value known before remains in force.
void Sidecar::LogRefusedItem(const store::Item& item, const char* reason) {
  log_.Write(LogLevel::kError, "state_item_refused",
             {{"key", item.key},
              {"revision", store::RevisionText(item.revision)},
              {"bytes", item.value.size()},
              {"reason", std::string(reason)}});
}

void Sidecar::OnStateRemoved(const std::string& key) {
  if (!lost_items_.OnRemoved(key)) return;
  const std::string node = NameAfter(key, kNodePrefix);
  if (!node.empty()) peers_.OnRemoved(loop_.Now(), node);
  shard_store_.OnRemoved(key);
  if (RequestQuarantine::IsItemKey(key)) quarantine_.OnRemoved(key);
  if (CrashHistoryRecord::IsItemKey(key)) memory_.OnRemoved(key);
  if (FormerGrants::IsItemKey(key) && former_grants_.OnRemoved(key)) holder_.OnMapChanged();
  if (TableOverrides::IsCellKey(key)) {
    table_.OnRemoved(key);
    log_.Write(LogLevel::kInfo, "table_cell", {{"key", key}, {"in_force", false}});
  }
}

// Node records, shard maps, the memory record and former grants are excluded from the lost items:
// each node writes its own record again, and one node the shard map.
void Sidecar::OnStateEraBegan(const store::EraChange& change) {
  // The new era may have been announced by a peer before a response of the store stated it.
  const store::StoreEra era = store::EraOf(change.revision);
  former_grants_.OnEraBegan(era);
  std::map<std::string, store::Item> former = change.former;
  std::erase_if(former, [](const auto& entry) {
    return !NameAfter(entry.first, kNodePrefix).empty() ||
           !NameAfter(entry.first, kShardPrefix).empty() ||
           CrashHistoryRecord::IsItemKey(entry.first) || FormerGrants::IsItemKey(entry.first);
  });
  lost_items_.OnEraBegan({former, change.present, change.revision}, memory_.ItemOfEra(era),
                         feed_.leading());
}

void Sidecar::OnMemoryChanged() {
  const bool may_have_forgotten = memory_.MayBeIncomplete();
  if (std::exchange(may_have_forgotten_, may_have_forgotten) == may_have_forgotten) return;
  log_.Write(LogLevel::kWarning, "worker_ends_maybe_forgotten",
             {{"forgotten", may_have_forgotten}, {"era", store_.era()}});
  quarantine_.SetHistoryMayBeIncomplete(may_have_forgotten);
}

void Sidecar::OnQuarantineWritten(const store::Item& item) {
  const bool same_era = store::EraOf(item.revision) == store::EraOf(state_watcher_.revision());
  if (same_era && state_watcher_.CompleteTo(item.revision)) return;
  lost_items_.OnWritten(item);
}

void Sidecar::OnStateSynchronized() {
  monitor_.OnSynchronized();
  memory_.OnSynchronized();
  if (lease_to_confirm_ == 0 || lease_to_confirm_ == confirmed_lease_) return;
  confirmed_lease_ = lease_to_confirm_;
  holder_.OnMapChanged();
}

}  // namespace runshelf::sidecar
