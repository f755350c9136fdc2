// Package members merges what is known of each backend before the Balancer receives it: the endpoint list of discovery, the overrides
// of operators, and restarts seen by the engine. It has no I/O and no clock. Several sources of lists are merged in package merge.
package members

import (
	"cmp"
	"slices"
	"time"

	"glencart/balance"
)

// Line is one backend in an endpoint list. The engine assigns its Backend number.
type Line struct {
	ID   string
	Addr string
	balance.Member
}

// Call is the latest override of operators for a backend: it is out of service or back in. Times are Unix time.
type Call struct {
	ID   string        `json:"id"`
	Out  bool          `json:"out"`
	At   time.Duration `json:"at"`             // when the override was made
	Back time.Duration `json:"back,omitempty"` // when the backend was last put back; 0: never
}

// Hand holds the backends that discovery has listed. For each it holds the override of operators, and whether the engine has seen
// a newer process than discovery has reported. The zero value is ready to use.
type Hand struct {
	// WarmWithin is how long a backend is cold after its start; 0: start times are taken as reported.
	WarmWithin time.Duration

	backends     map[string]*backendState
	updatedAt    time.Duration // when a source last sent all that it had; 0: never
	refusedCount int           // backends that refused a connection and have not answered since
}

type backendState struct {
	line     Line // as discovery last reported it, with the start on this process's clock; Gone if it was never listed
	start    startTime
	override Call
	backAt   time.Duration // override.Back on this process's clock
	goneAt   time.Duration // when it left the list

	refusedAt   time.Duration // when it first refused a connection since its last answer; 0: it has not
	restartedAt time.Duration // when it answered after that; 0: it has not
}

// Refused records that a backend refused a connection, so its process has ended.
func (h *Hand) Refused(id string, now time.Duration) {
	if k := h.backends[id]; k != nil && k.line.Phase != balance.Gone && k.refusedAt == 0 {
		h.refusedCount++
		k.refusedAt = now
	}
}

// Answered records an answer of a backend. An answer after a refusal comes from a new process, which counts as just started until
// discovery reports its start. A backend that refused stays cold even if discovery reports nothing: discovery may be down, and the
// process is cold all the same. Answered returns the lines that the engine has to receive, mostly none.
func (h *Hand) Answered(id string, now time.Duration) []Line {
	if h.refusedCount == 0 {
		return nil // the common case
	}
	k := h.backends[id]
	if k == nil || k.refusedAt == 0 {
		return nil
	}
	if k.line.Launched >= k.refusedAt { // discovery has reported the new process in the meantime
		h.trustDiscovery(k)
		return nil
	}
	h.trustDiscovery(k)
	k.restartedAt = now
	return []Line{k.effective(k.line)}
}

// InDoubt returns the number of backends that have refused a connection and not answered since.
func (h *Hand) InDoubt() int { return h.refusedCount }

// trustDiscovery makes the start that discovery reports count again.
func (h *Hand) trustDiscovery(k *backendState) {
	if k.refusedAt > 0 {
		h.refusedCount--
	}
	k.refusedAt, k.restartedAt = 0, 0
}

// minGone and maxGoneRatio bound the number of backends kept that have left the list and are not out of service: maxGoneRatio
// times the listed ones, and at least minGone, at about 250 bytes each. They are kept so that an override for a backend that has
// just left the list applies to a known backend.
const minGone, maxGoneRatio = 1024, 2

// Take merges a list, or an update of it, and returns the lines that the engine receives instead. It doesn't modify lines.
func (h *Hand) Take(lines []Line, complete bool, now time.Duration) []Line {
	if complete {
		listed := make(map[string]bool, len(lines))
		for _, l := range lines {
			listed[l.ID] = true
		}
		for id, k := range h.backends {
			if !listed[id] {
				k.markGone(now)
				h.trustDiscovery(k)
			}
		}
	}
	merged := make([]Line, 0, len(lines))
	for _, l := range lines {
		k := h.backends[l.ID]
		if k == nil {
			if l.Phase == balance.Gone {
				continue
			}
			k = h.add(l.ID)
		}
		l.Launched = h.localStart(k, l.Launched, now)
		if l.Phase == balance.Gone {
			k.markGone(now)
			h.trustDiscovery(k)
			l.Addr = cmp.Or(l.Addr, k.line.Addr)
		} else {
			if l.Launched != k.line.Launched || l.Addr != k.line.Addr {
				h.trustDiscovery(k) // the new start or address comes from the new process
			}
			k.line = l
		}
		merged = append(merged, k.effective(l))
	}
	h.dropGone()
	return merged
}

// Say records an override: out of service, or back in. It returns the lines that the engine has to receive (none if the override
// changes nothing), the latest override for this backend, and whether the id is known.
func (h *Hand) Say(id string, out bool, now time.Duration) ([]Line, Call, bool) {
	k := h.backends[id]
	if k == nil {
		return nil, Call{}, false
	}
	if k.override.Out == out {
		return nil, k.override, true // the override repeats the last one; one call back undoes both
	}
	c := Call{ID: id, Out: out, At: max(now, k.override.At+1), Back: k.override.Back}
	if !out {
		c.Back = c.At
	}
	return h.Hear([]Call{c}, now), c, true
}

// Hear merges overrides made at another process of the same node. The later one counts. Each is kept, also for a backend that this
// process doesn't know yet. It returns the lines that the engine has to receive.
func (h *Hand) Hear(calls []Call, now time.Duration) []Line {
	var changed []Line
	for _, c := range calls {
		k := h.backends[c.ID]
		if k == nil {
			k = h.add(c.ID)
			k.line.Phase = balance.Gone
		}
		if c.At < k.override.At || c.At == k.override.At && !c.Out {
			continue
		}
		before := k.effective(k.line)
		if c.Back != k.override.Back {
			k.backAt = h.estimateStart(c.Back, now, 0)
		}
		k.override = c
		if after := k.effective(k.line); after != before && k.line.Phase != balance.Gone {
			changed = append(changed, after)
		}
	}
	return changed
}

// Calls returns the latest override of each backend that has one, sorted by id, for another process of the node.
func (h *Hand) Calls() []Call {
	var calls []Call
	for _, k := range h.backends {
		if k.override.At > 0 {
			calls = append(calls, k.override)
		}
	}
	slices.SortFunc(calls, func(x, y Call) int { return cmp.Compare(x.ID, y.ID) })
	return calls
}

// Counts returns how many backends are listed, and how many of those operators have taken out of service.
func (h *Hand) Counts() (listed, out int) {
	for _, k := range h.backends {
		if k.line.Phase != balance.Gone {
			listed++
			if k.override.Out {
				out++
			}
		}
	}
	return listed, out
}

// add adds a backend that is not known yet.
func (h *Hand) add(id string) *backendState {
	if h.backends == nil {
		h.backends = map[string]*backendState{}
	}
	k := &backendState{}
	k.line.ID = id
	h.backends[id] = k
	return k
}

// markGone records that a backend has left the list.
func (k *backendState) markGone(now time.Duration) {
	if k.line.Phase != balance.Gone {
		k.line.Phase, k.goneAt = balance.Gone, now
	}
}

// effective returns a line with the override and the observed restart applied. A backend that is out of service is draining, whatever
// discovery reports. One that was put back may have been restarted while it was out, which discovery reports late or never, so
// its start is no earlier than its return. One that refused a connection and then answered started in between.
func (k *backendState) effective(l Line) Line {
	if k.override.Out && l.Phase == balance.Ready {
		l.Phase = balance.Draining
	}
	if l.Launched < k.backAt {
		l.Launched, l.Returned = k.backAt, true
	}
	l.Launched = max(l.Launched, k.restartedAt)
	return l
}

// dropGone bounds the number of backends kept that have left the list. One that is out of service is kept and stays out when it returns.
func (h *Hand) dropGone() {
	var gone []*backendState
	for _, k := range h.backends {
		if k.line.Phase == balance.Gone && !k.override.Out {
			gone = append(gone, k)
		}
	}
	maxGone := max(minGone, maxGoneRatio*(len(h.backends)-len(gone)))
	if len(gone) <= maxGone {
		return
	}
	slices.SortFunc(gone, func(x, y *backendState) int {
		return cmp.Or(cmp.Compare(x.goneAt, y.goneAt), cmp.Compare(x.line.ID, y.line.ID))
	})
	for _, k := range gone[:len(gone)-maxGone] {
		delete(h.backends, k.line.ID)
	}
}
