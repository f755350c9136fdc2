// Package relay stands between processes of a fleet on one machine: every link between two of them goes through it, so that a test can drop,
// delay and cut what one says to another, in one direction or both, by datagram and by stream.
//
// Each process has a door: an address of the relay's that it tells others as its own. What comes to a door goes on to the process behind
// it, from the sender's own door, so that each sees the others' doors alone.
package relay

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Link is what a direction between two processes is like. The zero value carries everything at once.
type Link struct {
	Cut   bool          // datagrams are lost, streams stall until it is mended
	Drop  float64       // part of the datagrams that is lost
	Delay time.Duration // of datagrams and of each part of a stream
}

// Relay is a set of doors. New returns one; it ends with its test.
type Relay struct {
	teller func(packet []byte) string // the door of who sent a packet
	t      testing.TB

	mu      sync.Mutex
	doors   map[string]*Door // by the door's address
	links   map[[2]string]Link
	changed chan struct{} // closed at each change of links
	rng     *rand.Rand
	open    map[net.Conn]bool
	ended   bool
	wg      sync.WaitGroup

	Passed, Lost atomic.Int64 // datagrams
}

// Door is where others reach one process.
type Door struct {
	Name, Addr string
	relay      *Relay
	listener   net.Listener
	packets    net.PacketConn
	behind     atomic.Pointer[string] // where the process listens; nil: nowhere yet
}

// New returns a relay. teller reads the door that a packet's sender tells as its own; packets of nobody's are lost.
func New(t testing.TB, seed uint64, teller func(packet []byte) string) *Relay {
	r := &Relay{t: t, teller: teller, doors: map[string]*Door{}, links: map[[2]string]Link{}, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 1)), open: map[net.Conn]bool{}}
	t.Cleanup(r.end)
	return r
}

func (r *Relay) end() {
	r.mu.Lock()
	r.ended = true
	for _, d := range r.doors {
		d.listener.Close()
		d.packets.Close()
	}
	for c := range r.open {
		c.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
}

// Door opens a door.
func (r *Relay) Door(name string) *Door {
	r.t.Helper()
	for range 16 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.t.Fatal(err)
		}
		p, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil { // the port is somebody's: the next one
			l.Close()
			continue
		}
		d := &Door{Name: name, Addr: l.Addr().String(), relay: r, listener: l, packets: p}
		r.mu.Lock()
		r.doors[d.Addr] = d
		r.mu.Unlock()
		r.wg.Go(d.datagrams)
		r.wg.Go(d.streams)
		return d
	}
	r.t.Fatal("no port is free for UDP and TCP")
	return nil
}

// Leads has a door lead to a process from now on.
func (d *Door) Leads(addr string) { d.behind.Store(&addr) }

// Set changes the link from one to another, by their names.
func (r *Relay) Set(from, to string, l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[[2]string{from, to}] = l
	close(r.changed)
	r.changed = make(chan struct{})
}

// Cut cuts the links between two groups, in both directions; with mend it mends them.
func (r *Relay) Cut(mend bool, some, others []string) {
	for _, a := range some {
		for _, b := range others {
			r.Set(a, b, Link{Cut: !mend})
			r.Set(b, a, Link{Cut: !mend})
		}
	}
}

// link returns the link from a door to another, and what tells of its next change; false: the relay has ended.
func (r *Relay) link(from, to *Door) (Link, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[[2]string{from.Name, to.Name}], r.changed, !r.ended
}

func (r *Relay) sender(packet []byte) *Door {
	addr := r.teller(packet)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doors[addr]
}

func (d *Door) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := d.packets.ReadFrom(buf)
		if err != nil {
			return
		}
		from, behind := d.relay.sender(buf[:n]), d.behind.Load()
		if from == nil || behind == nil {
			d.relay.Lost.Add(1)
			continue
		}
		l, _, _ := d.relay.link(from, d)
		d.relay.mu.Lock()
		lost := l.Cut || l.Drop > 0 && d.relay.rng.Float64() < l.Drop
		d.relay.mu.Unlock()
		to, err := netip.ParseAddrPort(*behind)
		if lost || err != nil {
			d.relay.Lost.Add(1)
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		pass := func() {
			d.relay.Passed.Add(1)
			from.packets.WriteTo(packet, net.UDPAddrFromAddrPort(to))
		}
		if l.Delay == 0 {
			pass()
		} else {
			time.AfterFunc(l.Delay, pass) // after the end its socket is closed, and nothing comes of it
		}
	}
}

func (d *Door) streams() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.relay.keep(c) {
			d.relay.wg.Go(func() { d.stream(c) })
		}
	}
}

// keep has a connection closed at the end, or now where that has come.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		c.Close()
		return false
	}
	r.open[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

// stream passes a stream on. Its first packet tells who speaks.
func (d *Door) stream(in net.Conn) {
	defer d.relay.drop(in)
	first := make([]byte, 4)
	if _, err := io.ReadFull(in, first); err != nil || binary.BigEndian.Uint32(first) > 8<<20 {
		return
	}
	first = append(first, make([]byte, binary.BigEndian.Uint32(first))...)
	if _, err := io.ReadFull(in, first[4:]); err != nil {
		return
	}
	from, behind := d.relay.sender(first[4:]), d.behind.Load()
	if from == nil || behind == nil || !d.relay.carried(from, d) {
		return
	}
	out, err := net.Dial("tcp", *behind)
	if err != nil || !d.relay.keep(out) {
		return
	}
	defer d.relay.drop(out)
	if _, err := out.Write(first); err != nil {
		return
	}
	var back sync.WaitGroup
	back.Go(func() {
		d.relay.pump(in, out, d, from)
		in.Close()
	})
	d.relay.pump(out, in, from, d)
	out.Close()
	back.Wait()
}

// carried waits until a link carries something and for its delay; false: the relay has ended.
func (r *Relay) carried(from, to *Door) bool {
	for {
		l, changed, ok := r.link(from, to)
		switch {
		case !ok:
			return false
		case !l.Cut:
			time.Sleep(l.Delay)
			return true
		}
		<-changed
	}
}

// pump copies one direction of a stream, as its link is.
func (r *Relay) pump(dst, src net.Conn, from, to *Door) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.carried(from, to) {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
