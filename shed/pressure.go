// One instance's own load at one pool: the demand, and an estimate of the current capacity.
package shed

import "time"

const (
	// smooth is the weight of the newest tick in a rate. With 0.6 the last two ticks make up five sixths of the reported rate.
	smooth = 0.6
	// Protected requests follow requests that were admitted some seconds before. Taking capacity from new requests as fast as the
	// protected ones arrive would oscillate with that delay. So their rate is smoothed more, and does not jump.
	smoothKept = 0.2
	// A tick with more than jumpUp times, or less than jumpDown times, the previous demand sets the rates anew, so that the start and
	// the end of an overload show at once. At least jumpLeast requests are needed, so that random variation does not look like a jump.
	jumpUp, jumpDown, jumpLeast = 1.5, 0.6, 30

	// Capacity is evaluated when judgeLeast requests have ended, or after judgeTicks ticks. Fewer requests cannot distinguish 3
	// refused of 100 from none. Capacity is evaluated at once when at least burstLeast requests, and more than burstPart of those that
	// ended, were refused.
	judgeLeast, judgeTicks = 50, 4
	burstLeast, burstPart  = 8, 0.15
	// The instance lacks capacity when more than pressedPart of the requests that ended, and at least pressedLeast of them, were
	// refused for lack of capacity. Under normal load the decision module refuses next to none, and a burst of some milliseconds stays
	// below this limit.
	pressedPart, pressedLeast = 0.03, 3
	// Capacity grows only while at most easyPart of the requests were refused and at most latePart were late.
	easyPart, latePart = 0.01, 0.10
	// Growth for each tick. It is slow near the capacity at the last overload. It doubles at each tick beyond nearPart times that
	// capacity, because the old limit no longer holds (as CUBIC does with a congestion window), and while no queue is left.
	growSlow, growFast, nearPart = 0.01, 0.15, 1.05
	// Unused capacity is unproven: capacity grows only while at least usedPart of it is admitted.
	usedPart = 0.6
	// Response time shows a queue before refusals do. The queue estimate is the position between the recent minimum and the response
	// time at the last overload. Capacity does not grow at queueFull or more, and below queueEmpty no queue is left. The minimum rises
	// by quickForgets a tick, for backends that have become slower for good.
	quickForgets, queueFull, queueEmpty = 0.05, 0.5, 0.15
	// An overload at more than risingAt times the capacity of the last overload is not random variation: the capacity itself has
	// grown.
	risingAt = 1.1
	// After an overload the capacity is set to foundPart of the rate that was served, so that the queue becomes shorter.
	foundPart = 0.98
	// Capacity above looseAt times the demand is no longer a limit.
	looseAt = 1.25
	// rateMost bounds the rates in received sums, in requests a second.
	rateMost = 2e5
)

// pressure is the load state of one pool.
type pressure struct {
	rates  [RanksMost * perRank]rate
	kept   float64
	asked  float64 // whole demand, including protected requests
	pace   time.Duration
	room   float64       // 0: no limit is known
	bound  float64       // capacity at the last overload
	slow   time.Duration // response time at the last overload
	quick  time.Duration // recent minimum of the response time
	growth float64       // part by which the capacity grows at the next tick

	ended, noRoom, late float64 // requests since the last evaluation
	since               time.Duration
	ticks               int
}

type rate struct{ asked, admitted, served, noRoom float64 }

// tick adds the counts of one tick, which lasted took.
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

// forget starts a new evaluation window.
func (p *pressure) forget() { p.ended, p.noRoom, p.late, p.since, p.ticks = 0, 0, 0, 0, 0 }

func (p *pressure) count(n *[outcomes]float64) {
	p.ended += n[Served] + n[Late] + n[NoRoom]
	p.noRoom += n[NoRoom]
	p.late += n[Late]
}

// judge reports whether the instance lacks capacity for what it admitted. If so, it sets the capacity to the rate that was served in
// time.
func (p *pressure) judge() bool {
	enough := p.ended >= judgeLeast || p.ticks >= judgeTicks || p.noRoom >= burstLeast && p.noRoom > burstPart*p.ended
	if !enough || p.noRoom < pressedLeast || p.noRoom <= pressedPart*p.ended {
		return false
	}
	// The served rate is the capacity, whatever was admitted. While the sums of the others are in transit, more requests arrive than
	// the level will admit. Reducing the old capacity by the refused part would then reduce it twice. Half of the late requests count
	// as too many.
	p.slow = p.pace
	p.room = max(foundPart*(p.ended-p.noRoom-p.late/2)/p.since.Seconds(), 0.1)
	if p.room > risingAt*p.bound && p.bound > 0 {
		// The capacity is higher than at the last overload: backends have warmed up, or come back. Growth continues at half its pace.
		p.bound, p.growth = p.room/nearPart, max(p.growth/2, growSlow)
	} else {
		p.bound, p.growth = p.room, growSlow
	}
	p.forget()
	return true
}

// grow raises the capacity slowly, and only while the admitted requests use it and are served.
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

// queue returns the queue estimate: the position of the response time between its recent minimum (0) and its value at the last
// overload (1).
func (p *pressure) queue() float64 {
	if p.slow <= p.quick {
		return 0
	}
	return float64(p.pace-p.quick) / float64(p.slow-p.quick)
}

// sum returns the part of a Sum that describes this pool.
func (p *pressure) sum(pool string) PoolSum {
	s := PoolSum{Pool: wireName(pool), Kept: p.kept, Pace: p.pace, Room: p.room}
	for i, r := range p.rates {
		if r != (rate{}) {
			s.Cells = append(s.Cells, Cell{Priority(i), r.asked, r.admitted, r.served, r.noRoom})
		}
	}
	return s
}
