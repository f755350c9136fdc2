package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/lograte"
)

// soReusePort is SO_REUSEPORT of socket(7), which syscall does not name everywhere.
const soReusePort = 0xf

// readAgain is how long no datagram is read after the system has failed to read one.
const readAgain = 10 * time.Millisecond

// datagramMost is the longest datagram between nodes.
const datagramMost = 256

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort // by number
	all   netip.AddrPort
	out   chan datagram
	odd   lograte.Limited // complaints of datagrams that are not heard
}

type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// listenPeers opens the node's socket for datagrams, of which so many may wait to be sent.
func listenPeers(ctx context.Context, cfg *Config, most int, log *slog.Logger) (*peers, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	p := &peers{out: make(chan datagram, most), odd: lograte.Limited{Log: log}}
	for _, s := range cfg.Peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		p.addrs = append(p.addrs, a)
	}
	if cfg.PeersAll != "" {
		if p.all, err = netip.ParseAddrPort(cfg.PeersAll); err != nil {
			return nil, err
		}
	}
	var lc net.ListenConfig
	if cfg.AcceptFD != "" {
		// Two processes of one node may run at once. Datagrams go to either; one that the other gets is as good as lost.
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			var failed error
			if err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
			}); err != nil {
				return err
			}
			return failed
		}
	}
	var pc net.PacketConn
	if err := tryForAMoment(ctx, func(ctx context.Context) (err error) {
		pc, err = lc.ListenPacket(ctx, "udp", addr.String())
		return err
	}); err != nil {
		return nil, err
	}
	p.conn = pc.(*net.UDPConn)
	return p, nil
}

// tell sends a datagram to one peer or to all of them. It never blocks: a datagram may be lost anyway.
func (p *peers) tell(peer int, payload []byte) {
	to := p.all
	if peer != balance.AllPeers {
		if peer < 0 || peer >= len(p.addrs) {
			return
		}
		to = p.addrs[peer]
	}
	if !to.IsValid() || len(payload) > datagramMost {
		return
	}
	select {
	case p.out <- datagram{to, append([]byte(nil), payload...)}:
	default:
	}
}

// run passes on what other nodes say until ctx ends. What is too long, or from nobody known, is
// ignored with a line.
func (p *peers) run(ctx context.Context, heard func(peer int, payload []byte)) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case d := <-p.out:
				p.conn.WriteToUDPAddrPort(d.payload, d.to)
			}
		}
	}()
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf := make([]byte, datagramMost+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// What a peer's machine sent back for a datagram of ours, or a lack of this machine, which may last.
			p.odd.Warn("datagrams can't be read for a moment", "error", err)
			pause(ctx, readAgain)
			continue
		}
		i, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > datagramMost {
			p.odd.Warn("datagram ignored: too long, or from nobody in peers", "from", from, "bytes", n)
			continue
		}
		heard(i, append([]byte(nil), buf[:n]...))
	}
}
