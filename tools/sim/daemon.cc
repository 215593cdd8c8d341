#include "tools/sim/daemon.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "runshelf/table/store_records.h"
#include "tools/sim/group_record_store.h"
#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kMachineListInterval = std::chrono::milliseconds(500);
// Of daemons that do not follow the platform.
constexpr Duration kRareMachineListInterval = std::chrono::seconds(10);
constexpr Duration kTableInterval = std::chrono::milliseconds(300);
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
constexpr size_t kHottestSlots = 16;
// A leaving daemon answers this long after everything is handed over, for requests on their way.
constexpr Duration kLingerTime = std::chrono::milliseconds(300);

}  // namespace

Daemon::Daemon(DaemonEnvironment& environment, const coordination::NodeConfig& config,
               HostIndex host, const DriftingClock& clock, Server& server, uint64_t seed)
    : environment_(environment),
      config_(config),
      host_(host),
      clock_(clock),
      server_(server),
      process_(environment.queue),
      random_(seed) {}

void Daemon::Start() {
  process_.Start();
  ingress_.reset();
  server_agent_.reset();
  egress_.reset();
  node_.reset();
  lost_handlers_.clear();
  may_stop_ = nullptr;
  table_read_ = false;
  table_ = std::make_unique<table::TableMirror>();
  replica_ = std::make_unique<MirrorReplica>(*table_);
  MakeNewInstance();
  const EgressParts egress_parts{environment_.queue, process_, clock_, node_, *table_, server_};
  egress_ = std::make_unique<Egress>(egress_parts, !environment_.naive.no_idempotency);
  const IngressParts ingress_parts{environment_.queue,
                                   process_,
                                   clock_,
                                   environment_.network,
                                   host_,
                                   node_,
                                   random_,
                                   environment_.find_target,
                                   environment_.next_request_id,
                                   environment_.naive.retry_any_error};
  ingress_ = std::make_unique<Ingress>(ingress_parts, config_.zone);
  const ServerAgentParts agent_parts{environment_.queue,
                                     process_,
                                     clock_,
                                     node_,
                                     server_,
                                     [this] { CarryOut(); },
                                     [this] { egress_->SetCold(); }};
  server_agent_ = std::make_unique<ServerAgent>(agent_parts, environment_.naive);
  CarryOut();
  process_.After(random_.Between(Duration(0), kTickInterval), [this] { Tick(); });
  ReadMachines();
  FollowTable();
  server_agent_->Start();
  ReportLoad();
}

void Daemon::MakeNewInstance() {
  instance_ = NewInstanceId(config_.node, random_);
  node_ = environment_.make_node(config_, instance_, Now(), *replica_, nullptr, random_);
  Trace("start", instance_.ToString());
}

void Daemon::Kill() {
  if (!process_.alive()) {
    return;
  }
  Trace("kill", instance_.ToString());
  process_.Kill();
  const std::map<uint64_t, std::function<void()>> lost = std::exchange(lost_handlers_, {});
  if (host_up_) {
    for (const auto& [id, handler] : lost) {
      handler();
    }
  }
}

void Daemon::Tick() {
  node_->Tick(Now());
  egress_->Tick();
  CarryOut();
  CheckMayStop();
  process_.After(kTickInterval, [this] { Tick(); });
}

void Daemon::CarryOut() {
  for (std::vector<coordination::Action> actions = node_->TakeActions(); !actions.empty();
       actions = node_->TakeActions()) {
    for (const coordination::Action& action : actions) {
      std::visit([this](const auto& one) { Perform(one); }, action);
    }
  }
  ingress_->OnRoutesMayHaveChanged();
}

void Daemon::Perform(const coordination::SendMessage& send) {
  MessageTarget* target = environment_.find_peer(send.address);
  if (target == nullptr) {
    return;
  }
  auto envelope = std::make_shared<const coordination::Envelope>(send.envelope);
  environment_.network.SendDatagram(host_, target->host(),
                                    [target, envelope] { target->Receive(*envelope); });
}

void Daemon::Perform(const coordination::PushGrant&) { server_agent_->PushGrant(); }

void Daemon::Perform(const coordination::ReadGroupRecord&) { ReadGroup(); }

void Daemon::ReadGroup() {
  const std::string key = GroupRecordKey(config_.group);
  const uint64_t run = process_.run();
  environment_.platform.Range(
      host_, key, [this, run](absl::StatusOr<infrastructure::RangeResult> range) {
        if (process_.run() != run || !range.ok()) {
          return;
        }
        process_.Post([this, range = *std::move(range)] {
          if (range.key_values.empty()) {
            node_->OnGroupRecord(Now(), std::nullopt, 0);
          } else {
            const infrastructure::KeyValue& stored = range.key_values.front();
            node_->OnGroupRecord(Now(), DecodeStoredGroupRecord(stored.value), stored.mod_revision);
          }
          CarryOut();
        });
      });
}

void Daemon::Perform(const coordination::WriteGroupRecord& write) {
  const std::string key = GroupRecordKey(config_.group);
  std::vector<infrastructure::Condition> conditions = {{key, write.expected_revision}};
  std::vector<infrastructure::Write> writes = {{key, EncodeStoredGroupRecord(write.record), 0}};
  const uint64_t run = process_.run();
  environment_.platform.Commit(host_, std::move(conditions), std::move(writes),
                               [this, run](absl::StatusOr<infrastructure::CommitResult> result) {
                                 if (process_.run() != run) {
                                   return;
                                 }
                                 process_.Post([this, result = std::move(result)] {
                                   if (result.ok()) {
                                     node_->OnGroupRecordWritten(Now(), result->succeeded,
                                                                 result->revision);
                                     CarryOut();
                                   } else {
                                     ReadGroup();
                                   }
                                 });
                               });
}

void Daemon::Perform(const coordination::LogAction& log) {
  if (!TraceEnabled()) {
    return;
  }
  std::string text = instance_.ToString();
  for (const auto& [key, value] : log.fields) {
    text += fmt::format(" {}={}", key, value);
  }
  Trace(log.event, text);
}

// The process goes on as another instance, once the actions under way are carried out.
void Daemon::Perform(const coordination::RestartInstance& restart) {
  Trace("restart_instance", instance_.ToString() + " reason=" + restart.reason);
  process_.After(Duration(0), [this, old = node_] {
    if (node_ != old) {
      return;
    }
    const bool leaving = node_->Status(Now()).leaving;
    MakeNewInstance();
    node_->OnServerState(Now(), server_agent_->server_state());
    if (leaving) {
      node_->BeginLeave(Now());
    }
    CarryOut();
  });
}

void Daemon::ReadMachines() {
  const uint64_t run = process_.run();
  environment_.platform.ReadMachines(
      host_, [this, run](absl::StatusOr<infrastructure::MachineListSnapshot> machines) {
        if (process_.run() != run || !machines.ok()) {
          return;
        }
        process_.Post([this, machines = *std::move(machines)]() mutable {
          if (environment_.naive.ignore_leaving) {
            for (infrastructure::Machine& machine : machines.machines) {
              machine.state = infrastructure::MachineState::kLive;
            }
          }
          node_->OnPlatformContact(Now());
          node_->OnMachineList(Now(), machines);
          if (node_->Status(Now()).leaving) {
            egress_->BeginLeave();
          }
          CarryOut();
        });
      });
  const bool follows = node_->FollowsPlatform(Now());
  process_.After(follows ? kMachineListInterval : kRareMachineListInterval,
                 [this] { ReadMachines(); });
}

// Voters and daemons without a table follow the platform; the others get the table from them.
void Daemon::FollowTable() {
  process_.After(kTableInterval, [this] { FollowTable(); });
  if (!table_read_) {
    ReadTableRange();
    return;
  }
  if (!node_->FollowsPlatform(Now())) {
    return;
  }
  const int64_t revision = table_->Current()->revision();
  const uint64_t run = process_.run();
  environment_.platform.ChangesSince(
      host_, std::string(table::kTablePrefix), revision,
      [this, run](absl::StatusOr<Changes> changes) {
        if (process_.run() != run || !changes.ok()) {
          return;
        }
        process_.Post([this, changes = *std::move(changes)] {
          node_->OnPlatformContact(Now());
          for (const std::vector<infrastructure::WatchEvent>& events : changes.transactions) {
            table_->ApplyEvents(events);
          }
        });
      });
}

void Daemon::ReadTableRange() {
  const uint64_t run = process_.run();
  environment_.platform.Range(host_, std::string(table::kTablePrefix),
                              [this, run](absl::StatusOr<infrastructure::RangeResult> range) {
                                if (process_.run() != run || !range.ok()) {
                                  return;
                                }
                                process_.Post([this, range = *std::move(range)] {
                                  table_read_ = true;
                                  table_->ReplaceByRange(range);
                                });
                              });
}

void Daemon::ReportLoad() {
  process_.After(kLoadInterval, [this] { ReportLoad(); });
  const double seconds = std::chrono::duration<double>(kLoadInterval).count();
  coordination::LoadReport report;
  report.requests_per_second = static_cast<double>(egress_->TakeServedCount()) / seconds;
  for (const auto& [slot, count] : egress_->TakeSlotCounts()) {
    report.hottest_slots.push_back({slot, static_cast<double>(count) / seconds});
  }
  std::stable_sort(report.hottest_slots.begin(), report.hottest_slots.end(),
                   [](const coordination::SlotLoad& left, const coordination::SlotLoad& right) {
                     return left.requests_per_second > right.requests_per_second;
                   });
  report.hottest_slots.resize(std::min(report.hottest_slots.size(), kHottestSlots));
  node_->OnLoad(Now(), report);
  CarryOut();
}

void Daemon::Receive(const coordination::Envelope& envelope) {
  process_.Post([this, envelope] {
    node_->Receive(Now(), envelope);
    CarryOut();
  });
}

void Daemon::BeginLeave(Handler noticed, Handler may_stop) {
  process_.Post([this, noticed = std::move(noticed), may_stop = std::move(may_stop)] {
    noticed();
    Trace("leave", instance_.ToString());
    may_stop_ = may_stop;
    if (environment_.naive.no_drain) {
      may_stop_();
      return;
    }
    node_->BeginLeave(Now());
    egress_->BeginLeave();
    CarryOut();
  });
}

void Daemon::CheckMayStop() {
  if (!may_stop_ || in_progress() > 0 || !node_->MayStop(Now())) {
    return;
  }
  process_.After(kLingerTime, [this, may_stop = std::exchange(may_stop_, nullptr)] {
    if (in_progress() == 0) {
      may_stop();
    } else {
      may_stop_ = may_stop;
    }
  });
}

size_t Daemon::in_progress() const {
  return process_.alive() ? egress_->in_progress() + ingress_->in_progress() : 0;
}

void Daemon::TakeRequest(const CallerRequest& request, CallerAnswerHandler reply,
                         std::function<void(uint64_t handle)> taken) {
  process_.Post([this, request, reply = std::move(reply), taken = std::move(taken)] {
    taken(ingress_->Handle(request, reply));
  });
}

void Daemon::CallerGone(uint64_t handle) {
  process_.Post([this, handle] { ingress_->CallerGone(handle); });
}

void Daemon::Forward(const ForwardedRequest& request, ForwardAnswerHandler reply,
                     std::function<void()> lost) {
  const uint64_t id = request.request_id;
  lost_handlers_[id] = std::move(lost);
  process_.Post([this, id, request, reply = std::move(reply)] {
    egress_->Handle(request, [this, id, reply](const ForwardAnswer& answer) {
      lost_handlers_.erase(id);
      reply(answer);
    });
  });
}

void Daemon::CancelForwarded(uint64_t request_id) {
  process_.Post([this, request_id] { egress_->Cancel(request_id); });
}

}  // namespace runshelf::sim
