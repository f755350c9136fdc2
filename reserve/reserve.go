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

// Backend is one backend of the endpoint list of a pool.
type Backend struct {
	ID     string
	Backup bool
	Ready  bool
}

// Reserve holds the state of one pool.
type Reserve struct {
	cfg      Config
	backends map[string]*backendState
	usable   int // primary backends that can be sent to
	isOn     bool
}

type backendState struct {
	Backend
	failedAt   []time.Duration // the latest ones, oldest first; MaxFails at most
	isDown     bool
	hasRefused bool // refused a connection since its last answer
	isCounted  bool // included in usable
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
	return &Reserve{cfg: cfg, backends: map[string]*backendState{}}
}

// UsesBackups reports whether the endpoint list should include the backups.
func (r *Reserve) UsesBackups() bool { return r.isOn }

// IsDown reports whether a backend counts as down.
func (r *Reserve) IsDown(id string) bool {
	s := r.backends[id]
	return s != nil && s.isDown
}

// SetList replaces the endpoint list of the pool and reports whether UsesBackups has changed. A backend that stays listed keeps its state.
func (r *Reserve) SetList(backends []Backend) bool {
	old := r.backends
	r.backends = make(map[string]*backendState, len(backends))
	for _, b := range backends {
		s := old[b.ID]
		if s == nil {
			s = &backendState{}
		}
		s.Backend = b
		r.backends[b.ID] = s
	}
	r.usable = 0
	for _, s := range r.backends {
		s.isCounted = false
		r.updateUsable(s)
	}
	return r.updateOn()
}

// Set adds or changes one backend. It reports whether UsesBackups has changed.
func (r *Reserve) Set(b Backend) bool {
	s := r.backends[b.ID]
	if s == nil {
		s = &backendState{}
		r.backends[b.ID] = s
	}
	s.Backend = b
	r.updateUsable(s)
	return r.updateOn()
}

// Remove removes a backend. It reports whether UsesBackups has changed.
func (r *Reserve) Remove(id string) bool {
	if s := r.backends[id]; s != nil {
		s.Ready = false
		r.updateUsable(s)
		delete(r.backends, id)
	}
	return r.updateOn()
}

// IsListed reports whether a backend is listed.
func (r *Reserve) IsListed(id string) bool { return r.backends[id] != nil }

// updateUsable updates usable when a backend becomes one that can be sent to, or stops being one.
func (r *Reserve) updateUsable(s *backendState) {
	if canSend := !s.Backup && s.Ready && !s.isDown; canSend != s.isCounted {
		s.isCounted = canSend
		if canSend {
			r.usable++
		} else {
			r.usable--
		}
	}
}

// Restarted records that a backend is a new process, and drops what was recorded of the old one. It reports whether UsesBackups has changed.
func (r *Reserve) Restarted(id string) bool {
	if s := r.backends[id]; s != nil {
		s.failedAt, s.isDown, s.hasRefused = nil, false, false
		r.updateUsable(s)
	}
	return r.updateOn()
}

// ConnectionAccepted records that a backend accepted a connection outside of any attempt. It matters only after a refused one. It reports
// whether UsesBackups has changed, and whether the backend is a new process.
func (r *Reserve) ConnectionAccepted(id string) (changed, restarted bool) {
	s := r.backends[id]
	if s == nil || !s.hasRefused {
		return false, false
	}
	s.failedAt, s.isDown, s.hasRefused = nil, false, false
	r.updateUsable(s)
	return r.updateOn(), true
}

// AttemptEnded records how an attempt at a backend ended. It reports whether UsesBackups has changed, and whether the backend is a new process.
func (r *Reserve) AttemptEnded(now time.Duration, id string, end End) (changed, restarted bool) {
	s := r.backends[id]
	if s == nil {
		return false, false
	}
	if end == Answered {
		restarted, s.hasRefused = s.hasRefused, false
	}
	s.hasRefused = s.hasRefused || end == Refused
	if s.Backup {
		return false, restarted
	}
	if end == Answered {
		if s.isDown && now-s.failedAt[len(s.failedAt)-1] >= r.cfg.FailWithin {
			s.isDown, s.failedAt = false, s.failedAt[:0]
			r.updateUsable(s)
		}
		return r.updateOn(), restarted
	}
	if len(s.failedAt) == r.cfg.MaxFails {
		copy(s.failedAt, s.failedAt[1:])
		s.failedAt = s.failedAt[:len(s.failedAt)-1]
	}
	s.failedAt = append(s.failedAt, now)
	if len(s.failedAt) == r.cfg.MaxFails && now-s.failedAt[0] <= r.cfg.FailWithin {
		s.isDown = true
		r.updateUsable(s)
	}
	return r.updateOn(), false
}

// updateOn recomputes UsesBackups and reports whether it has changed.
func (r *Reserve) updateOn() bool {
	on := r.usable == 0
	changed := on != r.isOn
	r.isOn = on
	return changed
}
