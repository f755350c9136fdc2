package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"glencart/members"
)

// If reading the state file fails temporarily (EIO), overwriting it would lose its calls. Write must fail then, and a later Read must
// return the calls.
func TestTemporaryReadErrorLosesNoCalls(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "n1"), open(t, dir, "n1")
	if err := a.Write([]members.Override{call("first", true, 1)}); err != nil {
		t.Fatal(err)
	}
	realOpen := openFile
	t.Cleanup(func() { openFile = realOpen })
	openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		if filepath.Base(name) == stateFile {
			return nil, &os.PathError{Op: "open", Path: name, Err: syscall.EIO}
		}
		return realOpen(name, flag, mode)
	}
	if got := b.Read(); len(got) != 0 {
		t.Errorf("read in spite of the error: %v", got)
	}
	if err := b.Write([]members.Override{call("second", true, 2)}); err == nil {
		t.Error("overwrote a file that can't be read")
	}
	openFile = realOpen
	if got := b.Read(); len(got) != 1 || got[0].ID != "first" {
		t.Errorf("read after the error: %v", got)
	}
}

// A write can fail at any call (ENOSPC, EIO). The old file must then still be there and complete.
func TestFailedWriteKeepsOldFile(t *testing.T) {
	for name, fail := range map[string]func(){
		"open": func() {
			realOpen := openFile
			openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
				if strings.HasSuffix(name, ".new") {
					return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
				}
				return realOpen(name, flag, mode)
			}
		},
		"sync":   func() { syncFile = func(*os.File) error { return syscall.EIO } },
		"rename": func() { rename = func(from, to string) error { return syscall.EIO } },
	} {
		t.Run(name, func(t *testing.T) {
			realOpen, realRename, realSync := openFile, rename, syncFile
			restore := func() { openFile, rename, syncFile = realOpen, realRename, realSync }
			t.Cleanup(restore)
			p := open(t, t.TempDir(), "n1")
			if err := p.Write([]members.Override{call("first", true, 1)}); err != nil {
				t.Fatal(err)
			}
			fail()
			if err := p.Write([]members.Override{call("second", true, 2)}); err == nil {
				t.Error("no error")
			}
			restore()
			if got := p.Calls(); len(got) != 1 || got[0].ID != "first" {
				t.Errorf("calls after the failed write: %v", got)
			}
		})
	}
}

// Backends come and go for as long as a node runs. The calls in memory must be bounded as those in the file are.
func TestKnownCallsAreBounded(t *testing.T) {
	p := open(t, t.TempDir(), "n1")
	for round := range 3 {
		var calls []members.Override
		for i := range maxCalls {
			calls = append(calls, call(fmt.Sprintf("%d-%d", round, i), false, round*maxCalls+i+1))
		}
		if err := p.Write(calls); err != nil {
			t.Fatal(err)
		}
		p.Read()
	}
	if len(p.known) > maxCalls {
		t.Errorf("%d known calls, the limit of the file is %d", len(p.known), maxCalls)
	}
}
