// The item in the store that names the leaving worker of this node. It outlives this process, so
// that a restarted node does not send requests to that worker.
#pragma once

#include <functional>
#include <string>

#include "source/event/event_loop.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Reads and writes the drain record of one node. Not thread-safe.
class DrainRecord {
 public:
  struct Observer {
    // The store delivered the record, or accepted a write of it.
    std::function<void()> on_record;
    // Returns the worker that is leaving now; empty if none is.
    std::function<std::string()> leaving_worker;
  };

  DrainRecord(event::EventLoop& loop, store::StoreClient& store, std::string key,
              Observer observer);

  // Takes the record as the store delivered it. An older revision than the known one is ignored.
  void OnRecord(const std::string& worker_id, store::Revision revision);
  // Worker id in the record; empty if there is none or it is not known.
  const std::string& worker_id() const { return worker_id_; }

  // Records that the worker leaves, unless it is recorded already. `callback` receives false if the
  // store did not confirm the write.
  void Write(const std::string& worker_id, std::function<void(bool recorded)> callback);
  // Writes the record of the leaving worker, even if it was written before, and repeats that until
  // the store confirms it.
  void WriteUntilRecorded();

 private:
  store::StoreClient& store_;
  std::string key_;
  Observer observer_;
  event::Timer retry_timer_;
  std::string worker_id_;
  store::Revision revision_ = 0;
};

}  // namespace runshelf::sidecar
