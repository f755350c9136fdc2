package main

import (
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// descriptorsLead is the time from the beginning of the fault to the change of the list. Nodes are stopped for twice as long.
	descriptorsLead = 300 * time.Millisecond
	// fewDescriptors is less than a node has open, so it can open no more.
	fewDescriptors = 12
)

// Nodes that had been stopped around a change of the list, and could open no descriptor, took an answer from before the change for a new
// confirmation: its connection was closed, so the time of its arrival was unknown. They sent requests to removed backends.
func TestNodesWithoutDescriptorsSendNothingByAnOldList(t *testing.T) {
	plan := shortagePlan{seed: 1, nodes: *shortageNodes, rate: *shortageRate, replacement: replaceAtOnce, changeAt: 4 * time.Second,
		descriptorsFor: 2500 * time.Millisecond}
	s := &shortage{t: t, plan: plan, rng: rand.New(rand.NewPCG(plan.seed, 2))}
	s.run()
	for _, a := range s.backends.Arrivals {
		revision := s.lists.removedIn[a.Backend]
		if revision == 0 || a.Stray != "" {
			continue
		}
		if late := a.At.Sub(s.toldAt[revision-1]); late > drainGrace+ruleSlack {
			s.addViolation("drain: %s arrived at removed backend %d %v after its agent had the list", a.ID, a.Backend, late)
		}
	}
	s.report()
}

// stopWithoutDescriptors stops a node around the change, and lowers its limit on descriptors for a time.
func (s *shortage) stopWithoutDescriptors(node int, d time.Duration) {
	pid := s.nodes[node].cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		s.t.Error(err)
		return
	}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: fewDescriptors, Max: limit.Max}, nil)
	s.stop(node, 2*descriptorsLead)
	time.Sleep(d - 2*descriptorsLead)
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}
