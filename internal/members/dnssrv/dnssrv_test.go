package dnssrv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	sources "glencart/internal/members"
	"glencart/internal/standin"
	standins "glencart/internal/standin/dns"
	"glencart/lookup"
)

var records = []string{"_menu._tcp.khuree.mn. 1 IN SRV 1 5 80 a.khuree.mn.", "a.khuree.mn. 1 IN A 127.0.0.9"}

// runSource runs a source and returns the names of the backends in each of its updates.
func runSource(t *testing.T, cfg Config) chan string {
	t.Helper()
	cfg.Log = standin.Quiet()
	cfg.Config.Name, cfg.Config.MinTTL, cfg.Config.Timeout = "_menu._tcp.khuree.mn", 50*time.Millisecond, 200*time.Millisecond
	cfg.Config.RetryInterval, cfg.Config.MaxRetryInterval = 20*time.Millisecond, 50*time.Millisecond
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lists, ended := make(chan string, 256), make(chan struct{})
	go func() {
		s.Run(ctx, func(x sources.Update) {
			var names []string
			for _, e := range x.Entries {
				names = append(names, e.Name)
			}
			select {
			case lists <- strings.Join(names, " "):
			default:
			}
		})
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return lists
}

// On sockets a source must find the list despite a forged answer ahead of the genuine one, a truncated UDP answer, a server that
// is silent or fails beside one that answers, and additional records that the server must not be trusted in. It must also take the
// servers from resolv.conf.
func TestListDespiteNameServerFaults(t *testing.T) {
	for name, fault := range map[string]standins.Fault{
		"well": {}, "a wrong id": {WrongID: true}, "a wrong question": {WrongName: true}, "cut": {Truncate: true, UDPOnly: true},
		"silent": {Drop: true}, "failing": {Rcode: dns.RcodeServerFailure}, "late": {Delay: 60 * time.Millisecond}, "spoofed additional records": {Spoof: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := standins.New(t, "khuree.mn."), standins.New(t, "khuree.mn.")
			first.Set(t, records...)
			second.Set(t, records...)
			first.Fail(fault)
			lists := runSource(t, Config{Servers: []string{first.Addr, second.Addr}})
			if got := standin.Receive(t, "a list", lists); got != "a.khuree.mn:80/127.0.0.9" {
				t.Errorf("the list has %q", got)
			}
			if _, tcp := first.Asked(); (tcp > 0) != fault.Truncate {
				t.Errorf("%d questions over TCP", tcp)
			}
		})
	}
	t.Run("resolv.conf", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "resolv.conf")
		os.WriteFile(file, []byte("nameserver 127.0.0.1\n"), 0o600)
		s, err := New(Config{ResolvConf: file, Config: lookup.Config{Name: "_menu._tcp.khuree.mn"}})
		if err != nil || !slices.Equal(s.cfg.Servers, []string{"127.0.0.1:53"}) {
			t.Errorf("%v, %v", s, err)
		}
		if _, err := New(Config{ResolvConf: file + "x", Config: lookup.Config{Name: "_menu._tcp.khuree.mn"}}); err == nil {
			t.Error("New accepted a missing resolv.conf")
		}
	})
}

// With real lifetimes, a change must arrive when the old lifetime is over, an outage must change nothing, and a change made during
// the outage must arrive after it.
func TestOutageChangesNothing(t *testing.T) {
	s := standins.New(t, "khuree.mn.")
	s.Set(t, records...)
	lists := runSource(t, Config{Servers: []string{s.Addr}})
	standin.Receive(t, "a list", lists)
	s.Fail(standins.Fault{Drop: true})
	s.Set(t, "_menu._tcp.khuree.mn. 1 IN SRV 1 5 81 a.khuree.mn.", "a.khuree.mn. 1 IN A 127.0.0.9")
	before, _ := s.Asked()
	standin.Eventually(t, "questions without an answer", func() bool { now, _ := s.Asked(); return len(now) > len(before)+3 })
	for len(lists) > 0 {
		if got := <-lists; strings.Contains(got, ":81") || got == "" {
			t.Errorf("the list has %q during the outage", got)
		}
	}
	s.Fail(standins.Fault{})
	standin.Eventually(t, "the change", func() bool { return strings.Contains(standin.Receive(t, "a list", lists), ":81") })
}

// On generated zones the source must find the same backends as the DNS library's own client, which asks the same server record by
// record.
func TestGeneratedZonesMatchLibraryClient(t *testing.T) {
	zones := 1000
	if testing.Short() {
		zones = 50
	}
	s := standins.New(t, "khuree.mn.")
	r := rand.New(rand.NewPCG(5, 6))
	for z := range zones {
		var lines []string
		for i := range r.IntN(5) {
			target := fmt.Sprintf("T%d.khuree.mn.", r.IntN(4))
			if r.IntN(5) == 0 {
				target = fmt.Sprintf("t%d.other.example.", i)
			}
			lines = append(lines, fmt.Sprintf("_menu._tcp.khuree.mn. %d IN SRV %d %d %d %s", r.IntN(100), r.IntN(3), r.IntN(9), 80+r.IntN(3), target))
		}
		for i := range 4 {
			switch r.IntN(4) {
			case 0:
				lines = append(lines, fmt.Sprintf("t%d.khuree.mn. 30 IN CNAME u%d.khuree.mn.", i, i), fmt.Sprintf("u%d.khuree.mn. 30 IN A 10.1.0.%d", i, i+1))
			case 1:
				lines = append(lines, fmt.Sprintf("t%d.khuree.mn. 30 IN AAAA fd00::%d", i, i+1))
			case 2:
				lines = append(lines, fmt.Sprintf("t%d.khuree.mn. 30 IN A 10.0.0.%d", i, i+1), fmt.Sprintf("t%d.other.example. 30 IN A 10.2.0.%d", i, i+1))
			}
		}
		s.Set(t, lines...)
		want := map[string]bool{}
		for _, srv := range plain(t, s, "_menu._tcp.khuree.mn.", dns.TypeSRV) {
			v := srv.(*dns.SRV)
			for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
				for _, rr := range plain(t, s, v.Target, kind) {
					ip := ""
					switch a := rr.(type) {
					case *dns.A:
						ip = a.A.String()
					case *dns.AAAA:
						ip = a.AAAA.String()
					}
					want[fmt.Sprintf("%s:%d/%s", strings.TrimSuffix(strings.ToLower(v.Target), "."), v.Port, ip)] = true
				}
			}
		}
		look, _ := lookup.New(lookup.Config{Name: "_menu._tcp.khuree.mn", Servers: 1}, 0)
		got := map[string]bool{}
		acts := look.Handle(0, lookup.Event{}, nil)
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			if a.Query != nil {
				query := *a.Query
				query.Timeout = standin.Patience // the test compares answers; a process that is held up must not end an exchange
				m, err := exchange(context.Background(), s.Addr, query)
				if err != nil {
					t.Fatal(err)
				}
				acts = look.Handle(0, lookup.Event{Kind: lookup.Responded, Token: a.Query.Token, Msg: m}, acts)
			}
			if a.Answer != nil {
				for _, b := range a.Answer.Backends {
					got[b.Name()] = true
				}
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("zone %d: %v, want %v, of\n%s", z, got, want, strings.Join(lines, "\n"))
		}
	}
}

// plain asks with the library's own client. It follows no CNAME chain, because the stand-in does.
func plain(t *testing.T, s *standins.Server, name string, kind uint16) (list []dns.RR) {
	t.Helper()
	m := new(dns.Msg)
	m.SetQuestion(name, kind)
	got, _, err := (&dns.Client{Timeout: standin.Patience}).Exchange(m, s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	for _, rr := range got.Answer {
		if rr.Header().Rrtype == kind {
			list = append(list, rr)
		}
	}
	return list
}
