// The released forms of use and sessions, each as it was released, and the conversions between them.
package share

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"glencart/schema"
)

// Field numbers of use and sessions, and the newest forms. Counters are merged by maximum: each has one writer, the member in
// its Sub, which only raises it.
const (
	usePlan          = 1    // Int: number of the file load; Text: the plan
	useRequestsForm1 = 1000 // form 1: requests, by a Sub in text form (see subForm1)
	useRequests      = 1001 // requests by member, window of ten seconds and class; class "" is the sum of all
	useWork          = 1002 // the same in microseconds of backend time
	useAsked         = 1003 // requests including rejected ones, by member and second
	useAdmitted      = 1004 // requests without rejected ones, by member and second
	useSecondWork    = 1005 // microseconds of backend time, by member and second
	useBeat          = 1006 // in the record beatKey: a member's last beat, in wall milliseconds that only rise
	beatKey          = "\x00beat"
	NewestUse        = 3
	sessBackendForm1 = 1    // form 1: Int: when it was written, in wall milliseconds; Text: the backend
	sessCall         = 2    // what is known of a call, by call and member (see callSub). Int: attempt and rank; Text: see body
	sessStamp        = 4000 // a register: when the rest was written, in wall milliseconds
	sessBackend      = 4001 // the backend
	sessGroup        = 4002
	sessEnd          = 4003 // in wall milliseconds
	NewestSession    = 3
)

// Forms returns the forms of use and of sessions, oldest first.
func Forms() []schema.Form {
	return []schema.Form{
		{Kind: schema.Use, Number: 1, Name: "fixed windows by tenant", Totals: useCounts, Fields: []schema.FieldDef{
			{Num: useRequestsForm1, Name: "requests", Join: schema.Max}, {Num: useBeat, Name: "beat", Join: schema.Max}}},
		{Kind: schema.Use, Number: 2, Name: "by tenant and class, with work", Totals: useCounts, Fields: []schema.FieldDef{
			{Num: useRequests, Name: "requests", Join: schema.Max}, {Num: useWork, Name: "work", Join: schema.Max},
			{Num: useBeat, Name: "beat", Join: schema.Max}},
			Up:   schema.Step{Do: useForm1To2, What: "the requests of form 1 are those of all classes together"},
			Down: schema.Step{Do: useForm2To1, What: "classes and work are stored, but not read"}},
		{Kind: schema.Use, Number: 3, Name: "sliding windows, with plan", Totals: useCounts, Fields: []schema.FieldDef{
			{Num: usePlan, Name: "plan", Join: schema.Keep},
			{Num: useRequests, Name: "requests", Join: schema.Max}, {Num: useWork, Name: "work", Join: schema.Max},
			{Num: useAsked, Name: "asked by the second", Join: schema.Max}, {Num: useAdmitted, Name: "requests by the second", Join: schema.Max},
			{Num: useSecondWork, Name: "work by the second", Join: schema.Max}, {Num: useBeat, Name: "beat", Join: schema.Max}},
			Up: schema.Step{What: "seconds and plan are not known"},
			// An older release would keep each second's count for as long as the tenant exists: it can't see that the second is
			// over.
			Down: schema.Step{Do: useForm3To2, What: "seconds and plan are left out",
				Loss: schema.LossWithDefault("counts of ten seconds replace those of single seconds; no plan", usePlan, useAsked, useAdmitted, useSecondWork)}},

		{Kind: schema.Session, Number: 1, Name: "key and box", Totals: sessionMarks, Fields: []schema.FieldDef{
			{Num: sessBackendForm1, Name: "box", Join: schema.Keep}}},
		{Kind: schema.Session, Number: 2, Name: "with group and end", Totals: sessionMarks, Fields: []schema.FieldDef{
			{Num: sessStamp, Name: "said at", Join: schema.Register}, {Num: sessBackend, Name: "box", Join: schema.Register},
			{Num: sessGroup, Name: "group", Join: schema.Register}, {Num: sessEnd, Name: "end", Join: schema.Register}},
			Up: schema.Step{Do: sessionForm1To2, What: "no group; the session ends some time after it was written, as in form 1"},
			Down: schema.Step{Do: sessionForm2To1, What: "group and end are left out: without their box they would be merged with those of another box",
				Loss: schema.LossWithDefault("no group; ends a quarter of an hour after it was written", sessGroup, sessEnd)}},
		{Kind: schema.Session, Number: 3, Name: "with the last unsafe calls", Totals: sessionMarks, Fields: []schema.FieldDef{
			{Num: sessCall, Name: "call", Join: schema.Keep},
			{Num: sessStamp, Name: "said at", Join: schema.Register}, {Num: sessBackend, Name: "box", Join: schema.Register},
			{Num: sessGroup, Name: "group", Join: schema.Register}, {Num: sessEnd, Name: "end", Join: schema.Register}},
			Up:   schema.Step{What: "no call is known"},
			Down: schema.Step{What: "calls are stored, but not read: a mark outlives a release that does not know it"}},
	}
}

// Register adds the forms to a registry.
func Register(b *schema.Registry) error {
	for _, f := range Forms() {
		if err := b.Register(f); err != nil {
			return err
		}
	}
	return nil
}

func newRegistry() *schema.Registry {
	b := &schema.Registry{}
	if err := Register(b); err != nil {
		panic(err) // an error in Forms: every test triggers it
	}
	return b
}

// countSub is the Sub of a count: window, start, name, class.
func countSub(window uint64, m Member, class string) string {
	b := make([]byte, 0, 17+len(m.Name)+len(class))
	b = binary.BigEndian.AppendUint64(b, window)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = append(append(b, byte(len(m.Name))), m.Name...)
	return string(append(b, class...))
}

func readCountSub(s string) (window uint64, m Member, class string, ok bool) {
	if len(s) < 17 || len(s) < 17+int(s[16]) || s[16] == 0 {
		return 0, Member{}, "", false
	}
	name := 17 + int(s[16])
	return be64(s), Member{Name: s[17:name], Start: be64(s[8:])}, s[name:], true
}

func be64(s string) uint64 {
	var v uint64
	for i := range 8 {
		v = v<<8 | uint64(s[i])
	}
	return v
}

// subForm1 is the Sub of form 1 for a member and a window of ten seconds: "window#start#name". The name is last so that it may
// contain a '#'.
func subForm1(window uint64, m Member) string {
	return strconv.FormatUint(window, 10) + "#" + strconv.FormatUint(m.Start, 16) + "#" + m.Name
}

// readSubForm1 accepts exactly what subForm1 writes, so that a conversion in both directions changes nothing.
func readSubForm1(s string) (window uint64, m Member, ok bool) {
	w, rest, _ := strings.Cut(s, "#")
	start, name, _ := strings.Cut(rest, "#")
	window, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		return 0, Member{}, false
	}
	if m.Start, err = strconv.ParseUint(start, 16, 64); err != nil {
		return 0, Member{}, false
	}
	m.Name = name
	return window, m, 0 < len(name) && len(name) < 256 && subForm1(window, m) == s
}

// A Sub that doesn't match its form stays as it is under its number, in both directions.

func useForm1To2(r schema.Record) (schema.Record, error) {
	return renumber(r, useRequestsForm1, func(f schema.Field) (schema.Field, bool) {
		window, m, ok := readSubForm1(f.Sub)
		f.Num, f.Sub = useRequests, countSub(window, m, "")
		return f, ok
	}), nil
}

func useForm2To1(r schema.Record) (schema.Record, error) {
	return renumber(r, useRequests, func(f schema.Field) (schema.Field, bool) {
		window, m, class, ok := readCountSub(f.Sub)
		f.Num, f.Sub = useRequestsForm1, subForm1(window, m)
		return f, ok && class == "" && len(f.Sub) <= schema.MaxSub
	}), nil
}

func useForm3To2(r schema.Record) (schema.Record, error) {
	r.RemoveFields(usePlan, useAsked, useAdmitted, useSecondWork)
	return r, nil
}

// renumber moves fields from one number to another. A field that already has the new number is merged with the moved one.
func renumber(r schema.Record, num uint32, to func(schema.Field) (schema.Field, bool)) schema.Record {
	var moved []schema.Field
	kept := r.Fields[:0]
	for _, f := range r.Fields {
		if f.Num == num {
			if g, ok := to(f); ok {
				moved = append(moved, g)
				continue
			}
		}
		kept = append(kept, f)
	}
	r.Fields = kept
	for _, f := range moved {
		if have, ok := r.Get(f.Num, f.Sub); !ok || larger(f, have) {
			r.Set(f)
		}
	}
	return r
}

// larger is the order that Keep and Max choose by.
func larger(a, b schema.Field) bool {
	c := cmp.Compare(a.Int, b.Int)
	if c == 0 {
		c = strings.Compare(string(a.Text), string(b.Text))
	}
	if c == 0 {
		c = strings.Compare(string(a.Rest), string(b.Rest))
	}
	return c > 0
}

func sessionForm1To2(r schema.Record) (schema.Record, error) {
	box, ok := r.Get(sessBackendForm1, "")
	if !ok {
		return r, nil
	}
	r.Fields = slices.DeleteFunc(r.Fields, func(f schema.Field) bool { return f.Num == sessBackendForm1 && f.Sub == "" })
	stamp, had := r.Get(sessStamp, "")
	held, _ := r.Get(sessBackend, "")
	if had && !(box.Int > stamp.Int || box.Int == stamp.Int && larger(schema.Field{Text: box.Text, Rest: box.Rest}, schema.Field{Text: held.Text, Rest: held.Rest})) {
		return r, nil
	}
	dropRegister(&r)
	r.Set(schema.Field{Num: sessStamp, Int: box.Int})
	r.Set(schema.Field{Num: sessBackend, Text: box.Text, Rest: box.Rest})
	return r, nil
}

func sessionForm2To1(r schema.Record) (schema.Record, error) {
	stamp, ok := r.Get(sessStamp, "")
	if !ok {
		return r, nil
	}
	held, _ := r.Get(sessBackend, "")
	dropRegister(&r)
	f := schema.Field{Num: sessBackendForm1, Int: stamp.Int, Text: held.Text, Rest: held.Rest}
	if have, ok := r.Get(sessBackendForm1, ""); !ok || larger(f, have) {
		r.Set(f)
	}
	return r, nil
}

// dropRegister removes the register of a session's backend, including fields that a later release may have added.
func dropRegister(r *schema.Record) {
	kept := r.Fields[:0]
	for _, f := range r.Fields {
		if f.Sub != "" || f.Num < sessStamp || f.Num >= sessStamp+schema.RegisterSize {
			kept = append(kept, f)
		}
	}
	r.Fields = kept
}

// useCounts returns the counts by member, window and class.
func useCounts(r schema.Record) map[string]uint64 {
	out := map[string]uint64{}
	for _, f := range r.Fields {
		switch f.Num {
		case useRequestsForm1:
			if window, m, ok := readSubForm1(f.Sub); ok {
				out["requests "+countSub(window, m, "")] = max(f.Int, out["requests "+countSub(window, m, "")])
			}
		case useRequests:
			out["requests "+f.Sub] = max(f.Int, out["requests "+f.Sub])
		case useWork:
			out["work "+f.Sub] = f.Int
		}
	}
	return out
}

// sessionMarks returns the marks by call and member. A mark that falls is a forgotten mark.
func sessionMarks(r schema.Record) map[string]uint64 {
	out := map[string]uint64{}
	for _, f := range r.All(sessCall) {
		out["call "+f.Sub] = f.Int
	}
	return out
}
