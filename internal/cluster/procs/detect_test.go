package procs

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/internal/standin/relay"
)

// quick has deaths found in seconds, where a test waits for one.
const quick = "every = \"200ms\"\nsuspicion = \"1s\""

// Three find together. One is killed and is dead at the others; it comes back under its name and is taken for the new process that it is.
// Nothing of it reaches a client of the others.
func TestOneIsKilled(t *testing.T) {
	f := newFleet(t, quick)
	a, b, c := f.three()
	stop := f.clients(a, b)
	old := a.of("c").Word.Start
	c.signal(syscall.SIGKILL)
	for _, p := range []*proc{a, b} {
		p.await("c is dead", is("msg", "fleet: member", "member", "c", "state", "dead"))
	}
	c = f.start("c", c.door, a.door)
	f.together(a, b, c)
	if now := a.of("c").Word.Start; now <= old {
		t.Errorf("c came back with start %d, after %d", now, old)
	}
	for _, p := range []*proc{a, b} {
		if n := p.says("a", "dead") + p.says("b", "dead"); n > 0 {
			t.Errorf("%s has called %d of the living dead", p.name, n)
		}
	}
	stop()
}

// One is killed and comes back under its name before anybody could find it dead: the new process takes the old one's place.
func TestBackBeforeFoundDead(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	old := a.of("c").Word.Start
	c.signal(syscall.SIGKILL)
	<-c.ended
	again := f.start("c", c.door, a.door)
	f.eventually("the new process has the old one's place", func() bool { return a.of("c").Word.Start > old && b.of("c").Word.Start > old })
	f.together(a, b, again)
	f.noneDead()
}

// One that is told to end says so: it is left at once, and nobody suspects it. Its own clients are all answered until it takes no more.
func TestToldToEnd(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	stop := f.clients(a, b, c)
	time.Sleep(100 * time.Millisecond) // some requests
	stop()
	c.signal(syscall.SIGTERM)
	for _, p := range []*proc{a, b} {
		p.await("c has left", is("msg", "fleet: member", "member", "c", "state", "left"))
		if n := p.says("c", "suspect") + p.says("c", "dead"); n > 0 {
			t.Errorf("%s suspected one that said it left", p.name)
		}
	}
	<-c.ended
	if code := c.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	f.together(a, b)
}

// One is told to end and has said in its file that it will be back: it is away, and is back under a new start.
func TestAway(t *testing.T) {
	f := newFleet(t, "away = \"30s\"")
	a, b, c := f.three()
	c.signal(syscall.SIGTERM)
	for _, p := range []*proc{a, b} {
		p.await("c is away", is("msg", "fleet: member", "member", "c", "state", "away"))
	}
	<-c.ended
	c = f.start("c", c.door, b.door)
	f.together(a, b, c)
	f.noneDead()
}

// One that was stopped for 5 s accuses nobody, and is with the others again, whatever they called it meanwhile.
func TestStoppedForFiveSeconds(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	stop := f.clients(a, b)
	c.signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	c.signal(syscall.SIGCONT)
	f.together(a, b, c)
	stop()
	for _, p := range []*proc{a, b, c} {
		for _, q := range []string{"a", "b"} {
			if n := p.says(q, "suspect") + p.says(q, "dead"); n > 0 {
				t.Errorf("%s has accused %s", p.name, q)
			}
		}
	}
	f.noneDead()
}

// What a says to b gets lost. That is a state of the link, b and c know, and so does a; nobody is dead. Once it is mended, all is sound.
func TestOneDirectionCut(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	stop := f.clients(a, b, c)
	f.relay.Set("a", "b", relay.Link{Cut: true})
	f.eventually("b knows that it does not hear a, and a that b is deaf to it", func() bool {
		return b.of("a").Link == "unheard" && a.of("b").Link == "deaf"
	})
	for _, p := range []*proc{a, b, c} {
		for _, m := range p.knows().List {
			if m.Word.State != wire.State_ALIVE {
				t.Errorf("%s takes %s for %v", p.name, m.Word.Name, m.Word.State)
			}
		}
	}
	f.relay.Set("a", "b", relay.Link{})
	f.together(a, b, c)
	f.noneDead()
	stop()
}

// Two and one stand apart until they know each other only as dead. Once the links are mended they find together by themselves. Both sides
// serve all the time.
func TestPartition(t *testing.T) {
	f := newFleet(t, quick)
	a, b, c := f.three()
	stop := f.clients(a, b, c)
	f.relay.Cut(false, []string{"a", "b"}, []string{"c"})
	dead := func(name string) func(map[string]any) bool {
		return is("msg", "fleet: member", "member", name, "state", "dead")
	}
	a.await("c is dead", dead("c"))
	b.await("c is dead", dead("c"))
	c.await("c finds itself cut off", is("msg", "fleet: cut off: this process acts as one that stands alone"))
	f.relay.Cut(true, []string{"a", "b"}, []string{"c"})
	f.together(a, b, c)
	c.await("c is not cut off any more", is("msg", "fleet: not cut off any more"))
	stop()
}

// A second process takes a name that lives: the older one hears of it, ends its part and serves on.
func TestTwoUnderOneName(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	stop := f.clients(a, c)
	// One that has not heard the whole news yet takes a later start for that of a process before it, and itself for the later one.
	f.eventually("c has joined", func() bool { return c.knows().GetExchanges() > 0 })
	again := f.start("c", f.relay.Door("c2"), a.door)
	c.await("c is superseded", func(l map[string]any) bool { return strings.HasPrefix(l["msg"].(string), "fleet: superseded") })
	f.together(a, b, again)
	if !c.knows().Superseded {
		t.Error("it does not say so when asked")
	}
	stop()
}

// All seeds are down when one begins: it serves alone, and finds the others when they come.
func TestSeedsDown(t *testing.T) {
	f := newFleet(t, "")
	d := []*relay.Door{f.relay.Door("a"), f.relay.Door("b"), f.relay.Door("c")}
	a := f.start("a", d[0], d[1], d[2])
	stop := f.clients(a)
	b := f.start("b", d[1])
	f.together(a, b)
	c := f.start("c", d[2])
	f.together(a, b, c)
	stop()
}

// What is none of the fleet's is counted and told once, and changes nothing.
func TestStrangers(t *testing.T) {
	f := newFleet(t, "networks = [\"127.0.0.1\"]")
	a, b, c := f.three()
	before := a.knows()
	send := func(from string, b []byte) {
		t.Helper()
		conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(addrPort(t, from)), net.UDPAddrFromAddrPort(addrPort(t, a.listen)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for range 3 {
			conn.Write(b)
		}
	}
	lie := func(cluster string, version uint32) []byte {
		p := wire.FromDetect(detect.Message{Kind: detect.Answer, From: detect.Update{ID: detect.ID{Name: "x", Start: 1}, Addr: "127.0.0.1:1"},
			Updates: []detect.Update{{ID: detect.ID{Name: "b", Start: 1 << 63}, State: detect.Dead, Addr: "127.0.0.1:1"}}})
		text, err := wire.Encode(wire.Number(cluster), p)
		if err != nil {
			t.Fatal(err)
		}
		if version > wire.Version {
			text = append(text, 0x10, byte(version)) // the last word of a field holds
		}
		return text
	}
	for _, s := range []struct {
		why, from string
		b         []byte
	}{
		{"garbage", "127.0.0.1:0", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"garbage", "127.0.0.1:0", lie("shop", 1)[:40]},
		{"foreign", "127.0.0.1:0", lie("depot", 1)},
		{"too_new", "127.0.0.1:0", lie("shop", wire.Version+1)},
		{"too_long", "127.0.0.1:0", bytes.Repeat([]byte{0}, wire.DatagramMost+1)},
		{"outside", "127.0.0.2:0", lie("shop", 1)},
	} {
		old := a.knows().Counts[s.why]
		send(s.from, s.b)
		f.eventually(s.why+" is counted", func() bool { return a.knows().GetCounts()[s.why] >= old+3 })
		a.await(s.why+" is told", is("msg", "fleet: dropped", "why", s.why))
	}
	for _, why := range []string{"garbage", "foreign", "too_new", "too_long", "outside"} {
		if n := a.told(is("msg", "fleet: dropped", "why", why)); n != 1 {
			t.Errorf("%s: %d lines", why, n)
		}
	}
	f.together(a, b, c)
	if now := a.knows(); len(now.List) != len(before.List) {
		t.Errorf("it knows %d members, after %d", len(now.List), len(before.List))
	}
	f.noneDead()
}

// A file that can't take effect leaves the old one whole; an address that is taken ends the start in words; members --live shows the fleet.
func TestOperators(t *testing.T) {
	f := newFleet(t, "")
	a, b, c := f.three()
	text, err := os.ReadFile(a.file)
	if err != nil {
		t.Fatal(err)
	}
	a.write(strings.Replace(string(text), `name = "a"`, `name = "z"`, 1))
	a.signal(syscall.SIGHUP)
	if line := a.await("the file is not taken", is("msg", "file not reloaded, the old one holds")); !strings.Contains(line["error"].(string), "fleet") {
		t.Errorf("it says %v", line)
	}
	f.together(a, b, c)

	a.write(f.file("d", a.listen, a.door.Addr, nil))
	out, err := exec.Command(program, "serve", a.file).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "fleet.listen: "+a.listen) || !strings.Contains(string(out), "in use") {
		t.Errorf("a listen address that is taken: %v: %s", err, out)
	}
	out, err = exec.Command(program, "members", "--live", a.file).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "fleet shop as a knows it, 3 instances may be there") || !strings.Contains(string(out), "itself") {
		t.Errorf("members --live: %v: %s", err, out)
	}
}
