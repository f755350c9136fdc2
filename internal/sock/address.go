package sock

import "net"

// ListenAddr returns the address of a listener as text. It returns requested if the address is unknown, because getsockname(2) can
// fail temporarily.
func ListenAddr(l net.Listener, requested string) string {
	if a := l.Addr(); a != nil {
		return a.String()
	}
	return requested
}
