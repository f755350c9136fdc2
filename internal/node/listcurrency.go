package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/members/registry/pace"
)

// listCurrency holds requests back while it is not known that the endpoint list is current. Package pace decides when that is so.
type listCurrency struct {
	start time.Time // zero of the clock of currency
	loop  *engine.Engine
	log   *lograte.Limited

	mu        sync.Mutex
	currency  *pace.Currency
	confirmed chan struct{} // closed at the next confirmation

	waits, unconfirmed atomic.Int64 // attempts that waited, and those of them that were not sent for want of a confirmation
}

func newListCurrency(grace time.Duration, loop *engine.Engine, log *lograte.Limited) *listCurrency {
	return &listCurrency{start: time.Now(), loop: loop, log: log, currency: pace.NewCurrency(grace), confirmed: make(chan struct{})}
}

// setGrace applies another drain grace.
func (l *listCurrency) setGrace(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currency.SetGrace(grace)
}

// ListCallBegan implements registry.Observer.
func (l *listCurrency) ListCallBegan(hasUnread func() bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currency.ListCallBegan(time.Since(l.start), hasUnread)
}

// ListCallNotSent implements registry.Observer.
func (l *listCurrency) ListCallNotSent(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currency.ListCallNotSent(number)
}

// Confirmed implements registry.Observer. The list of the answer may still be queued for the loop, so the loop confirms it.
func (l *listCurrency) Confirmed(writtenAt time.Time) {
	l.loop.PostFirst(func() {
		l.loop.ObserveDelay(time.Since(writtenAt))
		l.confirm(writtenAt)
	})
}

// confirm records that the list in use is the one that the agent had at a time.
func (l *listCurrency) confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currency.Confirm(at.Sub(l.start))
	close(l.confirmed)
	l.confirmed = make(chan struct{})
}

// check reports whether a request may be sent now. If not, it returns what the request has to wait for.
func (l *listCurrency) check() (ok bool, confirmed <-chan struct{}, maxWait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currency.MaySend(time.Since(l.start)), l.confirmed, l.currency.MaxWait()
}

// await waits until a request may be sent. It reports false if it must not be sent by this list, or if ctx has ended. A nil listCurrency
// holds nothing back.
func (l *listCurrency) await(ctx context.Context) bool {
	if l == nil {
		return true
	}
	ok, confirmed, maxWait := l.check()
	if ok {
		return true
	}
	l.waits.Add(1)
	began := time.Now()
	again := time.NewTicker(recheckInterval)
	defer again.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return false
		case <-confirmed:
		case <-again.C: // the agent may be silent
		}
		if ok, confirmed, _ = l.check(); !ok && time.Since(began) > maxWait {
			l.unconfirmed.Add(1)
			l.log.Warn("attempt not sent: the endpoint list is not confirmed", "list_age", l.age())
			return false
		}
	}
	return true
}

// recheckInterval is how often a waiting request looks whether the agent is silent.
const recheckInterval = 10 * time.Millisecond

// age returns the time since the last confirmation.
func (l *listCurrency) age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currency.Age(time.Since(l.start))
}
