// What is known of the process at a worker's address.
#pragma once

namespace runshelf::sidecar {

enum class WorkerProof {
  kNone,         // Any process may be there.
  kIdentity,     // One that states the worker's identity: this incarnation, or another one.
  kIncarnation,  // This incarnation of the worker.
};

}  // namespace runshelf::sidecar
