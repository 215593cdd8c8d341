// The calls of the stand-in's key-value service, apart from HTTP.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>

#include "tools/platform_standin/fault_injector.h"
#include "tools/platform_standin/synchronized_store.h"

namespace runshelf::platform_standin {

// An HTTP status with a JSON body.
struct ApiAnswer {
  int http_status = 200;
  nlohmann::json body;
};

// Whether a POST to `path` may change the store.
CallKind KindOfCall(const std::string& path);

// Carries out the call that was posted to `path` with the JSON text `body`; a watch is not handled
// here (watch_stream.h).
ApiAnswer HandleCall(SynchronizedStore& store, const std::string& path, const std::string& body);

// The answer that etcd's gateway gives for an error.
ApiAnswer ErrorAnswer(const absl::Status& status);

}  // namespace runshelf::platform_standin
