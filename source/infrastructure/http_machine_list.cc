#include "runshelf/infrastructure/http_machine_list.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "source/infrastructure/http_call.h"

namespace runshelf::infrastructure {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

// Reads a string field; false when it is absent or of another type.
bool ReadString(const json& object, const char* name, std::string& value) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_string()) return false;
  value = field->get<std::string>();
  return true;
}

std::optional<Machine> DecodeMachine(const json& message) {
  if (!message.is_object()) return std::nullopt;
  Machine machine;
  std::string state;
  if (!ReadString(message, "node", machine.node) || machine.node.empty()) return std::nullopt;
  if (!ReadString(message, "address", machine.address)) return std::nullopt;
  if (!ReadString(message, "zone", machine.zone)) return std::nullopt;
  if (!ReadString(message, "state", state)) return std::nullopt;
  if (state != "live" && state != "leaving") return std::nullopt;
  machine.state = state == "leaving" ? MachineState::kLeaving : MachineState::kLive;
  return machine;
}

// A list with one malformed entry is refused whole: half a list would look like lost machines.
std::optional<MachineListSnapshot> DecodeMachines(const std::string& text) {
  const json message = json::parse(text, nullptr, false);
  if (!message.is_object()) return std::nullopt;
  const auto version = message.find("version");
  const auto machines = message.find("machines");
  if (version == message.end() || !version->is_number_unsigned()) return std::nullopt;
  if (machines == message.end() || !machines->is_array()) return std::nullopt;
  MachineListSnapshot snapshot;
  snapshot.version = version->get<uint64_t>();
  for (const json& item : *machines) {
    std::optional<Machine> machine = DecodeMachine(item);
    if (!machine.has_value()) return std::nullopt;
    snapshot.machines.push_back(*std::move(machine));
  }
  return snapshot;
}

class HttpMachineList : public MachineList {
 public:
  HttpMachineList(const Poco::Net::SocketAddress& address, Duration timeout)
      : address_(address), timeout_(timeout) {}

  absl::StatusOr<MachineListSnapshot> Read() override {
    const absl::StatusOr<HttpAnswer> answer = Call(address_, {"GET", "/machines", ""}, timeout_);
    if (!answer.ok()) return absl::UnavailableError(answer.status().message());
    if (answer->status != kHttpOk) {
      return absl::UnavailableError(absl::StrCat("HTTP status ", answer->status));
    }
    std::optional<MachineListSnapshot> snapshot = DecodeMachines(answer->body);
    if (!snapshot.has_value()) return absl::UnavailableError("the list is malformed");
    return *std::move(snapshot);
  }

 private:
  Poco::Net::SocketAddress address_;
  Duration timeout_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<MachineList>> MakeHttpMachineList(const std::string& address,
                                                                 Duration timeout) {
  if (timeout <= Duration::zero()) return absl::InvalidArgumentError("the timeout is not positive");
  absl::StatusOr<Poco::Net::SocketAddress> parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  return std::make_unique<HttpMachineList>(*parsed, timeout);
}

}  // namespace runshelf::infrastructure
