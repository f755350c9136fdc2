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

// This file keeps what has to be in the state file there, also where the disk fails for a while. A call that was taken on holds over a
// change of processes, so one that could not be written is owed until it has been.

// errState marks a state file that was read and makes no sense: writing it anew loses nothing that could be read.
var errState = errors.New("not a state file of this node")

// Persist writes calls down, and tries again until ctx ends. What it could not write is owed: Run goes on trying.
func (p *Place) Persist(ctx context.Context, calls []members.Call) error {
	p.mu.Lock()
	for _, c := range calls {
		p.owed[c.ID] = later(p.owed[c.ID], c)
	}
	p.mu.Unlock()
	for {
		err := p.settle()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(lookEvery):
		}
	}
}

// settle writes down what is owed, if anything is.
func (p *Place) settle() error {
	p.mu.Lock()
	owed := maps.Clone(p.owed)
	p.mu.Unlock()
	if len(owed) == 0 {
		return nil
	}
	if err := p.Write(slices.Collect(maps.Values(owed))); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range owed {
		if p.owed[id] == c {
			delete(p.owed, id)
		}
	}
	return nil
}

// settleOn is settle, with a line when it begins to fail and when it no longer does.
func (p *Place) settleOn() {
	err := p.settle()
	failed := p.failing.Swap(err != nil)
	switch {
	case err != nil && !failed:
		p.log.Error("calls on backends can't be written down, another process will not know of them: this goes on being tried: look at the disk",
			"error", err)
	case err == nil && failed:
		p.log.Info("calls on backends can be written down again")
	}
}

// later returns the later of two calls on one backend. Of two at the same time the one that takes it out holds.
func later(a, b members.Call) members.Call {
	if b.At > a.At || b.At == a.At && b.Out {
		return b
	}
	return a
}

// replace writes a file anew, and returns when it is on the disk. Killed at any point, or failing, it leaves the old one or the new
// one, whole.
func (p *Place) replace(name string, text []byte) error {
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

// syncFolder has the names in the folder on the disk.
func (p *Place) syncFolder() error {
	d, err := openFile(p.dir, os.O_RDONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(syncFile(d), d.Close())
}
