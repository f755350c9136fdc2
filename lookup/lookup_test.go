package lookup

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// runLookup runs one lookup with responses from a function, and returns its answer, its log lines and its queries.
func runLookup(t testing.TB, l *Lookup, now *time.Duration, respond func(q Query, m *dns.Msg) *dns.Msg) (
	result *Answer, logs []string, queries []Query) {
	t.Helper()
	acts := l.Handle(*now, Event{Kind: Ticked}, nil)
	for steps := 0; len(acts) > 0; steps++ {
		if steps > 100_000 {
			t.Fatal("the lookup sends queries without end")
		}
		a := acts[0]
		acts = acts[1:]
		switch {
		case a.Answer != nil:
			result = a.Answer
		case a.Log != "":
			logs = append(logs, a.Log)
		case a.Query != nil:
			queries = append(queries, *a.Query)
			m := new(dns.Msg)
			m.SetQuestion(a.Query.Name, a.Query.Type)
			ev := Event{Kind: Responded, Token: a.Query.Token, Msg: respond(*a.Query, m)}
			if ev.Msg == nil {
				*now += a.Query.Timeout
				ev.Kind = NoResponse
			} else {
				*now += time.Millisecond
			}
			acts = l.Handle(*now, ev, acts)
		}
	}
	return result, logs, queries
}

// zone returns a function that responds from the lines of a zone file.
func zone(t testing.TB, lines ...string) func(Query, *dns.Msg) *dns.Msg {
	t.Helper()
	var rrs []dns.RR
	for _, l := range lines {
		rr, err := dns.NewRR(l)
		if err != nil {
			t.Fatal(err)
		}
		rrs = append(rrs, rr)
	}
	return func(q Query, m *dns.Msg) *dns.Msg {
		m.SetReply(m)
		for _, rr := range rrs {
			h := rr.Header()
			if strings.EqualFold(h.Name, q.Name) && (h.Rrtype == q.Type || h.Rrtype == dns.TypeCNAME) {
				m.Answer = append(m.Answer, rr)
			}
		}
		return m
	}
}

func newLookup(t testing.TB, servers int) *Lookup {
	t.Helper()
	l, err := New(Config{Name: "_Menu._tcp.Khuree.mn", Servers: servers, Seed: 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func describe(a *Answer) string {
	if a == nil {
		return "nothing"
	}
	var list []string
	for _, b := range a.Backends {
		list = append(list, fmt.Sprintf("%s tier %d weight %v life %v", b.Name(), b.Tier, b.Weight, b.ExpiresAt.Round(time.Second)))
	}
	return strings.Join(list, "; ")
}

// Responses are read as the RFCs define them: priorities, weights, TTLs, names in any case, CNAMEs, and target "." for a service that
// is not available. An address in the additional section counts only for a name within the domain of the service. Otherwise a name
// server could redirect the requests for a name of another domain.
func TestResponsesAreReadPerRFC(t *testing.T) {
	const srv = "_menu._tcp.khuree.mn. "
	for _, tc := range []struct {
		what  string
		lines []string
		want  string
	}{
		{"tiers and weights",
			[]string{srv + "30 IN SRV 20 0 81 B.khuree.mn.",
				srv + "60 IN SRV 5 7 80 a.KHUREE.mn.", "a.khuree.mn. 20 IN A 10.0.0.1", "b.khuree.mn. 3 IN AAAA fd00::1"},
			"b.khuree.mn:81/fd00::1 tier 1 weight 0.1 life 5s; a.khuree.mn:80/10.0.0.1 tier 0 weight 7 life 20s"},
		{"a TTL with the most significant bit set, and one of 68 years",
			[]string{srv + "4294967295 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 2147483647 IN A 10.0.0.1"},
			"a.khuree.mn:80/10.0.0.1 tier 0 weight 1 life 5s"},
		{"a TTL over the maximum", []string{srv + "2147483647 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 2147483647 IN A 10.0.0.1"},
			"a.khuree.mn:80/10.0.0.1 tier 0 weight 1 life 1h0m0s"},
		{"a CNAME chain",
			[]string{srv + "30 IN CNAME _m._tcp.khuree.mn.", "_m._tcp.khuree.mn. 30 IN SRV 1 1 80 a.khuree.mn.",
				"a.khuree.mn. 30 IN CNAME c.khuree.mn.", "c.khuree.mn. 30 IN A 10.0.0.3"},
			"a.khuree.mn:80/10.0.0.3 tier 0 weight 1 life 30s"},
		{"a CNAME loop", []string{srv + "30 IN CNAME _m._tcp.khuree.mn.", "_m._tcp.khuree.mn. 30 IN CNAME _menu._tcp.khuree.mn."}, "nothing"},
		{"the same SRV record twice, and an unspecified address",
			[]string{srv + "30 IN SRV 1 1 80 a.khuree.mn.", srv + "30 IN SRV 1 1 80 a.khuree.mn.",
				"a.khuree.mn. 30 IN A 10.0.0.1", "a.khuree.mn. 30 IN A 0.0.0.0"},
			"a.khuree.mn:80/10.0.0.1 tier 0 weight 1 life 30s"},
		{"none", nil, ""},
	} {
		now := time.Duration(0)
		result, _, _ := runLookup(t, newLookup(t, 1), &now, zone(t, tc.lines...))
		if got := describe(result); got != tc.want {
			t.Errorf("%s: %s\nwant %s", tc.what, got, tc.want)
		}
	}
	now := time.Duration(0)
	if result, _, _ := runLookup(t, newLookup(t, 1), &now, zone(t, srv+"30 IN SRV 0 0 0 .")); result == nil ||
		!result.Intended || len(result.Backends) != 0 {
		t.Errorf("target .: %+v", result)
	}
	spoofed := zone(t, srv+"30 IN SRV 1 1 80 a.khuree.mn.", srv+"30 IN SRV 1 1 80 bank.example.", "bank.example. 30 IN A 10.9.9.9")
	now = 0
	result, _, queries := runLookup(t, newLookup(t, 1), &now, func(q Query, m *dns.Msg) *dns.Msg {
		m = spoofed(q, m)
		for _, l := range []string{"bank.example. 3600 IN A 127.66.66.66", "a.khuree.mn. 30 IN A 10.0.0.1", "x.khuree.mn. 30 IN A 127.66.66.66"} {
			rr, _ := dns.NewRR(l)
			m.Extra = append(m.Extra, rr)
		}
		return m
	})
	if got := describe(result); strings.Contains(got, "66") || !strings.Contains(got, "10.9.9.9") ||
		!strings.Contains(got, "10.0.0.1") || len(queries) != 3 {
		t.Errorf("additional records: %s after %d queries", got, len(queries))
	}
}

// A lookup gets past name servers that fail, that don't support EDNS0 or that truncate their responses, and the server that responded
// last is queried first the next time. Failed lookups back off, and an answer that lacks the addresses of a target keeps its old ones.
func TestLookupGetsPastFailingServers(t *testing.T) {
	good := zone(t, "_menu._tcp.khuree.mn. 30 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 30 IN A 10.0.0.1")
	l, now := newLookup(t, 3), time.Duration(0)
	result, _, queries := runLookup(t, l, &now, func(q Query, m *dns.Msg) *dns.Msg {
		switch {
		case q.Server == 0:
			return nil
		case q.Server == 1:
			m.SetRcode(m, dns.RcodeServerFailure)
			return m
		case !q.NoEDNS:
			m.SetRcode(m, dns.RcodeFormatError)
			return m
		case !q.TCP:
			m = good(q, m)
			m.Truncated, m.Answer = true, nil
			return m
		}
		return good(q, m)
	})
	if describe(result) == "nothing" || queries[3].Server != 2 || !queries[3].NoEDNS || !queries[4].TCP {
		t.Errorf("%s after %+v", describe(result), queries)
	}
	now, _ = l.Next()
	if _, _, queries := runLookup(t, l, &now, good); queries[0].Server != 2 {
		t.Errorf("first query went to server %d, and 2 had responded last", queries[0].Server)
	}
	// All servers fail: there is no answer, and the wait between lookups grows up to 30 s, plus jitter.
	noResponse := func(Query, *dns.Msg) *dns.Msg { return nil }
	for i := range 12 {
		now, _ = l.Next()
		result, logs, queries := runLookup(t, l, &now, noResponse)
		next, idle := l.Next()
		if result != nil || len(queries) != 6 || !idle || next <= now || next > now+45*time.Second || (len(logs) > 0) != (i == 0) {
			t.Fatalf("failure %d: answer %v, %d queries, logs %q, next in %v", i, result, len(queries), logs, next-now)
		}
	}
	// The address queries for a target get no response: its old addresses stay, until the end of their TTL.
	now, _ = l.Next()
	runLookup(t, l, &now, good)
	until := l.lastAddrs["a.khuree.mn."].expiresAt
	now, _ = l.Next()
	result, _, _ = runLookup(t, l, &now, func(q Query, m *dns.Msg) *dns.Msg {
		if q.Type != dns.TypeSRV {
			return nil
		}
		return good(q, m)
	})
	if result == nil || len(result.Backends) != 1 || result.Backends[0].ExpiresAt != until {
		t.Errorf("%s, want the old end %v", describe(result), until)
	}
}

// Of a million forged responses none is accepted. They come from an attacker off the path, who has to guess the message id and the
// source port (RFC 5452).
func TestForgedResponsesAreRejected(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	sent := new(dns.Msg)
	sent.SetQuestion("_menu._tcp.khuree.mn.", dns.TypeSRV)
	accepted := 0
	for i := range 1_000_000 {
		got := dns.Msg{MsgHdr: dns.MsgHdr{Id: uint16(r.Uint32()), Response: i%7 != 0}, Question: sent.Question}
		port := r.IntN(1<<16-1024) + 1024 // a guess of the source port of the query
		switch i % 5 {
		case 1:
			got.Question = []dns.Question{{Name: "_menu._tcp.khuree.mm.", Qtype: dns.TypeSRV, Qclass: dns.ClassINET}}
		case 2:
			got.Question = nil
		case 3:
			got.Question = []dns.Question{{Name: "_menu._tcp.khuree.mn.", Qtype: dns.TypeA, Qclass: dns.ClassINET}}
		}
		if port == 40_000 && Matches(sent, &got) {
			accepted++
		}
	}
	if accepted != 0 {
		t.Errorf("%d accepted", accepted)
	}
	ok := dns.Msg{MsgHdr: dns.MsgHdr{Id: sent.Id, Response: true},
		Question: []dns.Question{{Name: "_MENU._tcp.Khuree.MN.", Qtype: dns.TypeSRV, Qclass: dns.ClassINET}}}
	if !Matches(sent, &ok) {
		t.Error("the genuine response is rejected")
	}
}

// Nodes that started in the same second don't send their refreshes in the same second, which would hit the name servers in bursts.
func TestRefreshIsSpread(t *testing.T) {
	const nodes = 300
	good := zone(t, "_menu._tcp.khuree.mn. 30 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 30 IN A 10.0.0.1")
	perSecond := map[int]int{}
	total := 0
	for n := range nodes {
		l, _ := New(Config{Name: "_menu._tcp.khuree.mn", Servers: 3, Seed: uint64(n)}, 0)
		now := time.Duration(0)
		for now < 10*time.Minute {
			if _, _, queries := runLookup(t, l, &now, good); now > time.Second {
				perSecond[int(now/time.Second)] += len(queries)
				total += len(queries)
			}
			now, _ = l.Next()
		}
	}
	worst := 0
	for _, n := range perSecond {
		worst = max(worst, n)
	}
	t.Logf("%d nodes, a TTL of 30 s: %.0f queries a minute for one name, %d in the worst second", nodes, float64(total)/10, worst)
	if worst > total/600*5 {
		t.Errorf("%d queries in the worst second, %d in the mean", worst, total/600)
	}
}

// FuzzReplies feeds arbitrary messages as responses. The lookup ends and keeps to its limits of queries.
func FuzzReplies(f *testing.F) {
	m := new(dns.Msg)
	m.SetQuestion("_menu._tcp.khuree.mn.", dns.TypeSRV)
	m.SetReply(m)
	for _, l := range []string{"_menu._tcp.khuree.mn. 30 IN SRV 1 1 80 a.khuree.mn.", "_menu._tcp.khuree.mn. 30 IN CNAME a.khuree.mn."} {
		rr, _ := dns.NewRR(l)
		m.Answer = append(m.Answer, rr)
	}
	seed, _ := m.Pack()
	f.Add(seed, seed)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		l, now, n := newLookup(t, 2), time.Duration(0), 0
		_, _, queries := runLookup(t, l, &now, func(q Query, m *dns.Msg) *dns.Msg {
			n++
			packed := first
			if n%2 == 0 {
				packed = second
			}
			got := new(dns.Msg)
			if got.Unpack(packed) != nil {
				return nil
			}
			return got
		})
		if _, idle := l.Next(); !idle || len(queries) > 4*(2+2*maxCNAMEs)*(1+2*maxTargets) {
			t.Fatalf("idle %t after %d queries", idle, len(queries))
		}
	})
}

// The response of a name server that takes longer than the first timeout arrives in the end, and the next lookup waits long enough for
// it. Without the longer timeout every query would be sent twice, or would never get its response.
func TestTimeoutGrowsForSlowServer(t *testing.T) {
	for _, slow := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 12 * time.Second} {
		l, now := newLookup(t, 1), time.Duration(0)
		respond := zone(t, "_menu._tcp.khuree.mn. 60 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 60 IN A 10.0.0.1")
		sentQueries := 0
		respondSlowly := func(q Query, m *dns.Msg) *dns.Msg {
			sentQueries++
			if q.Timeout < slow {
				return nil
			}
			now += slow
			return respond(q, m)
		}
		var result *Answer
		for ; result == nil && now < 5*time.Minute; now = l.nextAt {
			result, _, _ = runLookup(t, l, &now, respondSlowly)
		}
		if result == nil {
			t.Errorf("responses take %v: none arrived in time in %d queries", slow, sentQueries)
			continue
		}
		_, _, queries := runLookup(t, l, &now, respondSlowly)
		if len(queries) != 3 {
			t.Errorf("responses take %v: %d queries in the next lookup, 3 wanted", slow, len(queries))
		}
	}
}

// A server that responds late to the SRV query and at once to address queries, which it has cached, gets each query once at every
// refresh. A timeout taken from the last response would be too short for the SRV query.
func TestTimeoutCoversSlowSRVBesideFastAddresses(t *testing.T) {
	const slow = 3 * time.Second
	l, now := newLookup(t, 1), time.Duration(0)
	respond := zone(t, "_menu._tcp.khuree.mn. 60 IN SRV 1 1 80 a.khuree.mn.", "a.khuree.mn. 60 IN A 10.0.0.1")
	respondMixed := func(q Query, m *dns.Msg) *dns.Msg {
		if q.Type == dns.TypeSRV {
			if q.Timeout < slow {
				return nil
			}
			now += slow
		}
		return respond(q, m)
	}
	var result *Answer
	for ; result == nil && now < 5*time.Minute; now = l.nextAt {
		result, _, _ = runLookup(t, l, &now, respondMixed)
	}
	for refresh := range 3 {
		result, logs, queries := runLookup(t, l, &now, respondMixed)
		if result == nil || len(queries) != 3 {
			t.Errorf("refresh %d: %s, %d queries, 3 wanted; %q", refresh, describe(result), len(queries), logs)
		}
		now = l.nextAt
	}
}
