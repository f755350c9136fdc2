package httpfront

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/living"
	"glencart/internal/lograte"
	"glencart/internal/members/follow"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/internal/site"
	"glencart/merge"
	"glencart/reserve"
)

// knockInterval is how often a box is knocked at that refused a connection.
const knockInterval = 500 * time.Millisecond

// freeRetries is how many attempts a second may be sent again in a pool with hardly any traffic.
const freeRetries = 3

// drainGrace is how long after news of a drain something may still be sent to a box.
const drainGrace = 500 * time.Millisecond

// pool is one running pool: its own engine with its own Balancer.
type pool struct {
	site     site.Pool
	sum      string // of all that can't change while it runs
	loop     *engine.Engine
	lag      living.LoopLag
	answered atomic.Pointer[time.Time] // when a box answered last; nil: none has
	conns    *conns
	log      *slog.Logger
	spare    *reserve.Reserve // on the loop
	list     engine.List      // as the file has it, backups included; on the loop
	backup   map[string]bool  // on the loop
	knocks   map[string]bool  // boxes that are knocked at; on the loop

	// Where boxes come from several sources, on the loop:
	member *follow.Membership // nil: they don't

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// sumOf is equal for two pools if one can take the other's place by a new list of boxes.
func sumOf(s *site.Site, p *site.Pool) string {
	q := *p
	q.Boxes = nil
	text, _ := json.Marshal([]any{q, s.Classes, s.Tenants, s.Node.Instances, s.Limits.BodyIdle})
	return string(text)
}

// config is what the decision module is told of a pool.
func config(s *site.Site, p *site.Pool) balance.Config {
	cfg := balance.Config{
		Instances: s.Node.Instances,
		Limits: balance.Limits{Cancelling: true, Probing: p.Probe != "", RetryAfter: true, MaxAttempts: p.Attempts, RetriesPerSecond: freeRetries,
			MaxRetryAfter: 5 * time.Second, ConnectTimeout: p.Connect.Or(time.Second), IdleClose: p.Idle.Or(4 * time.Second)},
		Rules: balance.Rules{DrainGrace: drainGrace, ColdShare: p.ColdShare, WarmWithin: time.Duration(p.SlowStart),
			FallMultiple: 2, OverloadFor: time.Second},
		Goal: balance.Goal{Whole: 1},
	}
	if p.Spread == "weights" {
		cfg.Weights = balance.DeclaredWeights
	}
	switch {
	case p.Reports:
		cfg.Reports = balance.InlineReports
	case p.Probe != "":
		cfg.Reports = balance.ProbeReports
	}
	effects := map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, balance.Class{Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Effect: effects[c.Effect],
			Scope: balance.ScopeAll, Window: time.Duration(c.Window), Points: c.Worth, Attempts: c.Attempts})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaPerSecond: t.Quota, Share: t.Share})
	}
	return cfg
}

func newPool(s *site.Site, p *site.Pool, log *slog.Logger) (*pool, error) {
	cfg := config(s, p)
	bal, err := balance.New(cfg, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	cs, err := newConns(p, log)
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	log = log.With("pool", p.Name)
	q := &pool{site: *p, sum: sumOf(s, p), conns: cs, log: log,
		spare: reserve.New(reserve.Config{MaxFails: p.MaxFails, FailWithin: time.Duration(p.FailWithin)})}
	complain := &lograte.Limited{Log: log}
	x := &transport{log: &lograte.Limited{Log: log}, conns: cs, probe: p.Probe, reports: p.Reports, idle: s.Limits.BodyIdle.Or(time.Minute), ended: q.ended,
		report: func(text string) (balance.Load, error) {
			l, err := settings.ParseReport(text)
			if err != nil {
				complain.Warn("malformed load report", "error", err)
			}
			return l, err
		}}
	ctx, cancel := context.WithCancel(context.Background())
	q.ctx, q.stop, q.knocks, q.backup = ctx, cancel, map[string]bool{}, map[string]bool{}
	q.loop = engine.New(engine.Config{Balancer: bal, Transport: x, Log: log})
	if len(p.Sources) > 0 || p.Check != nil {
		m, err := follow.New(p, settings.Settings{}, s.Node.Keep, log, q.loop.Clock())
		if err != nil {
			cancel()
			return nil, err
		}
		if p.Check != nil {
			m.EnableChecks(p.Check, cs.tls)
		}
		q.follow(m)
	} else if p.Registry != "" {
		src := registry.New(p.Registry, settings.Settings{Config: cfg}, log,
			func(list engine.List) {
				kind := balance.MembersChanged
				if list.Complete {
					kind = balance.MembersAll
				}
				q.loop.Post(func() { q.loop.UpdateBackends(kind, list) })
			},
			func() { q.loop.Post(func() { q.loop.Handle(balance.Event{Kind: balance.DiscoveryFailed}) }) })
		q.loop.RequestDiscovery = src.Request
		q.wg.Go(func() { src.Run(ctx) })
	} else {
		q.take(p.Boxes, 0)
	}
	q.wg.Go(func() { q.loop.Run(ctx.Done()) })
	q.wg.Go(func() { cs.Run(ctx) })
	return q, nil
}

// end stops a pool at once. What is open in it gets no answer from its engine.
func (q *pool) end() {
	q.stop()
	q.wg.Wait()
}

// reload takes in a new list of boxes. Those that are new in it start now, and cold where the file says so.
func (q *pool) reload(boxes []site.Box) {
	switch {
	case q.member != nil && len(q.site.Boxes) > 0:
		q.loop.Post(func() { q.changed(q.member.HandleEvent(q.loop.Clock(), q.member.StaticList(boxes))) })
	case q.member == nil && q.site.Registry == "":
		q.loop.Post(func() { q.take(boxes, q.loop.Clock()) })
	}
}

// take takes in a list of boxes from the file. launched is when those began that are not in the list before. On the
// loop, or before it runs.
func (q *pool) take(boxes []site.Box, launched time.Duration) {
	type process struct{ id, addr string }
	since := map[process]time.Duration{}
	for _, m := range q.list.Members {
		since[process{m.ID, m.Addr}] = m.Launched
	}
	q.list = engine.List{Complete: true, Revision: q.list.Revision + 1}
	q.backup = map[string]bool{}
	var watch []reserve.Backend
	for _, b := range boxes {
		at, known := since[process{b.ID, b.Address}]
		if !known {
			at = launched
			q.spare.Restarted(b.ID)
		}
		m := engine.Member{ID: b.ID, Addr: b.Address, Member: balance.Member{Weight: b.Weight, Launched: at}}
		switch b.State {
		case "draining":
			m.Phase = balance.Draining
		case "down":
			continue
		}
		q.backup[b.ID] = b.Backup
		watch = append(watch, reserve.Backend{ID: b.ID, Backup: b.Backup, Ready: m.Phase == balance.Ready})
		q.list.Members = append(q.list.Members, m)
	}
	q.spare.SetList(watch)
	q.tell()
}

// tell gives the list to the engine, with the backups in it if they are on. On the loop.
func (q *pool) tell() {
	list := q.list
	list.Members = nil
	for _, m := range q.list.Members {
		if q.backup[m.ID] && !q.spare.UsesBackups() && m.Phase == balance.Ready {
			m.Phase = balance.Draining
		}
		list.Members = append(list.Members, m)
	}
	q.loop.UpdateBackends(balance.MembersAll, list)
}

// ended has the reserve see how an attempt ended. It is posted ahead of the attempt's outcome, so that the module, asked
// whether to try again, has the backups in its list by then.
func (q *pool) ended(to engine.Endpoint, end reserve.End) {
	q.loop.Post(func() {
		if len(q.backup) == 0 {
			return // a registry's list tells all by itself
		}
		changed, restarted := q.spare.AttemptEnded(q.loop.Clock(), to.ID, end)
		q.after(to.ID, changed, restarted)
		if end == reserve.Refused && !q.knocks[to.ID] {
			q.knocks[to.ID] = true
			q.wg.Go(func() { q.knock(to) })
		}
	})
}

// after carries out what the reserve has said of a box. On the loop.
func (q *pool) after(id string, changed, restarted bool) {
	if changed {
		q.log.Info("backup boxes", "in use", q.spare.UsesBackups())
	}
	if restarted {
		q.log.Info("box answers after it refused connections: another process", "box", id)
		for i := range q.list.Members {
			if q.list.Members[i].ID == id {
				q.list.Members[i].Launched = q.loop.Clock()
			}
		}
	}
	var now merge.Change
	listed := false
	if restarted && q.member != nil {
		now, listed = q.member.Restarted(q.loop.Clock(), id)
	}
	switch {
	case q.member != nil && changed:
		q.pushAll()
	case listed:
		q.loop.UpdateBackends(balance.MembersChanged, engine.List{Members: []engine.Member{q.line(now)}})
	case q.member != nil:
	case changed || restarted:
		q.tell()
	}
}

// knock connects to a box that refused a connection, time and again, until it takes one, is listed no more, or the pool
// ends. The module tries a box that failed only when others have become as slow, which may take long.
func (q *pool) knock(to engine.Endpoint) {
	for {
		select {
		case <-q.ctx.Done():
			return
		case <-time.After(knockInterval):
		}
		c, err := q.conns.dial(q.ctx, to.Addr)
		if err == nil {
			c.Close()
		}
		again := make(chan bool, 1)
		if !q.loop.Post(func() {
			_, listed := q.backup[to.ID]
			if err == nil || !listed {
				delete(q.knocks, to.ID)
			}
			if err == nil && listed {
				changed, restarted := q.spare.ConnectionAccepted(to.ID)
				q.after(to.ID, changed, restarted)
			}
			again <- err != nil && listed
		}) {
			return
		}
		select {
		case more := <-again:
			if !more {
				return
			}
		case <-q.ctx.Done():
			return
		}
	}
}
