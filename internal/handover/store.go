package handover

import (
	"context"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"glencart/members"
)

// This file writes calls to the state file and retries while the disk fails. An accepted call applies to the successor too, so an
// unwritten call is kept until it is written.

// errInvalidState marks a readable state file with invalid content. Overwriting it loses nothing that could be used.
var errInvalidState = errors.New("not a state file of this node")

// Persist writes calls to the state file and retries until ctx ends. Run continues to retry calls that are still unwritten.
func (p *Handover) Persist(ctx context.Context, calls []members.Override) error {
	p.mu.Lock()
	for _, c := range calls {
		p.unwritten[c.ID] = later(p.unwritten[c.ID], c)
	}
	p.mu.Unlock()
	for {
		err := p.writePending()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// writePending writes the unwritten calls, if there are any.
func (p *Handover) writePending() error {
	p.mu.Lock()
	pending := maps.Clone(p.unwritten)
	p.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	if err := p.Write(slices.Collect(maps.Values(pending))); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range pending {
		if p.unwritten[id] == c {
			delete(p.unwritten, id)
		}
	}
	return nil
}

// writePendingLogged is writePending with a log line when it starts to fail and when it succeeds again.
func (p *Handover) writePendingLogged() {
	err := p.writePending()
	failed := p.writeFailed.Swap(err != nil)
	switch {
	case err != nil && !failed:
		p.log.Error("can't write calls on backends to the state file, so another process does not get them; retrying: check the disk",
			"error", err)
	case err == nil && failed:
		p.log.Info("calls on backends are written to the state file again")
	}
}

// later returns the later of two calls on one backend. Of two with the same time it returns the one that takes the backend out.
func later(a, b members.Override) members.Override {
	if b.ChangedAt > a.ChangedAt || b.ChangedAt == a.ChangedAt && b.OutOfService {
		return b
	}
	return a
}

// replaceFile replaces a file and returns when the new one is on disk. If it fails or the process is killed at any point, the old or
// the new file is left complete.
func (p *Handover) replaceFile(name string, text []byte) error {
	name = filepath.Join(p.dir, name)
	f, err := openFile(name+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = syncFile(f)
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := rename(name+".new", name); err != nil {
		return err
	}
	return p.syncFolder()
}

// syncFolder flushes the directory entries of the folder to disk.
func (p *Handover) syncFolder() error {
	d, err := openFile(p.dir, os.O_RDONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(syncFile(d), d.Close())
}
