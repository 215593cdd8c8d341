// Naive versions of parts inside coordination::Node, put in place by wrapping it.
#pragma once

#include "tools/sim/daemon.h"

namespace runshelf::sim {

// Nodes that confirm each release order as soon as they have heard of it, whether or not requests
// are in progress and whatever the server still believes.
NodeFactory EarlyReleases(NodeFactory make_node);

}  // namespace runshelf::sim
