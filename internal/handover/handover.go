// Package handover lets a process take over from one that runs: the clients' listening socket that both inherit, who is
// beside whom, and the operators' word, which binds both.
package handover

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/sock"
	"glencart/members"
)

// Listener returns a listener on the socket that a descriptor names: text is the value of BALANCER_ACCEPT_FD. The descriptor
// belongs to the listener from then on; the socket stays open for all others that hold it. What fails for a moment is tried again
// until ctx ends.
func Listener(ctx context.Context, text string) (l net.Listener, err error) {
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 || fd > math.MaxInt32 {
		return nil, fmt.Errorf("BALANCER_ACCEPT_FD: %q is not the number of an inherited descriptor", text)
	}
	if accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("BALANCER_ACCEPT_FD: descriptor %d: %w: it has to be inherited, open, and a socket", fd, err)
	} else if accepts == 0 {
		return nil, fmt.Errorf("BALANCER_ACCEPT_FD: descriptor %d is a socket that does not listen", fd)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close()
	err = sock.Retry(ctx, func() (err error) {
		l, err = net.FileListener(f)
		return err
	})
	return l, err
}

// Files in the folder that both processes share.
const (
	servingLock, nextLock = "glencart.serving", "glencart.next"
	writeLock, stateFile  = "glencart.write", "glencart.state"
	learnedFile           = "glencart.learned"
)

const (
	// lookEvery is how often a process looks for the other one and for what was written.
	lookEvery = 50 * time.Millisecond
	// stateVersion is the form of the state file. stateMost bounds its bytes, callsMost its calls, idMost an id.
	stateVersion, stateMost, callsMost, idMost = 1, 8 << 20, 4096, 256
)

// State is what both processes of a node have to know.
type State struct {
	Version int            `json:"version"`
	Node    string         `json:"node"`
	Calls   []members.Call `json:"calls"`
}

// The calls to the file system that may fail (ENOSPC, EIO). Tests make them fail.
var (
	openFile = os.OpenFile
	rename   = os.Rename
	syncFile = (*os.File).Sync
)

// Place is one process's place in the folder.
type Place struct {
	dir, node string
	log       *slog.Logger

	serving, next *os.File

	mu     sync.Mutex
	has    bool                    // the serving lock
	waits  bool                    // the next lock
	seen   os.FileInfo             // of the state file, as last read
	owed   map[string]members.Call // calls that are not written down yet, by backend
	known  map[string]members.Call // the last call on each backend that stood in the file
	unread bool                    // the state file could not be read, as logged

	failing atomic.Bool // what is owed could not be written, as logged
}

// Open takes a place: that of the serving process, or, where one is beside, that of its successor. A folder that can't
// be used is an error: without it the two would not know of each other.
func Open(dir, node string, log *slog.Logger) (*Place, error) {
	p := &Place{dir: dir, node: node, log: log, owed: map[string]members.Call{}, known: map[string]members.Call{}}
	var err error
	if p.serving, err = p.open(servingLock); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if p.next, err = p.open(nextLock); err != nil {
		p.serving.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	p.look()
	return p, nil
}

func (p *Place) open(name string) (*os.File, error) {
	return openFile(filepath.Join(p.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// Close gives the place up, with a last try at what is owed.
func (p *Place) Close() {
	p.settleOn()
	p.serving.Close()
	p.next.Close()
}

// Follows tells whether this process waits for another one to end.
func (p *Place) Follows() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.has
}

// Followed tells whether another process waits for this one to end.
func (p *Place) Followed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.has && taken(p.next)
}

// look takes the locks as they come free and tells whether another process is beside.
func (p *Place) look() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.has {
		p.has = lock(p.serving, syscall.F_WRLCK, ofdSetLock) == nil
		switch {
		case p.has && p.waits:
			lock(p.next, syscall.F_UNLCK, ofdSetLock)
			p.waits = false
		case !p.has && !p.waits:
			p.waits = lock(p.next, syscall.F_WRLCK, ofdSetLock) == nil
		}
		return !p.has
	}
	return taken(p.next)
}

// Run tells whether another process is beside, at the start and at each change, and of calls that the other one has written,
// until ctx ends.
func (p *Place) Run(ctx context.Context, beside func(bool), heard func([]members.Call)) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var was, told bool
	for {
		if is := p.look(); is != was || !told {
			was, told = is, true
			beside(is)
		}
		if calls := p.Read(); len(calls) > 0 {
			heard(calls)
		}
		p.settleOn()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Read returns the calls in the state file if it has changed since it was last read. One that can't be read is told once
// and changes nothing; it is read again.
func (p *Place) Read() []members.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, err := os.Stat(filepath.Join(p.dir, stateFile))
	if err != nil || p.seen != nil && os.SameFile(at, p.seen) && at.ModTime().Equal(p.seen.ModTime()) && at.Size() == p.seen.Size() {
		return nil
	}
	calls, err := p.load()
	if err != nil && !p.unread {
		p.log.Warn("the state that processes share can't be read: what is known here holds", "error", err)
	}
	p.unread = err != nil
	if err == nil || errors.Is(err, errState) {
		p.seen = at
	}
	if err == nil {
		p.know(calls)
	}
	return calls
}

// Calls returns the calls in the state file, read or not: what the other process has said yes to stands there.
func (p *Place) Calls() []members.Call {
	calls, _ := p.load() // Read tells what is wrong with it
	return calls
}

func (p *Place) load() ([]members.Call, error) {
	f, err := openFile(filepath.Join(p.dir, stateFile), os.O_RDONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, stateMost+1))
	if err != nil {
		return nil, err
	}
	calls, err := Parse(text, p.node)
	if err != nil {
		err = fmt.Errorf("%w: %w", errState, err)
	}
	return calls, err
}

// Parse decodes and checks a state file of a node.
func Parse(text []byte, node string) ([]members.Call, error) {
	var s State
	if len(text) > stateMost {
		return nil, fmt.Errorf("%s: over %d bytes", stateFile, stateMost)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", stateFile, err)
	}
	switch {
	case s.Version != stateVersion:
		return nil, fmt.Errorf("%s: version %d, this program writes %d", stateFile, s.Version, stateVersion)
	case s.Node != node:
		return nil, fmt.Errorf("%s: of node %q, this one is %q", stateFile, s.Node, node)
	case len(s.Calls) > callsMost:
		return nil, fmt.Errorf("%s: over %d calls", stateFile, callsMost)
	}
	for _, c := range s.Calls {
		if c.ID == "" || len(c.ID) > idMost || c.At <= 0 || c.Back < 0 || c.Back > c.At {
			return nil, fmt.Errorf("%s: a call that can't be one: %q at %d", stateFile, c.ID, c.At)
		}
	}
	return s.Calls, nil
}

// Write adds calls to what the file holds; of two on one backend the later holds. Killed at any point it leaves the old file
// or the new one, whole.
func (p *Place) Write(calls []members.Call) error {
	w, err := p.open(writeLock)
	if err != nil {
		return err
	}
	defer w.Close() // and the lock with it
	if err := lock(w, syscall.F_WRLCK, ofdWaitLock); err != nil {
		return fmt.Errorf("%s: %w", writeLock, err)
	}
	held, err := p.load()
	switch {
	case errors.Is(err, errState):
		p.log.Warn("the state that processes share makes no sense: it is written anew", "error", err)
	case err != nil:
		return err // what stands there would be lost
	}
	p.mu.Lock()
	latest := maps.Clone(p.known)
	p.mu.Unlock()
	for _, c := range append(held, calls...) {
		latest[c.ID] = later(latest[c.ID], c)
	}
	s := State{Version: stateVersion, Node: p.node}
	for _, c := range latest {
		s.Calls = append(s.Calls, c)
	}
	slices.SortFunc(s.Calls, func(x, y members.Call) int { return cmp.Compare(x.ID, y.ID) })
	for len(s.Calls) > callsMost { // the oldest word on a backend that is back is of the least use
		oldest := -1
		for i, c := range s.Calls {
			if !c.Out && (oldest < 0 || c.At < s.Calls[oldest].At) {
				oldest = i
			}
		}
		if oldest < 0 {
			return fmt.Errorf("%s: over %d backends are out", stateFile, callsMost)
		}
		s.Calls = slices.Delete(s.Calls, oldest, oldest+1)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := p.replace(stateFile, text); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.know(s.Calls)
	return nil
}

// know takes in what the file holds, and forgets what it no longer does: the file is bounded. With mu held.
func (p *Place) know(calls []members.Call) {
	clear(p.known)
	for _, c := range calls {
		p.known[c.ID] = c
	}
}

// learnedAge is how old what a process has learned may be to be of use to the next.
const learnedAge = 5 * time.Second

// Learned is what one process has learned and the next one can go on with.
type Learned struct {
	Version int             `json:"version"`
	Node    string          `json:"node"`
	At      time.Duration   `json:"at"`      // Unix time
	Classes []string        `json:"classes"` // by number
	Balance balance.Learned `json:"balance"`
}

// WriteLearned leaves what this process has learned for its successor.
func (p *Place) WriteLearned(l Learned) error {
	l.Version, l.Node = stateVersion, p.node
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return p.replace(learnedFile, text)
}

// ReadLearned returns what the process before has learned, if that was written since a time and is not too old at now.
func (p *Place) ReadLearned(since, now time.Duration) (Learned, bool) {
	f, err := os.Open(filepath.Join(p.dir, learnedFile))
	if err != nil {
		return Learned{}, false
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, stateMost))
	var l Learned
	if err != nil || json.Unmarshal(text, &l) != nil || l.Version != stateVersion || l.Node != p.node {
		return Learned{}, false
	}
	return l, l.At >= since && l.At <= now && now-l.At <= learnedAge
}

// Commands of fcntl(2) for locks of open file descriptions, which syscall does not name.
const ofdGetLock, ofdSetLock, ofdWaitLock = 36, 37, 38

func lock(f *os.File, kind int16, cmd int) error {
	return control(f, func(fd uintptr) error {
		return syscall.FcntlFlock(fd, cmd, &syscall.Flock_t{Type: kind, Whence: io.SeekStart})
	})
}

// taken tells whether somebody else holds a lock.
func taken(f *os.File) bool {
	l := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart}
	err := control(f, func(fd uintptr) error { return syscall.FcntlFlock(fd, ofdGetLock, &l) })
	return err == nil && l.Type != syscall.F_UNLCK
}

// control has a system call made on a file's descriptor, again where a signal interrupts it.
func control(f *os.File, do func(uintptr) error) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	failed := error(syscall.EINTR)
	for failed == syscall.EINTR {
		if err := raw.Control(func(fd uintptr) { failed = do(fd) }); err != nil {
			return err
		}
	}
	return failed
}
