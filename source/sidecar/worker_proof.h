// How far the process at a worker's address has been verified to be that worker.
#pragma once

namespace runshelf::sidecar {

enum class WorkerProof {
  kNone,         // Not verified: any process may be there.
  kIdentity,     // The process states the worker's identity, but may be another incarnation of it.
  kIncarnation,  // The process is this incarnation of the worker.
};

}  // namespace runshelf::sidecar
