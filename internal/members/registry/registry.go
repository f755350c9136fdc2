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
	// callSlack is how long an answer may take beyond that. Discovery that is asked works through the calls of all nodes in
	// turn: one that is given up while it waits there is worked through all the same, and another waits in its stead. So it
	// has listPatience, or watchPatience beyond a watch's wait: by then its news counts as told, whether or not it came.
	callSlack                   = time.Second
	listPatience, watchPatience = 6 * time.Second, 2 * time.Second
	// watchGap is the longest time between two calls of a watch for which nothing can have been missed; it
	// stays below the 200 ms after which discovery ends one.
	watchGap = 150 * time.Millisecond
	// The wait after a failed call doubles from retryLeast to retryMost.
	retryLeast, retryMost = 50 * time.Millisecond, time.Second
	// listMost bounds the text of a list.
	listMost = 4 << 20
)

// errTurnedAway is an answer 503: discovery is there, and has too much to do.
var errTurnedAway = errors.New("status 503")

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
	named := make(map[string]bool, len(raw.Members))
	for i, m := range raw.Members {
		phase := slices.Index([]string{"ready", "draining", "gone"}, m.Phase)
		_, addrErr := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "":
			return engine.List{}, fmt.Errorf("member %d: no id", i)
		case raw.Complete && named[m.ID]: // among changes the later one holds
			return engine.List{}, fmt.Errorf("member %d: %s is named twice in a whole list: give each id once", i, m.ID)
		case phase < 0:
			return engine.List{}, fmt.Errorf("member %s: phase %q", m.ID, m.Phase)
		case addrErr != nil && balance.Phase(phase) != balance.Gone:
			return engine.List{}, fmt.Errorf("member %s: host_port %q", m.ID, m.HostPort)
		case m.Up < 0 || m.Up > math.MaxInt64/int64(time.Millisecond):
			return engine.List{}, fmt.Errorf("member %s: up_since_ms %d", m.ID, m.Up)
		}
		named[m.ID] = true
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
	wait  time.Duration     // of a watch
	most  time.Duration     // that the answer to a call for the whole list may take
	over  time.Duration     // and one to a watch, beyond its wait
	news  func(engine.List) // takes in a list
	lost  func()            // a call failed

	// Where discovery is asked only on the module's behalf, its Watch, Unwatch and Fetch come here; nil where
	// lists are pushed, and the node follows on its own.
	asked chan balance.ActionKind

	// have is the revision of the list that the module has, where holds: a watch from there costs what has changed since,
	// and not the whole list. Of Run alone, once that goes on.
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
		addr: addr, leave: func() {}, names: names, log: log, wait: watchWait, most: callSlack, over: callSlack, news: news,
		lost: lost,
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
		d.asked = make(chan balance.ActionKind, 16)
		d.wait, d.most, d.over = longWait, listPatience, watchPatience
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
	d.holds = d.holds && !moved // another registry may count otherwise
	for ctx.Err() == nil {
		switch {
		case d.asked == nil:
			watch = true
		case moved:
			moved = false
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

// follow reads the whole list and then, if it is to watch, the changes until a call fails. Where calls cost discovery work,
// a watch goes on from the list that the module has.
func (d *Source) follow(ctx context.Context, addr string, watch bool) (heard bool, err error) {
	whole := !watch || d.asked == nil || !d.holds
	for ctx.Err() == nil {
		query, within := "", d.most
		if !whole {
			query, within = fmt.Sprintf("?after=%d&wait_ms=%d", d.have, d.wait.Milliseconds()), d.wait+d.over
		}
		list, err := d.call(ctx, addr, query, within)
		if err == nil && ctx.Err() == nil {
			err = d.check(list, whole)
		}
		if err != nil {
			// One that turns a call away still counts as it did. After anything else a part of its news may be missing, or
			// it may have started again and count from another beginning: the whole list has to make up for that.
			d.holds = d.holds && errors.Is(err, errTurnedAway)
			return heard, err
		}
		if ctx.Err() != nil {
			return heard, ctx.Err() // this discovery is not the one any more
		}
		answered := time.Now()
		heard = true
		d.news(list)
		d.have, d.holds, d.named = list.Revision, true, d.named || len(list.Members) > 0
		if !watch || d.unwatched() {
			return true, nil
		}
		// A late call begins a new watch, which brings what came after have; where it costs nothing, all is read anew.
		whole = d.asked == nil && time.Since(answered) > watchGap
	}
	return heard, nil
}

// check tells what speaks against an answer.
func (d *Source) check(list engine.List, whole bool) error {
	switch {
	case whole && !list.Complete:
		return errors.New("the whole list was asked for, and changes came")
	case list.Complete && len(list.Members) == 0 && d.named:
		return errors.New("the whole list names no backend: the last one holds")
	case d.holds && list.Revision < d.have:
		// From a replica that lags, it would bring back what drains. A registry that counts anew says it again.
		return fmt.Errorf("revision %d came after %d: the whole list is read anew", list.Revision, d.have)
	}
	return nil
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
	case resp.StatusCode == http.StatusServiceUnavailable:
		return engine.List{}, errTurnedAway
	case resp.StatusCode != http.StatusOK:
		return engine.List{}, fmt.Errorf("status %d", resp.StatusCode)
	case len(text) > listMost:
		return engine.List{}, errors.New("list too long")
	}
	return Parse(text, d.names)
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
