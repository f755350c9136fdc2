package main

// This file draws and injects the faults of a run of TestShortOfProcessorTime.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/roles"
)

// replacement is the way in which backends are replaced.
type replacement string

// Ways of replacement.
const (
	replaceAtOnce    replacement = "at once"
	replaceInSteps   replacement = "in steps"
	replaceWithDrain replacement = "with drain"
	replaceSilently  replacement = "while watches are silent"
)

// shortagePlan holds the faults of one run.
type shortagePlan struct {
	seed        uint64
	nodes       int
	replacement replacement
	changeAt    time.Duration // after the beginning of the traffic, like the next ones
	busyAt      time.Duration
	busyFor     time.Duration
	stops       int           // of single nodes
	stopFor     time.Duration // of each
	stopsGroups bool          // a tenth of the nodes is stopped at once
	restarts    int           // nodes that are restarted around the change
	kills       int           // of these, without SIGTERM
	faults      int           // backends that hang, vanish or reset their connections around the change
	hasCrowd    bool
	addsCold    bool    // the new backends have just started
	rate        float64 // requests a second to each node
	// The process of the backends is stopped for this long instead of the busy processes; 0: it is not.
	backendStop time.Duration
	// All nodes are stopped around the change and can open no descriptor for this long; 0: they can.
	descriptorsFor time.Duration
}

// newShortagePlan draws a plan.
func newShortagePlan(seed uint64) shortagePlan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := shortagePlan{seed: seed, nodes: *shortageNodes, rate: *shortageRate, replacement: replaceAtOnce,
		changeAt: 4 * time.Second, busyAt: 2500 * time.Millisecond, busyFor: 4 * time.Second}
	if *shortagePlain {
		return p
	}
	p.replacement = [...]replacement{replaceAtOnce, replaceAtOnce, replaceInSteps, replaceWithDrain, replaceSilently}[rng.IntN(5)]
	p.changeAt = 3500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	if rng.IntN(2) == 0 {
		p.stops, p.stopFor = 1+rng.IntN(p.nodes), [...]time.Duration{100, 150, 400}[rng.IntN(3)]*time.Millisecond
		p.stopsGroups = rng.IntN(3) == 0
	}
	if rng.IntN(2) == 0 {
		p.restarts = 1 + rng.IntN(max(1, p.nodes/10))
		p.kills = rng.IntN(p.restarts + 1)
	}
	if rng.IntN(2) == 0 {
		p.faults = 1 + rng.IntN(6)
	}
	p.hasCrowd = rng.IntN(4) == 0
	if p.addsCold = rng.IntN(4) == 0; p.addsCold {
		p.rate /= 2 // the backends can do less
	}
	return p
}

// String describes the plan.
func (p shortagePlan) String() string {
	return fmt.Sprintf("%d nodes; backends are replaced %s at %v; busy at %v for %v; %d stops of %v, groups %t; %d restarts, %d of them kills; %d faulty backends; crowd %t; cold %t",
		p.nodes, p.replacement, p.changeAt, p.busyAt, p.busyFor, p.stops, p.stopFor, p.stopsGroups, p.restarts, p.kills, p.faults, p.hasCrowd, p.addsCold)
}

// shortageLists are the lists of a run.
type shortageLists struct {
	texts     []string
	removedIn map[int]int // by backend: the first revision in which it gets no new requests
	addedIn   map[int]int // by backend that is added: its first revision
}

// newShortageLists returns the lists for a plan. The first names shortageBackends backends; the later ones replace shortageRemoved of them.
func newShortageLists(p shortagePlan, addrs []string) shortageLists {
	l := shortageLists{removedIn: map[int]int{}, addedIn: map[int]int{}}
	phases := map[int]string{}
	upSince := map[int]int64{}
	for i := range shortageBackends {
		phases[i] = "ready"
	}
	add := func() {
		var listed []standin.Listed
		for i, addr := range addrs {
			if phase := phases[i]; phase != "" {
				listed = append(listed, standin.Listed{ID: fmt.Sprint("s-", i), Addr: addr, Phase: phase, Up: upSince[i]})
			}
		}
		l.texts = append(l.texts, standin.ListText(len(l.texts)+1, true, listed...))
	}
	add()
	replace := func(from, to int) {
		for i := from; i < to; i++ {
			delete(phases, i)
			if _, drains := l.removedIn[i]; !drains {
				l.removedIn[i] = len(l.texts) + 1
			}
			phases[shortageBackends+i] = "ready"
			if p.addsCold {
				upSince[shortageBackends+i] = time.Now().Add(p.changeAt).UnixMilli()
			}
			l.addedIn[shortageBackends+i] = len(l.texts) + 1
		}
		add()
	}
	switch p.replacement {
	case replaceWithDrain:
		for i := range shortageRemoved {
			phases[i], l.removedIn[i] = "draining", 2
		}
		add()
		replace(0, shortageRemoved)
	case replaceInSteps:
		const step = shortageRemoved / 4
		for from := 0; from < shortageRemoved; from += step {
			replace(from, from+step)
		}
	default:
		replace(0, shortageRemoved)
	}
	return l
}

// agentProcess is the process with the agents of all nodes.
type agentProcess struct {
	addrs    []string
	commands *json.Encoder
	applied  chan time.Time
}

// startAgentProcess starts the agents of all nodes.
func startAgentProcess(t testing.TB, setup agentSetup) *agentProcess {
	t.Helper()
	text, err := json.Marshal(setup)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), "GORACE=atexit_sleep_ms=0", agentEnv+"="+string(text)), os.Stderr
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	a := &agentProcess{commands: json.NewEncoder(in), applied: make(chan time.Time, 1)}
	addrs, ended := make(chan []string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		for lines := json.NewDecoder(out); ; {
			var report agentReport
			if lines.Decode(&report) != nil {
				return
			}
			switch {
			case report.Addrs != nil:
				addrs <- report.Addrs
			case report.Obeyed:
				a.applied <- report.At
			}
		}
	}()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-ended
		cmd.Wait()
	})
	a.addrs = standin.Receive(t, "the agents", addrs)
	return a
}

// apply sends a command and returns when it was applied.
func (a *agentProcess) apply(t testing.TB, state agentState) time.Time {
	a.commands.Encode(state)
	return standin.Receive(t, "the agents", a.applied)
}

// injectFaults carries out the plan.
func (s *shortage) injectFaults() {
	var wait sync.WaitGroup
	defer wait.Wait()
	at := func(after time.Duration, f func()) {
		wait.Go(func() {
			time.Sleep(time.Until(s.beganAt.Add(after)))
			f()
		})
	}
	switch {
	case s.plan.backendStop > 0:
		at(s.plan.busyAt, func() { s.stopBackends(s.plan.backendStop) })
	case s.plan.busyFor > 0:
		at(s.plan.busyAt, func() { s.occupy(s.plan.busyFor) })
	}
	if s.plan.descriptorsFor > 0 {
		for i := range s.nodes {
			at(s.plan.changeAt-descriptorsLead, func() { s.stopWithoutDescriptors(i, s.plan.descriptorsFor) })
		}
	}
	at(s.plan.changeAt, s.changeLists)
	for i := range s.plan.stops {
		node, after := s.rng.IntN(len(s.nodes)), s.plan.changeAt-time.Second+time.Duration(s.rng.Int64N(int64(2*time.Second)))
		if s.plan.stopsGroups {
			node, after = i%len(s.nodes), s.plan.changeAt-s.plan.stopFor/2
		}
		if i >= s.plan.restarts { // the first ones are restarted
			at(after, func() { s.stop(node, s.plan.stopFor) })
		}
	}
	for i := range s.plan.restarts {
		after := s.plan.changeAt - 2500*time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
		pause := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		at(after, func() { s.restart(i, i < s.plan.kills, pause) })
	}
	var faults roles.Command
	for range s.plan.faults {
		faults.Faults = append(faults.Faults, roles.BackendFault{Backend: s.rng.IntN(shortageBackends + shortageRemoved),
			Kind: [...]roles.FaultKind{roles.Hangs, roles.Vanishes, roles.Resets}[s.rng.IntN(3)], For: 2500 * time.Millisecond})
	}
	at(s.plan.changeAt-300*time.Millisecond, func() { s.backends.Send(faults) })
	if s.plan.hasCrowd {
		crowd := roles.CrowdCommand{Count: 40, For: 2 * time.Second}
		for i := 0; i < len(s.nodes); i += 4 {
			crowd.Addrs = append(crowd.Addrs, s.nodes[i].listen)
		}
		at(s.plan.changeAt-500*time.Millisecond, func() { s.clients[0].Send(roles.Command{Crowd: &crowd}) })
	}
}

// changeLists has the agents send the later lists.
func (s *shortage) changeLists() {
	if s.plan.replacement == replaceSilently {
		s.agents.apply(s.t, agentState{Kind: agentSilent, Revision: 1})
		time.Sleep(time.Second)
	}
	for revision := 2; revision <= len(s.lists.texts); revision++ {
		s.toldAt = append(s.toldAt, s.agents.apply(s.t, agentState{Revision: revision}))
		time.Sleep(800 * time.Millisecond)
	}
}
