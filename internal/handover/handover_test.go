package handover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/standin"
	"glencart/members"
)

func open(t *testing.T, dir, node string) *Handover {
	t.Helper()
	p, err := Open(dir, node, standin.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Guards the detection of the other process. The second process is the successor, the first detects it, and it becomes the serving
// process when the first ends, even if that one crashes.
func TestSuccessorIsDetectedAndTakesOver(t *testing.T) {
	dir := t.TempDir()
	first := open(t, dir, "n1")
	if first.IsSuccessor() || first.HasSuccessor() {
		t.Fatal("a single process detects another")
	}
	second := open(t, dir, "n1")
	if !second.IsSuccessor() || !first.HasSuccessor() {
		t.Fatalf("second follows: %t, first is followed: %t", second.IsSuccessor(), first.HasSuccessor())
	}
	second.Close() // it ends before it takes over
	if first.HasSuccessor() {
		t.Fatal("an ended successor is still detected")
	}
	second = open(t, dir, "n1")
	first.Close()
	if second.tryLocks() || second.IsSuccessor() {
		t.Fatal("the successor did not become the only process")
	}
	if third := open(t, dir, "n1"); !third.IsSuccessor() || !second.HasSuccessor() {
		t.Fatal("the next successor is not detected")
	}
}

func call(id string, out bool, at int) members.Override {
	return members.Override{ID: id, OutOfService: out, ChangedAt: time.Duration(at)}
}

// Concurrent writes of both processes must lose no call. The later of two calls on one backend applies, and each is read once.
func TestConcurrentCallsAreMerged(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "n1"), open(t, dir, "n1")
	var wg sync.WaitGroup
	for i := range 20 {
		for _, p := range []*Handover{a, b} {
			wg.Go(func() {
				if err := p.Write([]members.Override{call(fmt.Sprint(i%5), i%2 == 0, i+1)}); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	got := b.Read()
	if len(got) != 5 {
		t.Fatalf("%d backends: %v", len(got), got)
	}
	for i, c := range got {
		if want := call(fmt.Sprint(i), (15+i)%2 == 0, 16+i); c != want {
			t.Errorf("%v, want %v", c, want)
		}
	}
	if second := b.Read(); second != nil {
		t.Errorf("read again: %v", second)
	}
}

// A state file may be truncated, invalid, of another version or of another node. It is rejected, and the next call overwrites it. A
// temporary file of a process that was killed before the rename has no effect.
func TestInvalidStateIsRejectedAndOverwritten(t *testing.T) {
	for name, text := range map[string]string{
		"empty":   "",
		"cut":     `{"version":1,"node":"n1","calls":[{"id":"a"`,
		"version": `{"version":2,"node":"n1","calls":[]}`,
		"foreign": `{"version":1,"node":"n2","calls":[{"id":"a","out":false,"at":5}]}`,
		"no id":   `{"version":1,"node":"n1","calls":[{"out":true,"at":5}]}`,
		"no time": `{"version":1,"node":"n1","calls":[{"id":"a","out":true}]}`,
		"back":    `{"version":1,"node":"n1","calls":[{"id":"a","out":true,"at":5,"back":6}]}`,
		"long id": `{"version":1,"node":"n1","calls":[{"id":"` + strings.Repeat("a", maxIDBytes+1) + `","out":true,"at":5}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			p := open(t, dir, "n1")
			os.WriteFile(filepath.Join(dir, stateFile), []byte(text), 0o600)
			os.WriteFile(filepath.Join(dir, stateFile+".new"), []byte("half a fi"), 0o600)
			if got := p.Read(); got != nil {
				t.Errorf("accepted %v", got)
			}
			if err := p.Write([]members.Override{call("x", true, 7)}); err != nil {
				t.Fatal(err)
			}
			if got := p.Read(); len(got) != 1 || got[0].ID != "x" {
				t.Errorf("after the write: %v", got)
			}
		})
	}
}

// The state file is bounded. A call that takes a backend out of service must never be dropped to make room.
func TestFullStateKeepsCallsThatTakeBackendsOut(t *testing.T) {
	p := open(t, t.TempDir(), "n1")
	var calls []members.Override
	for i := range maxCalls + 10 {
		calls = append(calls, call(fmt.Sprint(i), i < 10, i+1))
	}
	if err := p.Write(calls); err != nil {
		t.Fatal(err)
	}
	got, out := p.Read(), 0
	for _, c := range got {
		if c.OutOfService {
			out++
		}
	}
	if len(got) != maxCalls || out != 10 {
		t.Errorf("%d calls, %d out", len(got), out)
	}
}

// Outdated learned state would mislead a successor. It is used only if it is recent and written after the given time.
func TestLearnedStateIsUsedWhileRecent(t *testing.T) {
	p := open(t, t.TempDir(), "n1")
	l := Learned{At: 10 * time.Second, Classes: []string{"read"}, Balance: balance.Learned{Answers: 3}}
	if err := p.WriteLearned(l); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		since, now time.Duration
		want       bool
	}{{9 * time.Second, 11 * time.Second, true}, {10*time.Second + 1, 11 * time.Second, false},
		{0, 10*time.Second + maxLearnedAge + 1, false}, {0, 9 * time.Second, false}} {
		if got, ok := p.ReadLearned(tc.since, tc.now); ok != tc.want || ok && got.Balance.Answers != 3 {
			t.Errorf("since %v, now %v: used %t", tc.since, tc.now, ok)
		}
	}
}

// An operator may pass a wrong descriptor. The error must name the variable and the cause.
func TestListenerErrorNamesCause(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	dup := func(f *os.File, err error) string {
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { f.Close() })
		return fmt.Sprint(f.Fd())
	}
	file, err := os.Open(os.DevNull)
	for text, want := range map[string]string{
		"":                           "not the number",
		"five":                       "not the number",
		"1":                          "not the number",
		"99999":                      "bad file descriptor",
		dup(file, err):               "non-socket",
		dup(c.(*net.TCPConn).File()): "does not listen",
	} {
		if _, err := Listener(t.Context(), text); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "BALANCER_ACCEPT_FD") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"version":1,"node":"n1","calls":[{"id":"a","out":true,"at":5,"back":3}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		calls, err := Parse([]byte(text), "n1")
		if err != nil {
			return
		}
		var h members.Tracker
		h.MergeOverrides(calls, 1)
		for _, c := range calls {
			if c.ID == "" || c.ChangedAt <= 0 {
				t.Errorf("accepted %v", c)
			}
		}
	})
}
