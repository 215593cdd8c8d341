#include "tests/overload/slow_relay.h"

#include <utility>

namespace runshelf::overload {
namespace {

constexpr size_t kUnhinderedBytes = size_t{64} * 1024;
constexpr Duration kPause = std::chrono::milliseconds(100);

}  // namespace

// One connection to the relay and the one to the worker that belongs to it.
class SlowRelay::Pair {
 public:
  Pair(SlowRelay* relay, std::unique_ptr<event::TcpStream> caller)
      : relay_(relay),
        pause_(relay->loop_, [this] { Resume(); }),
        from_caller_(this, /*caller=*/true),
        from_worker_(this, /*caller=*/false),
        caller_(std::move(caller)),
        worker_(event::TcpStream::Connect(relay->loop_, relay->worker_, &from_worker_)) {
    caller_->set_observer(&from_caller_);
    caller_->StartReading();
  }

  bool closed() const { return caller_ == nullptr; }

 private:
  struct Side : event::StreamObserver {
    Side(Pair* owner, bool caller) : pair(owner), is_caller(caller) {}
    void OnData(std::string_view data) override {
      if (is_caller) {
        pair->OnCallerData(data);
      } else if (pair->caller_ != nullptr) {
        pair->caller_->Write(data);
      }
    }
    void OnEnd(event::StreamEnd) override { pair->Close(); }
    Pair* pair;
    bool is_caller;
  };

  void OnCallerData(std::string_view data) {
    received_ += data.size();
    worker_->Write(data);
    if (!relay_->slow_ || received_ <= kUnhinderedBytes) return;
    caller_->StopReading();
    pause_.Start(kPause);
  }

  void Resume() {
    if (caller_ != nullptr) caller_->StartReading();
  }

  void Close() {
    pause_.Stop();
    caller_.reset();
    worker_.reset();
  }

  SlowRelay* relay_;
  event::Timer pause_;
  Side from_caller_;
  Side from_worker_;
  std::unique_ptr<event::TcpStream> caller_;
  std::unique_ptr<event::TcpStream> worker_;
  size_t received_ = 0;
};

SlowRelay::SlowRelay(event::EventLoop& loop, event::Endpoint worker)
    : loop_(loop),
      worker_(std::move(worker)),
      listener_(loop, [this](std::unique_ptr<event::TcpStream> stream) {
        pairs_.remove_if([](const auto& pair) { return pair->closed(); });
        pairs_.push_back(std::make_unique<Pair>(this, std::move(stream)));
      }) {
  listener_.Listen({"127.0.0.1", 0});
}

SlowRelay::~SlowRelay() = default;

}  // namespace runshelf::overload
