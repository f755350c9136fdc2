package node

import (
	"cmp"
	"log/slog"

	"glencart/internal/members/registry/pace"
)

// This file derives all bounds that depend on the machine and the number of nodes. docs/OPERATIONS.md lists
// them in a table.

const (
	// minSockets is the smallest limit on descriptors with which a node starts. reservedSockets is how many
	// descriptors the node reserves for everything other than clients and backends. The worst case is 33:
	// - standard streams: 3
	// - the runtime's poller: 2, and its check of the CPU limit: 2
	// - sockets for clients, operators and datagrams: 3
	// - lock files shared with another process: 2
	// - files that are read or written: 3
	// - calls to discovery: 7 (pace.MinAgentCalls, and one given up that is not closed yet)
	// - connections of operators: 11 (maxAdminConns silent ones, and one that is being accepted)
	// Clients and connections to backends, dials included, are counted before they are accepted or dialed. If
	// there are more than minSockets descriptors, calls to discovery may use one in discoveryDivisor of them, at
	// most pace.MaxAgentCalls.
	minSockets, reservedSockets, discoveryDivisor = 64, 34, 16
	// backendPercent is the share of the remaining descriptors for backends, in percent. A request in flight
	// holds a connection on each side. Clients need more because some connections have no request in flight.
	backendPercent = 45
	// defaultSockets replaces a limit on descriptors that is not given, defaultMemoryMB one on memory, in MB.
	defaultSockets, defaultMemoryMB = 1024, 64
	// heapTenths is the share of the memory for the garbage collector's limit, in tenths. The rest is for
	// stacks, the runtime and socket buffers.
	heapTenths = 7
	// baseBytes is the part of the collector's limit that a process needs without clients: its heap, stacks and the collector's own tables.
	// Of the rest, clientShareThirds is for what clients make it hold. The collector needs room for garbage, or it takes the processor.
	baseBytes, clientShareThirds = 12 << 20, 2
	// connectionBytes is what a connection of a client holds: buffers, a stack and what belongs to them. requestBytes is what an open
	// request holds beside that: another stack, a connection to a backend and what is short of the bodies of both directions.
	connectionBytes, requestBytes = 12 << 10, 24 << 10
	// connectionsDivisor and requestsDivisor bound connections and open requests to one part in so many of the memory for clients. Half of
	// what they leave is for the bodies of requests, a quarter for answers and a quarter for the buffers of streams.
	connectionsDivisor, requestsDivisor = 3, 4
	// minClients and minRequests are how many of them there may be with any memory.
	minClients, minRequests = 64, 32
	// minHeldBytes is the least memory for bodies, and for answers and buffers together, in bytes.
	minHeldBytes = 512 << 10
	// minDerivedBound is the minimum of a bound that depends on the number of nodes or backends.
	minDerivedBound = 1024
	// messagesPerPeer is how many messages of each peer may be queued for the loop. A message takes
	// peerMessageBytes. A slow loop or a flooding peer must not fill the memory, so messages get at most one
	// part in peerMessagesDivisor of it. Dropping one is allowed because a datagram may be lost anyway.
	messagesPerPeer, peerMessageBytes, peerMessagesDivisor = 2, 200, 64
	// minQueuedDatagrams is the minimum size of the send queue, in datagrams. There is always room for one to each peer.
	minQueuedDatagrams = 64
	// probeConns is how many connections to backends are reserved for probes.
	probeConns = 4
)

// bounds are the limits on what a process of a node may hold at once.
type bounds struct {
	clients, backends                     int   // connections
	requests                              int   // open requests
	discoveryCalls                        int   // calls to discovery
	heapBytes                             int64 // bytes: memory limit of the garbage collector
	bodyBytes, answerBytes, copyBytes     int64 // bytes: of bodies, answers and the buffers of streams
	maxQueuedMessages, maxQueuedDatagrams int   // messages of peers queued for the loop, and datagrams queued for sending
}

// boundsOf derives the bounds of a process from its limits and the number of its peers.
func boundsOf(l Limits, peers int) bounds {
	sockets := cmp.Or(l.Sockets, defaultSockets)
	calls := min(max(sockets/discoveryDivisor, pace.MinAgentCalls), pace.MaxAgentCalls)
	n := max(sockets-reservedSockets-(calls-pace.MinAgentCalls), minSockets-reservedSockets)
	memory := cmp.Or(l.MemoryMB, defaultMemoryMB) << 20
	b := bounds{discoveryCalls: calls, backends: n * backendPercent / 100, heapBytes: l.MemoryMB << 20 / 10 * heapTenths}
	forClients := max(memory/10*heapTenths-baseBytes, 0) / 3 * clientShareThirds
	b.clients = min(n-b.backends, max(minClients, int(forClients/connectionsDivisor/connectionBytes)))
	b.requests = min(b.clients, b.backends-probeConns, max(minRequests, int(forClients/requestsDivisor/requestBytes)))
	held := max(2*minHeldBytes, forClients-int64(b.clients)*connectionBytes-int64(b.requests)*requestBytes)
	b.bodyBytes, b.answerBytes, b.copyBytes = held/2, held/4, held/4
	b.maxQueuedMessages = max(minDerivedBound, min(messagesPerPeer*peers, int(memory/peerMessagesDivisor/peerMessageBytes)))
	b.maxQueuedDatagrams = max(minQueuedDatagrams, peers)
	return b
}

// LogValue implements slog.LogValuer.
func (b bounds) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("clients", b.clients), slog.Int("backends", b.backends),
		slog.Int("requests", b.requests), slog.Int("discovery", b.discoveryCalls),
		slog.Int64("heap", b.heapBytes), slog.Int64("bodies", b.bodyBytes),
		slog.Int64("answers", b.answerBytes), slog.Int64("buffers", b.copyBytes), slog.Int("hear", b.maxQueuedMessages), slog.Int("tell", b.maxQueuedDatagrams))
}
