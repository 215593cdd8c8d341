#include "tests/soak/fault_proxy.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>

namespace runshelf::soak {
namespace {

constexpr Duration kLingerAfterDelay = std::chrono::milliseconds(10);

}  // namespace

// One connection of a caller and the one to the target that belongs to it.
class FaultProxy::Pair {
 public:
  Pair(FaultProxy* proxy, std::unique_ptr<event::TcpStream> caller)
      : proxy_(proxy),
        to_target_(this, /*forward=*/true),
        to_caller_(this, /*forward=*/false),
        end_timer_(proxy->loop_, [this] { proxy_->Remove(this); }) {
    to_caller_.stream = std::move(caller);
    to_target_.stream = event::TcpStream::Connect(proxy->loop_, proxy->target_, &to_target_);
    to_caller_.stream->set_observer(&to_caller_);
    to_caller_.stream->StartReading();
  }

  bool held_back() const { return held_back_; }

 private:
  // What was read at one end and is to be written at the other.
  struct Chunk {
    Instant due;
    std::string bytes;
  };

  // One of the two connections.
  struct End : public event::StreamObserver {
    End(Pair* owner, bool is_forward)
        : pair(owner), forward(is_forward), timer(owner->proxy_->loop_, [this] { WriteDue(); }) {}

    void OnConnected() override { stream->StartReading(); }
    void OnData(std::string_view data) override { pair->Pass(this, data); }
    void OnEnd(event::StreamEnd) override { pair->OnEndOfEither(); }

    // Bytes that are to be written to this end.
    void Enqueue(Instant due, std::string_view data) {
      chunks.push_back({due, std::string(data)});
      WriteDue();
    }

    void WriteDue() {
      const Instant now = pair->proxy_->loop_.Now();
      while (!chunks.empty() && chunks.front().due <= now) {
        stream->Write(chunks.front().bytes);
        chunks.pop_front();
      }
      if (!chunks.empty()) timer.Start(chunks.front().due - now);
    }

    Pair* pair;
    bool forward;  // Towards the target.
    std::unique_ptr<event::TcpStream> stream;
    std::deque<Chunk> chunks;
    event::Timer timer;
  };

  bool Blocked(bool forward) const {
    switch (proxy_->mode_) {
      case Mode::kSilent:
        return true;
      case Mode::kForwardOnly:
        return !forward;
      case Mode::kBackwardOnly:
        return forward;
      case Mode::kPass:
      case Mode::kDelay:
      case Mode::kReset:
        return false;
    }
    return false;
  }

  void Pass(const End* from, std::string_view data) {
    End& to = from == &to_caller_ ? to_target_ : to_caller_;
    if (Blocked(to.forward)) {
      held_back_ = true;
      return;
    }
    if (held_back_) return;
    const bool late = proxy_->mode_ == Mode::kDelay;
    to.Enqueue(proxy_->loop_.Now() + (late ? proxy_->delay_ : Duration(0)), data);
  }

  void OnEndOfEither() {
    // While nothing passes, the end of a connection does not either.
    if (Blocked(true) || Blocked(false)) {
      held_back_ = true;
      return;
    }
    if (proxy_->mode_ == Mode::kDelay) {
      // What was read before the end still arrives.
      end_timer_.Start(proxy_->delay_ + kLingerAfterDelay);
      return;
    }
    proxy_->Remove(this);
  }

  FaultProxy* proxy_;
  End to_target_;
  End to_caller_;
  event::Timer end_timer_;
  bool held_back_ = false;
};

FaultProxy::FaultProxy(event::EventLoop& loop, event::Endpoint target)
    : loop_(loop),
      target_(std::move(target)),
      listener_(loop,
                [this](std::unique_ptr<event::TcpStream> stream) { Accept(std::move(stream)); }) {}

FaultProxy::~FaultProxy() = default;

int FaultProxy::Listen(const std::string& ip) {
  ip_ = ip;
  return listener_.Listen({ip, 0});
}

void FaultProxy::Accept(std::unique_ptr<event::TcpStream> stream) {
  if (mode_ == Mode::kReset) return;
  pairs_.push_back(std::make_unique<Pair>(this, std::move(stream)));
}

void FaultProxy::SetMode(Mode mode, Duration delay) {
  mode_ = mode;
  delay_ = delay;
  if (mode == Mode::kReset) BreakAll();
  std::erase_if(pairs_, [](const auto& pair) { return pair->held_back(); });
}

void FaultProxy::Remove(const Pair* pair) {
  std::erase_if(pairs_, [&](const auto& other) { return other.get() == pair; });
}

void FaultProxy::BreakAll() { pairs_.clear(); }

}  // namespace runshelf::soak
