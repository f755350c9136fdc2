package main

// This file contains the discovery of a soak run and its stalls.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stallKind is the way in which discovery stalls.
type stallKind int

// Kinds of stalls.
const (
	stallNone stallKind = iota
	stallLost           // calls that are open or arrive meanwhile are never answered
	stallHeld           // calls are answered after the stall
	stallSlow           // each answer takes longer
)

// stall is a period in which discovery does not answer at once.
type stall struct {
	kind  stallKind
	until time.Time
	delay time.Duration // of each answer
	lost  int           // number of stalls so far in which calls were lost
}

// stallDiscovery makes discovery stall for a time. Other faults may happen meanwhile.
func (s *soak) stallDiscovery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.currentStall.until) {
		return
	}
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(2500*time.Millisecond)))
	next := stall{kind: stallKind(1 + s.rng.IntN(3)), until: time.Now().Add(duration), lost: s.currentStall.lost}
	switch next.kind {
	case stallLost:
		next.lost++
	case stallSlow:
		next.delay = 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond)))
	}
	s.currentStall = next
	s.stalls++
	for i, draining := range s.draining { // a list that is not written yet may be held back by this stall
		if draining && s.drainListedAt[i].IsZero() {
			s.drainSendableAt[i] = time.Time{}
		}
	}
}

// activeStall returns the current stall, or one of kind stallNone.
func (s *soak) activeStall() stall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.currentStall.until) {
		return s.currentStall
	}
	return stall{lost: s.currentStall.lost}
}

// pause waits for d or until the run is over. Meanwhile discovery doesn't notice that a call was given up.
func (s *soak) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-s.done:
	}
}

// list encodes the complete list. The caller holds mu.
func (s *soak) list() string {
	var lines []string
	for i, addr := range s.addrs {
		phase := "ready"
		if s.draining[i] {
			phase = "draining"
		}
		lines = append(lines, fmt.Sprintf(`{"id":"s-%d","host_port":%q,"locality":"a","flavor":"m","cell":0,"phase":%q,"size":1,"up_since_ms":0}`,
			i, addr, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, s.revision, strings.Join(lines, ","))
}

// registry serves the list at both addresses.
func (s *soak) registry() {
	handler := http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		after, _ := strconv.Atoi(hr.URL.Query().Get("after"))
		wait, _ := strconv.Atoi(hr.URL.Query().Get("wait_ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		before := s.activeStall()
		if before.kind == stallHeld {
			s.pause(time.Until(before.until))
		}
		for hr.URL.RawQuery != "" {
			s.mu.Lock()
			changed, news := s.changed, s.revision > after
			s.mu.Unlock()
			if news {
				break
			}
			select {
			case <-changed:
				continue
			case <-hr.Context().Done():
				return
			case <-end:
			}
			break
		}
		s.pause(s.activeStall().delay)
		if now := s.activeStall(); now.kind == stallHeld { // a discovery that is held up writes nothing
			s.pause(time.Until(now.until))
		}
		if now := s.activeStall(); before.kind == stallLost || now.kind == stallLost || now.lost != before.lost {
			select { // until the node gives the call up, or the run is over
			case <-hr.Context().Done():
			case <-s.done:
			}
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if io.WriteString(w, s.list()); http.NewResponseController(w).Flush() == nil {
			for i := range s.draining {
				if s.draining[i] && s.drainListedAt[i].IsZero() {
					s.drainListedAt[i] = time.Now()
				}
			}
		}
	})
	for i := range s.registryAddrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		srv := &http.Server{Handler: handler}
		go srv.Serve(l)
		s.t.Cleanup(func() { srv.Close() })
		s.registryAddrs[i] = l.Addr().String()
	}
}

// drain makes a backend drain, or return to service.
func (s *soak) drain(i int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[i], s.drainListedAt[i] = draining, time.Time{}
	if s.drainSendableAt[i] = time.Now(); s.currentStall.until.After(s.drainSendableAt[i]) {
		s.drainSendableAt[i] = s.currentStall.until
		if s.currentStall.delay > 0 {
			s.drainSendableAt[i] = time.Time{} // known only when its first answer is written
		}
	}
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}
