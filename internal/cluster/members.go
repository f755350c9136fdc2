package cluster

// This file tells package detect what happens and has its actions done.

import (
	"context"
	"time"

	"glencart/detect"
)

// members is what is known of the fleet's processes.
type members struct {
	lock
	detect *detect.Detect
	next   time.Duration // when the timer is due
	over   bool          // this process takes no part any more

	// For views:
	since      map[string]time.Duration // when a member came into its state
	size       int
	cutOff     bool
	cause      string // of cutOff
	superseded bool
	viewed     time.Duration
}

// viewEvery is the longest time that a View is behind in what is no change of a member's state: links and words.
const viewEvery = time.Second

// handle tells detect an event and does what it answers, in the caller's goroutine. back takes an answer that goes by the stream on
// which the event came; nil: it came by none.
func (c *Cluster) handle(ev detect.Event, back func(detect.Message)) { c.obey(c.step(ev), back) }

// step tells detect an event and returns what others are to be sent.
func (c *Cluster) step(ev detect.Event) []detect.Action {
	m := &c.members
	m.Lock()
	defer m.Unlock()
	if m.over {
		return nil
	}
	now := c.now()
	out := m.detect.Handle(now, ev, nil)
	c.learn(now, out)
	next := m.detect.Next()
	sooner := next < m.next
	if m.next = next; sooner {
		select {
		case c.rearm <- struct{}{}:
		default:
		}
	}
	return out
}

// obey sends what is to be sent.
func (c *Cluster) obey(out []detect.Action, back func(detect.Message)) {
	for i := range out {
		switch a := &out[i]; {
		case a.Kind == detect.Send && a.Message.Kind == detect.Pull:
			if back != nil {
				back(a.Message)
			}
		case a.Kind == detect.Send:
			c.send(a.Addr, a.Message)
		case a.Kind == detect.Exchange:
			c.exchange(a.Addr, a.Message)
		}
	}
}

// learn takes in what detect has said of the fleet. With the lock.
func (c *Cluster) learn(now time.Duration, out []detect.Action) {
	m := &c.members
	changed := now-m.viewed >= viewEvery
	for _, a := range out {
		switch a.Kind {
		case detect.Send, detect.Exchange:
			continue
		case detect.Changed:
			if m.since[a.Update.Name] = now; a.Update.State == detect.Forgotten {
				delete(m.since, a.Update.Name)
			}
		case detect.CutOff:
			m.cutOff, m.cause = a.IsCutOff, a.Cause
		case detect.Superseded:
			m.superseded, m.over = true, true
		case detect.SizeChanged:
			m.size = a.N
		}
		changed = true
	}
	if changed {
		c.replace(now)
	}
	if changed {
		c.ownersChanged()
	}
	for _, a := range out { // after the view: whoever takes one looks there for the size
		if a.Kind == detect.Send || a.Kind == detect.Exchange {
			continue
		}
		select {
		case c.notes <- a:
		default: // whoever writes the log is far behind; the view has it all the same
			c.counts.add(lostNotes)
		}
	}
}

// ticks tells detect the time whenever it is due.
func (c *Cluster) ticks(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.handle(detect.Event{Kind: detect.Tick}, nil)
		case <-c.rearm:
		}
		c.members.Lock()
		next := c.members.next
		c.members.Unlock()
		t.Reset(max(next-c.now(), tickLeast))
	}
}

// tickLeast keeps a wrong Next from taking a core.
const tickLeast = time.Millisecond
