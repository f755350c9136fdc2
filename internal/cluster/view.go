package cluster

// This file has what others see of the fleet: views, and the lines of the log.

import (
	"context"
	"log/slog"
	"time"

	"glencart/detect"
)

// View is what this process knows of its fleet at one moment. It never changes.
type View struct {
	Self       detect.Update
	Members    []Member // by name, this process included
	Size       int      // how many of them may be there; in doubt the larger number
	CutOff     bool     // this process has to act as one that stands alone
	Cause      string   // of CutOff
	Superseded bool     // a later process of this name lives: this one takes no part
	Schemas    Schemas  // of records, by kind
}

// Member is one process.
type Member struct {
	detect.Update
	Link  detect.LinkState // between it and this process
	Since time.Time        // it has been in its state
}

// View returns what is known now. It takes no lock.
func (c *Cluster) View() *View { return c.view.Load() }

// replace makes the view anew. With the members' lock.
func (c *Cluster) replace(now time.Duration) {
	m := &c.members
	v := &View{Self: m.detect.Self(), Size: m.size, CutOff: m.cutOff, Cause: m.cause, Superseded: m.superseded}
	m.detect.Members(func(w detect.Update, l detect.LinkState) bool {
		v.Members = append(v.Members, Member{w, l, c.born.Add(m.since[w.Name])})
		return true
	})
	m.viewed = now
	c.membersLevels(v)
}

// linesMost bounds the lines a second: a fleet of some hundred that comes together would fill the log.
const linesMost = 50

// tell writes the log and tells the size of the fleet until ctx ends.
func (c *Cluster) tell(ctx context.Context) {
	told, lines, skipped, second := 1, 0, 0, time.Time{}
	for {
		var a detect.Action
		select {
		case <-ctx.Done():
			return
		case a = <-c.notes:
		}
		if n := c.View().Size; n != told {
			told = n
			if c.cfg.Sized != nil {
				c.cfg.Sized(n)
			}
		}
		if now := time.Now(); now.Sub(second) >= time.Second {
			if skipped > 0 {
				c.log.Info("fleet: more changes than are told", "skipped", skipped)
			}
			lines, skipped, second = 0, 0, now
		}
		if lines++; lines > linesMost {
			skipped++
			continue
		}
		c.line(a)
	}
}

// line words one change.
func (c *Cluster) line(a detect.Action) {
	switch a.Kind {
	case detect.Changed:
		level := slog.LevelInfo
		if a.Update.State == detect.Suspect || a.Update.State == detect.Dead {
			level = slog.LevelWarn
		}
		c.log.Log(context.Background(), level, "fleet: member", "member", a.Update.Name, "state", a.Update.State.String(), "was", a.Old.String(),
			"cause", a.Cause, "by", a.Update.By, "start", a.Update.Start, "address", a.Update.Addr)
	case detect.CutOff:
		if a.IsCutOff {
			c.log.Warn("fleet: cut off: this process acts as one that stands alone", "cause", a.Cause)
		} else {
			c.log.Info("fleet: not cut off any more", "cause", a.Cause)
		}
	case detect.Superseded:
		c.log.Error("fleet: superseded: a later process has this name, this one serves alone: end one of them, or give it another fleet.name",
			"name", c.cfg.Name, "later", a.By.Start)
	case detect.Renamed:
		c.log.Info("fleet: a higher start was heard of this name: this process takes one above it", "start", a.By.Start)
	case detect.SizeChanged:
		c.log.Info("fleet: size", "members", a.N)
	}
}
