package stories

// This file has what happens to the links of a fleet of processes, and strange messages on them.

import (
	"fmt"
	"net/netip"
	"time"

	"glencart/internal/standin/memnet"
)

// links sets each link as it is meant to be now.
func (f *processes) links() {
	for _, a := range f.list {
		for _, b := range f.list {
			l := f.usual
			l.Cut = f.cut[[2]*process{a, b}]
			if a.addr != b.addr {
				f.net.Set(a.addr.Addr(), b.addr.Addr(), l)
			}
		}
	}
}

// set cuts or mends one direction.
func (f *processes) set(from, to *process, cut bool) { f.cut[[2]*process{from, to}] = cut }

// parts cuts all links between two groups, or mends them.
func (w *world) parts(a, b string, cut bool) error {
	as, err := w.some(a)
	if err != nil {
		return err
	}
	bs, err := w.some(b)
	if err != nil {
		return err
	}
	for _, x := range as {
		for _, y := range bs {
			w.procs.set(x, y, cut)
			w.procs.set(y, x, cut)
		}
	}
	w.procs.links()
	return nil
}

// alone cuts directions between one and all others: in, out.
func (w *world) alone(name string, in, out bool) error {
	p, err := w.procs.get(name)
	if err != nil {
		return err
	}
	for _, o := range w.procs.list {
		if o != p {
			w.procs.set(o, p, in)
			w.procs.set(p, o, out)
		}
	}
	w.procs.links()
	return nil
}

// turn has the link between two fail in one direction, and in the other, each second.
func (w *world) turn(a, b string) error {
	x, err := w.procs.get(a)
	if err != nil {
		return err
	}
	y, err := w.procs.get(b)
	if err != nil {
		return err
	}
	f := w.procs
	f.turned = make(chan struct{})
	f.turns.Go(func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for n := 0; ; n++ {
			l, m := f.usual, f.usual
			l.Cut, m.Cut = n%2 == 0, n%2 == 1
			f.net.Set(x.addr.Addr(), y.addr.Addr(), l)
			f.net.Set(y.addr.Addr(), x.addr.Addr(), m)
			select {
			case <-f.turned:
				return
			case <-t.C:
			}
		}
	})
	return nil
}

// record keeps copies of what A sends to B.
func (w *world) record() error {
	f := w.procs
	a, err := f.get("A")
	if err != nil {
		return err
	}
	b, err := f.get("B")
	if err != nil {
		return err
	}
	f.net.Watch(func(from, to netip.AddrPort, d []byte) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if from == a.addr && to == b.addr && len(f.copied) < 50 {
			f.copied = append(f.copied, append([]byte(nil), d...))
		}
	})
	return nil
}

// again hands copies to B: whole, or all but the last so many bytes.
func (w *world) again(less, times int) error {
	f := w.procs
	a, err := f.get("A")
	if err != nil {
		return err
	}
	b, err := f.get("B")
	if err != nil {
		return err
	}
	f.mu.Lock()
	copied := f.copied
	f.mu.Unlock()
	if len(copied) == 0 {
		return fmt.Errorf("A has sent nothing to B")
	}
	for range times {
		for _, d := range copied {
			f.net.Inject(a.addr, b.addr, d[:max(0, len(d)-less)])
		}
	}
	return nil
}

func (w *world) linkSentences() []sentence {
	return []sentence{
		{`^([A-Z]) does not hear ([A-Z]) any more$`, func(to, from string) error { return w.way(from, to, true) }},
		{`^([A-Z]) hears ([A-Z]) again$`, func(to, from string) error { return w.way(from, to, false) }},
		{`^([A-Z]) hears nobody any more$`, func(n string) error { return w.alone(n, true, false) }},
		{`^nobody hears ([A-Z]) any more$`, func(n string) error { return w.alone(n, false, true) }},
		{`^([A-Z]) is apart from all others$`, func(n string) error { return w.alone(n, true, true) }},
		{`^all links of ([A-Z]) are whole again$`, func(n string) error { return w.alone(n, false, false) }},
		{`^([A-Z](?:, [A-Z])*(?: and [A-Z])?) are apart from ([A-Z](?:, [A-Z])*(?: and [A-Z])?)$`, func(a, b string) error { return w.parts(a, b, true) }},
		{`^([A-Z](?:, [A-Z])*(?: and [A-Z])?) are together with ([A-Z](?:, [A-Z])*(?: and [A-Z])?) again$`, func(a, b string) error { return w.parts(a, b, false) }},
		{`^the link between ([A-Z]) and ([A-Z]) fails in one direction, which turns round every second$`, w.turn},
		{`^the link between ([A-Z]) and ([A-Z]) is whole again$`, func(a, b string) error {
			close(w.procs.turned)
			w.procs.turns.Wait()
			w.procs.turned = nil
			w.procs.links()
			return nil
		}},
		{`^(\d+) % of the messages are lost$`, func(n int) error {
			w.procs.usual.Drop = float64(n) / 100
			w.procs.links()
			return nil
		}},
		{`^(\d+) % of the messages come twice, up to (\d+) seconds? late$`, func(n, late int) error {
			w.procs.usual = memnet.Link{Repeat: float64(n) / 100, Jitter: time.Duration(late) * time.Second}
			w.procs.links()
			return nil
		}},
		{`^the network is good again$`, func() error { w.procs.usual = calm; w.procs.links(); return nil }},
		{`^what A sends to B is copied$`, w.record},
		{`^B gets those copies again$`, func() error { return w.again(0, 1) }},
		{`^B gets those copies (\d+) times over$`, func(n int) error { return w.again(0, n) }},
		{`^B gets those copies cut short$`, func() error { return w.again(3, 1) }},
		{`^([A-Z]) has counted what it dropped as (foreign|garbage)$`, func(name, why string) error {
			p, err := w.procs.get(name)
			if err != nil {
				return err
			}
			if p.Counts()[why] == 0 {
				return fmt.Errorf("dropped: %v", p.Counts())
			}
			return nil
		}},
	}
}

func (w *world) way(from, to string, cut bool) error {
	a, err := w.procs.get(from)
	if err != nil {
		return err
	}
	b, err := w.procs.get(to)
	if err != nil {
		return err
	}
	w.procs.set(a, b, cut)
	w.procs.links()
	return nil
}
