// Package procs has the tests of real processes: several glencart serve on this machine, every link between them through the relay, one
// stand-in box behind them. They wait for what processes log and answer, and sleep only for as long as a fault is meant to last.
//
// This file starts and watches processes.
package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"glencart/internal/cluster"
	"glencart/internal/cluster/wire"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/httpbox"
	"glencart/internal/standin/relay"
)

// patience bounds every wait here: the slowest thing waited for is a death that one accuser alone has found.
const patience = 90 * time.Second

// program is what is tested, oldRelease one that reads no schema of records above 2. They are built once.
var program, oldRelease string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "glencart-procs")
	if err == nil {
		program = filepath.Join(dir, "glencart-site")
		var out []byte
		// oldRelease is the same, but for the schemas that it reads.
		oldRelease = program + "-2"
		if out, err = exec.Command("go", "build", "-ldflags", "-X glencart/internal/cluster.readsMost=2", "-o", oldRelease, "glencart/cmd/glencart-site").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		} else if out, err = exec.Command("go", "build", "-o", program, "glencart/cmd/glencart-site").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is some processes of one cluster.
type fleet struct {
	t      *testing.T
	relay  *relay.Relay
	box    *httpbox.Server
	ledger *box.Ledger
	keys   string                     // of [fleet], for all
	more   string                     // of the file: [node]'s keys and other tables
	boxes  func(name string) []string // of an instance; nil: the one box
	procs  []*proc
	old    bool // processes are started with the old release
}

func newFleet(t *testing.T, keys string) *fleet {
	t.Parallel()
	f := &fleet{t: t, keys: keys, ledger: box.NewLedger()}
	f.relay = relay.New(t, 7, func(b []byte) string {
		p := &wire.Packet{}
		if proto.Unmarshal(b, p) != nil {
			return ""
		}
		return p.GetFrom().GetAddr()
	})
	f.box = httpbox.Start(t, box.Config{ID: "box"}, f.ledger)
	return f
}

// proc is one process.
type proc struct {
	f           *fleet
	name        string
	door        *relay.Door
	file        string
	cmd         *exec.Cmd
	web, listen string
	ended       chan struct{} // closed once it has

	mu    sync.Mutex
	lines []map[string]any
	more  chan struct{} // closed at the next line
}

// file words a site. seeds are doors.
func (f *fleet) file(name, listen, advertise string, seeds []*relay.Door) string {
	var list []string
	for _, d := range seeds {
		list = append(list, fmt.Sprintf("%q", d.Addr))
	}
	boxes := fmt.Sprintf("{ address = %q }", f.box.Addr)
	if f.boxes != nil {
		var all []string
		for _, b := range f.boxes(name) {
			all = append(all, fmt.Sprintf("{ address = %q }", b))
		}
		boxes = strings.Join(all, ", ")
	}
	return fmt.Sprintf(`[node]
leave = "5s"
%s
[fleet]
cluster = "shop"
name = %q
listen = %q
advertise = %q
seeds = [%s]
%s
[[listener]]
name = "web"
address = "127.0.0.1:0"
[[pool]]
name = "p"
boxes = [%s]
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
`, f.more, name, listen, advertise, strings.Join(list, ", "), f.keys, boxes)
}

// start starts a process behind a door, and waits until it serves.
func (f *fleet) start(name string, door *relay.Door, seeds ...*relay.Door) *proc {
	f.t.Helper()
	p := &proc{f: f, name: name, door: door, file: filepath.Join(f.t.TempDir(), "site.toml"), ended: make(chan struct{}), more: make(chan struct{})}
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(d *relay.Door) bool { return d == door })
	p.write(f.file(name, "127.0.0.1:0", door.Addr, seeds))
	release := program
	if f.old {
		release = oldRelease
	}
	p.cmd = exec.Command(release, "--log-format", "json", "serve", p.file)
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		f.t.Fatal(err)
	}
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			line := map[string]any{}
			if json.Unmarshal(s.Bytes(), &line) != nil {
				line["msg"] = s.Text()
			}
			p.mu.Lock()
			p.lines = append(p.lines, line)
			close(p.more)
			p.more = make(chan struct{})
			p.mu.Unlock()
		}
		p.cmd.Wait()
		close(p.ended)
	}()
	f.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.ended
		if f.t.Failed() {
			p.show()
		}
	})
	p.listen = p.await("it has its sockets", is("msg", "fleet: begins"))["listen"].(string)
	door.Leads(p.listen)
	p.web = p.await("it serves", is("msg", "serving"))["address"].(string)
	f.procs = append(f.procs, p)
	return p
}

func (p *proc) write(text string) {
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.f.t.Fatal(err)
	}
}

// show prints the process's log, for a test that failed.
func (p *proc) show() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		p.f.t.Logf("%s: %v %v %v", p.name, l["time"], l["msg"], l)
	}
}

// is is a condition on a line: keys with their values, in turn.
func is(pairs ...string) func(map[string]any) bool {
	return func(line map[string]any) bool {
		for i := 0; i < len(pairs); i += 2 {
			if line[pairs[i]] != pairs[i+1] {
				return false
			}
		}
		return true
	}
}

// await returns the first line for which ok holds.
func (p *proc) await(what string, ok func(map[string]any) bool) map[string]any {
	p.f.t.Helper()
	end := time.After(patience)
	for i := 0; ; {
		p.mu.Lock()
		for ; i < len(p.lines); i++ {
			if ok(p.lines[i]) {
				defer p.mu.Unlock()
				return p.lines[i]
			}
		}
		more := p.more
		p.mu.Unlock()
		select {
		case <-more:
		case <-p.ended:
			p.mu.Lock()
			n := len(p.lines)
			p.mu.Unlock()
			if i == n {
				p.show()
				p.f.t.Fatalf("%s: never came, it has ended: %s", p.name, what)
			}
		case <-end:
			p.f.t.Fatalf("%s: never came: %s", p.name, what)
		}
	}
}

// told counts lines for which ok holds.
func (p *proc) told(ok func(map[string]any) bool) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if ok(l) {
			n++
		}
	}
	return n
}

// says counts lines that a member is in a state.
func (p *proc) says(member, state string) int {
	return p.told(is("msg", "fleet: member", "member", member, "state", state))
}

// knows asks the process what it knows.
func (p *proc) knows() *wire.Members {
	ctx, stop := context.WithTimeout(context.Background(), standin.Patience)
	defer stop()
	m, _, err := cluster.Ask(ctx, cluster.System{}, p.listen, "shop")
	if err != nil {
		p.f.t.Log(err)
		return &wire.Members{}
	}
	return m
}

// of is what the process knows of another; an empty one where it knows nothing.
func (p *proc) of(name string) *wire.Member {
	for _, m := range p.knows().GetList() {
		if m.GetWord().GetName() == name {
			return m
		}
	}
	return &wire.Member{Word: &wire.Word{}}
}

// eventually waits until ok holds, as standin's does, for as long as a death may take.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never came about: %s", what)
		}
	}
}

// together waits until processes know each other alive, and nobody else so, on sound links.
func (f *fleet) together(procs ...*proc) {
	f.t.Helper()
	f.eventually("they stand together", func() bool {
		for _, p := range procs {
			alive := 0
			for _, m := range p.knows().GetList() {
				if m.Word.State == wire.State_ALIVE {
					alive++
					if m.Link != "sound" {
						return false
					}
				}
			}
			if alive != len(procs) {
				return false
			}
			for _, q := range procs {
				if w := p.of(q.name).Word; w.State != wire.State_ALIVE || w.Addr != q.door.Addr {
					return false
				}
			}
		}
		return true
	})
}

// noneDead checks that nobody was said to be dead.
func (f *fleet) noneDead() {
	f.t.Helper()
	for _, p := range f.procs {
		if n := p.told(is("msg", "fleet: member", "state", "dead")); n > 0 {
			f.t.Errorf("%s has called %d dead", p.name, n)
		}
	}
}

// three starts a, b and c, which begin with each other's doors, and waits until they stand together.
func (f *fleet) three() (a, b, c *proc) {
	f.t.Helper()
	d := []*relay.Door{f.relay.Door("a"), f.relay.Door("b"), f.relay.Door("c")}
	a, b, c = f.start("a", d[0], d...), f.start("b", d[1], d...), f.start("c", d[2], d...)
	f.together(a, b, c)
	return a, b, c
}

func (p *proc) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.f.t.Error(err)
	}
}

// clients send requests to some processes, one after another at each, until the function that is returned is called: it checks that
// each was answered with 200.
func (f *fleet) clients(procs ...*proc) (stop func()) {
	var wg sync.WaitGroup
	var good, bad atomic.Int64
	var once sync.Once
	done := make(chan struct{})
	for _, p := range procs {
		wg.Go(func() {
			c := http.Client{Timeout: standin.Patience, Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				resp, err := c.Get(fmt.Sprintf("http://%s/%s-%d", p.web, p.name, n))
				if err != nil || resp.StatusCode != http.StatusOK {
					bad.Add(1)
				} else {
					good.Add(1)
				}
				if err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	stop = func() {
		once.Do(func() {
			close(done)
			wg.Wait()
			if good.Load() == 0 || bad.Load() > 0 {
				f.t.Errorf("clients: %d answered, %d not", good.Load(), bad.Load())
			}
		})
	}
	f.t.Cleanup(stop)
	return stop
}
func addrPort(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
