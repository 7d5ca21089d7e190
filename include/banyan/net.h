#ifndef BANYAN_NET_H_
#define BANYAN_NET_H_

// Umbrella header: transport, peers and HTTP.

#include "banyan/net/http.h"
#include "banyan/net/peer_network.h"
#include "banyan/net/transport.h"

#endif  // BANYAN_NET_H_
