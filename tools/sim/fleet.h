// All machines of a simulation, and who is at which address.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tools/sim/deployment.h"
#include "tools/sim/machine.h"

namespace runshelf::sim {

class Fleet {
 public:
  Fleet(DaemonEnvironment& environment, Judge& judge, Random& random,
        const coordination::NodeConfig& base, double largest_clock_skew)
      : environment_(environment),
        judge_(judge),
        random_(random),
        base_(base),
        largest_clock_skew_(largest_clock_skew) {}

  // Adds the machines of `deployment`, spread over its zones, and boots them.
  void Install(const Deployment& deployment);

  // Adds one more machine and boots it.
  Machine& Join(const std::string& service, const std::string& zone);

  // Tells the platform's machine list what is true; it shows it after its lag.
  void List(const Machine& machine, infrastructure::MachineState state);
  void Unlist(const Machine& machine);

  // Whether the last word to the list was that the machine is leaving.
  bool IsLeaving(const Machine& machine) const;

  // To be called whenever partitions have changed.
  void OnPartitionsChanged();

  const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_; }
  Machine* FindByName(const std::string& name) const;
  Machine* FindByPeerAddress(const std::string& address) const;
  Machine* FindByForwardAddress(const std::string& address) const;

 private:
  Machine& Add(const std::string& service, const std::string& zone);
  bool IsConnected(const Machine& machine) const;

  DaemonEnvironment& environment_;
  Judge& judge_;
  Random& random_;
  coordination::NodeConfig base_;
  double largest_clock_skew_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<std::string, Machine*> by_peer_address_;
  std::map<std::string, Machine*> by_forward_address_;
  std::map<std::string, Machine*> by_name_;
  std::set<std::string> leaving_;  // Names.
};

}  // namespace runshelf::sim
