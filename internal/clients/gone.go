package clients

import "glencart/internal/sock"

// Gone tells whether the client has closed its connection, or reset it, also where something that it wrote before stands unread:
// whoever reads meets the end only after that. Any goroutine may ask; one system call. Where it can't be told, it has not. A nil
// connection is one that can't be looked at.
func (c *Conn) Gone() bool { return c != nil && sock.Gone(c.Conn) }
