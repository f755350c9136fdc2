package main

// This file contains the environment of a soak node: backends and the configuration.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"glencart/internal/standin/surplus"
)

// backend starts a backend that answers, fails or hangs at random.
func (s *soak) backend(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.addrs[i] = l.Addr().String()
	s.t.Cleanup(func() { l.Close() })
	go func() {
		for n := uint64(0); ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveBackend(i, c, rand.New(rand.NewPCG(s.seed, uint64(i)<<32|n)))
		}
	}()
}

func (s *soak) serveBackend(i int, c net.Conn, rng *rand.Rand) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		a := arrival{backend: i, beganAt: time.Now()}
		hr, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return
		}
		if hr.URL.Path == "/stats" {
			io.WriteString(c, surplus.OK("TEXT inflight=1"))
			s.sendSecond(c, rng, surplus.OK("TEXT inflight=1"))
			continue
		}
		a.at, a.method, a.key = time.Now(), hr.Method, hr.Header.Get("Idempotency-Key")
		seconds, _ := strconv.ParseFloat(hr.Header.Get("X-Expires-In"), 64)
		a.budget = time.Duration(seconds * float64(time.Second))
		chance := rng.IntN(100)
		a.neverRan = chance >= 90 && chance < 95
		id := hr.Header.Get("X-Trace-Id")
		s.mu.Lock()
		s.arrivals[id] = append(s.arrivals[id], a)
		s.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		switch {
		case chance < 12:
			time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
		case chance < 16: // it hangs
			io.Copy(io.Discard, c)
			return
		case chance < 20:
			c.(*net.TCPConn).SetLinger(0)
			return
		case chance < 24:
			answer = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
		case chance < 28: // no length: the answer ends with the connection
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+id)
			return
		case a.neverRan:
			answer = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if chance == 99 { // it closes an idle connection
			return
		}
		s.sendSecond(c, rng, answer)
	}
}

// sendSecond sends some answers once more, or another answer or a part of one, up to earlyLimit later.
func (s *soak) sendSecond(c net.Conn, rng *rand.Rand, answer string) {
	if s.secondShare == 0 || rng.Float64() >= s.secondShare {
		return
	}
	second := [...]string{answer, answer, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 50"}[rng.IntN(4)]
	s.mu.Lock()
	s.seconds++
	s.mu.Unlock()
	time.AfterFunc(time.Duration(rng.Int64N(int64(earlyLimit))), func() { io.WriteString(c, second) })
}

// configure writes the configuration with this discovery address. If broken is set, it writes a file that can't
// be read.
func (s *soak) configure(discovery string, broken bool) {
	text, err := json.Marshal(nodeConfig(s.listen, discovery, s.seed+1, s.deadline))
	if err != nil {
		s.t.Fatal(err)
	}
	if broken {
		text = text[:len(text)/2]
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		s.t.Fatal(err)
	}
}

// nodeConfig returns the configuration of a node that receives endpoint lists by push (long polling).
func nodeConfig(listen, discovery string, seed uint64, deadline time.Duration) map[string]any {
	ns := func(d time.Duration) int64 { return int64(d) }
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim": ns(deadline / 2), "deadline": ns(deadline),
			"keyScope": "all", "window": ns(keyedWindow), "points": 1}
	}
	return map[string]any{
		"name": "n", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 256},
		"known":  map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": map[string]any{"nInstances": 1, "zones": []string{"a"}, "skus": []string{"m"},
			"classes": []any{class("read", "pure"), class("order", "side_effect"), class("token", "token")},
			"limits": map[string]any{"cancelling": true, "probing": true, "maxAttempts": 4,
				"connectTimeout": ns(100 * time.Millisecond), "idleClose": ns(5 * time.Second)},
			"obligations": map[string]any{"drainGrace": ns(drainGrace), "coldShare": 0.12, "warmWithin": ns(22 * time.Second),
				"fallMultiple": 3, "overloadFor": ns(1500 * time.Millisecond)},
			"loadReport": map[string]any{"source": "on_probe", "columns": []string{"active"}}},
	}
}
