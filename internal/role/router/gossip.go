package router

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/peers"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/process/usage"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// Limits of the gossip between router instances.
const (
	// minGossipInterval is the minimum time between two messages to a peer: a few times as long as an engine takes to start a
	// request.
	minGossipInterval = 100 * time.Millisecond
	// gossipIntervalPerPeer is the interval per known peer. It limits each instance to about a hundred messages a second in each
	// direction, until the interval reaches maxGossipInterval.
	gossipIntervalPerPeer = 10 * time.Millisecond
	// maxGossipInterval bounds the interval to a third of the time for which load reports of peers are used.
	maxGossipInterval = time.Second
	// statisticsInterval is the interval between two messages to a peer that hold statistics besides the sender's load. They are several times as large as
	// the load, and together would fill the links of small VMs with 10 Mbit/s.
	statisticsInterval = time.Second
	// maxStatisticsPeers is the number of peers that get the statistics each time, in turn. A server is known from the samples of a part of a large fleet,
	// and the bytes that all instances exchange would grow with the square of their number.
	maxStatisticsPeers = 32
	// maxMessageBytes limits the size of a datagram, since networks handle the fragments of larger ones badly.
	maxMessageBytes = 32 << 10
)

// message is the gossip datagram with which an instance reports its running requests to its peers.
type message struct {
	Process ident.Process `cbor:"1,keyasint"`
	// Load is the sender's local load by service and server; servers without requests are omitted.
	Load map[ident.Pool]map[ident.Endpoint]placement.Load `cbor:"2,keyasint,omitempty"`
	// Losses are the requests during which a server was lost, each with the id of that server.
	Losses []forward.Loss `cbor:"3,keyasint,omitempty"`
	// Incarnation, Usage and UsageUntilMS are set while the sender cannot write its usage row to the store.
	Incarnation  ident.Incarnation `cbor:"4,keyasint,omitempty"`
	Usage        usage.Counts      `cbor:"5,keyasint,omitempty"`
	UsageUntilMS int64             `cbor:"6,keyasint,omitempty"`
	// Leaving are the servers that have announced in their responses that they are leaving.
	Leaving []ident.ServerStart `cbor:"7,keyasint,omitempty"`
	// Version is the newest configuration version that the sender has.
	Version ident.Version `cbor:"8,keyasint,omitempty"`
	// Answer marks an answer to an instance that was behind; it is not answered in turn.
	Answer bool `cbor:"9,keyasint,omitempty"`
	// Quarantine is what the sender knows of prompt parts that crash servers.
	Quarantine quarantine.Report `cbor:"10,keyasint"`
	// Limits are the servers' rate limits that responses to the sender named.
	Limits []servers.LimitReport `cbor:"11,keyasint,omitempty"`
	// Origins is about streams and where they began.
	Origins originMessage `cbor:"12,keyasint"`
	// Speeds is what the sender has measured of the servers of its load-aware engine services.
	Speeds map[ident.Pool]servermodel.Report `cbor:"13,keyasint,omitempty"`
	// ConfigAgeMS is the age of the sender's configuration, at least 1; 0 if it has none.
	ConfigAgeMS int64 `cbor:"17,keyasint,omitempty"`
	// Health is what the sender knows from its own requests about the health of the plain servers of load-aware services, by service.
	Health map[ident.Pool]placement.HealthReport `cbor:"15,keyasint,omitempty"`
	// Measured are the sender's rates of sends and the newest load figures of servers, by load-aware service.
	Measured map[ident.Pool]placement.LoadReport `cbor:"16,keyasint,omitempty"`
	// CustomerUse is what customers have asked for and used at the sender, by load-aware engine service.
	CustomerUse fairshare.Reports `cbor:"14,keyasint,omitempty"`
	// Cleared are requests that got complete responses at the sender although servers were lost while they ran them.
	Cleared []forward.Clearance `cbor:"18,keyasint,omitempty"`
}

// gossip exchanges load reports with peers in UDP datagrams. Each message holds the full state, so the next one makes up for a
// lost one.
type gossip struct {
	router *Router
	socket *net.UDPConn
}

func newGossip(ctx context.Context, router *Router) (*gossip, error) {
	var config net.ListenConfig
	address, err := netip.ParseAddr(router.settings.Address)
	if err != nil {
		return nil, oops.Wrapf(err, "parse the address of %s", router.settings.Process)
	}
	packets, err := config.ListenPacket(ctx, "udp", netip.AddrPortFrom(address, router.settings.PeerPort).String())
	if err != nil {
		return nil, oops.Wrapf(err, "listen for gossip datagrams")
	}
	socket, ok := packets.(*net.UDPConn)
	if !ok {
		return nil, oops.Errorf("listen for gossip datagrams: got a connection of type %T, want *net.UDPConn", packets)
	}
	return &gossip{router: router, socket: socket}, nil
}

// receive applies messages from peers until the context is done, and closes the socket.
func (g *gossip) receive(ctx context.Context) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = g.socket.Close()
	})
	defer func() {
		if stop() {
			_ = g.socket.Close()
			return
		}
		<-closed
	}()
	buffer := make([]byte, maxMessageBytes)
	for {
		size, from, err := g.socket.ReadFromUDPAddrPort(buffer)
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
		g.router.peers.Hear(received.Process)
		if !received.Answer && received.Version < g.router.configuration.Version() {
			g.answerNewcomer(from)
		}
		if before := g.router.configuration.Version(); g.router.configuration.Expect(clock.Boot(), received.Version) {
			g.router.journal.Log("configuration_behind", "version", before, "peer", received.Process, "peer_version", received.Version)
		}
		if received.ConfigAgeMS > 0 {
			g.router.peerFreshness.record(clock.Boot(), received.Process, time.Duration(received.ConfigAgeMS)*time.Millisecond)
		}
		for service, load := range received.Load {
			g.router.balancers.get(service).UpdatePeer(now, received.Process, load)
			g.router.waiting.get(service).Event(now)
		}
		g.mergeSpeeds(now, received)
		g.mergeHealth(now, received)
		g.mergeMeasured(now, received)
		g.router.suspects.Merge(now, received.Losses)
		g.router.suspects.MergeCleared(received.Cleared)
		if err := received.Quarantine.Check(); err != nil {
			g.router.journal.Log("peer_report_refused", "peer", received.Process, "err", err)
		} else {
			g.router.quarantine.Merge(now, received.Quarantine)
		}
		for _, leaving := range received.Leaving {
			g.router.servers.MarkLeaving(leaving)
		}
		g.mergeLimits(received)
		g.router.mergeCustomerUse(now, received.Process, received.CustomerUse)
		g.router.origins.receive(received.Process, unmapped(from), received.Origins)
		if received.Incarnation != "" {
			g.router.peerUsage.record(received.Incarnation,
				usage.InstanceCounts{Counts: received.Usage, Until: time.UnixMilli(received.UsageUntilMS)})
		}
	}
}

// unmapped returns an address as in the rows of instances: an IPv4 address is not mapped into IPv6.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// mergeLimits applies what a peer knows of servers' rate limits.
func (g *gossip) mergeLimits(received message) {
	for _, report := range received.Limits {
		if err := report.Check(); err != nil {
			g.router.journal.Log("peer_report_refused", "peer", received.Process, "err", err)
			return
		}
		g.router.servers.MergeLimit(report)
	}
}

// answerNewcomer sends a message to an instance that is behind and whose row this one has not read yet. An instance that starts
// thereby learns at once what the others know.
func (g *gossip) answerNewcomer(from netip.AddrPort) {
	from = unmapped(from)
	known := slices.ContainsFunc(g.router.peers.Peers(), func(peer peers.Peer) bool { return peer.Address == from })
	if known {
		return
	}
	answer := g.router.message()
	g.router.addStatistics(&answer)
	answer.Answer = true
	g.writeTo(from, g.router.encode(answer))
}

// encode returns the datagram of a message, nil if it is too long. It leaves out losses that there is no room for, the oldest first: after crashes of several servers
// there are hundreds, and the rest of the message must not be lost with them.
func (r *Router) encode(content message) []byte {
	datagram, err := cbor.Marshal(content)
	for err == nil && len(datagram) > maxMessageBytes && len(content.Losses) > 0 {
		content.Losses = content.Losses[(len(content.Losses)+1)/2:]
		datagram, err = cbor.Marshal(content)
	}
	if err != nil || len(datagram) > maxMessageBytes {
		r.journal.Log("peers_untold", "bytes", len(datagram), "err", err)
		return nil
	}
	return datagram
}

// sendTo sends a datagram to a peer.
func (g *gossip) sendTo(peer peers.Peer, datagram []byte) { g.writeTo(peer.Address, datagram) }

// writeTo sends a datagram to an address; nil is not sent.
func (g *gossip) writeTo(address netip.AddrPort, datagram []byte) {
	if datagram == nil {
		return
	}
	if _, err := g.socket.WriteToUDPAddrPort(datagram, address); err != nil && !errors.Is(err, net.ErrClosed) {
		g.router.journal.Log("peer_untold", "address", address, "err", err)
	}
}

// send reports this instance's load to all peers until the context is done.
func (g *gossip) send(ctx context.Context) {
	sentStatistics := clock.Boot()
	// first is the index of the peer that is sent to first.
	first := 0
	for ctx.Err() == nil {
		peers := g.router.peers.Peers()
		interval := min(max(minGossipInterval, time.Duration(len(peers))*gossipIntervalPerPeer), maxGossipInterval)
		g.router.recordHealthEvents()
		clock.Sleep(ctx, interval, nil)
		if len(peers) == 0 {
			continue
		}
		update := g.router.message()
		update.Losses, update.Cleared = g.router.suspects.Recent(time.Now()), g.router.suspects.Cleared()
		plain := g.router.encode(update)
		complete, statisticsPeers := plain, 0
		if now := clock.Boot(); now.Sub(sentStatistics) > statisticsInterval-interval/2 {
			g.router.addStatistics(&update)
			sentStatistics = now
			if complete = g.router.encode(update); complete != nil {
				statisticsPeers = min(len(peers), maxStatisticsPeers)
			}
			first = (first + statisticsPeers) % len(peers)
		}
		for index := range peers {
			datagram := plain
			if index < statisticsPeers {
				datagram = complete
			}
			g.sendTo(peers[(first+index)%len(peers)], datagram)
		}
	}
}

// message builds a gossip message without losses, which are sent only once.
func (r *Router) message() message {
	outgoing := message{
		Process: r.settings.Process, Load: r.localLoad(), Leaving: r.servers.Leaving(),
		Version: r.configuration.Version(), Quarantine: r.quarantine.Report(time.Now()),
		Limits: r.servers.LimitReports(), Health: r.healthReports(time.Now()), Measured: r.measuredLoads(time.Now()),
		CustomerUse: fairshare.Collect(time.Now(), r.shares.all()),
	}
	if outgoing.Version > 0 {
		outgoing.ConfigAgeMS = r.configAge().Milliseconds() + 1
	}
	if r.peers.WriteFailed() {
		outgoing.Incarnation, outgoing.UsageUntilMS, outgoing.Usage = r.incarnation, r.peers.AgreedTime().UnixMilli(), r.counter.Counts()
	}
	return outgoing
}

// addStatistics adds what this instance has seen over some seconds.
func (r *Router) addStatistics(outgoing *message) {
	outgoing.Speeds = r.speedReports(time.Now())
	outgoing.Losses = append(outgoing.Losses, r.suspects.BlockedLosses(time.Now())...)
}

// localLoad returns this instance's load by service. Services without load are included, so that peers drop the load of
// requests that have ended.
func (r *Router) localLoad() map[ident.Pool]map[ident.Endpoint]placement.Load {
	loads := make(map[ident.Pool]map[ident.Endpoint]placement.Load)
	for service, balancer := range r.balancers.all() {
		loads[service] = balancer.LocalLoad()
	}
	return loads
}
