// Package handover lets a successor take over from a running process of the same node. It opens the listening socket that both
// inherit, detects the other process, and shares the operators' calls on backends through files in a common folder. It
// doesn't start or end processes.
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

// Listener returns a listener on an inherited socket. text is the value of BALANCER_ACCEPT_FD, a descriptor number. Listener
// takes over the descriptor. The socket stays open in other processes that have it. Temporary failures are retried until ctx
// ends.
func Listener(ctx context.Context, text string) (l net.Listener, err error) {
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 || fd > math.MaxInt32 {
		return nil, fmt.Errorf("BALANCER_ACCEPT_FD: %q is not the number of an inherited descriptor", text)
	}
	if acceptConn, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("BALANCER_ACCEPT_FD: descriptor %d: %w: it has to be inherited, open, and a socket", fd, err)
	} else if acceptConn == 0 {
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

// Files in the shared folder.
const (
	servingLock, nextLock = "glencart.serving", "glencart.next"
	writeLock, stateFile  = "glencart.write", "glencart.state"
	learnedFile           = "glencart.learned"
)

const (
	// pollInterval is the interval between checks for the other process and for changed files.
	pollInterval = 50 * time.Millisecond
	// stateVersion is the version of the state file format. The others limit the bytes of the file, its calls and the bytes of an id.
	stateVersion, maxStateBytes, maxCalls, maxIDBytes = 1, 8 << 20, 4096, 256
)

// State is the content of the state file, which both processes of a node share.
type State struct {
	Version int                `json:"version"`
	Node    string             `json:"node"`
	Calls   []members.Override `json:"calls"`
}

// File system calls that may fail (ENOSPC, EIO). Tests replace them.
var (
	openFile = os.OpenFile
	rename   = os.Rename
	syncFile = (*os.File).Sync
)

// Handover is the part of one process in a handover, as the serving process or as its successor.
type Handover struct {
	dir, node string
	log       *slog.Logger

	serving, next *os.File

	mu         sync.Mutex
	isServing  bool                        // holds the serving lock
	isNext     bool                        // holds the next lock
	lastRead   os.FileInfo                 // state file when it was last read
	unwritten  map[string]members.Override // unwritten calls by backend
	known      map[string]members.Override // calls in the file when it was last read or written, by backend
	readFailed bool                        // a failure to read the state file was logged

	writeFailed atomic.Bool // a failure to write calls was logged
}

// Open becomes the serving process or, if another process is serving, its successor. An unusable folder is an error, because
// the two processes could not detect each other.
func Open(dir, node string, log *slog.Logger) (*Handover, error) {
	p := &Handover{dir: dir, node: node, log: log, unwritten: map[string]members.Override{}, known: map[string]members.Override{}}
	var err error
	if p.serving, err = p.open(servingLock); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if p.next, err = p.open(nextLock); err != nil {
		p.serving.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	p.tryLocks()
	return p, nil
}

func (p *Handover) open(name string) (*os.File, error) {
	return openFile(filepath.Join(p.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// Close tries once more to write unwritten calls and releases the locks.
func (p *Handover) Close() {
	p.writePendingLogged()
	p.serving.Close()
	p.next.Close()
}

// IsSuccessor reports whether this process waits for another one to end.
func (p *Handover) IsSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isServing
}

// HasSuccessor reports whether another process waits for this one to end.
func (p *Handover) HasSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isServing && isLockedByOther(p.next)
}

// tryLocks acquires free locks and reports whether there is another process.
func (p *Handover) tryLocks() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isServing {
		p.isServing = lock(p.serving, syscall.F_WRLCK, ofdSetLock) == nil
		switch {
		case p.isServing && p.isNext:
			lock(p.next, syscall.F_UNLCK, ofdSetLock)
			p.isNext = false
		case !p.isServing && !p.isNext:
			p.isNext = lock(p.next, syscall.F_WRLCK, ofdSetLock) == nil
		}
		return !p.isServing
	}
	return isLockedByOther(p.next)
}

// Run calls onOther at the start and whenever another process appears or ends, and onCalls with the calls that another process
// has written. It returns when ctx ends.
func (p *Handover) Run(ctx context.Context, onOther func(bool), onCalls func([]members.Override)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var hadOther, reported bool
	for {
		if hasOther := p.tryLocks(); hasOther != hadOther || !reported {
			hadOther, reported = hasOther, true
			onOther(hasOther)
		}
		if calls := p.Read(); len(calls) > 0 {
			onCalls(calls)
		}
		p.writePendingLogged()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Read returns the calls in the state file if it has changed since it was last read. It logs the first of several failures, and a
// later call tries again. A failure changes no state.
func (p *Handover) Read() []members.Override {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(filepath.Join(p.dir, stateFile))
	if err != nil || p.lastRead != nil && os.SameFile(info, p.lastRead) && info.ModTime().Equal(p.lastRead.ModTime()) && info.Size() == p.lastRead.Size() {
		return nil
	}
	calls, err := p.load()
	if err != nil && !p.readFailed {
		p.log.Warn("can't read the state file shared with the other process; keeping the calls known here", "error", err)
	}
	p.readFailed = err != nil
	if err == nil || errors.Is(err, errInvalidState) {
		p.lastRead = info
	}
	if err == nil {
		p.setKnown(calls)
	}
	return calls
}

// Calls returns the calls in the state file, whether or not it has changed. These include all calls that the other process has
// accepted.
func (p *Handover) Calls() []members.Override {
	calls, _ := p.load() // Read logs the error
	return calls
}

func (p *Handover) load() ([]members.Override, error) {
	f, err := openFile(filepath.Join(p.dir, stateFile), os.O_RDONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes+1))
	if err != nil {
		return nil, err
	}
	calls, err := Parse(text, p.node)
	if err != nil {
		err = fmt.Errorf("%w: %w", errInvalidState, err)
	}
	return calls, err
}

// Parse decodes and validates a state file of a node.
func Parse(text []byte, node string) ([]members.Override, error) {
	var s State
	if len(text) > maxStateBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", stateFile, maxStateBytes)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", stateFile, err)
	}
	switch {
	case s.Version != stateVersion:
		return nil, fmt.Errorf("%s: version %d, expected %d", stateFile, s.Version, stateVersion)
	case s.Node != node:
		return nil, fmt.Errorf("%s: written by node %q, expected %q", stateFile, s.Node, node)
	case len(s.Calls) > maxCalls:
		return nil, fmt.Errorf("%s: more than %d calls", stateFile, maxCalls)
	}
	for _, c := range s.Calls {
		if c.ID == "" || len(c.ID) > maxIDBytes || c.ChangedAt <= 0 || c.ReturnedAt < 0 || c.ReturnedAt > c.ChangedAt {
			return nil, fmt.Errorf("%s: invalid call: %q at %d", stateFile, c.ID, c.ChangedAt)
		}
	}
	return s.Calls, nil
}

// Write merges calls into the state file. The later of two calls on one backend applies. If the process is killed at any point,
// the old or the new file is left complete.
func (p *Handover) Write(calls []members.Override) error {
	lockFile, err := p.open(writeLock)
	if err != nil {
		return err
	}
	defer lockFile.Close() // releases the lock
	if err := lock(lockFile, syscall.F_WRLCK, ofdWaitLock); err != nil {
		return fmt.Errorf("%s: %w", writeLock, err)
	}
	stored, err := p.load()
	switch {
	case errors.Is(err, errInvalidState):
		p.log.Warn("the state file shared with the other process is invalid; overwriting it", "error", err)
	case err != nil:
		return err // overwriting the file would lose its calls
	}
	p.mu.Lock()
	latest := maps.Clone(p.known)
	p.mu.Unlock()
	for _, c := range append(stored, calls...) {
		latest[c.ID] = later(latest[c.ID], c)
	}
	state := State{Version: stateVersion, Node: p.node}
	for _, c := range latest {
		state.Calls = append(state.Calls, c)
	}
	slices.SortFunc(state.Calls, func(x, y members.Override) int { return cmp.Compare(x.ID, y.ID) })
	for len(state.Calls) > maxCalls { // the oldest call on a backend in service is the least useful
		oldest := -1
		for i, c := range state.Calls {
			if !c.OutOfService && (oldest < 0 || c.ChangedAt < state.Calls[oldest].ChangedAt) {
				oldest = i
			}
		}
		if oldest < 0 {
			return fmt.Errorf("%s: more than %d backends are out of service", stateFile, maxCalls)
		}
		state.Calls = slices.Delete(state.Calls, oldest, oldest+1)
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if err := p.replaceFile(stateFile, text); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setKnown(state.Calls)
	return nil
}

// setKnown replaces the known calls by those of the file. It keeps no others, so they are bounded as the file is. It requires mu.
func (p *Handover) setKnown(calls []members.Override) {
	clear(p.known)
	for _, c := range calls {
		p.known[c.ID] = c
	}
}

// maxLearnedAge is the age up to which a successor uses the learned state of its predecessor.
const maxLearnedAge = 5 * time.Second

// Learned is the learned state of a process, which its successor starts from.
type Learned struct {
	Version int             `json:"version"`
	Node    string          `json:"node"`
	At      time.Duration   `json:"at"`      // Unix time
	Classes []string        `json:"classes"` // names by class number
	Balance balance.Learned `json:"balance"`
}

// WriteLearned stores the learned state for a successor.
func (p *Handover) WriteLearned(l Learned) error {
	l.Version, l.Node = stateVersion, p.node
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return p.replaceFile(learnedFile, text)
}

// ReadLearned returns the learned state of the predecessor. It reports false unless that was written at since or later and is at
// most maxLearnedAge old at now.
func (p *Handover) ReadLearned(since, now time.Duration) (Learned, bool) {
	f, err := os.Open(filepath.Join(p.dir, learnedFile))
	if err != nil {
		return Learned{}, false
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes))
	var l Learned
	if err != nil || json.Unmarshal(text, &l) != nil || l.Version != stateVersion || l.Node != p.node {
		return Learned{}, false
	}
	return l, l.At >= since && l.At <= now && now-l.At <= maxLearnedAge
}

// fcntl(2) commands for locks of open file descriptions. Package syscall does not define them.
const ofdGetLock, ofdSetLock, ofdWaitLock = 36, 37, 38

func lock(f *os.File, kind int16, cmd int) error {
	return control(f, func(fd uintptr) error {
		return syscall.FcntlFlock(fd, cmd, &syscall.Flock_t{Type: kind, Whence: io.SeekStart})
	})
}

// isLockedByOther reports whether another open file description holds a lock on the file.
func isLockedByOther(f *os.File) bool {
	l := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart}
	err := control(f, func(fd uintptr) error { return syscall.FcntlFlock(fd, ofdGetLock, &l) })
	return err == nil && l.Type != syscall.F_UNLCK
}

// control runs a system call on the descriptor of a file and repeats it if a signal interrupts it.
func control(f *os.File, call func(uintptr) error) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	callErr := error(syscall.EINTR)
	for callErr == syscall.EINTR {
		if err := raw.Control(func(fd uintptr) { callErr = call(fd) }); err != nil {
			return err
		}
	}
	return callErr
}
