#include "tests/soak/datagram_relay.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace runshelf::soak {

std::string SenderOf(std::string_view datagram) {
  // Beacons are JSON, load reports CBOR.
  auto message = nlohmann::json::parse(datagram, nullptr, /*allow_exceptions=*/false);
  if (message.is_discarded()) {
    message = nlohmann::json::from_cbor(datagram.begin(), datagram.end(), /*strict=*/true,
                                        /*allow_exceptions=*/false);
  }
  if (!message.is_object() || !message.contains("node") || !message["node"].is_string()) return "";
  return message["node"].get<std::string>();
}

DatagramRelay::DatagramRelay(event::EventLoop& loop, const std::string& proxy_ip,
                             const std::string& node_ip, uint16_t first_port, Passes passes)
    : proxy_ip_(proxy_ip),
      node_ip_(node_ip),
      first_port_(first_port),
      passes_(std::move(passes)),
      first_(loop, [this](std::string_view data) { Forward(data, first_port_); }),
      second_(loop, [this](std::string_view data) {
        Forward(data, static_cast<uint16_t>(first_port_ + 1));
      }) {}

int DatagramRelay::Listen() {
  const int result = first_.Bind({proxy_ip_, first_port_});
  if (result != 0) return result;
  return second_.Bind({proxy_ip_, static_cast<uint16_t>(first_port_ + 1)});
}

void DatagramRelay::Forward(std::string_view data, uint16_t port) {
  if (!passes_(SenderOf(data))) return;
  event::UdpSocket& socket = port == first_port_ ? first_ : second_;
  socket.Send({node_ip_, port}, data);
}

}  // namespace runshelf::soak
