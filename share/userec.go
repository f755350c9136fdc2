// Records of use, as sent to and received from other members.
package share

import (
	"fmt"
	"slices"
	"strings"

	"glencart/schema"
)

// sentSeconds is how many seconds of a count are sent: the current one and two that are over. Each is sent in every round of that
// time, so that a few lost messages have no effect; settleWindows relies on it.
const sentSeconds = 3

// Own appends this instance's counts that other members may not have received yet, and the plans that it has read from its settings.
// Each record is partial: it may be merged into what is stored, but must not replace it.
func (u *Use) Own(now Now, out []schema.Record) []schema.Record {
	from := len(out)
	for name, t := range u.tenants {
		if r, ok := u.record(now, name, t, func(c *cell) bool { return c == t.own }, t.limit.Loaded == t.planLoad && t.plan != ""); ok {
			out = append(out, r)
		}
	}
	return byKey(out, from)
}

// byKey sorts what was appended: a map has no order, and the same events must give the same messages.
func byKey(out []schema.Record, from int) []schema.Record {
	slices.SortFunc(out[from:], func(a, b schema.Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Changed appends the counts of all members, and the plans, that became known after a version. It also returns the current
// version. A version is valid for this table only.
func (u *Use) Changed(now Now, since uint64, out []schema.Record) ([]schema.Record, uint64) {
	from := len(out)
	for name, t := range u.tenants {
		if r, ok := u.record(now, name, t, func(c *cell) bool { return c.version > since }, t.planVersion > since); ok {
			out = append(out, r)
		}
	}
	return byKey(out, from), u.version
}

// All appends all counts in the table, for a new member or a snapshot.
func (u *Use) All(now Now, out []schema.Record) []schema.Record {
	out, _ = u.Changed(now, 0, out)
	return out
}

func (u *Use) record(now Now, name string, t *tenant, which func(*cell) bool, plan bool) (schema.Record, bool) {
	r := schema.Record{Kind: schema.Use, Schema: NewestUse, Key: name}
	if plan && t.plan != "" && u.cfg.Form >= 3 {
		r.Fields = append(r.Fields, schema.Field{Num: usePlan, Int: t.planLoad, Text: []byte(t.plan)})
	}
	for _, c := range t.cells {
		if which(c) {
			r.Fields = c.fields(now, r.Fields)
		}
	}
	slices.SortFunc(r.Fields, compareFields)
	if t.unknown != nil && len(r.Fields) > 0 {
		if all, err := u.registry.Merge(r, *t.unknown); err == nil {
			r = all
		}
	}
	return r, len(r.Fields) > 0
}

// fields appends the counts of a cell that may still matter to another member. Clocks may be Skew apart, so the newest window
// that the member itself reported is the reference.
func (c *cell) fields(now Now, out []schema.Field) []schema.Field {
	newest := uint64(c.newest)
	if w := uint64(now.Wall / Window); newest+uint64(behind) < w {
		return out
	}
	for i := range c.seconds {
		s := &c.seconds[i]
		if s.window == 0 || uint64(s.window)+sentSeconds <= newest {
			continue
		}
		sub := countSub(uint64(s.window), c.owner.Member, "")
		out = append(out, schema.Field{Num: useAsked, Sub: sub, Int: uint64(s.asked)})
		if s.admitted > 0 {
			out = append(out, schema.Field{Num: useAdmitted, Sub: sub, Int: uint64(s.admitted)})
		}
		if s.work > 0 {
			out = append(out, schema.Field{Num: useSecondWork, Sub: sub, Int: uint64(s.work)})
		}
	}
	for i := range c.tens {
		k := &c.tens[i]
		if (uint64(k.window)+1)*10+sentSeconds <= newest {
			continue
		}
		sub := countSub(uint64(k.window), c.owner.Member, k.class)
		if k.requests > 0 {
			out = append(out, schema.Field{Num: useRequests, Sub: sub, Int: uint64(k.requests)})
		}
		if k.work > 0 {
			out = append(out, schema.Field{Num: useWork, Sub: sub, Int: k.work})
		}
	}
	return out
}

func compareFields(a, b schema.Field) int {
	if a.Num != b.Num {
		if a.Num < b.Num {
			return -1
		}
		return 1
	}
	if a.Sub < b.Sub {
		return -1
	}
	if a.Sub > b.Sub {
		return 1
	}
	return 0
}

// Merge merges a received record, whole or in part, in any order and any number of times. A count that is over, or too far
// ahead, is left out. A field that doesn't match its form is left out and counted. An error is about the record as a whole.
func (u *Use) Merge(now Now, r schema.Record) error {
	if r.Kind != schema.Use || r.Key == beatKey {
		return fmt.Errorf("share: use: %s %q: not a tenant's use", r.Kind, r.Key)
	}
	r, err := u.registry.Convert(r, NewestUse)
	if err != nil {
		return fmt.Errorf("share: use: %w", err)
	}
	t := u.tenant(now, r.Key)
	if t == nil {
		return nil
	}
	var unknown []schema.Field
	for i := range r.Fields {
		f := &r.Fields[i]
		switch {
		case !u.reads(f):
			unknown = append(unknown, *f)
		case f.Num == usePlan:
			if f.Int > t.planLoad || f.Int == t.planLoad && string(f.Text) > t.plan {
				u.version++
				t.plan, t.planLoad, t.planVersion = string(f.Text), f.Int, u.version
			}
		default:
			u.mergeCount(now, t, f)
		}
	}
	return u.keepUnknown(t, r.Key, unknown)
}

// reads reports whether a release at Form reads a field.
func (u *Use) reads(f *schema.Field) bool {
	switch f.Num {
	case useRequests:
		if u.cfg.Form >= 2 {
			return true
		}
		_, _, class, ok := readCountSub(f.Sub)
		return ok && class == ""
	case useWork:
		return u.cfg.Form >= 2
	case usePlan:
		return u.cfg.Form >= 3 && f.Sub == ""
	case useAsked, useAdmitted, useSecondWork:
		return u.cfg.Form >= 3
	}
	return false
}

func (u *Use) mergeCount(now Now, t *tenant, f *schema.Field) {
	window, who, class, ok := readCountSub(f.Sub)
	if !ok || len(who.Name) > maxName || len(class) > maxClass {
		u.stats.MalformedFields++
		return
	}
	w := uint64(now.Wall / Window)
	first, last := window, window
	if f.Num == useRequests || f.Num == useWork {
		if window > w { // this also avoids an overflow below
			u.stats.OutOfTime++
			return
		}
		first, last = window*10, window*10+9
	}
	if first > w+ahead || last+behind < w {
		u.stats.OutOfTime++
		return
	}
	c := u.cell(t, who)
	if c == nil {
		u.stats.DroppedAtCap++
		return
	}
	if who == u.cfg.Self {
		t.own = c
	}
	changed := false
	raise := func(p *uint32) {
		if v := uint32(min(f.Int, 1<<32-1)); v > *p {
			*p, changed = v, true
		}
	}
	switch f.Num {
	case useAsked, useAdmitted, useSecondWork:
		s := &c.seconds[window%keptSeconds]
		if s.window > uint32(window) {
			return // long over for this member
		}
		if s.window < uint32(window) {
			*s = second{window: uint32(window)}
		}
		switch f.Num {
		case useAsked:
			raise(&s.asked)
		case useAdmitted:
			raise(&s.admitted)
		default:
			raise(&s.work)
		}
		c.newest = max(c.newest, uint32(window))
	default:
		k := u.tenSecondsOf(c, uint32(window), class)
		if k == nil {
			return
		}
		if f.Num == useRequests {
			raise(&k.requests)
		} else if f.Int > k.work {
			k.work, changed = f.Int, true
		}
		if !c.bySecond() { // of a release that counts by ten seconds only
			c.newest = max(c.newest, uint32(min(last, w)))
		}
	}
	if changed {
		u.version++
		c.version = u.version
		t.changed = now.Wall
	}
}

func (c *cell) bySecond() bool {
	for i := range c.seconds {
		if c.seconds[i].window != 0 {
			return true
		}
	}
	return false
}

// keepUnknown stores fields that a later release wrote, to pass them on. They are dropped with the tenant.
func (u *Use) keepUnknown(t *tenant, key string, fields []schema.Field) error {
	if len(fields) == 0 {
		return nil
	}
	r := schema.Record{Kind: schema.Use, Schema: NewestUse, Key: key, Fields: fields}
	if t.unknown != nil {
		var err error
		if r, err = u.registry.Merge(*t.unknown, r); err != nil {
			return fmt.Errorf("share: use: %w", err)
		}
	}
	if len(r.Fields) > u.cfg.MaxUnknownFields {
		u.stats.MalformedFields++
		r.Fields = r.Fields[len(r.Fields)-u.cfg.MaxUnknownFields:] // windows rise with their Subs: this keeps the newest of the highest number
	}
	t.unknown = &r
	return nil
}

// Split splits a record into ones of at most about the given number of bytes, for messages of limited size. Each can be merged
// by itself.
func Split(out []schema.Record, r schema.Record, bytes int) []schema.Record {
	from, size := 0, 0
	for i, f := range r.Fields {
		n := 24 + len(f.Sub) + len(f.Text) + len(f.Rest)
		if i > from && size+n > bytes {
			part := r
			part.Fields = r.Fields[from:i:i]
			out = append(out, part)
			from, size = i, 0
		}
		size += n
	}
	r.Fields = r.Fields[from:]
	return append(out, r)
}
