package members

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"glencart/balance"
)

// bank is some nodes that hear one another, each datagram after wordTakes.
type bank struct {
	nodes []*Hand
	now   time.Duration
	mail  []letter
	deaf  map[int]bool
	said  strings.Builder
}

type letter struct {
	at   time.Duration
	from int
	text []byte
}

const wordTakes = 5 * time.Millisecond

func newBank(nodes int, list []Line) *bank {
	b := &bank{deaf: map[int]bool{}}
	for i := range nodes {
		h := &Hand{}
		h.Speak(rand.New(rand.NewPCG(1, uint64(i))))
		h.Take(list, true, 0)
		b.nodes = append(b.nodes, h)
	}
	return b
}

func (b *bank) told(node int, lines []Line) {
	for _, l := range lines {
		fmt.Fprintf(&b.said, "%.3f node %d: %s %s started %.3f\n", b.now.Seconds(), node, l.ID, phases[l.Phase], l.Launched.Seconds())
	}
}

// run lets time pass: what is due at a node happens, and what it tells reaches the others.
func (b *bank) run(until time.Duration) {
	for {
		next, node := until, -1
		for i, h := range b.nodes {
			if at, some := h.Next(); some && at < next {
				next, node = at, i
			}
		}
		if len(b.mail) > 0 && b.mail[0].at <= next {
			l := b.mail[0]
			b.mail, b.now = b.mail[1:], max(b.now, l.at)
			for i, h := range b.nodes {
				if i != l.from && !b.deaf[i] {
					b.told(i, h.Heard(l.from, l.text, b.now))
				}
			}
			continue
		}
		if node < 0 {
			b.now = until
			return
		}
		b.now = max(b.now, next)
		text, lines := b.nodes[node].Due(b.now)
		b.told(node, lines)
		if text != nil {
			fmt.Fprintf(&b.said, "%.3f node %d tells %d of %s\n", b.now.Seconds(), node, (len(text)-1)/signLen, []string{"", "an end", "a start"}[text[1]])
			b.mail = append(b.mail, letter{b.now + wordTakes, node, text})
		}
	}
}

// TestSignScripts runs testdata/signs: what each of some nodes meets, what they tell one another, and what each one's engine is
// told. Times are in seconds.
//
//	bank nodes=..                      lines of: id phase started
//	refused|answered node=.. id=.. at=..
//	list node=.. at=..                 changes: id phase started
//	deaf node=..                       it hears nothing from now on
//	run until=..
func TestSignScripts(t *testing.T) {
	var b *bank
	datadriven.RunTest(t, "testdata/signs", func(t *testing.T, d *datadriven.TestData) string {
		var node int
		var id string
		var at float64
		if d.HasArg("node") {
			d.ScanArgs(t, "node", &node)
		}
		if d.HasArg("id") {
			d.ScanArgs(t, "id", &id)
		}
		for _, key := range []string{"at", "until"} {
			if d.HasArg(key) {
				var text string
				d.ScanArgs(t, key, &text)
				fmt.Sscan(text, &at)
			}
		}
		when := time.Duration(at * float64(time.Second))
		var list []Line
		for text := range strings.Lines(d.Input) {
			var l Line
			var phase string
			var started float64
			fmt.Sscan(text, &l.ID, &phase, &started)
			l.Phase, l.Launched = balance.Phase(slices.Index(phases, phase)), time.Duration(started*float64(time.Second))
			list = append(list, l)
		}
		if d.Cmd == "bank" {
			var nodes int
			d.ScanArgs(t, "nodes", &nodes)
			b = newBank(nodes, list)
			return ""
		}
		b.said.Reset()
		b.run(max(when, b.now))
		switch d.Cmd {
		case "refused":
			b.told(node, b.nodes[node].Refused(id, b.now))
		case "answered":
			b.told(node, b.nodes[node].Answered(id, b.now))
		case "list":
			b.told(node, b.nodes[node].Take(list, false, b.now))
		case "deaf":
			b.deaf[node] = true
		}
		return b.said.String()
	})
}

// Whatever others say, late, twice, forged or cut short: no more than half of the backends are held back at once, none is told as
// started earlier than the list says, and one word of the list ends it all.
func TestNoSignMakesWarm(t *testing.T) {
	const least = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var list []Line
		for i := range 6 {
			list = append(list, Line{ID: fmt.Sprint(i), Member: balance.Member{Launched: least}})
		}
		h := newBank(1, list).nodes[0]
		told, now := map[string]Line{}, 20*time.Second
		var sent [][]byte
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
			var lines []Line
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				lines = h.Refused(id, now)
			case 1:
				lines = h.Answered(id, now)
			case 2:
				m := []byte{SignVersion}
				for range rapid.IntRange(0, 3).Draw(t, "signs") {
					k := &known{name: signName(id)}
					k.say, k.line.Launched = sign(rapid.IntRange(0, 3).Draw(t, "kind")), least
					k.refused = now + time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "ago"))*time.Millisecond
					k.renewed = k.refused
					m = k.word(m)
				}
				sent = append(sent, m)
				lines = h.Heard(rapid.IntRange(0, 4).Draw(t, "peer"), m, now)
			case 3:
				if len(sent) > 0 {
					m := rapid.SampledFrom(sent).Draw(t, "again")
					lines = h.Heard(rapid.IntRange(0, 4).Draw(t, "peer"), m[:rapid.IntRange(0, len(m)).Draw(t, "cut")], now)
				}
			case 4:
				_, lines = h.Due(now)
			}
			for _, l := range lines {
				told[l.ID] = l
			}
			held := 0
			for _, l := range told {
				if l.Phase == balance.Draining {
					held++
				}
				if l.Launched < least || l.Launched > now+signOld+time.Millisecond {
					t.Fatalf("%s told as started at %v, at %v", l.ID, l.Launched, now)
				}
			}
			if held > len(list)/heldParts {
				t.Fatalf("%d of %d are held", held, len(list))
			}
		}
		for i := range list {
			list[i].Launched = now
		}
		for _, l := range h.Take(list, true, now) {
			if l.Phase != balance.Ready || l.Launched != now {
				t.Fatalf("after the list's word: %+v", l)
			}
		}
		if h.doubted != 0 || h.held != 0 {
			t.Fatalf("%d in doubt, %d held", h.doubted, h.held)
		}
	})
}

// In a bank of 300 of which each meets the dead backend by itself, a few tell of it, and then nobody is refused but who tries it
// again.
func TestFewTell(t *testing.T) {
	b := newBank(300, []Line{{ID: "dead"}, {ID: "other"}})
	rng := rand.New(rand.NewPCG(7, 7))
	refused := 0
	for at := 10 * time.Second; at < 20*time.Second; at += time.Millisecond {
		b.run(at)
		i := rng.IntN(len(b.nodes))
		b.told(i, b.nodes[i].Answered("other", at))
		if k := b.nodes[i].all["dead"]; k.held == 0 {
			refused++
			b.told(i, b.nodes[i].Refused("dead", at))
		}
	}
	if tells := strings.Count(b.said.String(), "tells"); tells > 40 || refused > 250 || cmp.Compare(tells, 4) < 0 {
		t.Errorf("%d messages, %d refused of 10,000", tells, refused)
	}
}
