// One instance's own pressure at one pool: what it is asked, and what it can have served now.
package shed

import "time"

const (
	// smooth is the weight of the newest tick in a rate. With it the last three ticks are four fifths of what is told.
	smooth = 0.4
	// A tick that asks more than jumpUp times, or less than jumpDown times, what was usual begins the rates anew: a rise is seen at once, and
	// so is its end. jumpLeast requests are needed for that, so that chance does not look like a jump.
	jumpUp, jumpDown, jumpLeast = 1.5, 0.6, 30

	// judgeLeast requests must have ended before the room is judged, or judgeTicks ticks gone by: fewer say nothing.
	judgeLeast, judgeTicks = 20, 4
	// pressedPart of those that ended were refused for lack of room, and pressedLeast in number: there is no room. In calm the decision module
	// refuses next to none; a burst of some milliseconds is below it.
	pressedPart, pressedLeast = 0.05, 3
	// Room grows only while fewer than easyPart were refused and fewer than latePart came late.
	easyPart, latePart = 0.02, 0.10
	// Growth a tick: slow near the room that was last too much, and from nearPart beyond it twice as fast each tick: then that bound is of
	// the past. (As CUBIC does with a window.)
	growSlow, growFast, nearPart = 0.01, 0.10, 1.05
	// looseAt times what is asked, the room is no bound any more.
	looseAt = 1.25
	// rateMost bounds what another may say, in requests a second.
	rateMost = 2e5
)

// pressure is kept for each pool.
type pressure struct {
	rates  [RanksMost * perRank]rate
	kept   float64
	asked  float64 // all of it, kept too
	pace   time.Duration
	room   float64 // 0: no bound is known
	bound  float64 // the room that was last found too much
	growth float64

	ended, noRoom, late float64 // since the last judgement
	since               time.Duration
	ticks               int
}

type rate struct{ asked, admitted, served, noRoom float64 }

// tick takes in what was counted in the time since the last tick.
func (p *pressure) tick(c *counts, took time.Duration) {
	per := 1 / took.Seconds()
	var asked, served float64
	for i := range c.cells {
		asked += c.cells[i][Turned] + c.cells[i][Let]
		served += c.cells[i][Served]
	}
	kept := c.kept[Turned] + c.kept[Let]
	asked, served = asked+kept, served+c.kept[Served]
	w := smooth
	if usual := p.asked / per; max(asked, usual) >= jumpLeast && (asked > jumpUp*usual || asked < jumpDown*usual) {
		w = 1
	}
	ease := func(to *float64, n float64) {
		if *to += w * (n*per - *to); *to < 1e-3 {
			*to = 0
		}
	}
	ease(&p.asked, asked)
	ease(&p.kept, kept)
	for i := range c.cells {
		n, r := &c.cells[i], &p.rates[i]
		ease(&r.asked, n[Turned]+n[Let])
		ease(&r.admitted, n[Let])
		ease(&r.served, n[Served])
		ease(&r.noRoom, n[NoRoom])
		p.count(n)
	}
	p.count(&c.kept)
	if served > 0 {
		p.pace = time.Duration(c.took/served) * time.Microsecond
	}
	p.since += took
	p.ticks++
	if p.ended >= judgeLeast || p.ticks >= judgeTicks {
		p.judge()
		p.ended, p.noRoom, p.late, p.since, p.ticks = 0, 0, 0, 0, 0
	}
}

func (p *pressure) count(n *[outcomes]float64) {
	p.ended += n[Served] + n[Late] + n[NoRoom]
	p.noRoom += n[NoRoom]
	p.late += n[Late]
}

// judge moves the room: down at once to what was served in time, up slowly while all that is let in is served.
func (p *pressure) judge() {
	if p.ended == 0 {
		// Nothing ended: nothing is known of the room now, and a bound that nobody tries would hold for ever.
		p.grow()
		return
	}
	refused, late := p.noRoom/p.ended, p.late/p.ended
	switch {
	case refused > pressedPart && p.noRoom >= pressedLeast:
		// What was served is what there is room for, whatever was let in: while the others' words are under way more comes than the level
		// will let in, and to cut the old room by what is refused then would cut twice. Of those that came late half are too many.
		p.room = max((p.ended-p.noRoom-p.late/2)/p.since.Seconds(), 0.1)
		p.bound, p.growth = p.room, growSlow
	case refused < easyPart && late < latePart:
		p.grow()
	}
}

func (p *pressure) grow() {
	if p.room == 0 {
		return
	}
	for range p.ticks {
		if p.room > nearPart*p.bound {
			p.growth = min(2*p.growth, growFast)
		}
		p.room *= 1 + p.growth
	}
	if p.room > looseAt*p.asked {
		p.room = 0
	}
}

func (p *pressure) sum(pool string) PoolSum {
	s := PoolSum{Pool: wireName(pool), Kept: p.kept, Pace: p.pace, Room: p.room}
	for i, r := range p.rates {
		if r != (rate{}) {
			s.Cells = append(s.Cells, Cell{Priority(i), r.asked, r.admitted, r.served, r.noRoom})
		}
	}
	return s
}
