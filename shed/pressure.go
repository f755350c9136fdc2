// One instance's own pressure at one pool: what it is asked, and what it can have served now.
package shed

import "time"

const (
	// smooth is the weight of the newest tick in a rate. With it the last two ticks are five sixths of what is told.
	smooth = 0.6
	// Steps of orders under way follow what was let in some seconds before: to take room from the new ones as fast as the steps come would
	// swing with that delay. So they are smoothed more, and do not jump.
	smoothKept = 0.2
	// A tick that asks more than jumpUp times, or less than jumpDown times, what was usual begins the rates anew: a rise is seen at once, and
	// so is its end. jumpLeast requests are needed for that, so that chance does not look like a jump.
	jumpUp, jumpDown, jumpLeast = 1.5, 0.6, 30

	// The room is judged when judgeLeast requests have ended, or judgeTicks ticks gone by: fewer can't tell 3 of 100 from none. It is judged
	// at once when burstLeast, and burstPart of them, were refused.
	judgeLeast, judgeTicks = 50, 4
	burstLeast, burstPart  = 8, 0.15
	// pressedPart of those that ended were refused for lack of room, and pressedLeast in number: there is no room. In calm the decision module
	// refuses next to none; a burst of some milliseconds is below it.
	pressedPart, pressedLeast = 0.03, 3
	// Room grows only while fewer than easyPart were refused and fewer than latePart came late.
	easyPart, latePart = 0.01, 0.10
	// Growth a tick: slow near the room that was last too much; twice as fast each tick from nearPart beyond it, for then that bound is of
	// the past (as CUBIC does with a window), and while no queue is left.
	growSlow, growFast, nearPart = 0.01, 0.15, 1.05
	// Room that is not used is not tried: it grows only while usedPart of it is let in.
	usedPart = 0.6
	// How long answers take tells of the queue before refusals do. From the quickest of late (which is forgotten by quickForgets a tick, for
	// boxes that are slower for good) to what it was when there was too much: beyond queueFull of that way room does not grow, and below
	// queueEmpty no queue is left.
	quickForgets, queueFull, queueEmpty = 0.05, 0.5, 0.15
	// risingAt times the room that was last too much, the next that is too much is no chance: the room itself has grown.
	risingAt = 1.1
	// foundPart of what was served while there was too much is the room: the queue is to become shorter.
	foundPart = 0.98
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
	room   float64       // 0: no bound is known
	bound  float64       // the room that was last found too much
	slow   time.Duration // pace when it was too much
	quick  time.Duration // the quickest pace of late
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
	p.kept += smoothKept * (kept*per - p.kept)
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
		if p.quick == 0 {
			p.quick = p.pace
		}
		p.quick = min(p.pace, p.quick+time.Duration(quickForgets*float64(p.quick))+time.Microsecond)
	}
	p.since += took
	p.ticks++
	if short := p.judge(); !short {
		p.grow(c, took)
	}
	if p.ended >= judgeLeast || p.ticks >= judgeTicks {
		p.forget()
	}
}

func (p *pressure) forget() { p.ended, p.noRoom, p.late, p.since, p.ticks = 0, 0, 0, 0, 0 }

func (p *pressure) count(n *[outcomes]float64) {
	p.ended += n[Served] + n[Late] + n[NoRoom]
	p.noRoom += n[NoRoom]
	p.late += n[Late]
}

// judge tells whether there is no room for all that was let in; then what was served in time is all the room there is, at once.
func (p *pressure) judge() bool {
	enough := p.ended >= judgeLeast || p.ticks >= judgeTicks || p.noRoom >= burstLeast && p.noRoom > burstPart*p.ended
	if !enough || p.noRoom < pressedLeast || p.noRoom <= pressedPart*p.ended {
		return false
	}
	// What was served is what there is room for, whatever was let in: while the others' words are under way more comes than the level
	// will let in, and to cut the old room by what is refused then would cut twice. Of those that came late half are too many.
	p.slow = p.pace
	p.room = max(foundPart*(p.ended-p.noRoom-p.late/2)/p.since.Seconds(), 0.1)
	if p.room > risingAt*p.bound && p.bound > 0 {
		// There is more than when it was last too much: boxes grow warm, or come back. It goes on where it was.
		p.bound, p.growth = p.room/nearPart, max(p.growth/2, growSlow)
	} else {
		p.bound, p.growth = p.room, growSlow
	}
	p.forget()
	return true
}

// grow raises the room, slowly and only where it is tried: while what is let in uses it and is served.
func (p *pressure) grow(c *counts, took time.Duration) {
	if p.room == 0 {
		return
	}
	var now pressure
	let := c.kept[Let]
	for i := range c.cells {
		now.count(&c.cells[i])
		let += c.cells[i][Let]
	}
	now.count(&c.kept)
	switch {
	case p.room > looseAt*p.asked:
		p.room, p.bound = 0, 0
	case now.noRoom <= easyPart*now.ended && now.late <= latePart*now.ended && let >= usedPart*p.room*took.Seconds() && p.queue() < queueFull:
		if p.room > nearPart*p.bound || p.queue() < queueEmpty {
			p.growth = min(2*p.growth, growFast)
		}
		p.room *= 1 + p.growth
	}
}

// queue is how far the pace has gone from the quickest to what it was when there was too much.
func (p *pressure) queue() float64 {
	if p.slow <= p.quick {
		return 0
	}
	return float64(p.pace-p.quick) / float64(p.slow-p.quick)
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
