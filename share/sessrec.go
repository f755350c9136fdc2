// Storage of sessions, and their records.
package share

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"glencart/schema"
)

// part has the sessions of a Part, by leaf.
type part struct {
	leaves       [Leaves]leaf
	sessionCount int
}

// leaf is sorted by key. Keys are stored apart from their sessions, so that a search reads keys only.
type leaf struct {
	keys     []Key
	sessions []*session
	digest   uint64 // of all sessions in it, independent of the order of arrival
}

func compareKeys(a, b Key) int { return bytes.Compare(a[:], b[:]) }

func (t *Sessions) find(key Key) *session {
	p := t.parts[PartOf(key)]
	if p == nil {
		return nil
	}
	l := &p.leaves[LeafOf(key)]
	lo, hi := 0, len(l.keys)
	want := binary.BigEndian.Uint64(key[:])
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if have := binary.BigEndian.Uint64(l.keys[mid][:]); have < want || have == want && compareKeys(l.keys[mid], key) < 0 {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(l.keys) && l.keys[lo] == key {
		return l.sessions[lo]
	}
	return nil
}

// make finds or adds a session. It returns nil when there is no room.
func (t *Sessions) make(now Now, key Key) *session {
	if s := t.find(key); s != nil {
		return s
	}
	if !t.reserve(now, nil, sessionBytes) {
		return nil
	}
	p := t.parts[PartOf(key)]
	if p == nil {
		p = &part{}
		t.parts[PartOf(key)] = p
		t.cfg.Memory.used.Add(int64(partBytes))
		t.stats.Bytes += partBytes
	}
	l := &p.leaves[LeafOf(key)]
	at, _ := slices.BinarySearchFunc(l.keys, key, compareKeys)
	s := &session{key: key, heapIndex: -1, bytes: sessionBytes}
	l.keys = slices.Insert(l.keys, at, key)
	l.sessions = slices.Insert(l.sessions, at, s)
	p.sessionCount++
	t.stats.Sessions++
	t.reposition(s)
	return s
}

// drop removes a session.
func (t *Sessions) drop(s *session) {
	p := t.parts[PartOf(s.key)]
	l := &p.leaves[LeafOf(s.key)]
	at, _ := slices.BinarySearchFunc(l.keys, s.key, compareKeys)
	l.keys = slices.Delete(l.keys, at, at+1)
	l.sessions = slices.Delete(l.sessions, at, at+1)
	for i := range s.calls {
		t.dropCall(s, &s.calls[i])
	}
	l.digest ^= s.digestPart
	s.calls = nil
	t.release(s, s.bytes)
	if s.heapIndex >= 0 {
		heap.Remove(&t.dropHeaps[s.kind], s.heapIndex)
	}
	t.stats.Sessions--
	if p.sessionCount--; p.sessionCount == 0 {
		t.parts[PartOf(s.key)] = nil
		t.cfg.Memory.used.Add(-int64(partBytes))
		t.stats.Bytes -= partBytes
	}
}

func (t *Sessions) dropCall(s *session, c *call) {
	if c.by.calls--; c.by.calls == 0 {
		delete(t.reporters, c.by.Member)
	}
	t.stats.Calls--
	t.release(s, c.bytes())
	t.addDigest(s, c.digest)
	if c.by.Member == t.cfg.Self {
		t.dropUnacked(callKey{s.key, c.id})
	}
}

// bytes returns the memory that the texts of a report take.
func (b *body) bytes() int { return textBytes(len(b.answer)) + textBytes(len(b.unknownFields)) }

func unknownBytes(r *schema.Record) (n int) {
	if r != nil {
		for _, f := range r.Fields {
			n += 64 + len(f.Sub) + len(f.Text) + len(f.Rest)
		}
	}
	return n
}

// addCall adds an empty report of an instance about a call. It returns nil when there is no room.
func (t *Sessions) addCall(now Now, s *session, id uint64, by Member) *call {
	if !t.grow(now, s) {
		return nil
	}
	m := t.reporters[by]
	if m == nil {
		m = &reporter{Member: by}
		t.reporters[by] = m
	}
	m.calls++
	t.stats.Calls++
	at, _ := slices.BinarySearchFunc(s.calls, id, func(c call, id uint64) int { return cmp.Compare(c.id, id) })
	s.calls = slices.Insert(s.calls, at, call{id: id, by: m})
	return &s.calls[at]
}

func (t *Sessions) setCall(now Now, s *session, c *call, stamp uint64, b body) {
	more := b.bytes() - c.bytes()
	switch {
	case more < 0:
		t.release(s, -more)
	case more > 0 && !t.reserveText(now, s, more):
		// The report is kept without its texts: a repeat fails with an explanation, and does not run.
		t.release(s, c.bytes())
		b.answer, b.hasAnswer, b.unknownFields = "", false, ""
		t.stats.AnswersNotKept++
	}
	c.stamp, c.body = stamp, b
	if len(s.calls) == 1 {
		s.firstEnd = b.end
	}
	s.firstEnd = min(s.firstEnd, b.end)
	digest := s.callDigest(c)
	t.addDigest(s, c.digest^digest)
	c.digest = digest
	t.reposition(s)
}

// reserveText is reserve for the texts of a call that is being changed. Nothing of its session is dropped.
func (t *Sessions) reserveText(now Now, s *session, n int) bool {
	if s.bytes+n > t.cfg.SessionMemory {
		t.stats.OverShare++
		return t.noRoom(now)
	}
	return t.reserve(now, s, n)
}

// addDigest changes the digest of a session, and that of its leaf, by what has come or gone.
func (t *Sessions) addDigest(s *session, change uint64) {
	s.digestPart ^= change
	t.parts[PartOf(s.key)].leaves[LeafOf(s.key)].digest ^= change
}

func (t *Sessions) setBinding(now Now, s *session, h binding) {
	s.binding = h
	t.refresh(now, s)
}

// refresh updates a session's digest after a change of its binding or its unknown fields, and its position in the heaps.
func (t *Sessions) refresh(now Now, s *session) {
	sum := s.registerDigest()
	for i := range s.calls {
		sum ^= s.calls[i].digest
	}
	t.addDigest(s, s.digestPart^sum)
	t.reposition(s)
}

// registerDigest is the digest of a session without its calls. Digests are equal at all members that store the same, independent of the
// order of arrival.
func (s *session) registerDigest() uint64 {
	var buf [256]byte
	seed := append(buf[:0], s.key[:]...)
	sum := uint64(0)
	if h := s.binding; h.stamp != 0 {
		b := binary.BigEndian.AppendUint64(append(seed, 1), h.stamp)
		b = binary.BigEndian.AppendUint64(b, h.end)
		b = append(append(append(b, h.box...), 0), h.group...)
		sum ^= xxhash.Sum64(b)
	}
	if s.unknown != nil {
		for _, f := range s.unknown.Fields {
			b := binary.BigEndian.AppendUint32(append(seed, 3), f.Num)
			b = binary.BigEndian.AppendUint64(b, f.Int)
			b = append(append(append(append(append(b, f.Sub...), 0), f.Text...), 0), f.Rest...)
			sum ^= xxhash.Sum64(b)
		}
	}
	return sum
}

// callDigest is the digest of a call.
func (s *session) callDigest(c *call) uint64 {
	var buf [256]byte
	b := binary.BigEndian.AppendUint64(append(append(buf[:0], s.key[:]...), 2), c.id)
	b = binary.BigEndian.AppendUint64(b, c.by.Start)
	b = binary.BigEndian.AppendUint64(b, c.stamp)
	return xxhash.Sum64(c.body.append(append(append(b, c.by.Name...), 0)))
}

// end returns when nothing of a session matters any more, in wall milliseconds.
func (s *session) end() int64 {
	end := s.bindingEnd()
	for i := range s.calls {
		end = max(end, s.calls[i].end)
	}
	return end
}

// bindingEnd returns when a session without calls ends, in wall milliseconds.
func (s *session) bindingEnd() int64 {
	end := s.unknownEnd
	if u := s.binding.until(); u < 1<<62 {
		end = max(end, int64(u))
	}
	return end
}

// callSub is the Sub of an instance's report about a call.
func callSub(id uint64, m Member) string {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 16+len(m.Name)), id)
	return string(append(binary.BigEndian.AppendUint64(b, m.Start), m.Name...))
}

// OfCall returns what a session's record has about one call and about the backend of the session. Without an answer it fits
// into a datagram. Merging it alone is valid.
func OfCall(r schema.Record, id uint64) schema.Record {
	r.Fields = slices.DeleteFunc(slices.Clone(r.Fields), func(f schema.Field) bool {
		return f.Num == sessCall && (len(f.Sub) < 8 || be64(f.Sub) != id)
	})
	return r
}

func readCallSub(s string) (id uint64, m Member, ok bool) {
	if len(s) < 17 || len(s) > 16+maxName {
		return 0, Member{}, false
	}
	return be64(s), Member{Name: s[16:], Start: be64(s[8:])}, true
}

// append appends a body in protobuf's encoding:
//
//	message Body { uint64 end = 1; string box = 2; string group = 3; bytes answer = 4 (present only when kept); }
func (b *body) append(dst []byte) []byte {
	dst = protowire.AppendVarint(protowire.AppendTag(dst, 1, protowire.VarintType), uint64(b.end))
	if b.box != "" {
		dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), b.box)
	}
	if b.group != "" {
		dst = protowire.AppendString(protowire.AppendTag(dst, 3, protowire.BytesType), b.group)
	}
	if b.hasAnswer {
		dst = protowire.AppendString(protowire.AppendTag(dst, 4, protowire.BytesType), b.answer)
	}
	return append(dst, b.unknownFields...)
}

func (t *Sessions) readBody(text []byte) (b body, ok bool) {
	if len(text) > MaxAnswer+4*maxName+1024 {
		return b, false
	}
	for len(text) > 0 {
		num, typ, n := protowire.ConsumeTag(text)
		if n < 0 {
			return b, false
		}
		v := protowire.ConsumeFieldValue(num, typ, text[n:])
		if v < 0 {
			return b, false
		}
		value := text[n : n+v]
		switch {
		case num == 1 && typ == protowire.VarintType:
			end, _ := protowire.ConsumeVarint(value)
			b.end = int64(min(end, 1<<62))
		case num >= 2 && num <= 4 && typ == protowire.BytesType:
			in, _ := protowire.ConsumeBytes(value)
			switch num {
			case 2:
				b.box = t.intern(in)
			case 3:
				b.group = t.intern(in)
			case 4:
				b.answer, b.hasAnswer = string(in), true
			}
		default:
			b.unknownFields += string(text[:n+v])
		}
		text = text[n+v:]
	}
	return b, b.end > 0
}

// record returns a whole session.
func (t *Sessions) record(s *session) schema.Record {
	if s == nil {
		return schema.Record{}
	}
	return t.recordOf(s, s.calls, true)
}

// callRecord returns what a session has about one call, and the backend of the session. A whole session may be long.
func (t *Sessions) callRecord(s *session, id uint64) schema.Record {
	if s == nil {
		return schema.Record{}
	}
	return OfCall(t.recordOf(s, s.callsOf(id), true), id) // unknown fields may be about other calls
}

// Bounds of one of the records in which a session is sent, in calls and bytes. A record may be merged alone.
const maxRecordCalls, maxRecordBytes = 1024, 128 << 10

// appendRecords appends the records in which a session is sent.
func (t *Sessions) appendRecords(s *session, out []schema.Record) []schema.Record {
	for from := 0; from == 0 || from < len(s.calls); {
		to, bytes := from, 0
		for to < len(s.calls) && to-from < maxRecordCalls && bytes < maxRecordBytes {
			bytes += callBytes + s.calls[to].bytes()
			to++
		}
		out = append(out, t.recordOf(s, s.calls[from:to], from == 0))
		from = max(to, 1)
	}
	return out
}

// recordOf returns a record with some calls of a session, and with the rest of it if withRest is set.
func (t *Sessions) recordOf(s *session, calls []call, withRest bool) schema.Record {
	r := schema.Record{Kind: schema.Session, Schema: NewestSession, Key: string(s.key[:])}
	r.Fields = make([]schema.Field, 0, len(calls)+4)
	for i := range calls {
		c := &calls[i]
		r.Fields = append(r.Fields, schema.Field{Num: sessCall, Sub: callSub(c.id, c.by.Member), Int: c.stamp, Text: c.body.append(nil)})
	}
	slices.SortFunc(r.Fields, compareFields)
	if !withRest {
		return r
	}
	if h := s.binding; h.stamp != 0 {
		r.Fields = append(r.Fields, schema.Field{Num: sessStamp, Int: h.stamp}, schema.Field{Num: sessBackend, Text: []byte(h.box)})
		if h.group != "" {
			r.Fields = append(r.Fields, schema.Field{Num: sessGroup, Text: []byte(h.group)})
		}
		if h.end != 0 {
			r.Fields = append(r.Fields, schema.Field{Num: sessEnd, Int: h.end})
		}
	}
	if s.unknown != nil {
		if all, err := t.registry.Merge(r, *s.unknown); err == nil {
			r = all
		}
	}
	return r
}

// Reply returns an owner's reply when it is asked for a session: its record of the session and its standing.
func (t *Sessions) Reply(key Key) (schema.Record, OwnerStatus) {
	return t.record(t.find(key)), t.status(key)
}

// ReplyAbout is Reply about one call, after an owner has merged a mark of it.
func (t *Sessions) ReplyAbout(key Key, call uint64) (schema.Record, OwnerStatus) {
	return t.callRecord(t.find(key), call), t.status(key)
}

// status returns the standing of this instance for a key.
func (t *Sessions) status(key Key) OwnerStatus {
	as := NotOwner
	switch {
	case !t.owns(key):
	case t.Sure(PartOf(key)):
		as = SureOwner
	default:
		as = UnsureOwner
	}
	return as
}

// Merge merges a received record, whole or in part, in any order and any number of times. Fields that don't match their form
// are left out and counted; expired ones are left out. An error is about the record as a whole.
func (t *Sessions) Merge(now Now, r schema.Record) (changed bool, err error) {
	if r.Kind != schema.Session || len(r.Key) != len(Key{}) {
		return false, fmt.Errorf("share: sessions: %s with a key of %d bytes: not a session", r.Kind, len(r.Key))
	}
	if r, err = t.registry.Convert(r, NewestSession); err != nil {
		return false, fmt.Errorf("share: sessions: %w", err)
	}
	if len(r.Fields) == 0 {
		return false, nil
	}
	key := Key([]byte(r.Key))
	s := t.find(key)
	var unknown []schema.Field
	var h binding
	hasUnknown := false // the register has fields of a later release: it is kept whole beside what is read of it
	for i := range r.Fields {
		f := &r.Fields[i]
		register := f.Sub == "" && f.Num >= sessStamp && f.Num < sessStamp+schema.RegisterSize
		switch {
		case f.Num == sessCall && t.cfg.Form >= 3:
			if len(f.Rest) > 0 {
				unknown = append(unknown, *f)
			}
			s, changed = t.mergeCall(now, key, s, f, changed)
		case register && f.Num == sessStamp:
			h.stamp, hasUnknown = f.Int, hasUnknown || len(f.Text) > 0
		case register && f.Num == sessBackend:
			h.box, hasUnknown = t.intern(f.Text), hasUnknown || f.Int != 0
		case register && f.Num == sessGroup && t.cfg.Form >= 2:
			h.group, hasUnknown = t.intern(f.Text), hasUnknown || f.Int != 0
		case register && f.Num == sessEnd && t.cfg.Form >= 2:
			h.end, hasUnknown = f.Int, hasUnknown || len(f.Text) > 0
		case register:
			hasUnknown = true
		default:
			unknown = append(unknown, *f)
		}
		hasUnknown = hasUnknown || register && len(f.Rest) > 0
	}
	if hasUnknown {
		for _, f := range r.Fields {
			if f.Sub == "" && f.Num >= sessStamp && f.Num < sessStamp+schema.RegisterSize {
				unknown = append(unknown, f)
			}
		}
		slices.SortFunc(unknown, compareFields)
	}
	late := uint64(wallMillis(now) - Skew.Milliseconds() - LateRepeatWindow.Milliseconds())
	switch {
	case h.stamp == 0 || h.until() <= late:
	case h.until() > uint64(wallMillis(now))+uint64(maxHold.Milliseconds()) || len(h.box)+len(h.group) > 4*maxName:
		t.stats.MalformedFields++
	default:
		if s == nil {
			s = t.make(now, key)
		}
		if s != nil && compareBindings(h, s.binding) > 0 {
			t.setBinding(now, s, h)
			changed = true
		}
	}
	if len(unknown) == 0 {
		return changed, nil
	}
	if s == nil {
		if s = t.make(now, key); s == nil {
			return changed, nil
		}
	}
	kept, err := t.keepUnknown(now, s, unknown)
	return changed || kept, err
}

func (t *Sessions) mergeCall(now Now, key Key, s *session, f *schema.Field, changed bool) (*session, bool) {
	id, by, ok := readCallSub(f.Sub)
	b, read := t.readBody(f.Text)
	wall := wallMillis(now)
	switch {
	case !ok || !read || f.Int == 0 || b.end > wall+2*MaxKeep.Milliseconds() || len(b.box)+len(b.group) > 4*maxName:
		t.stats.MalformedFields++
		return s, changed
	case b.end+Skew.Milliseconds()+LateRepeatWindow.Milliseconds() <= wall:
		return s, changed
	}
	if s == nil {
		if s = t.make(now, key); s == nil {
			t.lack(now, key)
			return s, changed
		}
	}
	c := s.callBy(id, by)
	if c == nil {
		if c = t.addCall(now, s, id, by); c == nil {
			t.lack(now, key)
			return s, changed
		}
	}
	if f.Int > c.stamp || f.Int == c.stamp && string(f.Text) > string(c.body.append(nil)) {
		t.setCall(now, s, c, f.Int, b)
		return s, true
	}
	return s, changed
}

// lack records that a report about a call of a key found no room. Until it no longer matters, this instance does not know what has run.
func (t *Sessions) lack(now Now, key Key) {
	t.lacking[PartOf(key)] = now.Own + t.cfg.MarkFor + 2*Skew
}

// intern stores the name of a backend or group once: a site has few, and each is part of many sessions.
func (t *Sessions) intern(b []byte) string {
	n, ok := t.interned[string(b)]
	if !ok {
		if len(t.interned) >= 4096 {
			clear(t.interned)
		}
		n = string(b)
		t.interned[n] = n
	}
	return n
}

// compareBindings has the same order as a merge of records.
func compareBindings(a, b binding) int {
	switch {
	case a.stamp != b.stamp:
		if a.stamp < b.stamp {
			return -1
		}
		return 1
	case a.box != b.box:
		return strings.Compare(a.box, b.box)
	case a.group != b.group:
		return strings.Compare(a.group, b.group)
	case a.end < b.end:
		return -1
	case a.end > b.end:
		return 1
	}
	return 0
}

// keepUnknown stores fields that a later release wrote, to pass them on. They are dropped with their session, or DefaultSessionTimeout after
// they arrived.
func (t *Sessions) keepUnknown(now Now, s *session, fields []schema.Field) (changed bool, err error) {
	r := schema.Record{Kind: schema.Session, Schema: NewestSession, Key: string(s.key[:]), Fields: fields}
	if s.unknown != nil {
		if r, err = t.registry.Merge(*s.unknown, r); err != nil {
			return false, fmt.Errorf("share: sessions: %w", err)
		}
		if schema.Equal(r, *s.unknown) {
			return false, nil
		}
	}
	if unknownBytes(&r) > maxUnknownBytes {
		t.stats.MalformedFields++
		return false, nil // a session that is empty now is dropped at the next tick
	}
	if more := unknownBytes(&r) - unknownBytes(s.unknown); more <= 0 {
		t.release(s, -more)
	} else if !t.reserve(now, s, more) {
		t.lack(now, s.key)
		return false, nil
	}
	s.unknown, s.unknownEnd = &r, wallMillis(now)+DefaultSessionTimeout.Milliseconds()
	t.refresh(now, s)
	return true, nil
}
