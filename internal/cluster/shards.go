package cluster

// This file has the tables of use and sessions, in shards, each under a lock of its own, and who owns which part of them.

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/schema"
	"glencart/share"
)

// shardCount is a power of two: the keys of a part are in one shard. Some cores that ask at once seldom meet in one.
const shardCount = 16

// movesMost is how many hand-overs and comparisons may be under way.
const movesMost = 8

// shard is one of them.
type shard struct {
	lock
	sessions *share.Sessions
	use      *share.Use
	waiting  map[asked]chan struct{} // closed once nobody is waited for any more
}

// asked is a call for which a request waits.
type asked struct {
	key  share.Key
	call uint64
}

// shared is what this process knows together with others.
type shared struct {
	self   share.Member
	book   *schema.Registry
	shards [shardCount]shard
	ages   struct {
		lock
		*share.Ages
	}
	tenants atomic.Pointer[[]*Tenant]
	used    atomic.Pointer[Used]
	memory  *share.Memory              // of the records of sessions in all shards
	ring    atomic.Pointer[share.Ring] // nil: nobody was met yet
	met     chan struct{}              // closed with the first ring
	moved   chan struct{}              // somebody came or went
	marks   errgroup.Group             // marks that go by stream
	moves   errgroup.Group             // hand-overs and comparisons that wait for the network

	// For the goroutine that tends alone:
	members  []share.Member
	minority bool
	wasFull  bool        // as logged
	alone    atomic.Bool // minority, for others to see
}

func (c *Cluster) openShared(start uint64) error {
	s := &c.shared
	s.self = share.Member{Name: c.cfg.Name, Start: start}
	s.book = &schema.Registry{}
	if err := share.Register(s.book); err != nil {
		return err
	}
	s.memory = share.NewMemory(c.cfg.SessionsMemory)
	s.met = make(chan struct{})
	for i := range s.shards {
		s.shards[i] = shard{lock: lock{rank: rankShards + i}, waiting: map[asked]chan struct{}{}, use: share.NewUse(share.UseConfig{Self: s.self}),
			sessions: share.NewSessions(share.SessionsConfig{Self: s.self, Shard: i, Shards: shardCount, Wait: c.cfg.Wait, MarkFor: c.cfg.Keep,
				Memory: s.memory, SessionMemory: int(c.cfg.SessionMemory), RefuseIfFull: c.cfg.RefuseIfFull})}
	}
	s.ages.rank, s.ages.Ages = rankAges, share.NewAges(s.self)
	s.moved = make(chan struct{}, 1)
	s.moves.SetLimit(movesMost)
	s.marks.SetLimit(movesMost * 4)
	s.tenants.Store(&[]*Tenant{})
	s.used.Store(&Used{})
	return nil
}

// instant is now on both clocks.
func (c *Cluster) instant() share.Now {
	return share.Now{Own: c.now(), Wall: time.Duration(time.Now().UnixNano())}
}

func (s *shared) ofPart(p share.Part) *shard  { return &s.shards[p%shardCount] }
func (s *shared) ofKey(k share.Key) *shard    { return s.ofPart(share.PartOf(k)) }
func (s *shared) ofTenant(name string) *shard { return &s.shards[xxhash.Sum64String(name)%shardCount] }

// member finds another process that may be there.
func (c *Cluster) member(name string) (Member, bool) {
	m, ok := c.View().of(name)
	return m, ok && m.State != detect.Left && m.State != detect.Dead
}

// owners reckons anew who owns what, if somebody came or went, and has handed over what now is another's.
//
// One that is away owns nothing: it has handed over what it had. A process that was given seeds and has found nobody yet has no ring:
// then nothing is sure, and repeats of which it knows nothing fail in words.
func (c *Cluster) owners() {
	s, v := &c.shared, c.View()
	list := []share.Member{s.self}
	fit := c.Fit(schema.Session)
	for _, m := range v.Members {
		if m.Name != s.self.Name && fit && c.Takes(schema.Session, m.Name, m.Start) && (m.State == detect.Alive || m.State == detect.Suspect) {
			list = append(list, share.Member{Name: m.Name, Start: m.Start})
		}
	}
	if s.ring.Load() == nil && len(c.cfg.Seeds) > 0 && (len(list) == 1 || c.pulls.Load() == 0 && c.now() < meetTimeout) {
		return // without a whole list from another member, some may be missing
	}
	minority := !fit || v.CutOff || v.Superseded || 2*len(list) <= v.Size
	ring := s.ring.Load()
	if ring != nil && minority == s.minority && slices.Equal(list, s.members) {
		return
	}
	if !slices.Equal(list, s.members) {
		ring = share.NewRing(list, c.cfg.Owners)
	}
	isFirst := s.ring.Swap(ring) == nil
	s.alone.Store(minority)
	s.members, s.minority = list, minority
	var out []share.Transfer
	now := c.instant()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.Lock()
		out = sh.sessions.SetRing(now, ring, minority, out)
		sh.Unlock()
	}
	if isFirst {
		close(s.met)
	}
	for to, list := range byMember(out) {
		if !s.moves.TryGo(func() error { c.hand(c.running, to, list); return nil }) {
			c.counts.add(handMany) // comparing makes up for it
		}
	}
}

// told words what is known together.
func (c *Cluster) told() *wire.Shared {
	s := &c.shared
	ring := s.ring.Load()
	m := &wire.Shared{Minority: s.alone.Load(), Repaired: c.repaired.Load(), Waits: c.counts.waits.Load(), WaitedUs: c.counts.waitedUs.Load(),
		Memory: uint64(max(s.memory.Used(), 0)), MemoryLimit: uint64(s.memory.Limit()), Full: s.memory.IsFull(c.instant()),
		Tenants: map[string]*wire.TenantUse{}}
	if ring != nil {
		m.Ring = uint32(ring.Size())
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.Lock()
		st := sh.sessions.Stats()
		for p := i; p < share.Parts; p += shardCount {
			if ring.Owns(s.self.Name, share.Part(p)) && !sh.sessions.Sure(share.Part(p)) {
				m.Unsure++
			}
		}
		sh.Unlock()
		m.Sessions += uint64(st.Sessions)
		m.Calls += uint64(st.Calls)
		m.NoRoom += st.NoRoom
		m.OverShare += st.OverShare
		m.Refused += st.Refused
		m.AnswersNotKept += st.AnswersNotKept
		m.Unprotected += st.Unprotected
		m.FailedInWords += st.FailedWithReason
		m.KnownAnswers += st.KnownAnswers
	}
	for name, t := range c.Used().Tenants {
		m.Tenants[name] = &wire.TenantUse{Asked: t.Total.Asked, Requests: t.Total.Requests, Work: t.Total.Work, Part: t.Allowance.Part}
	}
	return m
}

func byMember(list []share.Transfer) map[string][]share.Transfer {
	out := map[string][]share.Transfer{}
	for _, t := range list {
		out[t.To] = append(out[t.To], t)
	}
	return out
}
