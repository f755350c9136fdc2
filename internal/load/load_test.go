package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"glencart/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A server with a known service time, one that refuses, one that breaks: each is counted as what it is, and every request
// arrives once.
func TestCounts(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		mu.Lock()
		seen[r.Header.Get("X-Request-Id")]++
		mu.Unlock()
		switch r.URL.Path {
		case "/slow":
			time.Sleep(40 * time.Millisecond)
		case "/refuse":
			w.WriteHeader(503)
		case "/fail":
			w.WriteHeader(502)
		case "/break":
			panic(http.ErrAbortHandler)
		case "/orders":
			if n != 512 {
				w.WriteHeader(400)
			}
		}
	}))
	defer s.Close()
	run := func(kind string) Result {
		k, err := ParseKind(kind)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(context.Background(), Config{URL: s.URL, Kinds: []Kind{k}, Rate: 200, For: 400 * time.Millisecond, Seed: 3}, nil)
		if err != nil || r.Asked < 40 || r.Asked > 120 {
			t.Fatalf("%s: %+v %v", kind, r, err)
		}
		return r
	}
	if r := run("GET /slow 30ms"); r.Served != r.Asked || r.InAim != 0 || r.P50 < 40*time.Millisecond {
		t.Errorf("slow: %+v", r)
	}
	if r := run("GET /refuse"); r.Refused != r.Asked {
		t.Errorf("refused: %+v", r)
	}
	if r := run("GET /fail"); r.Failed != r.Asked {
		t.Errorf("failed: %+v", r)
	}
	if r := run("POST /break 8"); r.Lost != r.Asked || r.MayHaveRun == 0 {
		t.Errorf("broken: %+v", r)
	}
	mu.Lock()
	seen = map[string]int{}
	mu.Unlock()
	r := run("POST /orders 512")
	if r.Served != r.Asked || int64(len(seen)) != r.Asked {
		t.Errorf("orders: %+v, %d arrived", r, len(seen))
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s arrived %d times", id, n)
		}
	}
}

// A server that stands still for a while: what was due in that time counts from when it was due, all of it.
func TestNothingIsOmitted(t *testing.T) {
	var still atomic.Bool
	open := make(chan bool)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if still.Load() {
			<-open
		}
	}))
	defer s.Close()
	still.Store(true)
	time.AfterFunc(600*time.Millisecond, func() { still.Store(false); close(open) })
	k, _ := ParseKind("GET /x 100ms")
	r, err := Run(context.Background(), Config{URL: s.URL, Kinds: []Kind{k}, Rate: 300, For: time.Second, Seed: 1}, nil)
	if err != nil || r.Served != r.Asked {
		t.Fatalf("%+v %v", r, err)
	}
	// Half of all were due more than 100 ms before it went on: a closed loop would have seen one of them.
	if late := r.Served - r.InAim; late < r.Asked/4 {
		t.Errorf("%d of %d late", late, r.Asked)
	}
}

func TestChecks(t *testing.T) {
	k, _ := ParseKind("GET /")
	good := Config{URL: "http://127.0.0.1:1", Kinds: []Kind{k}, Rate: 1, For: time.Second}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for want, c := range map[string]func(*Config){
		"is not on this machine": func(c *Config) { c.URL = "http://10.0.0.1" },
		"localhost.evil":         func(c *Config) { c.URL = "http://localhost.evil:80" },
		"not a URL":              func(c *Config) { c.URL = "127.0.0.1:80" },
		"rate 0":                 func(c *Config) { c.Rate = 0 },
		"for 2h":                 func(c *Config) { c.For = 2 * time.Hour },
	} {
		bad := good
		c(&bad)
		if err := bad.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for _, text := range []string{"", "GET", "GET menu", "-1 GET /", "GET / soon"} {
		if _, err := ParseKind(text); err == nil {
			t.Errorf("%q is taken", text)
		}
	}
	if k, err := ParseKind("3 POST /orders 512 300ms"); err != nil || k != (Kind{"POST", "/orders", 3, 512, 300 * time.Millisecond}) {
		t.Errorf("%+v %v", k, err)
	}
	r, err := Run(context.Background(), Config{URL: "http://" + standin.ReserveAddr(t), Kinds: []Kind{k}, Rate: 100, For: 100 * time.Millisecond}, nil)
	if err != nil || r.Lost != r.Asked || r.MayHaveRun != 0 {
		t.Errorf("nobody there: %+v %v", r, err)
	}
}
