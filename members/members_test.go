package members

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"glencart/balance"
)

var phases = []string{"ready", "draining", "gone"}

func format(lines []Endpoint) string {
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%s %s started %d returned %t\n", l.ID, phases[l.Phase], l.Launched/time.Second, l.IsReinstated)
	}
	return b.String()
}

// TestListsAndOverrides runs the scripts of testdata/. Each states what discovery and operators send in turn and what the engine
// receives. Guards against an override that an update of the list undoes, or that another process of the node doesn't apply. Times
// are in seconds. "other" is a second process that receives the calls of the first.
//
//	list whole|changes [at=..]    lines of: id phase started
//	out|back id=.. at=..
//	other                         the lines of the other process after it receives the calls so far
//	counts
func TestListsAndOverrides(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h, other Tracker
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := 0
			d.MaybeScanArgs(t, "at", &at)
			now := time.Duration(at) * time.Second
			switch d.Cmd {
			case "list":
				var lines []Endpoint
				for text := range strings.Lines(d.Input) {
					var l Endpoint
					var phase string
					var started int
					fmt.Sscan(text, &l.ID, &phase, &started)
					l.Phase, l.Launched = balance.Phase(slices.Index(phases, phase)), time.Duration(started)*time.Second
					lines = append(lines, l)
				}
				whole := d.CmdArgs[0].Key == "whole"
				other.ApplyList(lines, whole, now)
				return format(h.ApplyList(lines, whole, now))
			case "out", "back":
				var id string
				d.ScanArgs(t, "id", &id)
				lines, _, known := h.SetOutOfService(id, d.Cmd == "out", now)
				return fmt.Sprintf("%sknown %t\n", format(lines), known)
			case "other":
				return format(other.MergeOverrides(h.Overrides(), now))
			case "counts":
				listed, out := h.Counts()
				return fmt.Sprintf("%d listed, %d out\n", listed, out)
			}
			d.Fatalf(t, "no command %q", d.Cmd)
			return ""
		})
	})
}

// Guards against results that depend on the order in which discovery and operators send. A backend that is out is never reported as
// ready. One that was put back is ready as soon as discovery reports it, with a start no earlier than its return. A process that
// receives the calls in any order reports the same.
func TestResultsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Tracker
		out, back, listed := map[string]bool{}, map[string]time.Duration{}, map[string]Endpoint{}
		reported := map[string]Endpoint{}
		var calls []Override
		for now := time.Duration(1); now < 40; now++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			var lines []Endpoint
			if rapid.Bool().Draw(t, "operators") {
				takeOut := rapid.Bool().Draw(t, "out")
				changed, call, known := h.SetOutOfService(id, takeOut, now)
				lines = changed
				if known != (listed[id].ID != "") {
					t.Fatalf("%s: Say returned known %t", id, known)
				}
				if known {
					if out[id] && !takeOut {
						back[id] = now
					}
					out[id] = takeOut
					if call.ChangedAt > 0 {
						calls = append(calls, call)
					}
				}
			} else {
				l := Endpoint{ID: id}
				l.Phase = balance.Phase(rapid.IntRange(0, 2).Draw(t, "phase"))
				l.Launched = time.Duration(rapid.IntRange(0, 40).Draw(t, "started"))
				lines = h.ApplyList([]Endpoint{l}, false, now)
				if l.Phase != balance.Gone || listed[id].ID != "" {
					listed[id] = l
				}
			}
			for _, l := range lines {
				reported[l.ID] = l
			}
			for id, l := range listed {
				got := reported[id]
				switch {
				case out[id] && got.Phase == balance.Ready:
					t.Fatalf("%s is out and reported as ready", id)
				case !out[id] && got.Phase != l.Phase:
					t.Fatalf("%s is in service, discovery reports %v, Tracker reports %v", id, l.Phase, got.Phase)
				case got.Phase == balance.Ready && got.Launched < max(back[id], l.Launched):
					t.Fatalf("%s started at %d, was put back at %d, reported start %d", id, l.Launched, back[id], got.Launched)
				}
			}
		}
		var other Tracker
		other.MergeOverrides(rapid.Permutation(calls).Draw(t, "order"), 40)
		if a, b := fmt.Sprint(h.Overrides()), fmt.Sprint(other.Overrides()); a != b {
			t.Fatalf("the other process has the overrides %s, this one %s", b, a)
		}
	})
}

// Guards against memory that grows with each backend that leaves the list, and against dropping one that is out of service.
func TestGoneBackendsAreBounded(t *testing.T) {
	var h Tracker
	line := func(i int, p balance.Phase) []Endpoint {
		return []Endpoint{{ID: fmt.Sprint(i), Member: balance.Member{Phase: p}}}
	}
	h.ApplyList(line(0, balance.Ready), false, 1)
	h.SetOutOfService("0", true, 1)
	for i := range 3 * minGone {
		h.ApplyList(line(i, balance.Ready), false, time.Duration(i+2))
		h.ApplyList(line(i, balance.Gone), false, time.Duration(i+2))
	}
	if len(h.backends) > minGone+1 {
		t.Errorf("%d backends are kept", len(h.backends))
	}
	if l := h.ApplyList(line(0, balance.Ready), false, 9999); l[0].Phase != balance.Draining {
		t.Errorf("a backend out of service returned as %v", l[0].Phase)
	}
}

// Guards against a restarted backend that counts as warm because discovery reports its restart late or never. A backend that refused
// a connection and then answers is a new process until discovery reports one, however long that takes.
func TestAnswerAfterRefusalIsNewProcess(t *testing.T) {
	const sec = time.Second
	old := Endpoint{ID: "s", Addr: "a:1", Member: balance.Member{Phase: balance.Ready, Launched: 5 * sec}}
	begin := func() *Tracker {
		var h Tracker
		h.ApplyList([]Endpoint{old, {ID: "other", Addr: "b:1"}}, true, 10*sec)
		return &h
	}
	launched := func(what string, lines []Endpoint, want ...time.Duration) {
		t.Helper()
		var got []time.Duration
		for _, l := range lines {
			got = append(got, l.Launched)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: reported %v, want %v", what, got, want)
		}
	}
	h := begin()
	launched("no refusal", h.Answered("s", 11*sec))
	h.Refused("s", 20*sec)
	h.Refused("s", 21*sec)
	launched("another backend", h.Answered("other", 22*sec))
	launched("answers again", h.Answered("s", 23*sec), 23*sec)
	launched("another answer", h.Answered("s", 24*sec))
	launched("the old entry in a whole list", h.ApplyList([]Endpoint{old}, true, 60*sec), 23*sec)

	h = begin()
	h.Refused("s", 20*sec)
	h.Answered("s", 23*sec)
	fresh := old
	fresh.Launched = 21 * sec
	launched("report of the new process", h.ApplyList([]Endpoint{fresh}, false, 25*sec), 21*sec)
	launched("the report again", h.ApplyList([]Endpoint{fresh}, true, 60*sec), 21*sec)

	h = begin()
	h.Refused("s", 20*sec)
	launched("report before it answers", h.ApplyList([]Endpoint{fresh}, false, 22*sec), 21*sec)
	launched("answer after the report", h.Answered("s", 23*sec))

	h = begin()
	h.Refused("s", 20*sec)
	h.ApplyList([]Endpoint{{ID: "s", Member: balance.Member{Phase: balance.Gone}}}, false, 21*sec)
	launched("gone", h.Answered("s", 23*sec))
	if h.refusedCount != 0 {
		t.Errorf("%d backends count as refused", h.refusedCount)
	}
	h = begin()
	h.Refused("s", 20*sec)
	h.Answered("s", 23*sec)
	h.Refused("s", 24*sec) // it crashes again
	launched("answers after a second refusal", h.Answered("s", 26*sec), 26*sec)
	h.ApplyList(nil, true, 27*sec)
	if h.refusedCount != 0 {
		t.Errorf("%d backends count as refused", h.refusedCount)
	}
}
