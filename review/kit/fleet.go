package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Boxes is a stand-in for the backends of a pool of serve: they run each order that arrives, once for each arrival, and count by
// Idempotency-Key.
type Boxes struct {
	r     *Run
	Addrs []string

	mu   sync.Mutex
	runs map[string]int
}

// StartBoxes starts backends whose answers take the time that take returns for an order.
func (r *Run) StartBoxes(n int, take func(key string) time.Duration) *Boxes {
	b := &Boxes{r: r, runs: map[string]int{}}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.Fatalf("%v", err)
		}
		b.Addrs = append(b.Addrs, l.Addr().String())
		name := fmt.Sprintf("orders-%d", i+1)
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) { b.serve(name, take, w, hr) }))
	}
	return b
}

func (b *Boxes) serve(name string, take func(key string) time.Duration, w http.ResponseWriter, hr *http.Request) {
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return // it has not come whole
	}
	key := hr.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.runs[key]++
	n := b.runs[key]
	b.mu.Unlock()
	b.r.Logf("%s runs %s %s %s, body %q: run number %d of this order", name, hr.Method, hr.URL.Path, key, short(body), n)
	time.Sleep(take(key))
	fmt.Fprintf(w, "order %s, run %d", key, n)
}

func short(b []byte) string {
	if len(b) > 60 {
		return string(b[:60]) + "..."
	}
	return string(b)
}

// Runs returns how often an order ran.
func (b *Boxes) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// Instance is one process of serve in a fleet.
type Instance struct {
	*Proc
	Name, Web, Fleet, File string
}

// Fleet returns the files of some instances of serve that stand together, in front of the same boxes. keys are further lines of [fleet].
func (r *Run) Fleet(n int, boxes []string, keys string) []*Instance {
	var all []*Instance
	var list []string
	for i, b := range boxes {
		list = append(list, fmt.Sprintf("{ id = \"orders-%d\", address = %q }", i+1, b))
	}
	for i := range n {
		all = append(all, &Instance{Name: fmt.Sprintf("shop-%d", i+1), Web: r.Addr(), Fleet: r.Addr()})
	}
	for _, in := range all {
		var seeds []string
		for _, o := range all {
			if o != in {
				seeds = append(seeds, fmt.Sprintf("%q", o.Fleet))
			}
		}
		in.File = r.Write(in.Name+".toml", fmt.Sprintf(`[node]
name = %q

[fleet]
cluster = "shop"
name = %q
listen = %q
seeds = [%s]
%s

[[listener]]
name = "web"
address = %q

[[pool]]
name = "orders"
boxes = [ %s ]

[[class]]
name = "place-order"
effect = "unsafe"
aim = "8s"
deadline = "10s"

[[server]]
default = true

  [[server.location]]
  path = "/"

    [[server.location.route]]
    pool = "orders"
    class = "place-order"
    methods = ["POST"]
`, in.Name, in.Name, in.Fleet, strings.Join(seeds, ", "), keys, in.Web, strings.Join(list, ", ")))
	}
	return all
}

// Run starts an instance.
func (in *Instance) Run(r *Run) { in.Proc = r.Start(in.Name, nil, "serve", in.File) }

// Shared is what an instance tells of the sessions.
type Shared struct {
	Ring, Unsure, Unprotected, KnownAnswers, FailedInWords int
}

// Shared asks an instance what it knows.
func (in *Instance) Shared(r *Run) (Shared, error) {
	var out struct {
		Fleet  struct{ Shared map[string]any }
		Shared map[string]any
	}
	text, err := r.Output("members", in.File, "--live", "--json")
	if err != nil {
		return Shared{}, err
	}
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		return Shared{}, fmt.Errorf("%w: %s", err, text)
	}
	m := out.Fleet.Shared
	if m == nil {
		m = out.Shared
	}
	num := func(k string) (n int) { fmt.Sscan(fmt.Sprint(m[k]), &n); return n }
	return Shared{num("owners"), num("unsure"), num("unprotected"), num("knownAnswers"), num("failedInWords")}, nil
}

// AwaitTogether waits until all instances own sessions together and are sure of what they own.
func (r *Run) AwaitTogether(most time.Duration, all ...*Instance) {
	r.Await("the instances own sessions together and are sure of them", most, func() bool {
		for _, in := range all {
			if s, err := in.Shared(r); err != nil || s.Ring != len(all) || s.Unsure > 0 {
				return false
			}
		}
		return true
	})
	r.Logf("%d instances own sessions together and are sure of them", len(all))
}

// Answer is what a client got. Status 0: none.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	return fmt.Sprintf("%d %q", a.Status, a.Body)
}

// Order sends an order to an address, on a connection of its own.
func (r *Run) Order(to, session, key, body string) Answer {
	req, err := http.NewRequest("POST", "http://"+to+"/orders", strings.NewReader(body))
	if err != nil {
		r.Fatalf("%v", err)
	}
	req.Header.Set("X-Session", session)
	req.Header.Set("Idempotency-Key", key)
	r.Logf("client sends order %s of session %s to %s", key, session, to)
	c := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		r.Logf("order %s: no answer: %v", key, err)
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Logf("order %s: no whole answer: %v", key, err)
		return Answer{Err: err}
	}
	r.Logf("order %s: answered %d %q", key, resp.StatusCode, b)
	return Answer{resp.StatusCode, resp.Header, string(b), nil}
}
