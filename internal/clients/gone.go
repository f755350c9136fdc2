package clients

import "glencart/internal/sock"

// HasClientClosed reports whether the client has closed or reset its connection. It finds that even behind unread bytes, where a read
// would not. It makes one system call and is safe for concurrent use. It returns false if the state is unknown or c is nil.
func (c *Conn) HasClientClosed() bool { return c != nil && sock.PeerClosed(c.Conn) }
