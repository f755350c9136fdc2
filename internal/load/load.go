// Package load sends requests to a real front at times that are set beforehand (open loop): a front that is slow does not
// slow the clients down, and what waits to be sent counts from when it was due, so that nothing is omitted. The tool
// measures its own lateness and says when it was itself what was slow.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config is one run.
type Config struct {
	URL   string
	Kinds []Kind
	Rate  float64 // requests a second
	For   time.Duration
	Seed  uint64
	// Timeout is how long a client waits for an answer.
	Timeout time.Duration
	Header  http.Header // sent with every request
	Remote  bool        // a target that is not on this machine is meant
	Burst   int         // requests that come at once; 0: 1
}

// Kind is a kind of request.
type Kind struct {
	Method, Path string
	Part         float64 // of all, beside the other kinds'
	Body         int     // bytes
	Aim          time.Duration
}

// ParseKind reads "GET /menu" or "3 POST /orders 512 300ms": part, method, path, bytes of body, aim.
func ParseKind(text string) (Kind, error) {
	k := Kind{Part: 1, Aim: 500 * time.Millisecond}
	f := strings.Fields(text)
	bad := func(what string) (Kind, error) {
		return Kind{}, fmt.Errorf("%q: %s: write it as \"GET /menu\" or \"3 POST /orders 512 300ms\" (part, method, path, bytes, aim)", text, what)
	}
	if len(f) > 0 {
		if n, err := fmt.Sscanf(f[0], "%g", &k.Part); n == 1 && err == nil {
			f = f[1:]
		}
	}
	if len(f) < 2 || !strings.HasPrefix(f[1], "/") || k.Part <= 0 {
		return bad("a method and a path are needed")
	}
	k.Method, k.Path = f[0], f[1]
	for _, x := range f[2:] {
		if d, err := time.ParseDuration(x); err == nil && d > 0 {
			k.Aim = d
		} else if n, err := fmt.Sscanf(x, "%d", &k.Body); n != 1 || err != nil || k.Body < 0 {
			return bad(fmt.Sprintf("%q is no size and no time", x))
		}
	}
	return k, nil
}

// Result is what a run came to. Times count from when a request was due.
type Result struct {
	Asked, Served, InAim, Refused, Failed, Lost int64
	P50, P99, P999, Max                         time.Duration
	Took                                        time.Duration
	// LateP99 is how late the tool itself was: from when a request was due to when it took it up.
	LateP99 time.Duration
	Slow    bool // the tool was later than a tenth of the median answer: the figures are its own, not the front's
	// MayHaveRun counts requests that were written and got no answer: nothing is known of their effect.
	MayHaveRun int64
}

// most bounds a run: it stops by itself.
const (
	mostRate = 200_000
	mostFor  = time.Hour
)

// Check refuses what can't be run, and targets elsewhere unless they are meant.
func (c *Config) Check() error {
	u, err := url.Parse(c.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("%q is not a URL: write it as http://127.0.0.1:8080", c.URL)
	}
	if ip := net.ParseIP(u.Hostname()); !c.Remote && u.Hostname() != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not on this machine: a flag has to say that it is meant", u.Host)
	}
	switch {
	case c.Rate <= 0 || c.Rate > mostRate:
		return fmt.Errorf("rate %g: not above 0 and up to %d a second", c.Rate, mostRate)
	case c.For <= 0 || c.For > mostFor:
		return fmt.Errorf("for %v: not above 0 and up to %v", c.For, mostFor)
	case len(c.Kinds) == 0:
		return errors.New("no kind of request is given")
	}
	return nil
}

// Run sends the requests. tell, if any, is called each second with what has come so far.
func Run(ctx context.Context, c Config, tell func(at time.Duration, so Result)) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, err
	}
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	c.Burst = max(c.Burst, 1)
	tr := &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 4096, DisableCompression: true}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	total := 0.0
	for _, k := range c.Kinds {
		total += k.Part
	}
	var mu sync.Mutex
	var r Result
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	late := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	sum := func() Result {
		mu.Lock()
		defer mu.Unlock()
		at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
			return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
		}
		s := r
		s.P50, s.P99, s.P999, s.Max = at(times, 50), at(times, 99), at(times, 99.9), time.Duration(times.Max())*time.Microsecond
		s.LateP99 = at(late, 99)
		s.Slow = s.LateP99 > max(s.P50/10, time.Millisecond)
		return s
	}
	rng := rand.New(rand.NewPCG(c.Seed, 0x10ad))
	began := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var wg sync.WaitGroup
	ask := func(k Kind, due time.Time, n int64) {
		defer wg.Done()
		lag := time.Since(due)
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), due.Add(c.Timeout))
		defer cancel()
		var written atomic.Bool
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }})
		var body io.Reader
		if k.Body > 0 {
			body = io.LimitReader(filler{}, int64(k.Body)) // no GetBody: what was sent once is not sent again
		}
		status := 0
		req, err := http.NewRequestWithContext(ctx, k.Method, c.URL+k.Path, body)
		if err == nil {
			if body != nil {
				req.ContentLength = int64(k.Body)
			}
			for name, v := range c.Header {
				req.Header[name] = v
			}
			req.Header.Set("X-Request-Id", fmt.Sprintf("load-%x-%d", c.Seed, n))
			var resp *http.Response
			if resp, err = client.Do(req); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
		}
		took := time.Since(due)
		mu.Lock()
		defer mu.Unlock()
		late.RecordValue(max(int64(lag/time.Microsecond), 1))
		switch {
		case err != nil:
			r.Lost++
			if written.Load() {
				r.MayHaveRun++
			}
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			r.Refused++
			return
		case status >= 500:
			r.Failed++
			return
		}
		r.Served++
		if took <= k.Aim {
			r.InAim++
		}
		times.RecordValue(max(int64(took/time.Microsecond), 1))
	}
	due := began
	for n := int64(0); ; {
		due = due.Add(time.Duration(rng.ExpFloat64() * float64(c.Burst) / c.Rate * float64(time.Second)))
		if due.Sub(began) > c.For || ctx.Err() != nil {
			break
		}
		for wait := time.Until(due); wait > 0; wait = time.Until(due) {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-second.C:
				if tell != nil {
					tell(time.Since(began), sum())
				}
			case <-ctx.Done():
			}
			t.Stop()
			if ctx.Err() != nil {
				break
			}
		}
		for range c.Burst {
			k, x := c.Kinds[len(c.Kinds)-1], rng.Float64()*total
			for _, o := range c.Kinds {
				if x < o.Part {
					k = o
					break
				}
				x -= o.Part
			}
			mu.Lock()
			r.Asked++
			mu.Unlock()
			wg.Add(1)
			go ask(k, due, n)
			n++
		}
	}
	wg.Wait()
	r.Took = time.Since(began)
	return sum(), nil
}

// filler is a body without end.
type filler struct{}

func (filler) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// Search finds the highest rate at which the part of what is asked that is served within its aim stays at least part, by
// halving between low and high; each step runs for c.For.
func Search(ctx context.Context, c Config, part float64, tell func(rate float64, r Result)) (float64, error) {
	low, high, best := c.Rate/16, c.Rate, 0.0
	for range 8 {
		c.Rate = (low + high) / 2
		r, err := Run(ctx, c, nil)
		if err != nil || ctx.Err() != nil {
			return best, errors.Join(err, ctx.Err())
		}
		tell(c.Rate, r)
		if !r.Slow && float64(r.InAim) >= part*float64(r.Asked) {
			best, low = c.Rate, c.Rate
		} else {
			high = c.Rate
		}
	}
	return best, nil
}
