#include "source/event/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <utility>
#include <vector>

namespace runshelf::event {
namespace {

constexpr int kListenBacklog = 512;
// How long sent data may stay unacknowledged before the connection is considered broken.
constexpr unsigned kUserTimeoutMs = 1500;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr size_t kReadBufferBytes = size_t{64} * 1024;

// One buffer serves all connections, because the observer consumes the data before the next read.
char* SharedReadBuffer() {
  static std::vector<char> buffer(kReadBufferBytes);
  return buffer.data();
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

enum class Side { kOutgoing, kAccepted };

// Accepted connections have no limit for unacknowledged data, because a client may read slowly.
void SetSocketOptions(uv_tcp_t* tcp, Side side) {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(tcp), &descriptor) != 0) return;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds, sizeof(int));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
  if (side == Side::kOutgoing) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
  }
}

}  // namespace

std::string Endpoint::ToString() const { return ip + ":" + std::to_string(port); }

bool Endpoint::Parse(std::string_view text, Endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return false;
  const std::string ip(text.substr(0, colon));
  sockaddr_in address{};
  if (uv_ip4_addr(ip.c_str(), port, &address) != 0) return false;
  endpoint->ip = ip;
  endpoint->port = port;
  return true;
}

struct TcpStream::Handle {
  // Bytes to be written: copied, or kept valid by their owner.
  struct Block {
    std::string copied;
    std::string_view shared;
    std::shared_ptr<const void> owner;

    std::string_view bytes() const { return owner == nullptr ? copied : shared; }
  };

  uv_tcp_t tcp{};
  uv_connect_t connect{};
  uv_shutdown_t shutdown{};
  uv_write_t write{};
  StreamObserver* observer = nullptr;
  std::vector<Block> writing;  // Passed to uv_write.
  std::vector<Block> pending;  // To be written after `writing`.
  size_t writing_bytes = 0;
  size_t pending_bytes = 0;
  bool connected = false;
  bool write_active = false;
  bool shutdown_requested = false;
  bool ended = false;
  bool closed = false;

  void End(StreamEnd end) {
    if (ended || closed) return;
    ended = true;
    uv_read_stop(Stream());
    if (observer != nullptr) observer->OnEnd(end);
  }

  // After a short read libuv reports a hang-up as an orderly close without reading again, although
  // a reset hangs up too. The difference decides whether a response without a length is complete.
  bool IsOrderlyClose() const { return Peek() == 0; }

  // Returns what a read would return now: the number of bytes, zero at an orderly close, or -1 with
  // errno.
  ssize_t Peek() const {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp), &descriptor) != 0) {
      errno = EBADF;
      return -1;
    }
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  }

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }

  void AppendCopy(std::string_view bytes) {
    if (pending.empty() || pending.back().owner != nullptr) pending.emplace_back();
    pending.back().copied.append(bytes);
    pending_bytes += bytes.size();
  }

  void AppendShared(std::string_view bytes, std::shared_ptr<const void> owner) {
    pending.push_back({std::string(), bytes, std::move(owner)});
    pending_bytes += bytes.size();
  }

  void WritePending() {
    if (write_active || !connected || closed) return;
    if (pending.empty()) {
      MaybeShutdown();
      return;
    }
    writing = std::exchange(pending, {});
    writing_bytes = std::exchange(pending_bytes, 0);
    std::vector<uv_buf_t> buffers;
    buffers.reserve(writing.size());
    for (const Block& block : writing) {
      const std::string_view bytes = block.bytes();
      buffers.push_back(
          uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size())));
    }
    write.data = this;
    write_active = true;
    const int result = uv_write(&write, Stream(), buffers.data(),
                                static_cast<unsigned>(buffers.size()), &OnWritten);
    if (result != 0) {
      write_active = false;
      End(StreamEnd::kReset);
    }
  }

  void MaybeShutdown() {
    if (!shutdown_requested || closed) return;
    shutdown_requested = false;
    shutdown.data = this;
    uv_shutdown(&shutdown, Stream(), [](uv_shutdown_t*, int) {});
  }

  void Read() {
    uv_read_start(
        Stream(),
        [](uv_handle_t*, size_t, uv_buf_t* buffer) {
          *buffer = uv_buf_init(SharedReadBuffer(), kReadBufferBytes);
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          auto* handle = static_cast<Handle*>(stream->data);
          if (handle->closed || count == 0) return;
          if (count == UV_EOF) {
            handle->End(handle->IsOrderlyClose() ? StreamEnd::kClosed : StreamEnd::kReset);
          } else if (count < 0) {
            handle->End(StreamEnd::kReset);
          } else if (handle->observer != nullptr) {
            handle->observer->OnData({buffer->base, static_cast<size_t>(count)});
          }
        });
  }

  static void OnWritten(uv_write_t* request, int status) {
    auto* handle = static_cast<Handle*>(request->data);
    handle->write_active = false;
    handle->writing = {};
    handle->writing_bytes = 0;
    if (handle->closed) return;
    if (status != 0) {
      handle->End(StreamEnd::kReset);
      return;
    }
    if (!handle->pending.empty()) {
      handle->WritePending();
      return;
    }
    handle->MaybeShutdown();
    if (handle->observer != nullptr) handle->observer->OnDrained();
  }
};

std::unique_ptr<TcpStream> TcpStream::Connect(EventLoop& loop, const Endpoint& endpoint,
                                              StreamObserver* observer) {
  auto* handle = new Handle;
  handle->observer = observer;
  uv_tcp_init(loop.raw(), &handle->tcp);
  handle->tcp.data = handle;
  std::unique_ptr<TcpStream> stream(new TcpStream(handle));
  sockaddr_in address{};
  uv_ip4_addr(endpoint.ip.c_str(), endpoint.port, &address);
  handle->connect.data = handle;
  uv_tcp_connect(&handle->connect, &handle->tcp, reinterpret_cast<const sockaddr*>(&address),
                 [](uv_connect_t* request, int status) {
                   auto* connecting = static_cast<Handle*>(request->data);
                   if (connecting->closed) return;
                   if (status != 0) {
                     const bool refused = status == UV_ECONNREFUSED;
                     connecting->End(refused ? StreamEnd::kRefused : StreamEnd::kReset);
                     return;
                   }
                   connecting->connected = true;
                   SetSocketOptions(&connecting->tcp, Side::kOutgoing);
                   connecting->Read();
                   connecting->WritePending();
                   if (!connecting->closed && connecting->observer != nullptr) {
                     connecting->observer->OnConnected();
                   }
                 });
  return stream;
}

TcpStream::~TcpStream() {
  handle_->closed = true;
  handle_->observer = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void TcpStream::set_observer(StreamObserver* observer) { handle_->observer = observer; }

void TcpStream::StartReading() {
  if (handle_->connected && !handle_->ended) handle_->Read();
}

void TcpStream::StopReading() { uv_read_stop(handle_->Stream()); }

std::string_view TcpStream::TryWrite(std::string_view bytes) {
  if (!handle_->connected || handle_->write_active || !handle_->pending.empty()) return bytes;
  uv_buf_t buffer =
      uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
  const int written = uv_try_write(handle_->Stream(), &buffer, 1);
  if (written > 0) bytes.remove_prefix(static_cast<size_t>(written));
  return bytes;
}

void TcpStream::Write(std::string_view bytes) {
  if (handle_->ended || bytes.empty()) return;
  bytes = TryWrite(bytes);
  if (bytes.empty()) return;
  handle_->AppendCopy(bytes);
  handle_->WritePending();
}

void TcpStream::WriteShared(std::string_view bytes, std::shared_ptr<const void> owner) {
  if (handle_->ended || bytes.empty()) return;
  bytes = TryWrite(bytes);
  if (bytes.empty()) return;
  handle_->AppendShared(bytes, std::move(owner));
  handle_->WritePending();
}

size_t TcpStream::unsent_bytes() const { return handle_->pending_bytes + handle_->writing_bytes; }

bool TcpStream::PeerDisconnected() const {
  if (handle_->ended) return true;
  const ssize_t bytes = handle_->Peek();
  return bytes == 0 || (bytes < 0 && !WouldBlock(errno));
}

bool TcpStream::IsIdleAndOpen() const {
  return !handle_->ended && handle_->Peek() < 0 && WouldBlock(errno);
}

void TcpStream::ShutdownWriting() {
  handle_->shutdown_requested = true;
  if (!handle_->write_active) handle_->WritePending();
}

struct TcpListener::Handle {
  uv_tcp_t tcp{};
  AcceptCallback callback;
  EventLoop* loop = nullptr;
};

TcpListener::TcpListener(EventLoop& loop, AcceptCallback callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  handle_->loop = &loop;
  uv_tcp_init(loop.raw(), &handle_->tcp);
  handle_->tcp.data = handle_;
}

TcpListener::~TcpListener() {
  handle_->callback = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

int TcpListener::Listen(const Endpoint& endpoint) {
  sockaddr_in address{};
  int result = uv_ip4_addr(endpoint.ip.c_str(), endpoint.port, &address);
  if (result != 0) return result;
  result = uv_tcp_bind(&handle_->tcp, reinterpret_cast<const sockaddr*>(&address), 0);
  if (result != 0) return result;
  return uv_listen(reinterpret_cast<uv_stream_t*>(&handle_->tcp), kListenBacklog,
                   [](uv_stream_t* server, int status) {
                     auto* listener = static_cast<Handle*>(server->data);
                     if (status != 0 || !listener->callback) return;
                     auto* accepted = new TcpStream::Handle;
                     uv_tcp_init(listener->loop->raw(), &accepted->tcp);
                     accepted->tcp.data = accepted;
                     std::unique_ptr<TcpStream> stream(new TcpStream(accepted));
                     if (uv_accept(server, accepted->Stream()) != 0) return;
                     accepted->connected = true;
                     SetSocketOptions(&accepted->tcp, Side::kAccepted);
                     listener->callback(std::move(stream));
                   });
}

uint16_t TcpListener::bound_port() const {
  sockaddr_in address{};
  int length = sizeof address;
  if (uv_tcp_getsockname(&handle_->tcp, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

}  // namespace runshelf::event
