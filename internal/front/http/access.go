package httpfront

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"glencart/internal/site"
)

// rule lets a network in or keeps it out.
type rule struct {
	net   netip.Prefix // zero: all
	allow bool
}

// rulesOf lists the rules of a location in their order.
func rulesOf(l *site.Location) ([]rule, error) {
	var allow, deny []rule
	for _, t := range l.Allow {
		n, err := site.Network(t)
		if err != nil {
			return nil, err
		}
		allow = append(allow, rule{n, true})
	}
	for _, t := range l.Deny {
		n, err := site.Network(t)
		if err != nil {
			return nil, err
		}
		deny = append(deny, rule{n, false})
	}
	if l.DenyFirst {
		return append(deny, allow...), nil
	}
	return append(allow, deny...), nil
}

// allowed tells whether the first rule that fits an address lets it in. Where none fits it may pass.
func allowed(rules []rule, addr netip.Addr) bool {
	for _, r := range rules {
		if !r.net.IsValid() || r.net.Contains(addr) {
			return r.allow
		}
	}
	return true
}

// accessLog writes a line for each request: the combined log format, and behind it where the request went, over how many
// attempts, how long it took until the end of its answer and how it ended.
type accessLog struct {
	name string
	mu   sync.Mutex
	file *os.File
	to   *bufio.Writer
	stop chan struct{}
}

func openAccess(name string) (*accessLog, error) {
	a := &accessLog{name: name}
	switch name {
	case "", "off":
		return a, nil
	case "stdout":
		a.to = bufio.NewWriter(os.Stdout)
	default:
		f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, fmt.Errorf("node.access_log: %w", err)
		}
		a.file, a.to = f, bufio.NewWriterSize(f, 32<<10)
	}
	a.stop = make(chan struct{})
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				a.mu.Lock()
				a.to.Flush()
				a.mu.Unlock()
			case <-a.stop:
				return
			}
		}
	}()
	return a, nil
}

// reopen opens the file anew, which may have been moved away.
func (a *accessLog) reopen() error {
	if a.file == nil {
		return nil
	}
	f, err := os.OpenFile(a.name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.to.Flush()
	a.file.Close()
	a.file = f
	a.to.Reset(f)
	return nil
}

func (a *accessLog) close() {
	if a.to == nil {
		return
	}
	close(a.stop)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.to.Flush()
	if a.file != nil {
		a.file.Close()
	}
}

// entry is one line.
type entry struct {
	remote, method, uri, proto, referer, agent string
	began                                      time.Time
	status                                     int
	bytes                                      int64
	pool, box                                  string
	attempts                                   int32
	end                                        string // served, refused, failed, here, denied, cut, gone
}

func (a *accessLog) write(e *entry) {
	if a.to == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	io.WriteString(a.to, e.text())
}

func (e *entry) text() string {
	dash := func(s string) string { return cmp.Or(quoted(s), "-") }
	word := func(s string) string { return strings.ReplaceAll(dash(s), " ", `\x20`) } // without quotes a space ends it
	return fmt.Sprintf("%s - - [%s] \"%s %s %s\" %d %d \"%s\" \"%s\" pool=%s box=%s attempts=%d time=%.4f end=%s\n",
		e.remote, e.began.Format("02/Jan/2006:15:04:05 -0700"), quoted(e.method), quoted(e.uri), e.proto, e.status, e.bytes,
		dash(e.referer), dash(e.agent), word(e.pool), word(e.box), e.attempts, time.Since(e.began).Seconds(), e.end)
}

// quoted escapes the bytes of a text that would end its quotes or its line.
func quoted(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return r < ' ' || r == '"' || r == '\\' || r >= 0x7f }) < 0 {
		return s
	}
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			fmt.Fprintf(&b, "\\x%02X", c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}
