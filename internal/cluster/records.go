package cluster

// This file has records on the wire: taken in, told, handed over with a part that is another's now, and compared.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/schema"
	"glencart/share"
)

// Bounds of one message of records.
const (
	recordsBytes = 1 << 20 // of records in one Packet on a stream
	recordsMost  = 4096    // records in one
	rangesMost   = 512     // ranges that one asks for
	marksMost    = 64      // marks in one
	datagramRoom = 160     // of a datagram, for the envelope and the sender's word
)

// handTries is how often a hand-over is tried, handPause apart. What is lost then is made up for by comparing.
const (
	handTries = 3
	handPause = 500 * time.Millisecond
)

// encode words a record for a member; nil: it can't be told to it.
func (c *Cluster) encode(r schema.Record, to string) []byte {
	at, most := c.Form(r.Kind, to)
	if at == 0 {
		c.counts.add(notTold)
		return nil
	}
	if at != r.Schema {
		var err error
		if r, err = c.shared.book.ConvertForPeer(r, at, most); err != nil {
			c.counts.add(notTold)
			return nil
		}
	}
	return schema.AppendRecord(nil, r)
}

// errNotRead is a record in a form that this release does not read. It has been counted.
var errNotRead = errors.New("a form that this release does not read")

// merge takes in one record.
func (c *Cluster) merge(now share.Now, b []byte) error {
	r, err := schema.ParseRecord(b)
	if err != nil {
		return err
	}
	if !c.reads(r) {
		return errNotRead
	}
	s := &c.shared
	switch {
	case r.Kind == schema.Session && len(r.Key) == len(share.Key{}):
		sh := s.ofKey(share.Key([]byte(r.Key)))
		sh.Lock()
		defer sh.Unlock()
		_, err = sh.sessions.Merge(now, r)
	case share.IsBeat(r):
		s.ages.Lock()
		defer s.ages.Unlock()
		err = s.ages.Merge(now, r)
	case r.Kind == schema.Use:
		sh := s.ofTenant(r.Key)
		sh.Lock()
		defer sh.Unlock()
		err = sh.use.Merge(now, r)
	default:
		err = errors.New("a record of an unknown kind")
	}
	return err
}

// records takes in a message of records and words its answer.
func (c *Cluster) records(m *wire.Records, from string) *wire.Records {
	now := c.instant()
	whole := true
	for i, b := range m.List {
		err := error(nil)
		if i < recordsMost {
			err = c.merge(now, b)
		}
		if i >= recordsMost || err != nil { // one that can't be read keeps no other out
			whole = false
			if !errors.Is(err, errNotRead) {
				c.counts.drop(garbage, from)
			}
		}
	}
	for _, p := range m.Sure {
		if p < share.Parts && whole {
			sh := c.shared.ofPart(share.Part(p))
			sh.Lock()
			sh.sessions.PartReceived(now, share.Part(p))
			sh.Unlock()
		}
	}
	answer, bytes := &wire.Records{}, 0
	for i, w := range m.Want {
		if w >= share.Parts*share.Leaves {
			continue
		}
		if i >= rangesMost || bytes > recordsBytes {
			answer.Want = append(answer.Want, w) // no room: it is not all
			continue
		}
		for _, r := range c.rangeOf(now, w) {
			if b := c.encode(r, from); b != nil {
				answer.List, bytes = append(answer.List, b), bytes+len(b)
			} else if n := len(answer.Want); n == 0 || answer.Want[n-1] != w {
				answer.Want = append(answer.Want, w) // it is not all
			}
		}
	}
	return answer
}

// rangeOf has the records of a range by its number on the wire.
func (c *Cluster) rangeOf(now share.Now, w uint32) []schema.Record {
	p := share.Part(w / share.Leaves)
	sh := c.shared.ofPart(p)
	sh.Lock()
	defer sh.Unlock()
	return sh.sessions.AppendRecords(now, share.Range{Part: p, Leaf: uint8(w % share.Leaves), One: true}, nil)
}

// ask sends a Packet by stream to a member and returns its answer.
func (c *Cluster) ask(ctx context.Context, to string, p *wire.Packet) (*wire.Packet, error) {
	m, ok := c.member(to)
	if !ok {
		return nil, net.ErrClosed
	}
	p.From = wire.FromWord(c.View().Self)
	p.ToStart = m.Start
	return call(ctx, c.net, m.Addr, c.number, p)
}

// tellRecords sends records by stream, and takes in the answer. whole: nothing is missing in it.
func (c *Cluster) tellRecords(ctx context.Context, to string, m *wire.Records) (whole bool, err error) {
	p, err := c.ask(ctx, to, &wire.Packet{Body: &wire.Packet_Records{Records: m}})
	if err != nil {
		return false, err
	}
	a := p.GetRecords()
	if a == nil {
		return false, wire.ErrGarbage
	}
	now := c.instant()
	whole = len(a.Want) == 0
	for _, b := range a.List {
		if err := c.merge(now, b); errors.Is(err, errNotRead) {
			whole = false
		} else if err != nil {
			return false, err
		}
	}
	return whole, nil
}

// hand hands parts over to a member.
func (c *Cluster) hand(ctx context.Context, to string, list []share.Transfer) {
	m, bytes := &wire.Records{}, 0
	flush := func() bool {
		for try := 1; ; try++ {
			_, err := c.tellRecords(ctx, to, m)
			if err == nil {
				break
			}
			if try == handTries || !rest(ctx, handPause) {
				c.counts.add(handLost)
				c.log.Debug("fleet: hand-over failed", "to", to, "error", err)
				return false
			}
		}
		m, bytes = &wire.Records{}, 0
		return true
	}
	for _, t := range list {
		sh := c.shared.ofPart(t.Part)
		sh.Lock()
		records := sh.sessions.AppendRecords(c.instant(), share.Range{Part: t.Part}, nil)
		sh.Unlock()
		for _, r := range records {
			b := c.encode(r, to)
			if b == nil {
				t.Sure = false
				continue
			}
			if m.List, bytes = append(m.List, b), bytes+len(b); (bytes > recordsBytes || len(m.List) == recordsMost) && !flush() {
				return
			}
		}
		if t.Sure {
			m.Sure = append(m.Sure, uint32(t.Part))
		}
	}
	if len(m.List)+len(m.Sure) > 0 {
		flush()
	}
}

// handWithin bounds what a planned end waits for hand-overs.
const handWithin = 2 * time.Second

// handOver hands over all that this process owns, before its planned end.
func (c *Cluster) handOver() {
	s := &c.shared
	v := c.View()
	var rest []share.Member
	for _, m := range v.Members {
		if m.Name != s.self.Name && c.Takes(schema.Session, m.Name, m.Start) && (m.State == detect.Alive || m.State == detect.Suspect) {
			rest = append(rest, share.Member{Name: m.Name, Start: m.Start})
		}
	}
	if len(rest) == 0 || v.Superseded {
		return
	}
	ring := share.NewRing(rest, c.cfg.Owners)
	var out []share.Transfer
	var marks []share.OutgoingRecord
	now := c.instant()
	now.Own += time.Second // all that is not acknowledged yet, however young
	for i := range s.shards {
		sh := &s.shards[i]
		sh.Lock()
		out = sh.sessions.ShutdownTransfers(now, ring, out)
		marks = sh.sessions.Unacked(now, marks)
		sh.Unlock()
	}
	for _, m := range marks {
		c.tellMark(m)
	}
	ctx, stop := context.WithTimeout(c.running, handWithin)
	defer stop()
	done := make(chan struct{}, 1)
	list := byMember(out)
	for to, parts := range list {
		go func() { c.hand(ctx, to, parts); done <- struct{}{} }()
	}
	for range list {
		<-done
	}
	c.log.Info("fleet: handed over", "parts", len(out), "to", len(list))
}

// compare repairs what this process and another owner of the same parts know: by digests, and then what differs.
func (c *Cluster) compare(ctx context.Context, with string) error {
	s := &c.shared
	ask := &wire.Digests{}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.Lock()
		for _, p := range sh.sessions.Shared(with, nil) {
			ask.Parts = append(ask.Parts, uint32(p))
			ask.Sums = append(ask.Sums, sh.sessions.Digest(share.Range{Part: p}))
			if sh.sessions.Sure(p) {
				ask.Sure = append(ask.Sure, uint32(p))
			}
		}
		sh.Unlock()
	}
	if len(ask.Parts) == 0 {
		return nil
	}
	got, err := c.ask(ctx, with, &wire.Packet{Body: &wire.Packet_Digests{Digests: ask}})
	if err != nil {
		return err
	}
	d := got.GetDigests()
	if d == nil || len(d.Sums) != len(d.Parts)*share.Leaves || len(d.Parts) > share.Parts {
		return wire.ErrGarbage
	}
	sure := map[uint32]bool{}
	for _, p := range ask.Sure {
		sure[p] = true
	}
	m, bytes, whole := &wire.Records{}, 0, true
	now := c.instant()
	flush := func() error {
		ok, err := c.tellRecords(ctx, with, m)
		whole = whole && ok
		m, bytes = &wire.Records{}, 0
		return err
	}
	for i, p := range d.Parts {
		if p >= share.Parts {
			return wire.ErrGarbage
		}
		sh := s.ofPart(share.Part(p))
		sh.Lock()
		mine := sh.sessions.Leaves(share.Part(p))
		sh.Unlock()
		for leaf, sum := range mine {
			if sum == d.Sums[i*share.Leaves+leaf] {
				continue
			}
			w := p*share.Leaves + uint32(leaf)
			m.Want = append(m.Want, w)
			for _, r := range c.rangeOf(now, w) {
				if b := c.encode(r, with); b != nil {
					m.List, bytes = append(m.List, b), bytes+len(b)
				} else {
					sure[p] = false // it does not get all
				}
			}
			if len(m.Want) == rangesMost || bytes > recordsBytes {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		if sure[p] {
			m.Sure = append(m.Sure, p)
		}
	}
	if len(m.Want)+len(m.Sure) > 0 {
		c.repaired.Add(1)
		if err := flush(); err != nil {
			return err
		}
	}
	if whole {
		c.records(&wire.Records{Sure: d.Sure}, with) // it was sure, and all that it has is here
	}
	return nil
}

// digests answers a comparison.
func (c *Cluster) digests(m *wire.Digests) *wire.Digests {
	a := &wire.Digests{}
	if len(m.Parts) != len(m.Sums) || len(m.Parts) > share.Parts {
		return a
	}
	theirs := map[uint32]bool{}
	for _, p := range m.Sure {
		theirs[p] = true
	}
	now := c.instant()
	var sh *shard // parts come by shard: its lock is taken once for all of them
	for i, p := range m.Parts {
		if p >= share.Parts {
			continue
		}
		if next := c.shared.ofPart(share.Part(p)); next != sh {
			if sh != nil {
				sh.Unlock()
			}
			sh = next
			sh.Lock()
		}
		if sh.sessions.Sure(share.Part(p)) {
			a.Sure = append(a.Sure, p)
		}
		if sh.sessions.Digest(share.Range{Part: share.Part(p)}) != m.Sums[i] {
			sums := sh.sessions.Leaves(share.Part(p))
			a.Parts, a.Sums = append(a.Parts, p), append(a.Sums, sums[:]...)
		} else if theirs[p] {
			sh.sessions.PartReceived(now, share.Part(p))
		}
	}
	if sh != nil {
		sh.Unlock()
	}
	return a
}

// compareWithOne compares with another member, a different one each time.
func (c *Cluster) compareWithOne() {
	var others []string
	for _, m := range c.shared.members {
		if m.Name != c.shared.self.Name {
			others = append(others, m.Name)
		}
	}
	if len(others) == 0 {
		return
	}
	with := others[rand.IntN(len(others))]
	c.shared.moves.TryGo(func() error {
		if err := c.compare(c.running, with); err != nil {
			c.counts.add(exchangeLost)
		}
		return nil
	})
}
