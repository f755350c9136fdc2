package clients

import (
	"net"
	"net/http"
	"testing"

	"glencart/internal/standin"
)

// RunEviction sleeps while there is room, because a fleet of idle nodes kept a core busy with its ticks. It must wake when there are too
// many connections, also when the limit becomes smaller.
func TestEvictionWakesForExcess(t *testing.T) {
	for name, shrinks := range map[string]bool{"new connections": false, "smaller limit": true} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(100, PlatformThresholds)
			if !shrinks {
				table.Resize(2)
			}
			go table.RunEviction(t.Context())
			var ends []net.Conn
			for range 4 {
				near, far := net.Pipe()
				ends = append(ends, near, far)
				table.Track(near, http.StateNew)
			}
			if shrinks {
				table.Resize(2)
			}
			standin.Eventually(t, "the eviction", func() bool { return table.Counts().Open <= 1 })
			for _, c := range ends {
				c.Close()
			}
		})
	}
}
