#include "source/http/call_set.h"

#include <utility>

namespace runshelf::http {

uint64_t CallSet::Start(const event::Endpoint& endpoint, std::string_view request,
                        const CallOptions& options, Duration timeout, Callback callback) {
  const uint64_t id = next_call_++;
  calls_[id] = std::make_unique<SimpleCall>(
      loop_, pool_, endpoint, request, options, timeout,
      [this, id, callback = std::move(callback)](std::optional<Response> response, ClientFailure) {
        // Keeps the call alive while the callback runs inside it.
        const auto finished = std::move(calls_[id]);
        calls_.erase(id);
        callback(std::move(response));
      });
  return id;
}

}  // namespace runshelf::http
