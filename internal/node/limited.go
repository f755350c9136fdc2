package node

import (
	"log/slog"
	"sync"
	"time"
)

// complainEvery is the least time between two complaints of one kind.
const complainEvery = time.Second

// limited logs complaints at a bounded rate: what comes from outside must not fill the log.
type limited struct {
	log *slog.Logger

	mu      sync.Mutex
	at      time.Time
	skipped int
}

func (l *limited) warn(msg string, args ...any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.at) < complainEvery {
		l.skipped++
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.at, l.skipped = now, 0
	l.mu.Unlock()
	l.log.Warn(msg, append(args, "skipped", skipped)...)
}
