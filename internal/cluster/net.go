package cluster

// This file is where sockets come from.

import (
	"context"
	"net"
	"time"

	"glencart/internal/sock"
)

// Net is what a Cluster speaks through. The system's is used in service; tests give one in memory, so that what they run is what is
// shipped. Addresses are "host:port"; those of a PacketConn are *net.UDPAddr. Calls are made from any goroutine.
type Net interface {
	ListenPacket(addr string) (net.PacketConn, error)
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Clock is what a Net may have beside: a wall clock of its own. Tests give one that is off.
type Clock interface{ Wall() time.Time }

// wall is the wall clock of a Net's machine.
func wall(n Net) time.Time {
	if c, ok := n.(Clock); ok {
		return c.Wall()
	}
	return time.Now()
}

// System is the machine's own network: UDP and TCP.
type System struct{}

// ListenPacket opens a UDP socket.
func (System) ListenPacket(addr string) (net.PacketConn, error) { return net.ListenPacket("udp", addr) }

// Listen opens a TCP listener.
func (System) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial connects by TCP.
func (System) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// portTries is how often a free port of TCP's is tried for UDP too, where the file leaves the port open.
const portTries = 16

// open opens both sockets on one port.
func open(n Net, addr string) (net.Listener, net.PacketConn, error) {
	for try := 1; ; try++ {
		l, err := n.Listen(addr)
		if err != nil {
			return nil, nil, err
		}
		p, err := n.ListenPacket(sock.ListenAddr(l, addr))
		if err == nil {
			return l, p, nil
		}
		l.Close()
		if _, port, _ := net.SplitHostPort(addr); port != "0" || try == portTries {
			return nil, nil, err
		}
	}
}
