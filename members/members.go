// Package members merges what is known of each backend before the Balancer receives it: the endpoint list of discovery, the overrides
// of operators, and restarts seen by the engine. It has no I/O and no clock. Several sources of lists are merged in package merge.
package members

import (
	"cmp"
	"slices"
	"time"

	"glencart/balance"
)

// Endpoint is one backend in an endpoint list. The engine assigns its Backend number.
type Endpoint struct {
	ID   string
	Addr string
	balance.Member
}

// Override is the latest override of operators for a backend: it is out of service or back in. Times are Unix time.
type Override struct {
	ID           string        `json:"id"`
	OutOfService bool          `json:"out"`
	ChangedAt    time.Duration `json:"at"`             // when the override was made
	ReturnedAt   time.Duration `json:"back,omitempty"` // when the backend was last put back; 0: never
}

// Tracker holds the backends that discovery has listed. For each it holds the override of operators, and whether the engine has seen
// a newer process than discovery has reported. The zero value is ready to use.
type Tracker struct {
	// WarmWithin is how long a backend is cold after its start; 0: start times are taken as reported.
	WarmWithin time.Duration

	backends     map[string]*backendState
	updatedAt    time.Duration // when a source last sent all that it had; 0: never
	refusedCount int           // backends that refused a connection and have not answered since
}

type backendState struct {
	line     Endpoint // as discovery last reported it, with the start on this process's clock; Gone if it was never listed
	start    startTime
	override Override
	backAt   time.Duration // override.ReturnedAt on this process's clock
	goneAt   time.Duration // when it left the list

	refusedAt   time.Duration // when it first refused a connection since its last answer; 0: it has not
	restartedAt time.Duration // when it answered after that; 0: it has not
}

// Refused records that a backend refused a connection, so its process has ended.
func (h *Tracker) Refused(id string, now time.Duration) {
	if k := h.backends[id]; k != nil && k.line.Phase != balance.Gone && k.refusedAt == 0 {
		h.refusedCount++
		k.refusedAt = now
	}
}

// Answered records an answer of a backend. An answer after a refusal comes from a new process, which counts as just started until
// discovery reports its start. A backend that refused stays cold even if discovery reports nothing: discovery may be down, and the
// process is cold all the same. Answered returns the lines that the engine has to receive, mostly none.
func (h *Tracker) Answered(id string, now time.Duration) []Endpoint {
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
	return []Endpoint{k.effective(k.line)}
}

// RefusedCount returns the number of backends that have refused a connection and not answered since.
func (h *Tracker) RefusedCount() int { return h.refusedCount }

// trustDiscovery makes the start that discovery reports count again.
func (h *Tracker) trustDiscovery(k *backendState) {
	if k.refusedAt > 0 {
		h.refusedCount--
	}
	k.refusedAt, k.restartedAt = 0, 0
}

// minGone and maxGoneRatio bound the number of backends kept that have left the list and are not out of service: maxGoneRatio
// times the listed ones, and at least minGone, at about 250 bytes each. They are kept so that an override for a backend that has
// just left the list applies to a known backend.
const minGone, maxGoneRatio = 1024, 2

// ApplyList merges a list, or an update of it, and returns the lines that the engine receives instead. It doesn't modify lines.
func (h *Tracker) ApplyList(lines []Endpoint, complete bool, now time.Duration) []Endpoint {
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
	merged := make([]Endpoint, 0, len(lines))
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

// SetOutOfService records an override: out of service, or back in. It returns the lines that the engine has to receive (none if the override
// changes nothing), the latest override for this backend, and whether the id is known.
func (h *Tracker) SetOutOfService(id string, out bool, now time.Duration) ([]Endpoint, Override, bool) {
	k := h.backends[id]
	if k == nil {
		return nil, Override{}, false
	}
	if k.override.OutOfService == out {
		return nil, k.override, true // the override repeats the last one; one call back undoes both
	}
	c := Override{ID: id, OutOfService: out, ChangedAt: max(now, k.override.ChangedAt+1), ReturnedAt: k.override.ReturnedAt}
	if !out {
		c.ReturnedAt = c.ChangedAt
	}
	return h.MergeOverrides([]Override{c}, now), c, true
}

// MergeOverrides merges overrides made at another process of the same node. The later one counts. Each is kept, also for a backend that
// this process has not received in a list yet. It returns the lines that the engine has to receive.
func (h *Tracker) MergeOverrides(calls []Override, now time.Duration) []Endpoint {
	var changed []Endpoint
	for _, c := range calls {
		k := h.backends[c.ID]
		if k == nil {
			k = h.add(c.ID)
			k.line.Phase = balance.Gone
		}
		if c.ChangedAt < k.override.ChangedAt || c.ChangedAt == k.override.ChangedAt && !c.OutOfService {
			continue
		}
		before := k.effective(k.line)
		if c.ReturnedAt != k.override.ReturnedAt {
			k.backAt = h.estimateStart(c.ReturnedAt, now, 0)
		}
		k.override = c
		if after := k.effective(k.line); after != before && k.line.Phase != balance.Gone {
			changed = append(changed, after)
		}
	}
	return changed
}

// Overrides returns the latest override of each backend that has one, sorted by id, for another process of the node.
func (h *Tracker) Overrides() []Override {
	var calls []Override
	for _, k := range h.backends {
		if k.override.ChangedAt > 0 {
			calls = append(calls, k.override)
		}
	}
	slices.SortFunc(calls, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return calls
}

// Counts returns how many backends are listed, and how many of those operators have taken out of service.
func (h *Tracker) Counts() (listed, out int) {
	for _, k := range h.backends {
		if k.line.Phase != balance.Gone {
			listed++
			if k.override.OutOfService {
				out++
			}
		}
	}
	return listed, out
}

// add adds a backend that is not known yet.
func (h *Tracker) add(id string) *backendState {
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
func (k *backendState) effective(l Endpoint) Endpoint {
	if k.override.OutOfService && l.Phase == balance.Ready {
		l.Phase = balance.Draining
	}
	if l.Launched < k.backAt {
		l.Launched, l.IsReinstated = k.backAt, true
	}
	l.Launched = max(l.Launched, k.restartedAt)
	return l
}

// dropGone bounds the number of backends kept that have left the list. One that is out of service is kept and stays out when it returns.
func (h *Tracker) dropGone() {
	var gone []*backendState
	for _, k := range h.backends {
		if k.line.Phase == balance.Gone && !k.override.OutOfService {
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
