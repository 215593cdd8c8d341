#include "source/event/udp_socket.h"

#include <netinet/in.h>

#include <array>
#include <utility>

namespace runshelf::event {
namespace {

constexpr size_t kMaxDatagramBytes = 8192;

}  // namespace

struct UdpSocket::Handle {
  uv_udp_t udp{};
  ReceiveCallback callback;
  std::array<char, kMaxDatagramBytes> buffer{};
};

UdpSocket::UdpSocket(EventLoop& loop, ReceiveCallback callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  uv_udp_init(loop.raw(), &handle_->udp);
  handle_->udp.data = handle_;
}

UdpSocket::~UdpSocket() {
  handle_->callback = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->udp),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

int UdpSocket::Bind(const Endpoint& endpoint) {
  sockaddr_in address{};
  int result = uv_ip4_addr(endpoint.ip.c_str(), endpoint.port, &address);
  if (result != 0) return result;
  result = uv_udp_bind(&handle_->udp, reinterpret_cast<const sockaddr*>(&address), 0);
  if (result != 0) return result;
  return uv_udp_recv_start(
      &handle_->udp,
      [](uv_handle_t* socket, size_t, uv_buf_t* buffer) {
        auto* handle = static_cast<Handle*>(socket->data);
        *buffer = uv_buf_init(handle->buffer.data(), kMaxDatagramBytes);
      },
      [](uv_udp_t* socket, ssize_t count, const uv_buf_t* buffer, const sockaddr* from, unsigned) {
        auto* handle = static_cast<Handle*>(socket->data);
        if (count <= 0 || from == nullptr || !handle->callback) return;
        handle->callback({buffer->base, static_cast<size_t>(count)});
      });
}

void UdpSocket::Send(const Endpoint& to, std::string_view data) {
  if (data.size() > kMaxDatagramBytes) return;
  sockaddr_in address{};
  if (uv_ip4_addr(to.ip.c_str(), to.port, &address) != 0) return;
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
  uv_udp_try_send(&handle_->udp, &buffer, 1, reinterpret_cast<const sockaddr*>(&address));
}

}  // namespace runshelf::event
