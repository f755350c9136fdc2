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

// harness is an engine with the clock, transport and backends of a scenario.
type harness struct {
	t        *testing.T
	e        *Engine
	clock    time.Time
	output   strings.Builder
	attempts map[string]*Attempt // by request and attempt number
	written  map[string]bool     // attempts with a first byte written, which can't be prevented
	requests map[string]*Request
	probes   map[Endpoint]func(Result) // outstanding probes
}

var statusNames = []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"}
var phaseNames = []string{"ready", "draining", "gone"}

func newHarness(t *testing.T, change ...func(*balance.Config)) *harness {
	h := &harness{t: t, clock: time.Unix(1_800_000_000, 0), attempts: map[string]*Attempt{}, written: map[string]bool{}, requests: map[string]*Request{},
		probes: map[Endpoint]func(Result){}}
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
	tell := func(peer int, payload []byte) { fmt.Fprintf(&h.output, "tell %d: %x\n", peer, payload) }
	log := slog.New(slog.DiscardHandler)
	if len(change) > 0 {
		log = slog.New(slog.NewTextHandler(&h.output, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.MessageKey {
				return a
			}
			return slog.Attr{}
		}}))
	}
	h.e = New(Config{Balancer: bal, Transport: h, SendToPeer: tell, Log: log, Now: func() time.Time { return h.clock }, Trace: func(s Step) {
		if ev := s.Event; ev.Kind == balance.Outcome { // outcomes are part of the expected output
			more := ""
			if ev.RequestEnded {
				more = ", no more"
			}
			fmt.Fprintf(&h.output, "told %s/%d %s%s\n", ev.Request, ev.Attempt, statusNames[ev.Status], more)
		}
	}})
	return h
}

func (h *harness) name(a *Attempt) string { return fmt.Sprintf("%s/%d", a.Request.ID, a.Number()) }

func (h *harness) Send(a *Attempt) {
	h.attempts[h.name(a)] = a
	fmt.Fprintf(&h.output, "send %s to %s\n", h.name(a), a.To.Addr)
}
func (h *harness) PreventWrite(a *Attempt) bool {
	if h.written[h.name(a)] {
		return false
	}
	fmt.Fprintf(&h.output, "bar %s\n", h.name(a))
	return true
}
func (h *harness) Cancel(a *Attempt)                    { fmt.Fprintf(&h.output, "give up %s\n", h.name(a)) }
func (h *harness) Probe(to Endpoint, told func(Result)) { h.probes[to] = told }
func (h *harness) CloseIdle(to Endpoint) {
	if to.Addr != "" {
		fmt.Fprintf(&h.output, "drop %s\n", to.Addr)
	}
}

// step runs the engine and prints the answers.
func (h *harness) step() {
	h.e.Step()
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range h.requests {
			if !yield(id) {
				return
			}
		}
	}) {
		select {
		case a := <-h.requests[id].Reply:
			kind := []string{"served", "refused", "failed", "doubled"}[a.Kind]
			if a.Late {
				kind += ", late"
			}
			if a.MayHaveRun {
				kind += ", may have run"
			}
			if a.Body != nil {
				kind += fmt.Sprintf(", %v", a.Body)
			}
			fmt.Fprintf(&h.output, "answer %s: %s\n", id, kind)
		default:
		}
	}
}

// TestScenarios runs the scripts of testdata/, which guard the rules for attempts and answers in fixed orders of events.
// The commands are:
//
//	list whole|changes|remembered      lines of: id address phase
//	arrive id=.. class=.. [budget=..]  classes: 0 safe, 1 unsafe, 2 keyed (all, 1 s), 3 unsafe stream
//	written at=id/n                    the first byte of the attempt is written, so it can't be prevented
//	end at=id/n status=.. [body=..]    the attempt ends
//	deliver at=id/n                    the transport itself passes the answer to the client
//	started at=id/n                    the stream has begun
//	copy id=.. to=n                    the Balancer sends another attempt, to backend number n
//	say id=.. refuse|fail              the Balancer answers the request, even if it did before
//	gone id=..                         the client disconnects
//	wait for=..                        time passes and timers fire
//	answer-by in=..                    the process is to end after this time
//	left                               prints the sizes of the tables
//	fleet nodes=.. quota=.. [alone]    starts over as one of several nodes, with a total rate in requests per second
//	probed id=.. active=..             a probe of a backend ends
//	hear from=.. hex=..                a peer sends a message
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h.output.Reset()
			arg := func(name string) string {
				var s string
				if d.HasArg(name) {
					d.ScanArgs(t, name, &s)
				}
				return s
			}
			at := func() *Attempt {
				a := h.attempts[arg("at")]
				if a == nil {
					d.Fatalf(t, "no attempt %q", arg("at"))
				}
				return a
			}
			status := func() balance.Status {
				i := slices.Index(statusNames, arg("status"))
				if i < 0 {
					d.Fatalf(t, "no status %q", arg("status"))
				}
				return balance.Status(i)
			}
			switch d.Cmd {
			case "list":
				kind := map[string]balance.EventKind{"whole": balance.MembersAll, "changes": balance.MembersChanged,
					"remembered": balance.MembersCached}[d.CmdArgs[0].Key]
				list := List{Complete: kind != balance.MembersChanged}
				for line := range strings.Lines(d.Input) {
					f := strings.Fields(line)
					list.Members = append(list.Members, Member{ID: f[0], Addr: f[1],
						Member: balance.Member{Weight: 1, Phase: balance.Phase(slices.Index(phaseNames, f[2]))}})
					if len(f) > 3 { // cold
						list.Members[len(list.Members)-1].Launched = h.e.Clock()
					}
				}
				h.e.UpdateBackends(kind, list)
			case "arrive":
				budget := 2 * time.Second
				if b := arg("budget"); b != "" {
					budget, _ = time.ParseDuration(b)
				}
				var class int
				d.ScanArgs(t, "class", &class)
				r := &Request{ID: arg("id"), Class: class, HasShortDeadline: d.HasArg("hasty"), Deadline: h.clock.Add(budget), Reply: make(chan Answer, 1)}
				key := r.ID
				for h.requests[key] != nil {
					key += "'"
				}
				h.requests[key] = r
				h.e.Arrive(r)
			case "written":
				at()
				h.written[arg("at")] = true
			case "end":
				res := Result{Status: status()}
				if b := arg("body"); b != "" {
					res.Body = b
				}
				at().Done(res)
			case "deliver":
				fmt.Fprintf(&h.output, "handed on: %t\n", at().Deliver(Result{Status: balance.Delivered}))
			case "started":
				at().StreamStarted()
			case "copy":
				var to int
				d.ScanArgs(t, "to", &to)
				h.e.execute(&balance.Action{Kind: balance.Send, Request: arg("id"), Backend: balance.BackendID(to)})
			case "say":
				kind := balance.Reject
				if d.HasArg("fail") {
					kind = balance.Fail
				}
				h.e.execute(&balance.Action{Kind: kind, Request: arg("id")})
			case "gone":
				h.e.ClientGone(h.requests[arg("id")])
			case "answer-by":
				in, err := time.ParseDuration(arg("in"))
				if err != nil {
					t.Fatal(err)
				}
				h.e.LimitDeadlines(h.clock.Add(in))
			case "wait":
				dur, err := time.ParseDuration(arg("for"))
				if err != nil {
					t.Fatal(err)
				}
				for end := h.clock.Add(dur); ; {
					next, some := h.e.Next()
					if gap := next - h.e.Clock(); some && h.clock.Add(gap).Before(end) {
						h.clock = h.clock.Add(max(gap, 0))
						h.step()
						continue
					}
					h.clock = end
					break
				}
			case "fleet":
				var nodes, quota int
				d.ScanArgs(t, "nodes", &nodes)
				d.ScanArgs(t, "quota", &quota)
				h = newHarness(t, func(c *balance.Config) {
					c.Instances, c.Limits.Peers, c.Prices.Peer, c.Prices.Probe = nodes, !d.HasArg("alone"), 0.01, 0.05
					c.Limits.Probing = true
					c.Tenants = []balance.Tenant{{QuotaPerSecond: float64(quota), Share: 1}}
				})
			case "probed":
				var active int
				d.ScanArgs(t, "active", &active)
				h.e.Handle(balance.Event{Kind: balance.Probed, Backend: h.e.backends[arg("id")].number,
					Load: balance.Load{Has: balance.HasActive, Active: float64(active)}})
			case "hear":
				var from int
				d.ScanArgs(t, "from", &from)
				payload, err := hex.DecodeString(arg("hex"))
				if err != nil {
					t.Fatal(err)
				}
				h.e.Handle(balance.Event{Kind: balance.PeerMessage, Peer: from, Payload: payload})
			case "left":
				h.step()
				_, timer := h.e.Next()
				out := 0
				for _, b := range h.e.byNumber {
					out += b.outstanding
				}
				return fmt.Sprintf("%d requests, %d backends, %d out, timers: %t\n", h.e.OpenRequests(), h.e.BackendCount(), out, timer)
			default:
				d.Fatalf(t, "no command %q", d.Cmd)
			}
			h.step()
			return h.output.String()
		})
	})
}

// The engine doesn't rely on the Balancer here. It ignores a Send to a backend that accepts no new requests and a Send for
// a request that has its answer.
func TestEngineIgnoresInvalidSend(t *testing.T) {
	h := newHarness(t)
	list := func(p balance.Phase) {
		h.e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{{ID: "a", Addr: "10.0.0.1:1", Member: balance.Member{Phase: p}}}})
	}
	list(balance.Ready)
	r := &Request{ID: "x", Class: 1, Deadline: h.clock.Add(time.Second), Reply: make(chan Answer, 1)}
	h.e.Arrive(r)
	send := &balance.Action{Kind: balance.Send, Request: "x"}
	sends := strings.Count(h.output.String(), "send ")
	h.written["x/0"] = true // the attempt and the request stay open
	list(balance.Draining)
	h.e.execute(send)
	list(balance.Ready)
	r.stream = new(Attempt)
	h.e.execute(send)
	r.stream = nil
	r.answerClaimed.Store(true) // answered by Deliver, before the loop has handled it
	h.e.execute(send)
	if n := strings.Count(h.output.String(), "send "); sends != 1 || n != 1 {
		t.Errorf("%d sends before and %d after: %s", sends, n, h.output.String())
	}
}
