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

// soReusePort is SO_REUSEPORT of socket(7). Package syscall doesn't define it on every platform.
const soReusePort = 0xf

// readRetryDelay is the pause after a failed read of a datagram.
const readRetryDelay = 10 * time.Millisecond

// maxDatagramBytes is the maximum size of a datagram between nodes, in bytes.
const maxDatagramBytes = 256

// peers exchanges datagrams with the other nodes.
type peers struct {
	conn       *net.UDPConn
	addrs      []netip.AddrPort // by peer number
	allAddr    netip.AddrPort
	sendQueue  chan datagram
	limitedLog lograte.Limited // rate-limited log of ignored datagrams
}

type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// listenPeers opens the node's socket for datagrams. At most maxQueued datagrams wait to be sent.
func listenPeers(ctx context.Context, cfg *Config, maxQueued int, log *slog.Logger) (*peers, error) {
	addr, err := net.ResolveUDPAddr("udp", cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	p := &peers{sendQueue: make(chan datagram, maxQueued), limitedLog: lograte.Limited{Log: log}}
	for _, s := range cfg.Peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		p.addrs = append(p.addrs, a)
	}
	if cfg.PeersAll != "" {
		if p.allAddr, err = netip.ParseAddrPort(cfg.PeersAll); err != nil {
			return nil, err
		}
	}
	var lc net.ListenConfig
	if cfg.AcceptFD != "" {
		// Two processes of one node may run at once. Datagrams go to either of them. One that goes to the other
		// counts as lost.
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
	if err := retryOpen(ctx, func(ctx context.Context) (err error) {
		pc, err = lc.ListenPacket(ctx, "udp", addr.String())
		return err
	}); err != nil {
		return nil, err
	}
	p.conn = pc.(*net.UDPConn)
	return p, nil
}

// send sends a datagram to one peer or to all of them. It never blocks. If the queue is full, it drops the
// datagram, since datagrams may be lost anyway.
func (p *peers) send(peer int, payload []byte) {
	to := p.allAddr
	if peer != balance.AllPeers {
		if peer < 0 || peer >= len(p.addrs) {
			return
		}
		to = p.addrs[peer]
	}
	if !to.IsValid() || len(payload) > maxDatagramBytes {
		return
	}
	select {
	case p.sendQueue <- datagram{to, append([]byte(nil), payload...)}:
	default:
	}
}

// run passes messages of other nodes to handle until ctx ends. It ignores and logs datagrams that are too long
// or come from an unknown address.
func (p *peers) run(ctx context.Context, handle func(peer int, payload []byte)) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case d := <-p.sendQueue:
				p.conn.WriteToUDPAddrPort(d.payload, d.to)
			}
		}
	}()
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error is an ICMP answer of a peer's machine to an earlier datagram, or a lack of resources on
			// this machine, which may last.
			p.limitedLog.Warn("peer datagrams: read failed; reading again after a pause", "error", err)
			pause(ctx, readRetryDelay)
			continue
		}
		i, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > maxDatagramBytes {
			p.limitedLog.Warn("datagram ignored: too long, or its sender is not in peers", "from", from, "bytes", n)
			continue
		}
		handle(i, append([]byte(nil), buf[:n]...))
	}
}
