package confsync

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Subscriber keeps a store at the revision of a publisher: the first of its list that answers. While none does, the last
// good revision stays in force.
type Subscriber struct {
	store     *Store
	limits    Limits
	sources   []string
	rng       *rand.Rand
	source    int
	asked     []bool        // the sources that were asked since one was heard
	saidAt    time.Duration // the last message to a publisher
	at        time.Duration // Tick is due
	parts     [][]Change    // of a delta that is not whole; nil: missing
	partsOf   Delta         // its head
	partsSize int
	partsGot  int
	resumedAt time.Duration
	refused   uint64 // revision
	whole     bool   // what is held has drifted
	Rejection *Rejection
}

// NewSubscriber makes a subscriber. sources are publishers, the nearest first; seed is its own.
func NewSubscriber(store *Store, limits Limits, sources []string, seed uint64) *Subscriber {
	return &Subscriber{asked: make([]bool, len(sources)), store: store, limits: limits.withDefaults(), sources: sources, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Source is the publisher that is listened to now.
func (s *Subscriber) Source() string { return s.sources[s.source] }

// Begin subscribes.
func (s *Subscriber) Begin(now time.Duration, out []Send) []Send {
	return s.subscribe(now, out)
}

func (s *Subscriber) subscribe(now time.Duration, out []Send) []Send {
	s.drop()
	s.asked[s.source] = true
	s.saidAt = now
	s.at = now + s.patience()
	return append(out, Send{To: s.Source(), Message: Message{Kind: Subscribe, Revision: s.store.revision, Digest: s.store.digest, Whole: s.whole}})
}

// patience is how long a source that was asked may be silent. It is spread, or a region that is cut off would ask at once
// when it is back, and not longer with each time in vain: a region has to catch up soon, and a question is short.
func (s *Subscriber) patience() time.Duration {
	wait := s.limits.KeepaliveEvery / 3
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait/2)+1))
}

// Next tells when Tick is due.
func (s *Subscriber) Next() time.Duration { return s.at }

// Tick asks the next source, if the one asked is silent.
func (s *Subscriber) Tick(now time.Duration, out []Send) []Send {
	if now < s.at {
		return out
	}
	s.source = (s.source + 1) % len(s.sources)
	return s.subscribe(now, out)
}

// Receive takes in a message of a publisher. applied tells that the store has come to another revision.
func (s *Subscriber) Receive(now time.Duration, from string, m Message, out []Send) (sends []Send, applied bool) {
	if from != s.Source() && !s.returnTo(from) {
		return out, false // of a publisher that it has left
	}
	clear(s.asked)
	s.at = now + s.limits.SilentAfter
	switch m.Kind {
	case Keepalive:
		out = s.ack(now, out)
		if m.Revision == s.store.revision && m.Digest != s.store.digest {
			s.whole = true
			return s.subscribe(now, out), false
		}
		if m.Revision > s.store.revision && s.partsGot == 0 && m.Revision != s.refused {
			return s.subscribe(now, out), false // an update is lost, or its publisher takes this one to be further
		}
	case Update:
		return s.update(now, m, out)
	}
	return out, false
}

// returnTo goes back to a source that was asked and had not answered when the next one was asked. Else none would be heard where all
// take longer to answer than this waits for each.
func (s *Subscriber) returnTo(name string) bool {
	i := slices.Index(s.sources, name)
	if i < 0 || !s.asked[i] {
		return false
	}
	s.source = i
	return true
}

// update collects the parts of a delta and applies it once they are all there.
func (s *Subscriber) update(now time.Duration, m Message, out []Send) ([]Send, bool) {
	d := m.Delta
	switch {
	case d.To <= s.store.revision && !(d.Full && s.whole):
		return s.ack(now, out), false // the acknowledgement was lost
	case d.From != s.store.revision && !d.Full:
		return s.subscribe(now, out), false
	case m.Part < 0 || m.Part >= m.Parts || m.Parts > s.limits.DeltaMost/messageHead: // memory is not to follow a number
		return out, false
	case d.To != s.partsOf.To || d.From != s.partsOf.From || m.Parts != len(s.parts):
		s.drop()
		s.partsOf, s.parts = Delta{From: d.From, To: d.To}, make([][]Change, m.Parts)
	}
	if s.parts[m.Part] == nil {
		s.parts[m.Part] = slices.Concat([]Change{}, d.Changes) // not nil, also where a delta changes nothing
		s.partsGot++
		s.partsSize += m.Size()
	}
	if s.partsSize > s.limits.DeltaMost {
		s.drop()
		return s.reject(&Rejection{Version: d.To, Reason: TooLarge, Detail: "more than a delta may hold"}, d.To, out), false
	}
	if s.partsGot < m.Parts {
		return s.missing(now, m, out), false
	}
	d.Changes = slices.Concat(s.parts...)
	s.drop()
	return s.apply(now, d, out)
}

// drop forgets the parts of a delta that is not whole.
func (s *Subscriber) drop() {
	s.parts, s.partsOf, s.partsSize, s.partsGot, s.resumedAt = nil, Delta{}, 0, 0, 0
}

// resumeEvery bounds how often a missing part is asked for: it may only be late.
const resumeEvery = 200 * time.Millisecond

// missing asks for the first part that is missing before the one that came, and tells a publisher now and then that this
// subscriber is there: a long delta takes longer than a publisher waits for a word.
func (s *Subscriber) missing(now time.Duration, m Message, out []Send) []Send {
	first := slices.IndexFunc(s.parts, func(p []Change) bool { return p == nil })
	switch {
	case first > m.Part:
	case s.resumedAt == 0:
		s.resumedAt = now // seen to be missing now, asked for if it is not only late
	case now-s.resumedAt >= resumeEvery:
		s.resumedAt, s.saidAt = now, now
		return append(out, Send{To: s.Source(), Message: Message{Kind: Resume, Revision: m.Delta.To, Part: first}})
	}
	if now-s.saidAt >= s.limits.KeepaliveEvery {
		out = s.ack(now, out)
	}
	return out
}

func (s *Subscriber) reject(r *Rejection, revision uint64, out []Send) []Send {
	s.refused, s.Rejection = revision, r
	return append(out, Send{To: s.Source(), Message: Message{Kind: Reject, Revision: revision, Rejection: r}})
}

func (s *Subscriber) apply(now time.Duration, d Delta, out []Send) ([]Send, bool) {
	err := s.store.Apply(d)
	if err == nil {
		s.whole, s.refused, s.Rejection = false, 0, nil
		return s.ack(now, out), true
	}
	var r *Rejection
	if !errors.As(err, &r) {
		return out, false
	}
	if r.Reason == Drift && !d.Full {
		s.whole = true
		return s.subscribe(now, out), false
	}
	return s.reject(r, d.To, out), false
}

func (s *Subscriber) ack(now time.Duration, out []Send) []Send {
	s.saidAt = now
	return append(out, Send{To: s.Source(), Message: Message{Kind: Ack, Revision: s.store.revision}})
}
