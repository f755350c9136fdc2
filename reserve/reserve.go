// Package reserve decides when backup boxes step in. It is pure: events in, an answer out, no I/O, no clock.
//
// A backup box is sent to only while no other box of its pool can be. A usual box can be sent to when its list says that
// it is ready and it is not down. It is down from MaxFails failures within FailWithin on, until it answers again, with
// its last failure at least FailWithin ago: a box that answers now and then would have the backups come and go.
// A box that refused a connection and then answers is another process: where boxes start slowly, it is to be taken for a
// cold one, which a list from a file can't tell.
//
// The decision module still decides which box gets a request, among those that the list then holds.
package reserve

import "time"

// Config holds the rules. Zero values stand for 1 failure and 10 s.
type Config struct {
	MaxFails   int
	FailWithin time.Duration
}

// Box is one line of a pool's list.
type Box struct {
	ID     string
	Backup bool
	Ready  bool
}

// Reserve watches one pool.
type Reserve struct {
	cfg   Config
	boxes map[string]*state
	up    int // usual boxes that can be sent to
	on    bool
}

type state struct {
	Box
	fails   []time.Duration // the latest MaxFails at most, oldest first
	down    bool
	refused bool // a connection, since its last answer
	counted bool // in up
}

// End is how an attempt at a box ended. One that says nothing of the box (given up, never sent) has none.
type End uint8

// Ends.
const (
	Answered End = iota
	Failed       // no answer, half of one, or one that tells of a failure
	Refused      // nobody listens there
)

// New returns a Reserve for a pool without boxes.
func New(cfg Config) *Reserve {
	if cfg.MaxFails <= 0 {
		cfg.MaxFails = 1
	}
	if cfg.FailWithin <= 0 {
		cfg.FailWithin = 10 * time.Second
	}
	return &Reserve{cfg: cfg, boxes: map[string]*state{}}
}

// On tells whether backup boxes are to be in the list.
func (r *Reserve) On() bool { return r.on }

// Down tells whether a box counts as down.
func (r *Reserve) Down(id string) bool {
	s := r.boxes[id]
	return s != nil && s.down
}

// List takes in the whole list of a pool and tells whether On has changed. A box that stays keeps its state.
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

// Set takes in one box, new or changed. It tells whether On has changed.
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

// Remove takes a box out. It tells whether On has changed.
func (r *Reserve) Remove(id string) bool {
	if s := r.boxes[id]; s != nil {
		s.Ready = false
		r.count(s)
		delete(r.boxes, id)
	}
	return r.decide()
}

// Listed tells whether a box is in the list.
func (r *Reserve) Listed(id string) bool { return r.boxes[id] != nil }

// count counts a box as one that can be sent to, or no more.
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

// Restarted takes in that a box is a new process: what the old one did counts no more. It tells whether On has changed.
func (r *Reserve) Restarted(id string) bool {
	if s := r.boxes[id]; s != nil {
		s.fails, s.down, s.refused = nil, false, false
		r.count(s)
	}
	return r.decide()
}

// Takes takes in that a box which refused connections takes one again, outside of any attempt. It tells whether On has
// changed, and whether the box is another process than before.
func (r *Reserve) Takes(id string) (changed, restarted bool) {
	s := r.boxes[id]
	if s == nil || !s.refused {
		return false, false
	}
	s.fails, s.down, s.refused = nil, false, false
	r.count(s)
	return r.decide(), true
}

// Ended takes in how an attempt at a box ended. It tells whether On has changed, and whether the box is another process
// than before.
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
