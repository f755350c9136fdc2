package confsync

import (
	"container/heap"
	"slices"
	"time"
)

// Send is a message to carry out.
type Send struct {
	To      string
	Message Message
}

// Publisher brings subscribers to its store's revision. At an origin Publish changes the store, at a relay a Subscriber
// does, and Changed tells the publisher. It holds a few words for each subscriber, whatever they lag behind: a delta is made
// when it is sent, so what changes meanwhile is coalesced.
type Publisher struct {
	store  *Store
	limits Limits
	peers  map[string]*peer
	due    dueHeap
	cached Delta // the last delta made: most subscribers ask for the same one
}

// peer is what a publisher knows of one subscriber.
type peer struct {
	name     string
	revision uint64 // in force there, as far as it said
	refused  uint64 // the last revision that it refused
	why      *Rejection
	parts    [][]Change // of the delta under way; nil: none
	delta    Delta      // its head, without changes
	next     int        // the part that goes out next
	tries    int        // repeats of its last part without an answer
	wait     time.Duration
	heardAt  time.Duration
	credit   float64 // bytes that may be sent, as of creditAt; below zero: they were sent ahead
	creditAt time.Duration
	at       time.Duration // due
	index    int           // in the heap
}

// NewPublisher makes a publisher of a store.
func NewPublisher(store *Store, limits Limits) *Publisher {
	return &Publisher{store: store, limits: limits.withDefaults(), peers: map[string]*peer{}}
}

// Publish makes changes hold as the next revision, all or none of them, and begins to send them. Versions of changes are
// filled in.
func (p *Publisher) Publish(now time.Duration, changes []Change, out []Send) ([]Send, error) {
	d := Delta{From: p.store.revision, To: p.store.revision + 1, Changes: slices.Clone(changes), Digest: p.store.digest}
	for i := range d.Changes {
		c := &d.Changes[i]
		c.Version = d.To
		if was := p.store.held[c.Key]; was != nil {
			d.Digest -= sum(c.Key, was.version)
		}
		if !c.Removed {
			d.Digest += sum(c.Key, c.Version)
		}
	}
	if err := p.store.Apply(d); err != nil {
		return out, err
	}
	return p.Changed(now, out), nil
}

// Changed is to be called when the store has come to another revision.
func (p *Publisher) Changed(now time.Duration, out []Send) []Send {
	for _, name := range sortedNames(p.peers) {
		if s := p.peers[name]; s.parts == nil {
			out = p.begin(now, s, out)
		}
	}
	return out
}

// Receive takes in a message of a subscriber.
func (p *Publisher) Receive(now time.Duration, from string, m Message, out []Send) []Send {
	s := p.peers[from]
	if s == nil {
		if m.Kind != Subscribe {
			return out // it will find out by silence, and subscribe
		}
		s = &peer{name: from, credit: float64(p.limits.PartMost), creditAt: now, at: now + p.limits.KeepaliveEvery}
		p.peers[from] = s
		heap.Push(&p.due, s)
	}
	s.heardAt = now
	switch m.Kind {
	case Subscribe:
		return p.subscribed(now, s, m, out)
	case Resume:
		if s.parts != nil && m.Revision == s.delta.To && m.Part >= 0 && m.Part < s.next {
			s.tries = 0
			return p.resume(now, s, m.Part, out)
		}
	case Ack:
		return p.acknowledged(now, s, m, out)
	case Reject:
		if m.Revision > s.refused {
			s.refused, s.why = m.Revision, m.Rejection
		}
		s.parts = nil
		return p.begin(now, s, out)
	}
	return out
}

// subscribed begins anew with a subscriber, from where it says that it is.
func (p *Publisher) subscribed(now time.Duration, s *peer, m Message, out []Send) []Send {
	s.revision, s.parts, s.wait = m.Revision, nil, p.limits.Resend
	if m.Whole || m.Revision == p.store.revision && m.Digest != p.store.digest {
		s.revision = 0
	}
	if s.revision >= p.store.revision {
		return p.keepalive(now, s, out) // so that it knows that it is heard
	}
	return p.begin(now, s, out)
}

func (p *Publisher) acknowledged(now time.Duration, s *peer, m Message, out []Send) []Send {
	if m.Revision <= s.revision {
		return out // of an earlier message, or repeated
	}
	s.revision, s.wait = m.Revision, p.limits.Resend
	if s.parts != nil && m.Revision < s.delta.To {
		return out
	}
	s.parts = nil
	return p.begin(now, s, out)
}

// begin sends what a subscriber lacks, unless it refused just that.
func (p *Publisher) begin(now time.Duration, s *peer, out []Send) []Send {
	if s.revision >= p.store.revision || s.refused >= p.store.revision {
		return out
	}
	d := p.since(s.revision)
	s.delta = Delta{From: d.From, To: d.To, Full: d.Full, Digest: d.Digest}
	s.parts, s.next, s.tries = p.split(d.Changes), 0, 0
	return p.pump(now, s, out)
}

func (p *Publisher) since(revision uint64) Delta {
	if d := &p.cached; d.To != p.store.revision || d.From != revision || d.Full {
		p.cached = p.store.Since(revision)
		p.cached.From = revision
	}
	return p.cached
}

// split cuts changes into the parts that messages hold. There is one part at least: a delta may change nothing by now.
func (p *Publisher) split(changes []Change) [][]Change {
	var parts [][]Change
	size, first := 0, 0
	for i := range changes {
		n := changes[i].Size()
		if i > first && size+n > p.limits.PartMost {
			parts, first, size = append(parts, changes[first:i]), i, 0
		}
		size += n
	}
	return append(parts, changes[first:])
}

// pump sends the parts that the byte budget has room for, and sets when the next one or a repeat is due.
func (p *Publisher) pump(now time.Duration, s *peer, out []Send) []Send {
	p.refill(now, s)
	for s.next < len(s.parts) && s.credit > 0 {
		out = p.sendPart(s, s.next, out)
		s.next++
	}
	if s.next < len(s.parts) {
		wait := time.Duration(-s.credit / p.limits.BytesPerSecond * float64(time.Second))
		p.dueIn(now, s, wait+time.Millisecond)
		return out
	}
	p.dueIn(now, s, s.wait)
	return out
}

func (p *Publisher) sendPart(s *peer, part int, out []Send) []Send {
	m := Message{Kind: Update, Revision: s.delta.To, Delta: s.delta, Part: part, Parts: len(s.parts)}
	m.Delta.Changes = s.parts[part]
	return p.send(s, m, out)
}

// resume sends a part again. What goes beyond the budget by it is taken off what follows.
func (p *Publisher) resume(now time.Duration, s *peer, part int, out []Send) []Send {
	p.refill(now, s)
	out = p.sendPart(s, part, out)
	if s.next == len(s.parts) {
		p.dueIn(now, s, s.wait)
	}
	return out
}

// refill adds to the credit what time brings, and no more than a part's worth is saved up.
func (p *Publisher) refill(now time.Duration, s *peer) {
	s.credit += p.limits.BytesPerSecond * (now - s.creditAt).Seconds()
	s.credit, s.creditAt = min(s.credit, float64(p.limits.PartMost)), now
}

func (p *Publisher) send(s *peer, m Message, out []Send) []Send {
	s.credit -= float64(m.Size())
	return append(out, Send{To: s.name, Message: m})
}

func (p *Publisher) keepalive(now time.Duration, s *peer, out []Send) []Send {
	p.refill(now, s)
	p.dueIn(now, s, p.limits.KeepaliveEvery)
	return p.send(s, Message{Kind: Keepalive, Revision: p.store.revision, Digest: p.store.digest}, out)
}

func (p *Publisher) dueIn(now time.Duration, s *peer, in time.Duration) {
	s.at = now + in
	heap.Fix(&p.due, s.index)
}

// Next tells when Tick is due; false: never.
func (p *Publisher) Next() (time.Duration, bool) {
	if len(p.due) == 0 {
		return 0, false
	}
	return p.due[0].at, true
}

// triesMost is how often the last part is repeated before the delta is made anew.
const triesMost = 3

// Tick does what is due: further parts, repeats and keepalives.
func (p *Publisher) Tick(now time.Duration, out []Send) []Send {
	for len(p.due) > 0 && p.due[0].at <= now {
		s := p.due[0]
		switch {
		case now-s.heardAt > p.limits.SilentAfter:
			p.Forget(s.name) // it subscribes anew, here or elsewhere
		case s.parts == nil:
			out = p.keepalive(now, s, out)
		case s.next < len(s.parts):
			out = p.pump(now, s, out)
		default:
			out = p.repeat(now, s, out)
		}
	}
	return out
}

// repeat sends the last part of a delta that is not acknowledged: the subscriber says what it lacks.
func (p *Publisher) repeat(now time.Duration, s *peer, out []Send) []Send {
	s.wait = min(2*s.wait, p.limits.ResendMost)
	if s.tries++; s.tries <= triesMost {
		s.next = len(s.parts) - 1
		return p.pump(now, s, out)
	}
	s.parts = nil
	p.dueIn(now, s, s.wait)
	return p.begin(now, s, out)
}

// Forget drops a subscriber whose connection has ended.
func (p *Publisher) Forget(name string) {
	if s := p.peers[name]; s != nil {
		heap.Remove(&p.due, s.index)
		delete(p.peers, name)
	}
}

// Progress is how far subscribers are.
type Progress struct {
	Subscribers, InForce int // InForce: at the publisher's revision
	Refused              int // those whose last answer was a rejection
	Why                  *Rejection
}

// Progress counts subscribers.
func (p *Publisher) Progress() Progress {
	n := Progress{Subscribers: len(p.peers)}
	for _, s := range p.peers {
		if s.revision >= p.store.revision {
			n.InForce++
		}
		if s.refused > s.revision {
			n.Refused++
			n.Why = s.why
		}
	}
	return n
}

func sortedNames(peers map[string]*peer) []string {
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// dueHeap orders subscribers by when something is due.
type dueHeap []*peer

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].name < h[j].name
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	s := x.(*peer)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}
