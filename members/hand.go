// Package members merges what sources say of backends before a Balancer is told: what discovery lists, and what operators
// took out by hand. It has no I/O and no clock.
package members

import (
	"cmp"
	"slices"
	"time"

	"glencart/balance"
)

// Line is what a source says of one backend. Its Backend number is the engine's to give.
type Line struct {
	ID   string
	Addr string
	balance.Member
}

// Call is the last word of operators on a backend. Times are Unix time.
type Call struct {
	ID   string        `json:"id"`
	Out  bool          `json:"out"`
	At   time.Duration `json:"at"`             // when it was given
	Back time.Duration `json:"back,omitempty"` // when the backend was last put back; 0: never
}

// Hand holds the backends that discovery has named, the word of operators on each, and what was seen of each: whether it is
// another process than discovery knows of. The zero value is ready.
type Hand struct {
	// WarmWithin is how long a backend is cold after its start; 0: times of starts are taken as they are told.
	WarmWithin time.Duration

	all     map[string]*known
	heardAt time.Duration // when a source told all that it knew last; 0: never
	doubted int           // backends that refused, and have not answered since
}

type known struct {
	line  Line // as discovery said it last, with its start by this process's clock; Gone for one that it never named
	start start
	call  Call
	back  time.Duration // call.Back by this process's clock
	gone  time.Duration // when it left the list

	refused time.Duration // when it refused a connection, since it answered last; 0: it has not
	renewed time.Duration // when it answered after that; 0: it has not
}

// Refused takes in that nobody listens at a backend: its process has ended.
func (h *Hand) Refused(id string, now time.Duration) {
	if k := h.all[id]; k != nil && k.line.Phase != balance.Gone && k.refused == 0 {
		h.doubted++
		k.refused = now
	}
}

// Answered takes in that a backend has answered. After a refusal it is another process, which has just started, until discovery
// tells when it did. Silence of discovery takes nothing back: it may be down, and the process is as cold. It returns the lines that the engine has to be told, mostly none.
func (h *Hand) Answered(id string, now time.Duration) []Line {
	if h.doubted == 0 {
		return nil // the common case costs nothing
	}
	k := h.all[id]
	if k == nil || k.refused == 0 {
		return nil
	}
	if k.line.Launched >= k.refused { // discovery has told of it in the meantime
		h.trust(k)
		return nil
	}
	h.trust(k)
	k.renewed = now
	return []Line{k.told(k.line)}
}

// InDoubt counts the backends that have refused since they answered.
func (h *Hand) InDoubt() int { return h.doubted }

// trust has discovery's word hold again.
func (h *Hand) trust(k *known) {
	if k.refused > 0 {
		h.doubted--
	}
	k.refused, k.renewed = 0, 0
}

// goneLeast and goneParts bound how many backends are remembered that have left the list and that nobody took out: as many as
// are listed, goneParts times, and goneLeast at least, of some 250 bytes each. A call on one that has just left is a word on a
// backend, and not on nobody.
const goneLeast, goneParts = 1024, 2

// Take merges a list, or changes to one, and returns what the engine is to be told instead. lines is not changed.
func (h *Hand) Take(lines []Line, complete bool, now time.Duration) []Line {
	if complete {
		listed := make(map[string]bool, len(lines))
		for _, l := range lines {
			listed[l.ID] = true
		}
		for id, k := range h.all {
			if !listed[id] {
				k.leave(now)
				h.trust(k)
			}
		}
	}
	told := make([]Line, 0, len(lines))
	for _, l := range lines {
		k := h.all[l.ID]
		if k == nil {
			if l.Phase == balance.Gone {
				continue
			}
			k = h.add(l.ID)
		}
		l.Launched = h.localStart(k, l.Launched, now)
		if l.Phase == balance.Gone {
			k.leave(now)
			h.trust(k)
			l.Addr = cmp.Or(l.Addr, k.line.Addr)
		} else {
			if l.Launched != k.line.Launched || l.Addr != k.line.Addr {
				h.trust(k) // this is news of the process
			}
			k.line = l
		}
		told = append(told, k.told(l))
	}
	h.forget()
	return told
}

// Say takes in a call of operators: out, or back. It returns the lines that the engine has to be told, none where the call
// changes nothing, the last word on this backend, and whether anybody has this id.
func (h *Hand) Say(id string, out bool, now time.Duration) ([]Line, Call, bool) {
	k := h.all[id]
	if k == nil {
		return nil, Call{}, false
	}
	if k.call.Out == out {
		return nil, k.call, true // two calls out need one call back
	}
	c := Call{ID: id, Out: out, At: max(now, k.call.At+1), Back: k.call.Back}
	if !out {
		c.Back = c.At
	}
	return h.Hear([]Call{c}, now), c, true
}

// Hear takes in calls that were given at another process of the same node: the later word holds. Each is remembered, also
// for a backend that this process has not heard of yet. It returns the lines that the engine has to be told.
func (h *Hand) Hear(calls []Call, now time.Duration) []Line {
	var told []Line
	for _, c := range calls {
		k := h.all[c.ID]
		if k == nil {
			k = h.add(c.ID)
			k.line.Phase = balance.Gone
		}
		if c.At < k.call.At || c.At == k.call.At && !c.Out {
			continue
		}
		before := k.told(k.line)
		if c.Back != k.call.Back {
			k.back = h.reckonStart(c.Back, now, 0)
		}
		k.call = c
		if after := k.told(k.line); after != before && k.line.Phase != balance.Gone {
			told = append(told, after)
		}
	}
	return told
}

// Calls returns the last word on each backend that there was one on, by id: what another process has to know.
func (h *Hand) Calls() []Call {
	var calls []Call
	for _, k := range h.all {
		if k.call.At > 0 {
			calls = append(calls, k.call)
		}
	}
	slices.SortFunc(calls, func(x, y Call) int { return cmp.Compare(x.ID, y.ID) })
	return calls
}

// Counts tells how many backends are listed, and how many of them are out by hand.
func (h *Hand) Counts() (listed, out int) {
	for _, k := range h.all {
		if k.line.Phase != balance.Gone {
			listed++
			if k.call.Out {
				out++
			}
		}
	}
	return listed, out
}

func (h *Hand) add(id string) *known {
	if h.all == nil {
		h.all = map[string]*known{}
	}
	k := &known{}
	k.line.ID = id
	h.all[id] = k
	return k
}

func (k *known) leave(now time.Duration) {
	if k.line.Phase != balance.Gone {
		k.line.Phase, k.gone = balance.Gone, now
	}
}

// told is a line with the operators' word in it, and what was seen. A backend that is out drains, whatever discovery says. One
// that was put back may have been restarted while it was out, which discovery tells late or never: it started no earlier than
// that. One that refused and answers has started in between.
func (k *known) told(l Line) Line {
	if k.call.Out && l.Phase == balance.Ready {
		l.Phase = balance.Draining
	}
	if l.Launched < k.back {
		l.Launched, l.Returned = k.back, true
	}
	l.Launched = max(l.Launched, k.renewed)
	return l
}

// forget bounds what is kept of backends that left the list. One that is out stays out if it comes back.
func (h *Hand) forget() {
	var gone []*known
	for _, k := range h.all {
		if k.line.Phase == balance.Gone && !k.call.Out {
			gone = append(gone, k)
		}
	}
	most := max(goneLeast, goneParts*(len(h.all)-len(gone)))
	if len(gone) <= most {
		return
	}
	slices.SortFunc(gone, func(x, y *known) int {
		return cmp.Or(cmp.Compare(x.gone, y.gone), cmp.Compare(x.line.ID, y.line.ID))
	})
	for _, k := range gone[:len(gone)-most] {
		delete(h.all, k.line.ID)
	}
}
