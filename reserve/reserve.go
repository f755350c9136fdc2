// Package reserve decides when the backup backends of a pool are used. It is pure: events go in, answers come out, without I/O and
// without a clock. It chooses no backend for a request: the package balance does, among the backends in the list that results.
//
// Backups receive requests only while no primary backend of the pool can. A primary can be sent to when the endpoint list names it
// as ready and it is not down. It goes down at MaxFails failures within FailWithin. It comes back up with an answer at least
// FailWithin after its last failure. Without that wait, a backend that answers now and then would switch the backups on and off.
//
// A backend that refused a connection and then answers is a new process. With slow start it has to count as cold, which an
// endpoint list from a file can't express.
package reserve

import "time"

// Config holds the rules. Zero values stand for 1 failure and 10 s.
type Config struct {
	MaxFails   int
	FailWithin time.Duration
}

// Box is one backend of the endpoint list of a pool.
type Box struct {
	ID     string
	Backup bool
	Ready  bool
}

// Reserve holds the state of one pool.
type Reserve struct {
	cfg   Config
	boxes map[string]*state
	up    int // primary backends that can be sent to
	on    bool
}

type state struct {
	Box
	fails   []time.Duration // the latest ones, oldest first; MaxFails at most
	down    bool
	refused bool // refused a connection since its last answer
	counted bool // included in up
}

// End is how an attempt at a backend ended. An attempt without information on the backend (given up, never sent) has no End.
type End uint8

// Ends of attempts.
const (
	Answered End = iota
	Failed       // no answer, a partial one, or one that reports a failure
	Refused      // the connection was refused
)

// New returns a Reserve for a pool without backends.
func New(cfg Config) *Reserve {
	if cfg.MaxFails <= 0 {
		cfg.MaxFails = 1
	}
	if cfg.FailWithin <= 0 {
		cfg.FailWithin = 10 * time.Second
	}
	return &Reserve{cfg: cfg, boxes: map[string]*state{}}
}

// On reports whether the endpoint list should include the backups.
func (r *Reserve) On() bool { return r.on }

// Down reports whether a backend counts as down.
func (r *Reserve) Down(id string) bool {
	s := r.boxes[id]
	return s != nil && s.down
}

// List replaces the endpoint list of the pool and reports whether On has changed. A backend that stays listed keeps its state.
func (r *Reserve) List(boxes []Box) bool {
	old := r.boxes
	r.boxes = make(map[string]*state, len(boxes))
	for _, b := range boxes {
		s := old[b.ID]
		if s == nil {
			s = &state{}
		}
		s.Box = b
		r.boxes[b.ID] = s
	}
	r.up = 0
	for _, s := range r.boxes {
		s.counted = false
		r.count(s)
	}
	return r.decide()
}

// Set adds or changes one backend. It reports whether On has changed.
func (r *Reserve) Set(b Box) bool {
	s := r.boxes[b.ID]
	if s == nil {
		s = &state{}
		r.boxes[b.ID] = s
	}
	s.Box = b
	r.count(s)
	return r.decide()
}

// Remove removes a backend. It reports whether On has changed.
func (r *Reserve) Remove(id string) bool {
	if s := r.boxes[id]; s != nil {
		s.Ready = false
		r.count(s)
		delete(r.boxes, id)
	}
	return r.decide()
}

// Listed reports whether a backend is listed.
func (r *Reserve) Listed(id string) bool { return r.boxes[id] != nil }

// count updates up when a backend becomes one that can be sent to, or stops being one.
func (r *Reserve) count(s *state) {
	if can := !s.Backup && s.Ready && !s.down; can != s.counted {
		s.counted = can
		if can {
			r.up++
		} else {
			r.up--
		}
	}
}

// Restarted records that a backend is a new process, and drops what was recorded of the old one. It reports whether On has changed.
func (r *Reserve) Restarted(id string) bool {
	if s := r.boxes[id]; s != nil {
		s.fails, s.down, s.refused = nil, false, false
		r.count(s)
	}
	return r.decide()
}

// Takes records that a backend accepted a connection outside of any attempt. It matters only after a refused one. It reports
// whether On has changed, and whether the backend is a new process.
func (r *Reserve) Takes(id string) (changed, restarted bool) {
	s := r.boxes[id]
	if s == nil || !s.refused {
		return false, false
	}
	s.fails, s.down, s.refused = nil, false, false
	r.count(s)
	return r.decide(), true
}

// Ended records how an attempt at a backend ended. It reports whether On has changed, and whether the backend is a new process.
func (r *Reserve) Ended(now time.Duration, id string, end End) (changed, restarted bool) {
	s := r.boxes[id]
	if s == nil {
		return false, false
	}
	if end == Answered {
		restarted, s.refused = s.refused, false
	}
	s.refused = s.refused || end == Refused
	if s.Backup {
		return false, restarted
	}
	if end == Answered {
		if s.down && now-s.fails[len(s.fails)-1] >= r.cfg.FailWithin {
			s.down, s.fails = false, s.fails[:0]
			r.count(s)
		}
		return r.decide(), restarted
	}
	if len(s.fails) == r.cfg.MaxFails {
		copy(s.fails, s.fails[1:])
		s.fails = s.fails[:len(s.fails)-1]
	}
	s.fails = append(s.fails, now)
	if len(s.fails) == r.cfg.MaxFails && now-s.fails[0] <= r.cfg.FailWithin {
		s.down = true
		r.count(s)
	}
	return r.decide(), false
}

func (r *Reserve) decide() bool {
	on := r.up == 0
	changed := on != r.on
	r.on = on
	return changed
}
