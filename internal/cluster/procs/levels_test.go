package procs

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"glencart/schema"
)

// writes is the level of sessions that a process writes, and what it holds back.
func (p *proc) writes() (written schema.Level, held uint32) {
	for _, s := range p.knows().GetLevels().GetList() {
		if s.Name == p.name { // its own stands first
			for _, x := range s.Stands {
				if x.Kind == uint32(schema.Session) {
					return schema.Level{Turn: x.WrittenTurn, Schema: uint16(x.Written)}, x.Held
				}
			}
		}
	}
	return schema.Level{}, 0
}

// same waits until all write a level.
func (f *fleet) same(want schema.Level, procs ...*proc) {
	f.t.Helper()
	f.eventually("all write "+want.String(), func() bool {
		for _, p := range procs {
			if got, _ := p.writes(); got != want {
				return false
			}
		}
		return true
	})
}

// hold has a process's operator hold schemas back.
func (p *proc) hold(line string) {
	text, err := os.ReadFile(p.file)
	if err != nil {
		p.f.t.Fatal(err)
	}
	p.write(strings.Replace(string(text), "[fleet]", "[fleet]\n"+line, 1))
	p.signal(syscall.SIGHUP)
}

// Three are upgraded from schema 2 to 3 by restarts under load. One of the two that are new already is killed half-way: what is written
// stays at 2 until the last one reads 3. Then the schema is taken back at all, and the old release comes back. One that comes with the old
// release while 3 is written is told so and serves on. Every request is answered all the while, and all write the same at the end.
func TestRollingUpgrade(t *testing.T) {
	f := newFleet(t, quick)
	f.old = true
	a, b, c := f.three()
	f.same(schema.Level{Schema: 2}, a, b, c)
	restart := func(p *proc, sig syscall.Signal, seed *proc) *proc {
		p.signal(sig)
		<-p.ended
		return f.start(p.name, p.door, seed.door)
	}
	f.old = false
	stop := f.clients(b, c)
	a = restart(a, syscall.SIGTERM, b)
	f.together(a, b, c)
	stop()
	stop = f.clients(a, c)
	b = restart(b, syscall.SIGTERM, a)
	f.together(a, b, c)
	stop()
	stop = f.clients(b, c)
	a = restart(a, syscall.SIGKILL, c) // half-way
	f.together(a, b, c)
	f.same(schema.Level{Schema: 2}, a, b, c)
	if n := a.told(rose(3)) + b.told(rose(3)); n > 0 {
		t.Errorf("it rose %d times while c reads 2", n)
	}
	stop()
	stop = f.clients(a, b)
	c = restart(c, syscall.SIGTERM, a)
	f.together(a, b, c)
	f.same(schema.Level{Schema: 3}, a, b, c)
	stop()

	// The old release comes too early.
	f.old = true
	stop = f.clients(a, b)
	c = restart(c, syscall.SIGTERM, a)
	c.await("c is too old", func(l map[string]any) bool {
		return strings.HasPrefix(l["msg"].(string), "fleet: schema not read") && l["records"] == "session"
	})
	stop()
	stop = f.clients(a, b, c)
	if resp, err := http.Get("http://" + c.web + "/alone"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("too old, it does not serve: %v", err)
	}
	// Rolled back: who reads 3 takes it back, then the old release may come.
	for _, p := range []*proc{a, b} {
		p.hold("schema = { use = 2, session = 2 }")
	}
	back := schema.Level{Turn: 1, Schema: 2}
	f.same(back, a, b, c)
	c.await("c takes part again", func(l map[string]any) bool {
		return strings.HasPrefix(l["msg"].(string), "fleet: schema is read again") && l["records"] == "session"
	})
	a.await("cleared", func(l map[string]any) bool { return strings.HasPrefix(l["msg"].(string), "fleet: schema cleared") })
	stop()
	stop = f.clients(b, c)
	a = restart(a, syscall.SIGTERM, b)
	f.together(a, b, c)
	stop()
	stop = f.clients(a, c)
	b = restart(b, syscall.SIGTERM, a)
	f.together(a, b, c)
	f.same(back, a, b, c)
	stop()
}

func rose(to uint16) func(map[string]any) bool {
	return func(l map[string]any) bool {
		return l["msg"] == "fleet: schema rose" && strings.HasSuffix(l["to"].(string), schema.Level{Schema: to}.String())
	}
}
