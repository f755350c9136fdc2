// The session table, and the steps of a call in it: looked up, marked, decided, ended.
package share

import (
	"cmp"
	"slices"
	"time"

	"glencart/schema"
)

const (
	// MarkTimeout is how long a mark matters where a Query doesn't set it: as long as clients repeat such calls.
	MarkTimeout = time.Minute
	// LateRepeatWindow is how long a call or session is kept past its end, so that a late repeat fails with an explanation.
	LateRepeatWindow = time.Minute
	// DefaultSessionTimeout is how long a session lasts after it was written if its record has no end (form 1).
	DefaultSessionTimeout = 15 * time.Minute
	// defaultOwnerWait is the wait for owners where the configuration doesn't set it: some round trips within a site.
	defaultOwnerWait = 50 * time.Millisecond
)

// SessionsConfig names the owner of the table and the shard, and sets the bounds. Zero values mean the defaults given at the
// fields.
type SessionsConfig struct {
	Self          Member
	Shard, Shards int           // it holds the keys of the parts p with p%Shards == Shard. 0, 0: all
	Wait          time.Duration // longest wait for owners. 0: 50 ms
	MarkFor       time.Duration // the longest Query.Keep: an owner that no instance can send marks to is sure after this time. 0: a minute
	Memory        *Memory       // of the records, shared by all shards. Nil: DefaultMemory for this shard alone
	SessionMemory int           // of one session, in bytes. 0: a part of Memory
	RefuseIfFull  bool          // a call for whose mark there is no room is refused. false: it is sent unprotected
	Form          uint16        // the newest form that this release reads and writes, for tests. 0: the newest
}

// Sessions is one shard of the session table.
type Sessions struct {
	cfg         SessionsConfig
	registry    *schema.Registry
	ring        *Ring
	minority    bool
	parts       [Parts]*part
	unsureUntil map[Part]time.Duration // parts that this instance owns and is not sure of, and until when (own clock)
	earlyParts  map[Part]time.Duration // parts that arrived whole before this instance knew that it owns them, and when (own clock)
	reporters   map[Member]*reporter
	pending     map[callKey]*pending
	unacked     map[callKey]*unacked
	lacking     map[Part]time.Duration // parts of which a record found no room here, and until when it matters (own clock)
	dropHeaps   [2]dropHeap            // heaps of sessions by their kind
	interned    map[string]string      // of backends and groups, each stored once
	stats       SessionStats
}

type callKey struct {
	key  Key
	call uint64
}

// reporter is an instance that made attempts.
type reporter struct {
	Member
	calls int
}

type session struct {
	key        Key
	binding    binding
	calls      []call         // by id
	firstEnd   int64          // wall milliseconds: no call ends before it
	bytes      int            // reserved
	unknown    *schema.Record // fields unknown to this release, which it passes on
	unknownEnd int64
	digestPart uint64 // its contribution to its leaf's digest
	dropAt     int64  // when something of it is dropped, wall milliseconds
	heapIndex  int    // index in the heap of its kind; -1: in none yet
	kind       uint8  // withoutCalls or withCalls
}

// Kinds of sessions. One without calls protects nothing and may be dropped before its end.
const (
	withoutCalls = iota
	withCalls
)

// binding is the backend that a session stays with.
type binding struct {
	stamp      uint64 // wall milliseconds, when it was written; 0: none
	box, group string
	end        uint64 // wall milliseconds; 0: not set
}

// call is what one instance reports of its attempts of one call. Only that instance changes it, and its stamp only rises.
type call struct {
	id               uint64
	by               *reporter
	stamp            uint64 // attempt<<2 | rank
	digest           uint64 // its part of the digest of its session
	mayHaveRunBefore bool   // own calls: an earlier attempt may have run, so "never ran" is not reported of a later one
	body
}

// body is the rest of a report, replaced as a whole with its stamp.
type body struct {
	end           int64 // wall milliseconds
	box, group    string
	answer        string
	hasAnswer     bool   // there is an answer, which may be empty
	unknownFields string // fields that a later release added
}

// Ranks of reports about one attempt. The mark is written before the attempt is made, and later knowledge ranks above the mark.
// So only the instance that made an attempt can report that it never ran.
const (
	rankMayHaveRun = 1
	rankNeverRan   = 2
	rankAnswered   = 3
)

// state returns the state for the rank of the stamp. A rank unknown to this release counts as MayHaveRun, the most restrictive
// state.
func (c *call) state() State {
	return [...]State{MayHaveRun, MayHaveRun, NeverRan, Answered}[c.stamp&3]
}

// pending is a call of this instance between Lookup and Decide.
type pending struct {
	query                Query
	owners               []string
	replied, acked, sure uint32 // bits by index in owners
	reports              []call // that owners have replied with, whether or not there is room for them here
	attempt              uint64
	followsGroup         bool          // send to query.Group, which is known to remember the call
	since                time.Duration // own
}

// unacked is a mark of this instance that some owner has not acknowledged.
type unacked struct {
	acked []string
	stamp uint64
	sent  time.Duration // own
}

// NewSessions returns an empty table without a ring.
func NewSessions(cfg SessionsConfig) *Sessions {
	cfg.Shards = max(cfg.Shards, 1)
	cfg.Wait = cmp.Or(cfg.Wait, defaultOwnerWait)
	cfg.MarkFor = min(cmp.Or(cfg.MarkFor, MarkTimeout), MaxKeep)
	if cfg.Memory == nil {
		cfg.Memory = NewMemory(DefaultMemory)
	}
	cfg.SessionMemory = cmp.Or(cfg.SessionMemory, max(int(cfg.Memory.Limit()/sessionShareDivisor), minSessionShare))
	cfg.Form = cmp.Or(cfg.Form, NewestSession)
	return &Sessions{cfg: cfg, registry: newRegistry(), unsureUntil: map[Part]time.Duration{}, earlyParts: map[Part]time.Duration{}, lacking: map[Part]time.Duration{}, reporters: map[Member]*reporter{}, pending: map[callKey]*pending{}, unacked: map[callKey]*unacked{}, interned: map[string]string{}}
}

func wallMillis(now Now) int64 { return now.Wall.Milliseconds() }

// Lookup starts a call. A call that needs no other instance is decided at once. A call that must not run twice is marked here,
// and the result is Ask: its owners have to be asked before Decide.
func (t *Sessions) Lookup(now Now, q Query) Decision {
	s := t.find(q.Key)
	d := Decision{Backend: t.boundBackend(now, s)}
	if q.Effect == Safe {
		return d
	}
	if t.cfg.Form < 3 { // such a release has no calls
		return t.unprotected(d, NotMarked)
	}
	k := callKey{q.Key, q.Call}
	if p := t.pending[k]; p != nil {
		if now.Own-p.since < t.cfg.Wait+time.Second {
			t.stats.FailedWithReason++
			return Decision{What: Unsure, Cause: UnderWay}
		}
		delete(t.pending, k) // abandoned without Decide or End. Its mark stands: this instance has no proof that it never ran
	}
	f := t.collectFacts(now, s.callsOf(q.Call), nil)
	own := t.ownCall(s, q.Call)
	follow := q.Effect == Keyed && f.group != "" && !f.old && (f.know == knowMayHaveRun || f.know == knowRan)
	if follow { // sent to its group, under a mark of its own: the earlier mark may still be taken back
		q.Group = f.group
	} else if f.know >= knowRan || f.know == knowMayHaveRun && (t.owns(q.Key) || own != nil && own.state() == MayHaveRun) {
		return t.applyTable(d, q, f, ownersSilent)
	}
	q.Keep = min(cmp.Or(q.Keep, t.cfg.MarkFor), t.cfg.MarkFor)
	c := t.writeMark(now, k, rankMayHaveRun, body{end: wallMillis(now) + q.Keep.Milliseconds(), group: q.Group})
	if c == nil {
		if d = t.applyTable(d, q, f, ownersSilent); d.What != Go {
			return d
		}
		if t.cfg.RefuseIfFull {
			t.stats.Refused++
			return Decision{What: Refuse, Cause: NoRoom}
		}
		return t.unprotected(d, NoRoom)
	}
	return t.askOwners(now, d, &pending{query: q, followsGroup: follow, attempt: c.stamp >> 2})
}

// askOwners returns the decision that sends a new mark to the owners.
func (t *Sessions) askOwners(now Now, d Decision, p *pending) Decision {
	p.since, p.owners = now.Own, t.otherOwners(p.query.Key)
	t.pending[callKey{p.query.Key, p.query.Call}] = p
	if len(p.owners) == 0 {
		return t.Decide(now, p.query.Key, p.query.Call)
	}
	d.What, d.Wait, d.Attempt = Ask, t.cfg.Wait, p.attempt
	d.Outgoing = OutgoingRecord{t.callRecord(t.find(p.query.Key), p.query.Call), p.owners, p.query.Call}
	return d
}

// Replied processes the reply of an owner to any mark (see Reply). done means that no more replies are outstanding and Decide
// can be called.
func (t *Sessions) Replied(now Now, key Key, id uint64, from string, r schema.Record, as OwnerStatus) (done bool, err error) {
	k := callKey{key, id}
	acked := false
	if r.Key != "" {
		if _, err = t.Merge(now, r); err != nil {
			return false, err
		}
		acked = as != NotOwner && t.acked(k, from, r)
	}
	p := t.pending[k]
	if p == nil {
		return false, nil
	}
	p.reports = t.appendReports(p.reports, r, id)
	at := slices.Index(p.owners, from)
	if at < 0 || at > 31 {
		return false, nil
	}
	p.replied |= 1 << at
	if acked {
		p.acked |= 1 << at
	}
	if as == SureOwner {
		p.sure |= 1 << at
	}
	return p.replied == 1<<len(p.owners)-1, nil
}

// appendReports appends the reports about a call that are in an owner's reply.
func (t *Sessions) appendReports(reports []call, r schema.Record, id uint64) []call {
	if r.Key == "" {
		return reports
	}
	r, err := t.registry.Convert(r, NewestSession)
	if err != nil {
		return reports
	}
	for i := range r.Fields {
		f := &r.Fields[i]
		if f.Num != sessCall {
			continue
		}
		about, by, isCall := readCallSub(f.Sub)
		text, isBody := t.readBody(f.Text)
		if isCall && isBody && about == id && f.Int != 0 {
			reports = append(reports, call{id: id, by: &reporter{Member: by}, stamp: f.Int, body: text})
		}
	}
	return reports
}

// acked reports whether an owner's record has this instance's latest report of a call.
func (t *Sessions) acked(k callKey, from string, r schema.Record) bool {
	u := t.unacked[k]
	if u == nil || r.Int(sessCall, callSub(k.call, t.cfg.Self)) < u.stamp {
		return false
	}
	if !slices.Contains(u.acked, from) {
		u.acked = append(u.acked, from)
	}
	return true
}

// Decide returns the decision for a call after Ask. If the call is not sent, its mark is taken back. The result may be Ask once
// more: if the group of a keyed call was learnt from the owners, the call is marked again, for that group.
func (t *Sessions) Decide(now Now, key Key, id uint64) Decision {
	k := callKey{key, id}
	p := t.pending[k]
	if p == nil {
		t.stats.FailedWithReason++
		return Decision{What: Unsure, Cause: UnderWay}
	}
	delete(t.pending, k)
	s := t.find(key)
	own := t.ownCall(s, id)
	o, why := ownersSure, NoCause
	all := uint32(1)<<len(p.owners) - 1
	switch {
	case t.minority:
		o, why = ownersMinority, InMinority
	case p.sure != all || t.ring == nil || t.owns(key) && !t.Sure(PartOf(key)):
		o, why = ownersSilent, OwnersSilent
	}
	f := t.collectFacts(now, slices.Concat(s.callsOf(id), p.reports), own)
	switch {
	case !p.followsGroup:
	case f.know < knowMayHaveRun: // the mark that it follows is its own, or was taken back since: the call may have reached that group all the same
		f = facts{know: knowMayHaveRun, group: p.query.Group}
	case f.know == knowMayHaveRun && f.group != p.query.Group:
		f.group = "" // by now there are two groups
	}
	d := t.applyTable(Decision{Backend: t.boundBackend(now, s)}, p.query, f, o)
	if d.What == GoTo && own != nil && own.group != d.Group {
		// The group was learnt from owners, and the other instance may have learnt this one's group. Of two instances that mark
		// and then read, at most one sees no other group.
		if c := t.writeMark(now, k, rankMayHaveRun, body{end: own.end, group: d.Group}); c != nil {
			p.query.Group = d.Group
			return t.askOwners(now, Decision{Backend: d.Backend}, &pending{query: p.query, followsGroup: true, attempt: c.stamp >> 2})
		}
	}
	if d.What != Go && d.What != GoTo {
		if own != nil { // otherwise it has expired meanwhile
			if c := t.writeMark(now, k, rankNeverRan, body{end: own.end}); c != nil {
				d.Outgoing = OutgoingRecord{t.callRecord(t.find(key), id), t.otherOwners(key), id}
			}
		}
		return d
	}
	d.NeedsEnd, d.Attempt = true, p.attempt
	switch {
	case o == ownersMinority: // the other side can't see the mark
		d = t.unprotected(d, why)
	case len(p.owners) == 0:
		d = t.unprotected(d, NoOtherInstance)
	case p.acked != all: // a partition or a crash may leave one of them alone
		d = t.unprotected(d, NotMarked)
	}
	return d
}

func (t *Sessions) unprotected(d Decision, why Cause) Decision {
	t.stats.Unprotected++
	d.Cause, d.Unprotected = why, true
	return d
}

// applyTable applies the decision table. A call that is sent from here without Decide has no mark.
func (t *Sessions) applyTable(d Decision, q Query, f facts, o owners) Decision {
	d.What, d.Cause = decide(situation{q.Effect, f.know, f.old, o, q.Repeat, f.group != ""})
	switch d.What {
	case Known:
		d.Answer = f.answer
		t.stats.KnownAnswers++
	case GoTo:
		d.Backend, d.Group = f.box, f.group
	case Unsure:
		t.stats.FailedWithReason++
	}
	return d
}

// End records how an attempt ended. The record goes to the owners when there is time, and again until all of them have it
// (Unacked).
func (t *Sessions) End(now Now, e AttemptOutcome) OutgoingRecord {
	if t.cfg.Form < 3 {
		return OutgoingRecord{}
	}
	k := callKey{e.Key, e.Call}
	if p := t.pending[k]; p != nil && p.attempt == e.Attempt {
		delete(t.pending, k)
	}
	s := t.find(e.Key)
	own := t.ownCall(s, e.Call)
	b := body{end: wallMillis(now) + t.cfg.MarkFor.Milliseconds(), box: e.Backend}
	if own != nil {
		b.end, b.group = own.end, own.group
	}
	rank := uint64(rankMayHaveRun)
	switch e.State {
	case Answered:
		rank = rankAnswered
		if len(e.Answer) <= MaxAnswer {
			b.answer, b.hasAnswer = e.Answer, true
		}
	case NeverRan:
		rank = rankNeverRan
	}
	// The outcome of an attempt is reported only for its own mark. An attempt that went to a group under an earlier mark
	// changes nothing about that mark, but its answer is the answer of the call.
	if rank != rankAnswered && (own == nil || own.state() != MayHaveRun || own.stamp>>2 != e.Attempt) || own != nil && own.state() == Answered {
		return OutgoingRecord{}
	}
	if t.writeMark(now, k, rank, b) == nil {
		return OutgoingRecord{}
	}
	return OutgoingRecord{t.callRecord(t.find(e.Key), e.Call), t.otherOwners(e.Key), e.Call}
}

// writeMark writes this instance's own report of a call. It returns nil when there is no room.
func (t *Sessions) writeMark(now Now, k callKey, rank uint64, b body) *call {
	s := t.make(now, k.key)
	if s == nil {
		return nil
	}
	c := t.ownCall(s, k.call)
	if c == nil {
		if c = t.addCall(now, s, k.call, t.cfg.Self); c == nil {
			return nil
		}
		// Higher than any forgotten attempt of this process, here or at other members.
		c.stamp = uint64(wallMillis(now)) << 2
	}
	if rank == rankNeverRan && c.mayHaveRunBefore {
		return nil
	}
	c.mayHaveRunBefore = c.mayHaveRunBefore || c.stamp&3 == rankMayHaveRun && rank == rankMayHaveRun
	attempt := c.stamp >> 2
	if rank <= c.stamp&3 {
		attempt++
	}
	t.setCall(now, s, c, attempt<<2|rank, b)
	t.addUnacked(k, &unacked{stamp: c.stamp, sent: now.Own})
	return c
}

// BindBackend records that a session stays with a backend. It is sent again after half of its time. The To of the result is empty if
// there is nothing new to send.
func (t *Sessions) BindBackend(now Now, key Key, box, group string, keep time.Duration) OutgoingRecord {
	s := t.make(now, key)
	if s == nil {
		return OutgoingRecord{}
	}
	wall := uint64(wallMillis(now))
	h := binding{stamp: max(wall, s.binding.stamp+1), box: box, group: group, end: wall + uint64(keep.Milliseconds())}
	if t.cfg.Form < 2 {
		h.group, h.end = "", 0
	}
	if s.binding.box == box && s.binding.group == h.group && s.binding.until() > wall+uint64(keep.Milliseconds())/2 {
		return OutgoingRecord{}
	}
	t.setBinding(now, s, h)
	return OutgoingRecord{t.callRecord(s, 0), t.otherOwners(key), 0}
}

// until returns when a session ends, in wall milliseconds.
func (h *binding) until() uint64 {
	if h.end == 0 && h.stamp != 0 {
		return h.stamp + uint64(DefaultSessionTimeout.Milliseconds())
	}
	return h.end
}

func (t *Sessions) boundBackend(now Now, s *session) string {
	if s == nil || s.binding.until() <= uint64(wallMillis(now)) {
		return ""
	}
	return s.binding.box
}

// facts is what the reports of all instances about a call add up to.
type facts struct {
	know       knowledge
	old        bool
	box, group string // group: only when there is exactly one
	answer     string
}

// collectFacts computes the facts of a call from the reports about it, without that of the attempt that is being decided.
func (t *Sessions) collectFacts(now Now, calls []call, own *call) (f facts) {
	fresh := wallMillis(now) + Skew.Milliseconds()
	groups := 0
	for i := range calls {
		c := &calls[i]
		if own != nil && c.by.Member == own.by.Member {
			continue
		}
		switch k := c.know(); {
		case k < f.know:
			continue
		case k > f.know:
			f = facts{know: k}
			groups = 0
		}
		f.old = f.old || c.end <= fresh
		f.answer = c.answer
		if groups == 0 || c.group != f.group {
			groups++
		}
		f.box, f.group = c.box, c.group
	}
	if groups != 1 {
		f.box, f.group = "", ""
	}
	return f
}

func (c *call) know() knowledge {
	switch c.state() {
	case NeverRan:
		return knowNeverRan
	case Answered:
		if c.hasAnswer {
			return knowAnswer
		}
		return knowRan
	}
	return knowMayHaveRun
}

func (t *Sessions) ownCall(s *session, id uint64) *call {
	if s == nil {
		return nil
	}
	return s.callBy(id, t.cfg.Self)
}

// callsOf returns the reports about one call.
func (s *session) callsOf(id uint64) []call {
	if s == nil {
		return nil
	}
	compare := func(c call, id uint64) int { return cmp.Compare(c.id, id) }
	from, _ := slices.BinarySearchFunc(s.calls, id, compare)
	to := from
	for to < len(s.calls) && s.calls[to].id == id {
		to++
	}
	return s.calls[from:to]
}

// callBy returns the report of an instance about a call, or nil.
func (s *session) callBy(id uint64, by Member) *call {
	calls := s.callsOf(id)
	for i := range calls {
		if calls[i].by.Member == by {
			return &calls[i]
		}
	}
	return nil
}

// otherOwners returns the owners of a key other than this instance.
func (t *Sessions) otherOwners(key Key) []string {
	o := t.ring.Owners(PartOf(key))
	at := slices.Index(o, t.cfg.Self.Name)
	if at < 0 {
		return o
	}
	return slices.Delete(slices.Clone(o), at, at+1)
}

func (t *Sessions) owns(key Key) bool { return t.ring.Owns(t.cfg.Self.Name, PartOf(key)) }
