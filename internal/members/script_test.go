package sources_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/miekg/dns"

	"glencart/balance"
	sources "glencart/internal/members"
	standin "glencart/internal/standin/dns"
	"glencart/lookup"
	"glencart/members"
	"glencart/merge"
)

// world is a registry, DNS and a file that feed one Merge in virtual time. Stand-in name servers give the DNS answers.
type world struct {
	t        *testing.T
	now      time.Duration
	m        *merge.Merge
	resolver *lookup.Lookup
	servers  [2]*standin.Server
	faults   [2]string
	replies  []reply
	pool     map[string]merge.Change
	output   strings.Builder
}

type reply struct {
	at time.Duration
	ev lookup.Event
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, pool: map[string]merge.Change{}}
	for i := range w.servers {
		w.servers[i] = standin.New(t, "khuree.mn.")
	}
	var err error
	if w.resolver, err = lookup.New(lookup.Config{Name: "_menu._tcp.khuree.mn", Servers: 2, Seed: 1}, 0); err != nil {
		t.Fatal(err)
	}
	w.m = merge.NewMerge(merge.Config{GuardFraction: 0.5, GuardWindow: 10 * time.Second, GuardHold: time.Minute, PanicThreshold: 0.5,
		RemovedDrainGrace: 2 * time.Minute, Sources: []merge.SourceConfig{
			{Name: "registry", StaleGrace: time.Hour}, {Name: "dns", StaleGrace: time.Hour}, {Name: "file", StaleGrace: time.Hour}}}, 0)
	return w
}

func (w *world) handleMerge(ev merge.Event) {
	for _, c := range w.m.Handle(w.now, ev, nil) {
		if c.Endpoint.Phase == balance.Gone {
			delete(w.pool, c.ID)
		} else {
			w.pool[c.ID] = c
		}
	}
	for _, l := range w.m.Log() {
		fmt.Fprintln(&w.output, "log:", l)
	}
}

// answer returns what a name server sends over UDP or TCP; nil: nothing.
func (w *world) answer(q lookup.Query) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(q.Name, q.Type)
	got := w.servers[q.Server].Answer(m)
	switch f := w.faults[q.Server]; {
	case f == "drop":
		return nil
	case f == "servfail":
		got.SetRcode(m, dns.RcodeServerFailure)
	case f == "truncate" && !q.TCP:
		got.Truncated, got.Answer, got.Extra = true, nil, nil
	}
	return got
}

func (w *world) handleLookup(ev lookup.Event) {
	for _, a := range w.resolver.Handle(w.now, ev, nil) {
		switch {
		case a.Query != nil:
			r := reply{w.now + 2*time.Millisecond, lookup.Event{Kind: lookup.Responded, Token: a.Query.Token, Msg: w.answer(*a.Query)}}
			if r.ev.Msg == nil {
				r.at, r.ev.Kind = w.now+a.Query.Timeout, lookup.NoResponse
			}
			w.replies = append(w.replies, r)
		case a.Log != "":
			fmt.Fprintln(&w.output, "log:", a.Log)
		case a.Answer != nil:
			t := sources.Update{Complete: true, TTL: a.Answer.ExpiresAt - w.now, Intended: a.Answer.Intended}
			for _, b := range a.Answer.Backends {
				t.Entries = append(t.Entries, merge.Entry{Name: b.Name(), Reports: merge.Existence | merge.Address | merge.Weight | merge.Tier, Tier: b.Tier,
					Endpoint: members.Endpoint{Addr: b.Addr.String(), Member: balance.Member{Weight: b.Weight}}})
				t.EntryTTLs = append(t.EntryTTLs, b.ExpiresAt-w.now)
			}
			w.handleMerge(t.Event(1, w.now))
		}
	}
}

// advance moves the clock on by d and handles all that is due.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; ; {
		at := end
		if next, idle := w.resolver.Next(); idle {
			at = min(at, next)
		}
		if next, some := w.m.Next(); some {
			at = min(at, next)
		}
		for _, r := range w.replies {
			at = min(at, r.at)
		}
		w.now = max(w.now, at)
		if i := slices.IndexFunc(w.replies, func(r reply) bool { return r.at <= w.now }); i >= 0 {
			r := w.replies[i]
			w.replies = slices.Delete(w.replies, i, i+1)
			w.handleLookup(r.ev)
		} else if next, idle := w.resolver.Next(); idle && next <= w.now {
			w.handleLookup(lookup.Event{Kind: lookup.Ticked})
		} else if next, some := w.m.Next(); some && next <= w.now {
			w.handleMerge(merge.Event{Kind: merge.Ticked})
		} else if w.now >= end {
			return
		}
	}
}

// TestScript runs the scripts of testdata/. They guard against a merge that removes backends which still serve, or keeps ones that
// are gone, while sources fail or contradict each other. After each command the pool is printed:
//
//	dns [server=n]              lines of a zone file: all records of both servers, or of one
//	fault server=n drop|servfail|truncate|none
//	registry [changes] [rev=n]  lines of: id address phase [start in seconds]
//	file                        the same
//	failed registry|file        the source fails
//	check box=.. [up]           the result of an active check
//	allow                       an operator lets pass what the guard holds
//	wait for=..
//	why                         what each source reports, and the rule
func TestScript(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.output.Reset()
			arg := func(name, other string) string {
				if d.HasArg(name) {
					d.ScanArgs(t, name, &other)
				}
				return other
			}
			list := func(source int) {
				rev, _ := strconv.ParseInt(arg("rev", "0"), 10, 64)
				ev := merge.Event{Kind: merge.Listed, Source: source, Complete: !d.HasArg("changes"), Revision: rev}
				for line := range strings.Lines(d.Input) {
					f := strings.Fields(line)
					e := merge.Entry{Name: f[0], Reports: merge.AllFacts &^ merge.Tier, Endpoint: members.Endpoint{ID: f[0], Addr: f[1],
						Member: balance.Member{Weight: 1, Phase: balance.Phase(slices.Index([]string{"ready", "draining", "gone"}, f[2]))}}}
					if len(f) > 3 {
						n, _ := strconv.Atoi(f[3])
						e.Launched = time.Duration(n) * time.Second
					}
					ev.Entries = append(ev.Entries, e)
				}
				w.handleMerge(ev)
			}
			switch d.Cmd {
			case "dns":
				var lines []string
				for line := range strings.Lines(d.Input) {
					lines = append(lines, strings.TrimSpace(line))
				}
				n, err := strconv.Atoi(arg("server", "-1"))
				for i, s := range w.servers {
					if err == nil && (n < 0 || n == i) {
						s.Set(t, lines...)
					}
				}
			case "fault":
				n, _ := strconv.Atoi(arg("server", "0"))
				w.faults[n] = d.CmdArgs[1].Key
			case "registry":
				list(0)
			case "file":
				list(2)
			case "failed":
				w.handleMerge(merge.Event{Kind: merge.SourceFailed, Source: map[string]int{"registry": 0, "file": 2}[d.CmdArgs[0].Key]})
			case "check":
				w.handleMerge(merge.Event{Kind: merge.HealthChecked, BackendID: arg("box", ""), Up: d.HasArg("up")})
			case "allow":
				w.handleMerge(merge.Event{Kind: merge.GuardReleased})
			case "wait":
				dur, err := time.ParseDuration(arg("for", ""))
				if err != nil {
					t.Fatal(err)
				}
				w.advance(dur)
			case "why":
				for _, v := range w.m.Views() {
					fmt.Fprintf(&w.output, "%s %s:", v.ID, merge.Rules[v.Rule].Name)
					for _, s := range v.Votes {
						fmt.Fprintf(&w.output, " %v", s.Vote)
					}
					fmt.Fprintln(&w.output)
				}
				return w.output.String()
			default:
				d.Fatalf(t, "no command %q", d.Cmd)
			}
			var ids []string
			for id, c := range w.pool {
				text := id
				if !strings.HasSuffix(id, c.Addr) && !strings.Contains(id, "/") {
					text += "@" + c.Addr
				}
				if c.Tier > 0 {
					text += " backup"
				}
				if c.Endpoint.Phase == balance.Draining {
					text += " drains"
				}
				if c.Note != "" {
					text += " (" + c.Note + ")"
				}
				ids = append(ids, text)
			}
			slices.Sort(ids)
			return w.output.String() + "pool: " + strings.Join(ids, ", ") + "\n"
		})
	})
}
