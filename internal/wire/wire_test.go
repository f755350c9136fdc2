package wire

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

func readAll(t testing.TB, text string) ([]Message, error) {
	t.Helper()
	r := NewReader(strings.NewReader(text))
	var messages []Message
	for {
		m, err := r.Next()
		if err == io.EOF {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func readOne(t testing.TB, line string) Message {
	t.Helper()
	ms, err := readAll(t, line+"\n")
	if err != nil || len(ms) != 1 {
		t.Fatalf("%s: %d messages, %v", line, len(ms), err)
	}
	return ms[0]
}

// Guards the mapping of event lines to events. Fields may come in any order, and unknown ones are skipped.
func TestEventLines(t *testing.T) {
	const id = "5d3a91c4-a8f6-4e6c-a7c4-4415b8b3b467"
	for line, want := range map[string]balance.Event{
		"work_item node=node_3 requestId=" + id + " band=2 userGroup=1 routeKey=9007199254740991 timeBudget=240000000 " +
			"predicted=12000000 againByClient=1 mutates=0 shade=blue": {Kind: balance.RequestArrived, Request: id, Class: 2,
			Tenant: 1, Key: 1<<53 - 1, HasKey: true, Budget: 240 * time.Millisecond, Hint: 12 * time.Millisecond, IsRepeat: true},
		"work_item timeBudget=5 band=0 requestId=" + id + " node=node_3": {Kind: balance.RequestArrived, Request: id, Budget: 5},
		"bell node=node_3 mark=77":                                       {Kind: balance.Timer, TimerID: 77},
		"client_gone node=node_3 requestId=" + id:                        {Kind: balance.ClientGone, Request: id},
		"first node=node_3 requestId=" + id + " backend=4294967295 attempt=1 spent=7": {Kind: balance.StreamStarted,
			Request: id, Backend: 4294967295, Attempt: 1, Elapsed: 7},
		"from_peer node=node_3 by=1 raw=aGkgNw==": {Kind: balance.PeerMessage, Peer: 1, Payload: []byte("hi 7")},
		"from_peer node=node_3 by=1 raw=-":        {Kind: balance.PeerMessage, Peer: 1},
		"probe_result node=node_3 backend=7 spent=9 status=delivered load=active:3.5,avg_ms:12,x9:1": {Kind: balance.Probed,
			Backend: 7, Elapsed: 9, Load: balance.Load{Has: balance.HasActive | balance.HasAvgMs, Active: 3.5, AvgMs: 12}},
		"probe_result node=node_3 backend=7 spent=9 status=expired": {Kind: balance.Probed, Backend: 7, Elapsed: 9,
			Status: balance.Expired},
		"answer node=node_3 requestId=" + id + " spent=18500000 backend=51530247 attempt=0 noMore=1 status=dropped": {
			Kind: balance.Outcome, Request: id, Elapsed: 18500 * time.Microsecond, Backend: 51530247, RequestEnded: true,
			Status: balance.Dropped},
	} {
		m := readOne(t, line)
		if m.Kind != NodeEvent || m.Node != "node_3" || !reflect.DeepEqual(m.Event, want) {
			t.Errorf("%s\n got %+v\nwant %+v", line, m.Event, want)
		}
	}
}

// A wrong status could make an attempt that ran count as never run, which allows a second execution.
func TestStatusNames(t *testing.T) {
	for i, name := range []string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"} {
		m := readOne(t, "probe_result node=n backend=1 spent=1 status="+name)
		if m.Event.Status != balance.Status(i) {
			t.Errorf("%s is parsed as %d", name, m.Event.Status)
		}
		neverRan := name == "shed" || name == "dial_failed" || name == "unused"
		if m.Event.Status.NeverRan() != neverRan {
			t.Errorf("%s: NeverRan is %v", name, !neverRan)
		}
	}
}

// Guards the parsing of endpoint lists and of the events that refer to them.
func TestEndpointLists(t *testing.T) {
	ms, err := readAll(t, "clock atTime=5\nlist sheet=15 elements=2\n"+
		"entry backend=51530247 stripe=4 nominal=1 generationHw=2 rackZone=1 phase=draining\n"+
		"entry launched=6100000000 backend=7 nominal=1.5 phase=ready\n"+
		"backends_changed node=node_3 kind=remembered stamp=41 sheet=15\n"+
		"backends_changed node=node_3 kind=refused stamp=41\nyour_turn\n")
	if err != nil || len(ms) != 5 {
		t.Fatal(len(ms), err)
	}
	want := []balance.Member{
		{Backend: 51530247, Cell: 4, Weight: 1, Kind: 2, Zone: 1, Phase: balance.Draining},
		{Backend: 7, Weight: 1.5, Launched: 6100 * time.Millisecond},
	}
	if ms[1].Sheet != 15 || !reflect.DeepEqual(ms[1].Members, want) {
		t.Errorf("got %+v", ms[1].Members)
	}
	if ms[2].Event.Kind != balance.MembersCached || !ms[2].UsesSheet || ms[2].Sheet != 15 {
		t.Errorf("got %+v", ms[2])
	}
	if ms[3].Event.Kind != balance.DiscoveryFailed || ms[3].UsesSheet {
		t.Errorf("got %+v", ms[3])
	}
}

// Guards the parsing of settings in a spawn line.
func TestSpawnSettings(t *testing.T) {
	m := readOne(t, `spawn node=node_1 salt=18446744073709551615 conf={"nInstances": 3, "index": 2, "zone": 1, "new": [1],`+
		` "classes": [{"aim": 5, "deadline": 6, "effect": "token", "keyScope": "zone", "window": 7, "points": 2.5}],`+
		` "membershipMode": "ask", "loadReport": {"source": "inline"}, "limits": {"maxAttempts": 4, "peers": true},`+
		` "obligations": {"coldShare": 0.25}, "weightKind": "rough", "worthBy": "work", "tick": 2000000}`)
	want := balance.Config{Instances: 3, Index: 2, Zone: 1, AskDiscovery: true, Reports: balance.InlineReports,
		Classes: []balance.Class{{Aim: 5, Deadline: 6, Effect: balance.Keyed, Scope: balance.ScopeZone, Window: 7, Points: 2.5}},
		Limits:  balance.Limits{MaxAttempts: 4, Peers: true}, Rules: balance.Rules{ColdShare: 0.25},
		Weights: balance.RoughWeights, WorthByWork: true, Tick: 2 * time.Millisecond}
	if m.Salt != 1<<64-1 || !reflect.DeepEqual(m.Config, want) {
		t.Errorf("got %+v", m.Config)
	}
}

// A setting could be lost between the line and the Balancer. Those that the Balancer doesn't use are still checked.
func TestAllSettingsAreParsedAndChecked(t *testing.T) {
	m := readOne(t, `spawn node=n salt=1 conf={"nInstances": 2, "limits": {"cpuUsPerS": 364369, "cpuUsPerRequest": 10.5,`+
		` "maxOpen": 910922}, "loadReport": {"source": "on_probe", "columns": ["active", "err_rps", "novel"]},`+
		` "prices": {"connection": 0.5, "membershipMode": 0.25, "moves": 1, "origin": 1, "fleet": 1},`+
		` "domain": {"warmKeys": true, "passesDeadline": true}, "stage": 1, "tiers": ["a", "b"]}`)
	want := balance.Config{Instances: 2, Reports: balance.ProbeReports, Columns: balance.HasActive | balance.HasErrRPS,
		WarmKeys: true, PassesDeadline: true, Stage: 1,
		Limits: balance.Limits{MaxOpen: 910922, CPUPerSecond: 364369 * time.Microsecond,
			CPUPerRequest: 10500 * time.Nanosecond},
		Prices: balance.Prices{Connection: 0.5, Discovery: 0.25}}
	if !reflect.DeepEqual(m.Config, want) {
		t.Errorf("got %+v", m.Config)
	}
	for conf, wantText := range map[string]string{
		`{"index": 3, "nInstances": 3}`:                                  "index",
		`{"nInstances": -1}`:                                             "nInstances",
		`{"zone": 2, "zones": ["a", "b"]}`:                               "zone",
		`{"stage": 1, "tiers": ["a"]}`:                                   "stage",
		`{"limits": {"maxOpen": -1}}`:                                    "limits",
		`{"limits": {"cpuUsPerS": -1}}`:                                  "CPU",
		`{"limits": {"maxRetryAfter": -1}}`:                              "time",
		`{"prices": {"moves": -0.1}}`:                                    "price",
		`{"loadReport": {"columns": ["a", "b", "c", "d", "e"]}}`:         "columns",
		`{"limits": {"cpuUsPerRequest": "much"}}`:                        "cpuUsPerRequest",
		`{"domain": {"passesDeadline": 1}}`:                              "passesDeadline",
		`{"classes": [{"aim": 5, "deadline": 6, "effect": "harmless"}]}`: "effect",
	} {
		_, err := readAll(t, "clock atTime=1\nspawn node=n salt=1 conf="+conf+"\n")
		if err == nil || !strings.Contains(err.Error(), "line 2") || !strings.Contains(err.Error(), "conf") ||
			!strings.Contains(err.Error(), wantText) {
			t.Errorf("%s: %v", conf, err)
		}
	}
}

// Subscribing and unsubscribing use the same message, with a different flag.
func TestSubscribeActions(t *testing.T) {
	for kind, want := range map[balance.ActionKind]string{balance.Watch: "active=1", balance.Unwatch: "active=0"} {
		if got := string(AppendAction(nil, "n", &balance.Action{Kind: kind})); got != "subscribe node=n "+want+"\n" {
			t.Errorf("got %q", got)
		}
	}
}

// Decisions must not depend on names. Settings with other names give an equal Config, and so the same actions.
func TestConfigDoesNotDependOnNames(t *testing.T) {
	conf := func(prefix string) string {
		return `spawn node=node_1 salt=1 conf={"classes": [{"aim": 5, "name": "` + prefix + `1"}], "skus": ["` + prefix + `2"],` +
			` "tenants": [{"name": "` + prefix + `3", "share": 1, "quotaPerS": 5}], "zones": ["` + prefix + `4"], "tiers": ["` + prefix + `5"]}`
	}
	if a, b := readOne(t, conf("old")), readOne(t, conf("new")); !reflect.DeepEqual(a.Config, b.Config) {
		t.Errorf("%+v\n%+v", a.Config, b.Config)
	}
}

// An error in a long input must be found, so it names the line and the field.
func TestErrorNamesLineAndField(t *testing.T) {
	for line, want := range map[string]string{
		"work_item node=n requestId=r band=0":                                        "timeBudget",
		"work_item node=n requestId=r band=x timeBudget=1":                           "band",
		"work_item node=n requestId=r band=-1 timeBudget=1":                          "band",
		"work_item node=n requestId=r band=0 timeBudget=1 routeKey=9007199254740992": "routeKey",
		"work_item node=n requestId= band=0 timeBudget=1":                            "requestId",
		"work_item node=n  requestId=r band=0 timeBudget=1":                          "name=value",
		"work_item node=n node=m requestId=r band=0 timeBudget=1":                    "node given twice",
		"bell mark=1":       "node",
		"bell node=n":       "mark",
		"clock atTime=soon": "atTime",
		"clock":             "atTime",
		"answer node=n requestId=r spent=1 backend=1 attempt=0 status=fine":          "status",
		"answer node=n requestId=r spent=1 backend=4294967296 attempt=0 status=shed": "backend",
		"answer node=n requestId=r spent=1 backend=1 attempt=0 status=shed noMore=2": "noMore",
		"probe_result node=n backend=1 spent=1 status=delivered load=active":         "load",
		"probe_result node=n backend=1 spent=1 status=delivered load=active:NaN":     "load",
		"from_peer node=n by=1 raw=%%":                                               "raw",
		"backends_changed node=n kind=all stamp=1":                                   "sheet",
		"backends_changed node=n kind=most stamp=1 sheet=0":                          "kind",
		"backends_changed node=n kind=all stamp=1 sheet=16":                          "sheet",
		"list sheet=0 elements=1":                                                    "elements",
		"list sheet=0 elements=1\nbell node=n mark=1":                                "entry",
		"list sheet=0 elements=1\nentry backend=1 phase=odd":                         "phase",
		"spawn node=n salt=1":                                                        "conf",
		"spawn node=n salt=1 conf={":                                                 "conf",
		"spawn node=n salt=1 conf=[]":                                                "conf",
		`spawn node=n salt=1 conf={"classes": [{"effect": "odd"}]}`:                  "effect",
		`spawn node=n salt=-1 conf={}`:                                               "salt",
		"":                                                                           "line 1",
		"node=n":                                                                     "line 1",
	} {
		_, err := readAll(t, line+"\n")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: %v, want %q", line, err, want)
		}
	}
	if _, err := readAll(t, "clock atTime=1"); err == nil {
		t.Error("accepted a truncated line")
	}
}

// A newer simulator may send messages that this version doesn't support. They must not be errors.
func TestUnknownMessageIsNoError(t *testing.T) {
	if m := readOne(t, "weather node=node_3 sky=blue"); m.Kind != Unknown || m.Name != "weather" {
		t.Errorf("got %+v", m)
	}
}

// Guards the lines for actions.
func TestActionLines(t *testing.T) {
	for want, a := range map[string]balance.Action{
		"call_out node=node_3 requestId=r backend=51530247 limit=80000000": {Kind: balance.Send, Request: "r",
			Backend: 51530247, AttemptTimeout: 80 * time.Millisecond},
		"call_out node=node_3 requestId=r backend=1":    {Kind: balance.Send, Request: "r", Backend: 1},
		"abandon node=node_3 requestId=r attempt=2":     {Kind: balance.Cancel, Request: "r", Attempt: 2},
		"decline node=node_3 requestId=r":               {Kind: balance.Reject, Request: "r"},
		"decline node=node_3 requestId=r retryIn=5":     {Kind: balance.Reject, Request: "r", RetryAfter: 5},
		"give_up node=node_3 requestId=r":               {Kind: balance.Fail, Request: "r"},
		"test node=node_3 backend=7":                    {Kind: balance.Probe, Backend: 7},
		"schedule node=node_3 in=500000000 mark=77":     {Kind: balance.SetTimer, In: 500 * time.Millisecond, TimerID: 77},
		"subscribe node=node_3 active=1":                {Kind: balance.Watch},
		"query_all node=node_3":                         {Kind: balance.Fetch},
		"say node=node_3 target=all raw=aGkgNw==":       {Kind: balance.SendToPeer, Peer: balance.AllPeers, Payload: []byte("hi 7")},
		"say node=node_3 target=2 raw=-":                {Kind: balance.SendToPeer, Peer: 2},
		"disconnect node=node_3 backend=7":              {Kind: balance.CloseIdle, Backend: 7},
		"say_log node=node_3 bodyText=two servers gone": {Kind: balance.Log, Text: "two servers\ngone"},
	} {
		if got := string(AppendAction(nil, "node_3", &a)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Arbitrary input must give messages, or an error that names the line. An action must stay one line whatever text it contains.
func FuzzReader(f *testing.F) {
	f.Add("clock atTime=8412250000\nyour_turn\n")
	f.Add("list sheet=0 elements=1\nentry backend=1 phase=ready\n")
	f.Add("answer node=n requestId=r spent=1 backend=1 attempt=0 status=shed load=active:1\n")
	f.Add("spawn node=n salt=1 conf={\"classes\": []}\n")
	f.Fuzz(func(t *testing.T, text string) {
		ms, err := readAll(t, text)
		if err != nil && !strings.Contains(err.Error(), "line ") {
			t.Fatalf("error does not name a line: %v", err)
		}
		for _, m := range ms {
			if m.Kind == NodeEvent && m.Node == "" {
				t.Fatal("event without a node")
			}
			out := AppendAction(nil, "n", &balance.Action{Kind: balance.Log, Text: m.Event.Request})
			if bytes.Count(out, []byte("\n")) != 1 {
				t.Fatalf("action of more than one line: %q", out)
			}
		}
	})
}
