// Sends reports of released shards to the node that writes them to the shard map.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "source/http/call_set.h"
#include "source/sidecar/handover_writer.h"
#include "source/sidecar/peer_directory.h"

namespace runshelf::sidecar {

// Not thread-safe. All references must outlive the sender.
class HandoverSender {
 public:
  HandoverSender(event::EventLoop& loop, http::ConnectionPool& pool, const PeerDirectory& peers,
                 HandoverWriter& own_writer, std::string own_node, std::string service);

  // Asks the service's first node by name, which may be this one, to write the handover. Returns
  // false without calling `callback` if there is no such node or it did not answer recently.
  // Otherwise the callback is invoked, also if there is no answer, and maybe from within the call.
  bool Send(const HandoverReport& report, const HandoverWriter::Callback& callback);

 private:
  // The node that balances the load.
  const Peer* Writer() const;

  event::EventLoop& loop_;
  http::CallSet calls_;
  const PeerDirectory& peers_;
  HandoverWriter& own_writer_;
  std::string own_node_;
  std::string service_;
  Instant avoided_until_{};  // The writer gave no answer.
};

}  // namespace runshelf::sidecar
