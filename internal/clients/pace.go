package clients

// This file bounds how fast connections get answers that no backend makes. Such an answer takes no time but the processor's, so one client
// could take all of it.

import (
	"context"
	"sync"
	"time"
)

const (
	// ownAnswerBurst is how many such answers a connection gets at once, and ownAnswersPerSecond how many more a second. They don't wait.
	ownAnswerBurst, ownAnswersPerSecond = 16, 16
	// ownAnswerInterval is the time between two further answers, over all connections. maxOwnAnswerWait bounds the wait for one, because
	// unsound requests have to be answered in time too.
	ownAnswerInterval, maxOwnAnswerWait = 2 * time.Millisecond, 500 * time.Millisecond
)

// Pacer bounds the rate of answers that no backend makes. The zero value is ready to use. It is safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex
	nextAt time.Time // when the next answer beyond the rate of its connection may go out
	waits  int64
}

// Await waits until a connection may get such an answer, or until ctx ends. Only the connection's handlers may call it.
func (p *Pacer) Await(ctx context.Context, c *Conn) {
	if c != nil {
		pause(ctx, p.reserve(c, time.Now()))
	}
}

// AwaitClosing is Await for an answer that closes its connection, so the client needs a new one for each.
func (p *Pacer) AwaitClosing(ctx context.Context) { pause(ctx, p.reserveShared(time.Now())) }

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Waits returns how many answers have waited.
func (p *Pacer) Waits() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waits
}

// reserve returns how long the next answer on a connection has to wait.
func (p *Pacer) reserve(c *Conn, now time.Time) time.Duration {
	if c.takeOwnAnswer(now) {
		return 0
	}
	return p.reserveShared(now)
}

// reserveShared returns how long the next answer beyond the rate of a connection has to wait. The first one after a pause doesn't wait.
func (p *Pacer) reserveShared(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := later(p.nextAt, now)
	if latest := now.Add(maxOwnAnswerWait); at.After(latest) {
		at = latest
	}
	p.nextAt = at.Add(ownAnswerInterval)
	if at.After(now) {
		p.waits++
	}
	return at.Sub(now)
}

// takeOwnAnswer reports whether an answer is within the rate of the connection.
func (c *Conn) takeOwnAnswer(now time.Time) bool {
	// ownAnswersUntil is when all answers so far are paid for at the rate of the connection.
	paidAt := later(c.ownAnswersUntil, now).Add(time.Second / ownAnswersPerSecond)
	if paidAt.Sub(now) > ownAnswerBurst*time.Second/ownAnswersPerSecond {
		return false
	}
	c.ownAnswersUntil = paidAt
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
