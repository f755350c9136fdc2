// Package registry keeps a list of backends up to date from the HTTP registry that the platform calls discovery:
// list, watch, reconnect, move. The daemon and the plug-in share it.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/settings"
)

const (
	// watchWait is how long a watch asks discovery to wait. A cut-off discovery says nothing, so it is short:
	// news is then late by no more than this and callSlack. Where each call costs discovery work it is longWait.
	watchWait, longWait = 2 * time.Second, 20 * time.Second
	// callSlack is how long an answer may take beyond that.
	callSlack = time.Second
	// watchGap is the longest time between two calls of a watch for which nothing can have been missed; it
	// stays below the 200 ms after which discovery ends one.
	watchGap = 150 * time.Millisecond
	// The wait after a failed call doubles from retryLeast to retryMost.
	retryLeast, retryMost = 50 * time.Millisecond, time.Second
	// listMost bounds the text of a list.
	listMost = 4 << 20
)

// Parse decodes a list as discovery words it. One malformed entry spoils the whole list: half a list
// could hide a drain.
func Parse(text []byte, names settings.Settings) (engine.List, error) {
	var raw struct {
		Revision *int64 `json:"revision"`
		Complete bool   `json:"complete"`
		Members  []struct {
			ID       string   `json:"id"`
			HostPort string   `json:"host_port"`
			Locality string   `json:"locality"`
			Flavor   string   `json:"flavor"`
			Cell     int      `json:"cell"`
			Phase    string   `json:"phase"`
			Size     *float64 `json:"size"`
			Up       int64    `json:"up_since_ms"`
		} `json:"members"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return engine.List{}, err
	}
	if raw.Revision == nil {
		return engine.List{}, errors.New("revision: missing")
	}
	list := engine.List{Revision: *raw.Revision, Complete: raw.Complete}
	for i, m := range raw.Members {
		phase := slices.Index([]string{"ready", "draining", "gone"}, m.Phase)
		_, addrErr := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "":
			return engine.List{}, fmt.Errorf("member %d: no id", i)
		case phase < 0:
			return engine.List{}, fmt.Errorf("member %s: phase %q", m.ID, m.Phase)
		case addrErr != nil && balance.Phase(phase) != balance.Gone:
			return engine.List{}, fmt.Errorf("member %s: host_port %q", m.ID, m.HostPort)
		case m.Up < 0 || m.Up > math.MaxInt64/int64(time.Millisecond):
			return engine.List{}, fmt.Errorf("member %s: up_since_ms %d", m.ID, m.Up)
		}
		weight := 1.0
		if m.Size != nil {
			weight = *m.Size
		}
		list.Members = append(list.Members, engine.Member{ID: m.ID, Addr: m.HostPort, Member: balance.Member{
			// An unknown locality is some other one than ours.
			Zone: slices.Index(names.Zones, m.Locality), Cell: m.Cell, Kind: slices.Index(names.Kinds, m.Flavor),
			Weight: weight, Launched: time.Duration(m.Up) * time.Millisecond, Phase: balance.Phase(phase),
		}})
	}
	return list, nil
}

// Source follows one registry, and moves to another on request.
type Source struct {
	names settings.Settings
	http  *http.Client
	log   *slog.Logger
	wait  time.Duration // of a watch
	// patience is how long an answer may take. Discovery that is asked works through the calls of all nodes in turn: one
	// that is given up while it waits there is worked through all the same, and another waits in its stead. It ends
	// itself what waits too long. Without an answer for AskEvery the node counts as told.
	patience time.Duration
	news     func(engine.List) // takes in a list
	lost     func()            // a call failed

	// Where discovery is asked only on the module's behalf, its Watch, Unwatch and Fetch come here; nil where
	// lists are pushed, and the node follows on its own.
	asked chan balance.ActionKind

	// have is the revision of the list that the module has, where holds. A watch that is begun from there costs what
	// has changed since, and not the whole list. Of Run alone, once that goes on.
	have  int64
	holds bool
	// named tells that a list has named a backend. A whole list of none after that is taken for a fault of the registry:
	// boxes that are really gone answer no connection, and a pool emptied by mistake refuses everything.
	named bool

	mu    sync.Mutex
	addr  string
	leave context.CancelFunc // ends all that goes on at addr
}

// New returns a source that is ready to run. news takes in each list, in order; lost tells of a call that failed.
// Both are called from Run, which waits for them.
func New(addr string, names settings.Settings, log *slog.Logger, news func(engine.List), lost func()) *Source {
	d := &Source{
		addr: addr, leave: func() {}, names: names, log: log, wait: watchWait, patience: callSlack, news: news, lost: lost,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: callSlack}).DialContext,
				MaxIdleConnsPerHost:    1,
				MaxConnsPerHost:        2,
				IdleConnTimeout:        10 * time.Second,
				MaxResponseHeaderBytes: 16 << 10,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if names.Config.AskDiscovery {
		d.asked, d.wait = make(chan balance.ActionKind, 16), longWait
		d.patience = max(names.Config.Rules.AskEvery, callSlack)
	}
	return d
}

// Holds tells, before Run, which revision the module has already: a remembered one. It may be old, since a watch from
// there brings all that came after it.
func (d *Source) Holds(revision int64) { d.have, d.holds, d.named = revision, true, true }

// Ask passes on what the module wants of discovery. It never blocks.
func (d *Source) Ask(kind balance.ActionKind) {
	select {
	case d.asked <- kind:
	default: // nobody listens where lists are pushed; elsewhere a call is under way
	}
}

// Move has discovery go on at another address, at once. What the old one still answers is not taken in; the list
// that it gave holds until the new one has given its whole list.
func (d *Source) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.log.Info("discovery moves", "from", d.addr, "to", addr)
	d.addr = addr
	d.leave()
}

// stay returns the address, and a context that ends when it is no longer the one.
func (d *Source) stay(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.leave = context.WithCancel(ctx)
	return ctx, d.addr
}

// Run follows discovery until ctx ends.
func (d *Source) Run(ctx context.Context) {
	moved, watched := false, false
	for ctx.Err() == nil {
		here, addr := d.stay(ctx)
		watched = d.runAt(here, addr, moved, watched)
		moved = true
		d.http.CloseIdleConnections()
	}
}

// runAt follows discovery at one address until ctx ends. Where it is asked on the module's behalf, the first
// call of one that has moved needs no asking, and a watch goes on. It tells whether there is a watch at the end.
func (d *Source) runAt(ctx context.Context, addr string, moved, watch bool) bool {
	complain := lograte.Limited{Log: d.log}
	wait := retryLeast
	for ctx.Err() == nil {
		switch {
		case d.asked == nil:
			watch = true
		case moved:
			moved, d.holds = false, false // another registry may count otherwise
		default:
			select {
			case <-ctx.Done():
				return watch
			case kind := <-d.asked:
				watch = kind == balance.Watch
				if kind == balance.Unwatch {
					continue
				}
			}
		}
		heard, err := d.follow(ctx, addr, watch)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			watch = false
			continue
		}
		complain.Warn("discovery failed", "error", err)
		d.lost()
		if heard {
			wait = retryLeast
		}
		// Nodes that lost discovery together must not come back to it in step.
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, retryMost)
	}
	return watch
}

// follow reads the whole list and then, if it is to watch, the changes until a call fails.
func (d *Source) follow(ctx context.Context, addr string, watch bool) (heard bool, err error) {
	query, within, after := "", d.patience, int64(math.MinInt64)
	if watch && d.asked != nil && d.holds {
		after, query, within = d.have, d.watchFrom(d.have), d.wait+d.patience
	}
	for ctx.Err() == nil {
		list, err := d.call(ctx, addr, query, within)
		if err != nil {
			return heard, err
		}
		if ctx.Err() != nil {
			return heard, ctx.Err() // this discovery is not the one any more
		}
		if query == "" && !list.Complete {
			return heard, errors.New("the whole list was asked for, and changes came")
		}
		if list.Complete && len(list.Members) == 0 && d.named {
			return heard, errors.New("the whole list names no backend: the last one holds")
		}
		answered := time.Now()
		heard, d.named = true, d.named || len(list.Members) > 0
		if !list.Complete && list.Revision < after { // the versions went back: changes to another list
			d.holds = false
			query, within, after = "", d.patience, math.MinInt64
			continue
		}
		d.news(list)
		d.have, d.holds = list.Revision, true
		if !watch || d.unwatched() {
			return true, nil
		}
		query = d.watchFrom(list.Revision)
		within = d.wait + d.patience
		if d.asked == nil && time.Since(answered) > watchGap {
			// The watch has ended, and the whole list costs nothing here.
			query, within = "", d.patience
		}
		after = list.Revision
	}
	return heard, nil
}

// watchFrom is the query of a watch for what is newer than a revision.
func (d *Source) watchFrom(revision int64) string {
	return fmt.Sprintf("?after=%d&wait_ms=%d", revision, d.wait.Milliseconds())
}

// unwatched tells whether the module has ended its subscription.
func (d *Source) unwatched() bool {
	select {
	case kind := <-d.asked:
		return kind == balance.Unwatch
	default:
		return false
	}
}

func (d *Source) call(ctx context.Context, addr, query string, within time.Duration) (engine.List, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/registry/instances"+query, nil)
	if err != nil {
		return engine.List{}, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return engine.List{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listMost+1))
	switch {
	case err != nil:
		return engine.List{}, err
	case resp.StatusCode != http.StatusOK:
		return engine.List{}, fmt.Errorf("status %d", resp.StatusCode)
	case len(text) > listMost:
		return engine.List{}, errors.New("list too long")
	}
	list, err := Parse(text, d.names)
	if err != nil {
		d.holds = false // what it would have told is missing: the whole list has to make up for it
	}
	return list, err
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
