package engine

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"glencart/balance"
)

// world is an engine whose time, transport and backends are the scenario's.
type world struct {
	t     *testing.T
	e     *Engine
	clock time.Time
	said  strings.Builder
	out   map[string]*Attempt // by request and number
	late  map[string]bool     // attempts whose first byte has been written: they can't be barred
	reqs  map[string]*Request
	ids   map[Endpoint]func(Result) // probes out
}

var statuses = []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"}
var phases = []string{"ready", "draining", "gone"}

func newWorld(t *testing.T, change ...func(*balance.Config)) *world {
	w := &world{t: t, clock: time.Unix(1_800_000_000, 0), out: map[string]*Attempt{}, late: map[string]bool{}, reqs: map[string]*Request{},
		ids: map[Endpoint]func(Result){}}
	second := time.Second
	cfg := balance.Config{
		Classes: []balance.Class{
			{Aim: second / 2, Deadline: 2 * second, Effect: balance.Safe, Points: 1},
			{Aim: second / 2, Deadline: 2 * second, Effect: balance.Unsafe, Points: 1},
			{Aim: second / 2, Deadline: 2 * second, Effect: balance.Keyed, Scope: balance.ScopeAll, Window: second, Points: 1},
			{Aim: second / 2, Deadline: 2 * second, Effect: balance.Unsafe, Points: 1, Stream: true},
		},
		Limits: balance.Limits{Cancelling: true, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: second},
		Rules:  balance.Rules{DrainGrace: second / 2, ColdShare: .1, WarmWithin: 20 * second, FallMultiple: 3, OverloadFor: second},
	}
	for _, c := range change {
		c(&cfg)
	}
	bal, err := balance.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	tell := func(peer int, payload []byte) { fmt.Fprintf(&w.said, "tell %d: %x\n", peer, payload) }
	log := slog.New(slog.DiscardHandler)
	if len(change) > 0 {
		log = slog.New(slog.NewTextHandler(&w.said, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.MessageKey {
				return a
			}
			return slog.Attr{}
		}}))
	}
	w.e = New(Config{Balancer: bal, Transport: w, Tell: tell, Log: log, Now: func() time.Time { return w.clock }, Trace: func(s Step) {
		if ev := s.Event; ev.Kind == balance.Outcome { // what the module is told is half of what the engine does
			more := ""
			if ev.NoMore {
				more = ", no more"
			}
			fmt.Fprintf(&w.said, "told %s/%d %s%s\n", ev.Request, ev.Attempt, statuses[ev.Status], more)
		}
	}})
	return w
}

func (w *world) name(a *Attempt) string { return fmt.Sprintf("%s/%d", a.Request.ID, a.Number()) }

func (w *world) Send(a *Attempt) {
	w.out[w.name(a)] = a
	fmt.Fprintf(&w.said, "send %s to %s\n", w.name(a), a.To.Addr)
}
func (w *world) Bar(a *Attempt) bool {
	if w.late[w.name(a)] {
		return false
	}
	fmt.Fprintf(&w.said, "bar %s\n", w.name(a))
	return true
}
func (w *world) GiveUp(a *Attempt)                    { fmt.Fprintf(&w.said, "give up %s\n", w.name(a)) }
func (w *world) Probe(to Endpoint, told func(Result)) { w.ids[to] = told }
func (w *world) Drop(to Endpoint) {
	if to.Addr != "" {
		fmt.Fprintf(&w.said, "drop %s\n", to.Addr)
	}
}

// step runs what is due and tells the answers that came.
func (w *world) step() {
	w.e.Step()
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range w.reqs {
			if !yield(id) {
				return
			}
		}
	}) {
		select {
		case a := <-w.reqs[id].Reply:
			kind := []string{"served", "refused", "failed", "doubled"}[a.Kind]
			if a.Late {
				kind += ", late"
			}
			if a.Begun {
				kind += ", may have run"
			}
			if a.Body != nil {
				kind += fmt.Sprintf(", %v", a.Body)
			}
			fmt.Fprintf(&w.said, "answer %s: %s\n", id, kind)
		default:
		}
	}
}

// TestScenarios runs the scripts of testdata/. Commands, each with its effect on the engine:
//
//	list whole|changes|remembered      lines of: id address phase
//	arrive id=.. class=.. [budget=..]  classes: 0 safe, 1 unsafe, 2 keyed (all, 1 s), 3 unsafe stream
//	written at=id/n                    the attempt's first byte is out: it can't be barred any more
//	end at=id/n status=.. [body=..]    the attempt ends
//	deliver at=id/n                    the transport hands the answer on by itself
//	started at=id/n                    the stream has begun
//	copy id=.. to=n                    the module sends another attempt, to backend number n, whatever is out
//	say id=.. refuse|fail              the module gives an answer, whatever it has given before
//	gone id=..                         the client leaves
//	wait for=..                        time passes, timers ring
//	answer-by in=..                    the process ends then
//	left                               what the tables hold
//	fleet nodes=.. quota=.. [alone]    all anew, at one of so many nodes, with so many requests a second over all of them
//	probed id=.. active=..             a probe of a backend comes back
//	hear from=.. hex=..                a message of a peer
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.said.Reset()
			arg := func(name string) string {
				var s string
				if d.HasArg(name) {
					d.ScanArgs(t, name, &s)
				}
				return s
			}
			at := func() *Attempt {
				a := w.out[arg("at")]
				if a == nil {
					d.Fatalf(t, "no attempt %q", arg("at"))
				}
				return a
			}
			status := func() balance.Status {
				i := slices.Index(statuses, arg("status"))
				if i < 0 {
					d.Fatalf(t, "no status %q", arg("status"))
				}
				return balance.Status(i)
			}
			switch d.Cmd {
			case "list":
				kind := map[string]balance.EventKind{"whole": balance.MembersAll, "changes": balance.MembersChanged,
					"remembered": balance.MembersRemembered}[d.CmdArgs[0].Key]
				list := List{Complete: kind != balance.MembersChanged}
				for line := range strings.Lines(d.Input) {
					f := strings.Fields(line)
					list.Members = append(list.Members, Member{ID: f[0], Addr: f[1],
						Member: balance.Member{Weight: 1, Phase: balance.Phase(slices.Index(phases, f[2]))}})
					if len(f) > 3 { // cold
						list.Members[len(list.Members)-1].Launched = w.e.Clock()
					}
				}
				w.e.TakeList(kind, list)
			case "arrive":
				budget := 2 * time.Second
				if b := arg("budget"); b != "" {
					budget, _ = time.ParseDuration(b)
				}
				var class int
				d.ScanArgs(t, "class", &class)
				r := &Request{ID: arg("id"), Class: class, Hasty: d.HasArg("hasty"), Deadline: w.clock.Add(budget), Reply: make(chan Answer, 1)}
				key := r.ID
				for w.reqs[key] != nil {
					key += "'"
				}
				w.reqs[key] = r
				w.e.Arrive(r)
			case "written":
				at()
				w.late[arg("at")] = true
			case "end":
				res := Result{Status: status()}
				if b := arg("body"); b != "" {
					res.Body = b
				}
				at().Done(res)
			case "deliver":
				fmt.Fprintf(&w.said, "handed on: %t\n", at().Deliver(Result{Status: balance.Delivered}))
			case "started":
				at().Started()
			case "copy":
				var to int
				d.ScanArgs(t, "to", &to)
				w.e.do(&balance.Action{Kind: balance.Send, Request: arg("id"), Backend: balance.BackendID(to)})
			case "say":
				kind := balance.Refuse
				if d.HasArg("fail") {
					kind = balance.Fail
				}
				w.e.do(&balance.Action{Kind: kind, Request: arg("id")})
			case "gone":
				w.e.Gone(w.reqs[arg("id")])
			case "answer-by":
				in, err := time.ParseDuration(arg("in"))
				if err != nil {
					t.Fatal(err)
				}
				w.e.AnswerBy(w.clock.Add(in))
			case "wait":
				dur, err := time.ParseDuration(arg("for"))
				if err != nil {
					t.Fatal(err)
				}
				for end := w.clock.Add(dur); ; {
					next, some := w.e.Next()
					if gap := next - w.e.Clock(); some && w.clock.Add(gap).Before(end) {
						w.clock = w.clock.Add(max(gap, 0))
						w.step()
						continue
					}
					w.clock = end
					break
				}
			case "fleet":
				var nodes, quota int
				d.ScanArgs(t, "nodes", &nodes)
				d.ScanArgs(t, "quota", &quota)
				w = newWorld(t, func(c *balance.Config) {
					c.Instances, c.Limits.Peers, c.Prices.Peer, c.Prices.Probe = nodes, !d.HasArg("alone"), 0.01, 0.05
					c.Limits.Probing = true
					c.Tenants = []balance.Tenant{{QuotaPerSecond: float64(quota), Share: 1}}
				})
			case "probed":
				var active int
				d.ScanArgs(t, "active", &active)
				w.e.Handle(balance.Event{Kind: balance.Probed, Backend: w.e.backends[arg("id")].number,
					Load: balance.Load{Has: balance.HasActive, Active: float64(active)}})
			case "hear":
				var from int
				d.ScanArgs(t, "from", &from)
				payload, err := hex.DecodeString(arg("hex"))
				if err != nil {
					t.Fatal(err)
				}
				w.e.Handle(balance.Event{Kind: balance.PeerMessage, Peer: from, Payload: payload})
			case "left":
				w.step()
				_, timer := w.e.Next()
				out := 0
				for _, b := range w.e.byNumber {
					out += b.out
				}
				return fmt.Sprintf("%d requests, %d backends, %d out, timers: %t\n", w.e.Open(), w.e.Backends(), out, timer)
			default:
				d.Fatalf(t, "no command %q", d.Cmd)
			}
			w.step()
			return w.said.String()
		})
	})
}

// Whatever the module said, nothing is sent to a backend that takes nothing new, or for a request that has its answer.
func TestSendIsCheckedAgain(t *testing.T) {
	w := newWorld(t)
	list := func(p balance.Phase) {
		w.e.TakeList(balance.MembersAll, List{Complete: true, Members: []Member{{ID: "a", Addr: "10.0.0.1:1", Member: balance.Member{Phase: p}}}})
	}
	list(balance.Ready)
	r := &Request{ID: "x", Class: 1, Deadline: w.clock.Add(time.Second), Reply: make(chan Answer, 1)}
	w.e.Arrive(r)
	send := &balance.Action{Kind: balance.Send, Request: "x"}
	sends := strings.Count(w.said.String(), "send ")
	w.late["x/0"] = true // it stays out, and the request open
	list(balance.Draining)
	w.e.do(send)
	list(balance.Ready)
	r.stream = new(Attempt)
	w.e.do(send)
	r.stream = nil
	r.claimed.Store(true) // handed on by Deliver, which the loop has not heard of yet
	w.e.do(send)
	if n := strings.Count(w.said.String(), "send "); sends != 1 || n != 1 {
		t.Errorf("%d sends, then %d: %s", sends, n, w.said.String())
	}
}
