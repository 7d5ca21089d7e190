#ifndef BANYAN_NET_H_
#define BANYAN_NET_H_

// Umbrella header of the network layer: frame transport, peer connections, and
// the HTTP client and server.

#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/net/transport.h"

#endif  // BANYAN_NET_H_
