// Naive versions of single parts, put in place to show that the judge sees what they break. They
// wrap the production code from outside; the product has no switch for them.
#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace runshelf::sim {

struct NaiveParts {
  bool no_fencing = false;         // Servers execute whatever they are handed.
  bool no_expiry_wait = false;     // Servers believe in a grant for longer than the giver waits.
  bool no_release_wait = false;    // Daemons confirm a release order before it is fulfilled.
  bool keep_grants = false;        // A grant that was not answered is kept and tried again.
  bool retry_any_error = false;    // A request is sent again after any failure.
  bool no_idempotency = false;     // Owners do not remember requests with an idempotency key.
  bool whole_table_write = false;  // Operators write back the whole table that they read.
  bool no_drain = false;           // A planned stop ends the processes at once.
  bool ignore_leaving = false;     // Daemons do not heed that a machine is leaving.
};

// "none" or the name of one part; kInvalidArgument otherwise.
absl::StatusOr<NaiveParts> ParseNaivePart(const std::string& name);

}  // namespace runshelf::sim
