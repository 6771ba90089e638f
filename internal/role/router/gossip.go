package router

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/usage"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// Pace of what entries tell each other.
const (
	// minGossipInterval is the time between two messages to each peer, a few times the time in which an engine starts a request.
	minGossipInterval = 100 * time.Millisecond
	// gossipIntervalPerPeer lengthens it, so that each entry gets and sends at most about a hundred messages a second.
	gossipIntervalPerPeer = 10 * time.Millisecond
	// maxGossipInterval bounds it: a third of the time for which peers' figures count.
	maxGossipInterval = time.Second
	// maxMessageBytes bounds a datagram below the size at which networks split it badly.
	maxMessageBytes = 32 << 10
)

// message is what one entry tells the others of its own work.
type message struct {
	Process ident.Process `cbor:"1,keyasint"`
	// Load is by service and server; servers without work are left out.
	Load map[ident.Pool]map[ident.Endpoint]placement.Load `cbor:"2,keyasint,omitempty"`
	// Losses are servers that broke off on a request.
	Losses []forward.Loss `cbor:"3,keyasint,omitempty"`
	// Incarnation, Usage and UsageUntilMS are set while the sender cannot write its row into the store.
	Incarnation  ident.Incarnation `cbor:"4,keyasint,omitempty"`
	Usage        usage.Counts      `cbor:"5,keyasint,omitempty"`
	UsageUntilMS int64             `cbor:"6,keyasint,omitempty"`
}

// gossip tells peers of the own work by datagrams: a lost one is made good by the next.
type gossip struct {
	router *Router
	socket *net.UDPConn
}

func newGossip(ctx context.Context, router *Router) (*gossip, error) {
	var config net.ListenConfig
	address, err := netip.ParseAddr(router.settings.Address)
	if err != nil {
		return nil, oops.Wrapf(err, "address of %s", router.settings.Process)
	}
	packets, err := config.ListenPacket(ctx, "udp", netip.AddrPortFrom(address, router.settings.PeerPort).String())
	if err != nil {
		return nil, oops.Wrapf(err, "listen for peers")
	}
	socket, ok := packets.(*net.UDPConn)
	if !ok {
		return nil, oops.Errorf("listen for peers: found %T, want a socket for datagrams", packets)
	}
	return &gossip{router: router, socket: socket}, nil
}

// receive takes over what peers tell until the context is done.
func (g *gossip) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.socket.Close() })
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		size, _, err := g.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.router.journal.Log("peers_unheard", "err", err)
			clock.Sleep(ctx, minGossipInterval, nil)
			continue
		}
		var received message
		if err := cbor.Unmarshal(buffer[:size], &received); err != nil {
			g.router.journal.Log("peer_unreadable", "bytes", size, "err", err)
			continue
		}
		now := time.Now()
		for service, load := range received.Load {
			g.router.balancers.get(service).UpdatePeer(now, received.Process, load)
		}
		g.router.suspects.Merge(now, received.Losses)
		if received.Incarnation != "" {
			g.router.peerUsage.record(received.Incarnation, usage.InstanceCounts{Counts: received.Usage, Until: time.UnixMilli(received.UsageUntilMS)})
		}
	}
}

// send sends the own work to all peers until the context is done.
func (g *gossip) send(ctx context.Context) {
	for ctx.Err() == nil {
		peers := g.router.peers.Peers()
		clock.Sleep(ctx, min(max(minGossipInterval, time.Duration(len(peers))*gossipIntervalPerPeer), maxGossipInterval), nil)
		if len(peers) == 0 {
			continue
		}
		datagram, err := cbor.Marshal(g.router.message())
		if err != nil || len(datagram) > maxMessageBytes {
			g.router.journal.Log("peers_untold", "bytes", len(datagram), "err", err)
			continue
		}
		for _, peer := range peers {
			if _, err := g.socket.WriteToUDPAddrPort(datagram, peer.Address); err != nil && ctx.Err() == nil {
				g.router.journal.Log("peer_untold", "peer", peer.Process, "err", err)
			}
		}
	}
}

// message returns what is to be told now.
func (r *Router) message() message {
	outgoing := message{Process: r.settings.Process, Load: r.localLoad(), Losses: r.suspects.TakeUnshared()}
	if r.peers.Unwritten() {
		outgoing.Incarnation, outgoing.UsageUntilMS, outgoing.Usage = r.incarnation, r.peers.TrueTime().UnixMilli(), r.counter.Counts()
	}
	return outgoing
}

// localLoad returns the own work by service, also of services without any, so that peers forget what has ended.
func (r *Router) localLoad() map[ident.Pool]map[ident.Endpoint]placement.Load {
	loads := make(map[ident.Pool]map[ident.Endpoint]placement.Load)
	for service, balancer := range r.balancers.all() {
		loads[service] = balancer.LocalLoad()
	}
	return loads
}
