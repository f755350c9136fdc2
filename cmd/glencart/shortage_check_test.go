package main

// This file checks the records of a run of TestShortOfProcessorTime against the rules.

import (
	"fmt"
	"math"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	"glencart/internal/standin/roles"
)

const (
	// arrivalResolution bounds the error of the difference between two times of arrival.
	arrivalResolution = 10 * time.Millisecond
	// maxRejectedPercent is how many requests may be rejected while the fleet is short of processor time, in percent.
	maxRejectedPercent = 2
	// shortageRecovery is how soon after the shortage the served share has to be that of before.
	shortageRecovery = 2 * time.Second
	// servedTolerance is the difference between two served shares that chance explains.
	servedTolerance = 0.02
	// coldWindow, coldShare, coldMultiple and warmWithin are those of the settings (overloadFor, coldShare, fallMultiple, warmWithin).
	coldWindow, warmWithin  = 1500 * time.Millisecond, 22 * time.Second
	coldShare, coldMultiple = 0.12, 3.0
)

// sentTo returns the process start and the end that a request of a node belongs to.
func (n *shortageNode) processAt(at time.Time) (startedAt time.Time, end *nodeEnd) {
	for _, started := range n.startedAt {
		if !started.After(at) {
			startedAt = started
		}
	}
	for i := range n.ends {
		if n.ends[i].at.After(at) {
			return startedAt, &n.ends[i]
		}
	}
	return startedAt, nil
}

// stoppedWithin returns how long the node was stopped within a period, beyond what the rules expect of a node.
func (n *shortageNode) stoppedWithin(from, to time.Time) (d time.Duration) {
	for _, p := range n.stops {
		if p.from.Before(to) && p.to.After(from) {
			d += max(0, p.to.Sub(p.from)-maxStopped)
		}
	}
	return d
}

// shares counts the outcomes of requests by the second of the traffic in which they were sent.
type shares struct{ sent, served, rejected, late [32]int }

// check checks all records.
func (s *shortage) check() {
	arrivals := map[string][]roles.Arrival{}
	for _, a := range s.backends.Arrivals {
		if a.Stray != "" {
			s.addViolation("backend %d got a request without an id: %s", a.Backend, a.Stray)
			continue
		}
		arrivals[a.ID] = append(arrivals[a.ID], a)
	}
	var count shares
	var latest time.Duration = math.MinInt64
	rejected, inShortage, rigLate := 0, 0, 0
	for _, c := range s.clients {
		for i := range c.Requests {
			q := &c.Requests[i]
			second := min(int(q.WrittenTo.Sub(s.beganAt)/time.Second), len(count.sent)-1)
			count.sent[second]++
			isShort := q.WrittenTo.After(s.busyFrom) && q.WrittenTo.Before(s.busyTo)
			if isShort {
				inShortage++
			}
			switch q.Status {
			case http.StatusOK:
				count.served[second]++
			case http.StatusServiceUnavailable:
				count.rejected[second]++
				if isShort {
					rejected++
				}
			}
			late := q.EndedAt.Sub(q.WrittenTo) - shortageClasses[q.Class].Budget
			if q.Status != 0 {
				latest = max(latest, late)
			}
			if late > 0 && q.Status != 0 {
				count.late[second]++
			}
			if late <= lateSlack && q.EndedAt.Sub(q.WrittenFrom)-shortageClasses[q.Class].Budget > lateSlack {
				rigLate++
			}
			s.checkRequest(q, late, arrivals[q.ID])
		}
	}
	const seconds = int(shortageTraffic / time.Second)
	s.checkDrains(arrivals)
	s.checkColdBackends()
	s.t.Logf("by second: sent %v, served %v, rejected %v, late %v; latest answer %v after its time; late only by the client's side: %d",
		count.sent[:seconds], count.served[:seconds], count.rejected[:seconds], count.late[:seconds], latest, rigLate)
	s.t.Logf("in the shortage: %d sent, %d rejected; timers of the clients late by up to %v, of the backends by %v", inShortage, rejected,
		latestOf(s.clients...), latestOf(s.backends))
	s.t.Logf("processor time of the nodes: %v; the host took %v of %v", s.nodeTime, s.stolen, shortageTraffic*time.Duration(runtime.NumCPU()))
	if s.plan.backendStop == 0 && rejected*100 > inShortage*maxRejectedPercent {
		s.addViolation("%d of %d requests were rejected in the shortage, %d in 100 are allowed", rejected, inShortage, maxRejectedPercent)
	}
	s.checkRecovery(&count)
}

// latestOf returns the longest delay of the timers of processes.
func latestOf(processes ...*roles.Process) (latest time.Duration) {
	for _, p := range processes {
		for _, l := range p.Late {
			latest = max(latest, l.By)
		}
	}
	return latest
}

// checkRequest checks one request against the rules on lost and repeated requests.
func (s *shortage) checkRequest(q *roles.Request, late time.Duration, arrivals []roles.Arrival) {
	class := &shortageClasses[q.Class]
	slices.SortFunc(arrivals, func(x, y roles.Arrival) int { return x.At.Compare(y.At) })
	mayRun := slices.ContainsFunc(arrivals, func(a roles.Arrival) bool { return !a.NeverRan })
	for i := 1; i < len(arrivals); i++ {
		first := slices.IndexFunc(arrivals[:i], func(a roles.Arrival) bool { return !a.NeverRan })
		switch {
		case first < 0:
		case arrivals[i].NeverRan && arrivals[i].At.Sub(arrivals[first].At) < arrivalResolution: // it may have come first
		case class.Name == "order":
			s.addViolation("duplicate: %s is unsafe and was sent again after it may have run: %s", q.ID, s.describe(arrivals))
		case class.HasKey && arrivals[i].At.Sub(arrivals[first].At) > keyedWindow+ruleSlack:
			s.addViolation("duplicate: %s was sent again after %v", q.ID, arrivals[i].At.Sub(arrivals[first].At))
		}
	}
	startedAt, end := s.nodes[q.Node].processAt(q.WrittenTo)
	switch {
	case end != nil && end.isKill && q.EndedAt.After(end.at.Add(-time.Second)): // the kill has ended it
	case q.Status == 0 && strings.Contains(q.Error, "timeout"):
		s.addViolation("lost: %s (%s) of node %d, sent %v, %v after the start of its process, has no answer %v after its time", q.ID, class.Name, q.Node,
			q.WrittenTo.Sub(s.beganAt), q.WrittenTo.Sub(startedAt), late)
	case q.Status == 0 && (q.IsFirst && end == nil || len(arrivals) > 0):
		s.addViolation("lost: %s (%s) of node %d, sent %v, has no answer: %s", q.ID, class.Name, q.Node, q.WrittenTo.Sub(s.beganAt), q.Error)
	case q.Status == 0: // the request crossed the close of its connection
	case late > lateSlack:
		s.addViolation("lost: %s (%s) of node %d, sent %v, was answered with %d %v after its time; attempts: %d", q.ID, class.Name, q.Node,
			q.WrittenTo.Sub(s.beganAt), q.Status, late, len(arrivals))
	case q.Status == http.StatusOK && q.Body != q.ID:
		s.addViolation("lost: %s was served with %q", q.ID, q.Body)
	case q.Status == http.StatusServiceUnavailable && class.Name == "order" && mayRun:
		s.addViolation("duplicate: %s was rejected, but may have run", q.ID)
	}
}

// describe lists attempts for a violation.
func (s *shortage) describe(arrivals []roles.Arrival) string {
	var text strings.Builder
	for _, a := range arrivals {
		fmt.Fprintf(&text, "[backend %d at %v, begun %v, never ran %t]", a.Backend, a.At.Sub(s.beganAt), a.BegunAt.Sub(s.beganAt), a.NeverRan)
	}
	return text.String()
}

// checkDrains checks that removed backends got no new request after the grace. For a new process the list counts from its first moment.
func (s *shortage) checkDrains(arrivals map[string][]roles.Arrival) {
	for id, all := range arrivals {
		for _, a := range all {
			revision := s.lists.removedIn[a.Backend]
			if revision == 0 || revision > len(s.toldAt) {
				continue
			}
			n := s.nodes[nodeOf(id)]
			told := s.toldAt[revision-1]
			if startedAt, _ := n.processAt(a.At); startedAt.After(told) {
				told = startedAt
			}
			if d := a.At.Sub(told) - n.stoppedWithin(told, a.At); d > drainGrace+ruleSlack {
				s.addViolation("drain: %s of node %d arrived at removed backend %d %v after its agent had the list", id, nodeOf(id), a.Backend, d)
			}
		}
	}
}

// nodeOf returns the node that a request was sent to.
func nodeOf(id string) (node int) {
	for _, digit := range id[:strings.IndexByte(id, '-')] {
		node = 10*node + int(digit-'0')
	}
	return node
}

// checkColdBackends checks that no new backend got more than a cold one can do.
func (s *shortage) checkColdBackends() {
	if !s.plan.addsCold {
		return
	}
	const capacity = float64(shortageConcurrency) / float64(shortageWork) * float64(time.Second)
	n := coldMultiple * coldShare * capacity * coldWindow.Seconds()
	limit := int(n + 2*math.Sqrt(n) + 2)
	byBackend := map[int][]time.Time{}
	for _, a := range s.backends.Arrivals {
		if _, isNew := s.lists.addedIn[a.Backend]; isNew {
			byBackend[a.Backend] = append(byBackend[a.Backend], a.At)
		}
	}
	for backend, times := range byBackend {
		slices.SortFunc(times, time.Time.Compare)
		for i := limit; i < len(times); i++ {
			if times[i].Sub(times[i-limit]) < coldWindow {
				s.addViolation("cold: backend %d got more than %d requests within %v", backend, limit, coldWindow)
				break
			}
		}
	}
}

// checkRecovery checks that the served share is soon what it was before the shortage.
func (s *shortage) checkRecovery(count *shares) {
	if s.busyTo.IsZero() {
		return
	}
	from, to := int(s.busyFrom.Sub(s.beganAt)/time.Second), int(s.busyTo.Add(shortageRecovery).Sub(s.beganAt)/time.Second)+1
	share := func(first, end int) float64 {
		sent, served := 0, 0
		for i := first; i < end; i++ {
			sent, served = sent+count.sent[i], served+count.served[i]
		}
		return float64(served) / float64(max(sent, 1))
	}
	if before, after := share(1, from), share(to, int(shortageTraffic/time.Second)); after < before-servedTolerance {
		s.addViolation("%.3f of the requests were served %v after the shortage, %.3f before it", after, shortageRecovery, before)
	}
}
