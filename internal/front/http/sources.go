package httpfront

import (
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/members/follow"
	"glencart/merge"
	"glencart/reserve"
)

// follow has a pool learn its boxes from several sources.
func (q *pool) follow(m *follow.Membership) {
	q.member = m
	q.changed(m.Start(q.loop.Clock()))
	if len(m.Backends()) == 0 {
		q.loop.UpdateBackends(balance.MembersAll, engine.List{Complete: true})
	}
	m.Run(q.ctx, func(f func()) { q.wg.Go(f) }, func(event func(time.Duration) (merge.Event, bool)) {
		q.loop.Post(func() {
			if ev, counts := event(q.loop.Clock()); counts {
				q.changed(m.HandleEvent(q.loop.Clock(), ev))
			}
		})
	})
	q.wg.Go(func() { m.RunTimer(q.ctx, q.loop.Post, q.loop.Clock, q.changed) })
}

// changed takes in boxes that have changed. On the loop.
func (q *pool) changed(boxes []follow.Backend) {
	if len(boxes) == 0 {
		return
	}
	turned := false
	for _, b := range boxes {
		if b.Endpoint.Phase == balance.Gone {
			delete(q.backup, b.ID)
			turned = q.spare.Remove(b.ID) || turned
			continue
		}
		if b.IsNew {
			q.spare.Restarted(b.ID)
		}
		q.backup[b.ID] = b.Tier > 0
		turned = q.spare.Set(reserve.Backend{ID: b.ID, Backup: b.Tier > 0, Ready: b.Endpoint.Phase == balance.Ready}) || turned
	}
	if turned { // backups come or go
		q.log.Info("backup boxes", "in use", q.spare.UsesBackups())
		q.pushAll()
	} else {
		list := engine.List{Members: make([]engine.Member, 0, len(boxes))}
		for _, b := range boxes {
			list.Members = append(list.Members, q.line(b.Change))
		}
		q.loop.UpdateBackends(balance.MembersChanged, list)
	}
	q.keepSoon()
}

// pushAll tells the engine of all boxes.
func (q *pool) pushAll() {
	all := q.member.Backends()
	list := engine.List{Complete: true, Members: make([]engine.Member, 0, len(all))}
	for _, c := range all {
		list.Members = append(list.Members, q.line(c))
	}
	q.loop.UpdateBackends(balance.MembersAll, list)
}

// line is a box as the engine is to have it.
func (q *pool) line(c merge.Change) engine.Member {
	m := c.Endpoint
	if c.Tier > 0 && !q.spare.UsesBackups() && m.Phase == balance.Ready {
		m.Phase = balance.Draining
	}
	return m
}

// keepSoon has the list written down in a while. On the loop.
func (q *pool) keepSoon() {
	if q.member.ScheduleSave() {
		q.wg.Go(func() { q.member.SaveLater(q.ctx, q.loop.Post, q.loop.Done()) })
	}
}
