#include "runshelf/common/random.h"

namespace runshelf {

SystemRandom::SystemRandom() {
  std::random_device device;
  engine_.seed((static_cast<uint64_t>(device()) << 32U) | device());
}

}  // namespace runshelf
