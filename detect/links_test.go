package detect

import (
	"testing"
	"time"
)

// newJoined returns a Detect in the middle of a round, with members that have all answered.
func newJoined(t *testing.T, names ...string) *Detect {
	t.Helper()
	d := New(Config{Name: "self", Start: 1, Addr: "self:1"})
	d.Handle(0, Event{Kind: Start}, nil)
	for _, n := range names {
		d.handleMessage(0, Message{Kind: Pull, From: Update{ID: ID{n, 1}, Addr: n + ":1"}})
	}
	return d
}

func (d *Detect) handleMessage(now time.Duration, m Message) []Action {
	return d.Handle(now, Event{Kind: Received, From: m.From.Addr, Message: m}, nil)
}

// Guards against an old link update that arrives late and replaces a newer one, and against relays over failed links.
func TestOlderLinkUpdateDoesNotHold(t *testing.T) {
	d := newJoined(t, "a", "b", "c")
	receiveLinkUpdate := func(now time.Duration, from, to string, num uint32, deaf bool) {
		d.handleMessage(now, Message{Kind: Answer, From: Update{ID: ID{"c", 1}, Addr: "c:1"}, Links: []LinkUpdate{{From: from, To: to, Seq: num, Deaf: deaf}}})
	}
	receiveLinkUpdate(0, "self", "a", 1, true)
	if d.members["a"].link() != OutboundFailed {
		t.Fatal("the link to a is not deaf after its update")
	}
	receiveLinkUpdate(0, "self", "a", 3, false)
	receiveLinkUpdate(0, "self", "a", 2, true)
	if d.members["a"].link() != Sound {
		t.Error("an older link update replaced a later one")
	}
	receiveLinkUpdate(0, "c", "b", 1, true)
	if via, ok := d.Via("b"); !ok || via.Name != "a" {
		t.Errorf("relay to b is %q, not a", via.Name)
	}
	receiveLinkUpdate(0, "a", "b", 1, true)
	if via, ok := d.Via("b"); ok {
		t.Errorf("relay to b is %q, whose link to b has failed", via.Name)
	}
}

// Guards against deaths that a pause of this process causes. A pause longer than the rest of a suspicion must not end it, nor
// may it end within PauseGrace after the pause. An exchange follows at once.
func TestPauseDoesNotEndSuspicion(t *testing.T) {
	d := newJoined(t, "a", "b", "c")
	run := func(until time.Duration) {
		for d.Next() < until {
			now := d.Next()
			for _, a := range d.Handle(now, Event{Kind: Tick}, nil) {
				if a.Kind == Send && a.Message.Kind == Ask && a.Addr != "a:1" {
					d.handleMessage(now, Message{Kind: Answer, Seq: a.Message.Seq, About: d.Self().ID, From: Update{ID: a.Message.About, Addr: a.Addr}})
				}
			}
		}
	}
	d.handleMessage(0, Message{Kind: Answer, From: Update{ID: ID{"b", 1}, Addr: "b:1"}, Updates: []Update{{ID: ID{"a", 1}, State: Suspect, By: "b", Addr: "a:1"}}})
	d.handleMessage(0, Message{Kind: Answer, From: Update{ID: ID{"c", 1}, Addr: "c:1"}, Updates: []Update{{ID: ID{"a", 1}, State: Suspect, By: "c", Addr: "a:1"}}})
	run(4 * time.Second)
	if s := d.members["a"].State; s != Suspect {
		t.Fatalf("a is %s after 4 s", s)
	}
	const resumedAt = 60 * time.Second
	hasExchange := false
	for _, a := range d.Handle(resumedAt, Event{Kind: Tick}, nil) {
		hasExchange = hasExchange || a.Kind == Exchange
	}
	if !hasExchange {
		t.Error("no exchange after the pause")
	}
	run(resumedAt + d.cfg.PauseGrace - time.Millisecond)
	if s := d.members["a"].State; s != Suspect {
		t.Errorf("a is %s within PauseGrace after a pause", s)
	}
	run(resumedAt + 40*time.Second)
	if s := d.members["a"].State; s != Dead {
		t.Errorf("a, which does not answer, is %s 40 s after the pause", s)
	}
}

// Guards against an acknowledgement from another process at the probed address, which has the right sequence number. It must
// not count. A member that has left is not probed.
func TestAnswerOfAnotherProcessDoesNotCount(t *testing.T) {
	d := newJoined(t, "a")
	d.handleMessage(0, Message{Kind: Answer, From: Update{ID: ID{"b", 1}, State: Left, Addr: "b:1"}})
	for d.Next() < 10*time.Second {
		now := d.Next()
		for _, a := range d.Handle(now, Event{Kind: Tick}, nil) {
			if a.Addr == "b:1" {
				t.Fatalf("%s: a member that has left receives %s", now, a.Message.Kind)
			}
			if a.Kind == Send && a.Message.Kind == Ask && a.Addr == "a:1" {
				d.handleMessage(now, Message{Kind: Answer, Seq: a.Message.Seq, About: d.Self().ID, From: Update{ID: ID{"other", 1}, State: Left, Addr: "a:1"}})
			}
		}
	}
	if s := d.members["a"].State; s == Alive {
		t.Error("a is alive because of the answers of another process")
	}
}
