// Package lograte limits the rate of log lines, and writes a log without blocking its callers.
package lograte

import (
	"cmp"
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// defaultInterval is the minimum interval between two lines if Every is 0.
const defaultInterval = time.Second

// Limited logs lines at a limited rate, because input from outside must not fill the log. Use one for each kind of line.
type Limited struct {
	Log   *slog.Logger
	Every time.Duration // minimum interval between two lines; 0: one second

	mu      sync.Mutex
	lastAt  time.Time
	skipped int
}

// Warn logs a warning, or counts it as skipped if the last line was logged less than Every ago.
func (l *Limited) Warn(msg string, args ...any) { l.logLine(slog.LevelWarn, msg, args) }

// Info is Warn with level Info.
func (l *Limited) Info(msg string, args ...any) { l.logLine(slog.LevelInfo, msg, args) }

func (l *Limited) logLine(level slog.Level, msg string, args []any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.lastAt) < cmp.Or(l.Every, defaultInterval) {
		l.skipped++
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.lastAt, l.skipped = now, 0
	l.mu.Unlock()
	l.Log.Log(context.Background(), level, msg, append(args, "skipped", skipped)...)
}

// Write logs a line of package log as a warning. Libraries use that package, for example net/http for an unsolicited response.
func (l *Limited) Write(line []byte) (int, error) {
	l.Warn("message from a library", "text", strings.TrimSpace(string(line)))
	return len(line), nil
}
