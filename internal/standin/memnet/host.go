package memnet

// This file has what happens to a host and not to its links: it stands still, its processes are killed, something strange is sent.

import (
	"net/netip"
	"time"
)

// Stop has a host stand still, as SIGSTOP does to its processes: no call of its sockets comes back before Go. Its timers run on, so a
// process stands still from the first time that it sends or reads something. What others send waits in its sockets, as far as they have
// room.
func (h Host) Stop() { h.stand(true) }

// Go lets a host that stands still go on.
func (h Host) Go() { h.stand(false) }

func (h Host) stand(still bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.still[h.addr] = still
	h.net.change()
}

// Kill takes all sockets from a host, as the end of its processes does: nothing is sent from here on. It also lets it go on, so that the
// goroutines of what was killed come to their end.
func (h Host) Kill() {
	h.net.mu.Lock()
	var open []interface{ Close() error }
	for a, c := range h.net.packets {
		if a.Addr() == h.addr {
			open = append(open, c)
		}
	}
	for a, l := range h.net.streams {
		if a.Addr() == h.addr {
			open = append(open, l)
		}
	}
	h.net.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	h.Go()
}

// moves waits while a host stands still. False: what was asked for is closed.
func (n *Net) moves(host netip.Addr, closed <-chan struct{}) bool {
	for {
		n.mu.Lock()
		still, changed := n.still[host], n.changed
		n.mu.Unlock()
		select {
		case <-closed:
			return false
		default:
		}
		if !still {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// Watch has f see each datagram as it is sent, before anything becomes of it. f must not call the Net nor keep b's bytes.
func (n *Net) Watch(f func(from, to netip.AddrPort, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch = f
}

// Inject hands in a datagram as if it came from an address, whatever the links are.
func (n *Net) Inject(from, to netip.AddrPort, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carry(to, packet{from, append([]byte(nil), b...)}, 0)
}

// Clocked is a Host whose wall clock is off.
type Clocked struct {
	Host
	Off time.Duration
}

// Wall is what its wall clock says.
func (c Clocked) Wall() time.Time { return time.Now().Add(c.Off) }
