package node

import (
	"cmp"
	"log/slog"

	"glencart/internal/members/registry/pace"
)

// This file derives all bounds that depend on the machine and the number of nodes. docs/OPERATIONS.md lists
// them in a table.

const (
	// leastSockets is the smallest limit on descriptors with which a node starts. otherSockets is how many
	// descriptors the node reserves for everything other than clients and backends. The worst case is 33:
	// - standard streams: 3
	// - the runtime's poller: 2, and its check of the CPU limit: 2
	// - sockets for clients, operators and datagrams: 3
	// - lock files shared with another process: 2
	// - files that are read or written: 3
	// - calls to discovery: 7 (pace.NearLeast, and one given up that is not closed yet)
	// - connections of operators: 11 (adminLast silent ones, and one that is being accepted)
	// Clients and connections to backends, dials included, are counted before they are accepted or dialed. If
	// there are more than leastSockets descriptors, calls to discovery may use one in discoveryPart of them, at
	// most pace.NearMost.
	leastSockets, otherSockets, discoveryPart = 64, 34, 16
	// backendPart is the share of the remaining descriptors for backends, in percent. A request in flight holds
	// a connection on each side. Clients need more because some connections have no request in flight.
	backendPart = 45
	// usualSockets replaces a limit on descriptors that is not given, usualMemory one on memory, in MB.
	usualSockets, usualMemory = 1024, 64
	// heapParts is the share of the memory for the garbage collector's limit, in tenths. The rest is for
	// stacks, the runtime and socket buffers.
	heapParts = 7
	// holdPart sets the memory for all bodies over bodyMost together: one part in holdPart of the memory.
	holdPart = 4
	// listLeast is the minimum of a bound that depends on the number of nodes or backends.
	listLeast = 1024
	// hearEach is how many messages of each peer may be queued for the loop. A message takes hearBytes. A slow
	// loop or a flooding peer must not fill the memory, so messages get at most one part in hearPart of it.
	// Dropping one is allowed because a datagram may be lost anyway.
	hearEach, hearBytes, hearPart = 2, 200, 64
	// tellLeast is the minimum size of the send queue, in datagrams. There is always room for one to each peer.
	tellLeast = 64
	// probesOut is how many connections to backends are reserved for probes.
	probesOut = 4
)

// bounds are the limits on what a process of a node may hold at once.
type bounds struct {
	clients, backends int // connections
	requests          int // open requests
	discovery         int // calls to discovery
	heap, held        int64 // bytes: memory limit of the garbage collector, and of bodies over bodyMost
	hear, tell        int // messages of peers queued for the loop, and datagrams queued for sending
}

// boundsOf derives the bounds of a process from its limits and the number of its peers.
func boundsOf(l Limits, peers int) bounds {
	sockets := cmp.Or(l.Sockets, usualSockets)
	calls := min(max(sockets/discoveryPart, pace.NearLeast), pace.NearMost)
	n := max(sockets-otherSockets-(calls-pace.NearLeast), leastSockets-otherSockets)
	memory := cmp.Or(l.MemoryMB, usualMemory) << 20
	b := bounds{discovery: calls, backends: n * backendPart / 100, heap: l.MemoryMB << 20 / 10 * heapParts, held: memory / holdPart}
	b.clients = n - b.backends
	b.requests = min(b.clients, b.backends-probesOut)
	b.hear = max(listLeast, min(hearEach*peers, int(memory/hearPart/hearBytes)))
	b.tell = max(tellLeast, peers)
	return b
}

// LogValue implements slog.LogValuer.
func (b bounds) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("clients", b.clients), slog.Int("backends", b.backends),
		slog.Int("requests", b.requests), slog.Int("discovery", b.discovery),
		slog.Int64("heap", b.heap), slog.Int64("bodies", b.held), slog.Int("hear", b.hear), slog.Int("tell", b.tell))
}
