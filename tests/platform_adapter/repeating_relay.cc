#include "tests/platform_adapter/repeating_relay.h"

#include <utility>
#include <vector>

namespace runshelf::platform_adapter {
namespace {

RepeatingRelay::Exchange ExchangeOf(std::string_view request) {
  const size_t target = request.find(' ') + 1;
  const auto is = [&](std::string_view path) {
    return request.substr(target, path.size()) == path;
  };
  if (is("/health")) return RepeatingRelay::Exchange::kHealthCheck;
  if (is("/runshelf/grant")) return RepeatingRelay::Exchange::kGrant;
  if (is("/runshelf/release")) return RepeatingRelay::Exchange::kRelease;
  return RepeatingRelay::Exchange::kRequest;
}

}  // namespace

// A connection of the node and the corresponding one to the worker. Requests are not pipelined, so
// all bytes that the worker sends between two requests form one response.
class RepeatingRelay::Pair {
 public:
  Pair(RepeatingRelay* relay, std::unique_ptr<event::TcpStream> node)
      : relay_(relay), node_(this), worker_(this) {
    node_.stream = std::move(node);
    worker_.stream = event::TcpStream::Connect(relay->loop_, relay->worker_, &worker_);
    node_.stream->set_observer(&node_);
    node_.stream->StartReading();
  }

 private:
  struct End : public event::StreamObserver {
    explicit End(Pair* owner) : pair(owner) {}
    void OnConnected() override { stream->StartReading(); }
    void OnData(std::string_view data) override { pair->OnData(this, data); }
    void OnEnd(event::StreamEnd) override { pair->Close(); }

    Pair* pair;
    std::unique_ptr<event::TcpStream> stream;
  };

  void OnData(const End* from, std::string_view data) {
    if (from == &worker_) {
      answer_.append(data);
      node_.stream->Write(data);
      return;
    }
    // A request head arrives in one piece, after the response to the previous request.
    if (!begun_ || !answer_.empty()) Begin(ExchangeOf(data));
    worker_.stream->Write(data);
  }

  void Begin(Exchange exchange) {
    ++relay_->sent_[static_cast<size_t>(exchange)];
    const std::string former_answer = std::exchange(answer_, "");
    const Exchange former = std::exchange(exchange_, exchange);
    if (!std::exchange(begun_, true) || !relay_->policy_) return;
    if (const auto repetition = relay_->policy_(former, exchange)) {
      ++relay_->repeated_;
      SendCopy(repetition->after, former_answer);
    }
  }

  void SendCopy(Duration after, const std::string& bytes) {
    if (after <= Duration(0)) return node_.stream->Write(bytes);
    timers_.push_back(std::make_unique<event::Timer>(relay_->loop_, [this, bytes] {
      if (node_.stream != nullptr) node_.stream->Write(bytes);
    }));
    timers_.back()->Start(after);
  }

  void Close() {
    relay_->pairs_.remove_if([this](const auto& other) { return other.get() == this; });
  }

  RepeatingRelay* relay_;
  End node_;
  End worker_;
  std::string answer_;  // Response bytes to the latest request so far.
  Exchange exchange_ = Exchange::kRequest;
  bool begun_ = false;
  std::vector<std::unique_ptr<event::Timer>> timers_;
};

RepeatingRelay::RepeatingRelay(event::EventLoop& loop, event::Endpoint worker)
    : loop_(loop),
      worker_(std::move(worker)),
      listener_(loop, [this](std::unique_ptr<event::TcpStream> stream) {
        if (pairs_.size() >= connection_limit_) {
          ++rejected_connections_;
          return;
        }
        pairs_.push_back(std::make_unique<Pair>(this, std::move(stream)));
      }) {
  listener_.Listen({"127.0.0.1", 0});
}

RepeatingRelay::~RepeatingRelay() = default;

event::Endpoint RepeatingRelay::endpoint() const { return {"127.0.0.1", listener_.bound_port()}; }

}  // namespace runshelf::platform_adapter
