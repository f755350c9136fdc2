// One instance's own load at one pool: the demand, and an estimate of the current capacity.

package shed

import "time"

const (
	// smoothing is the weight of the newest tick in a rate. With 0.6 the last two ticks make up five sixths of the reported rate.
	smoothing = 0.6
	// Protected requests follow requests that were admitted some seconds before. Taking capacity from new requests as fast as the
	// protected ones arrive would oscillate with that delay. So their rate is smoothed more, and does not jump.
	smoothingProtected = 0.2
	// A tick with more than jumpUp times, or less than jumpDown times, the previous demand sets the rates anew, so that the start and
	// the end of an overload show at once. At least minJumpRequests requests are needed, so that random variation does not look like a
	// jump.
	jumpUp, jumpDown, minJumpRequests = 1.5, 0.6, 30

	// Capacity is evaluated when minEvaluatedRequests requests have ended, or after maxEvaluationTicks ticks. Fewer requests cannot
	// distinguish 3 refused of 100 from none. Capacity is evaluated at once when at least minBurstRefused requests, and more than
	// minBurstRefusedPart of those that ended, were refused.
	minEvaluatedRequests, maxEvaluationTicks = 50, 4
	minBurstRefused, minBurstRefusedPart     = 8, 0.15
	// The instance lacks capacity when more than minOverloadRefusedPart of the requests that ended, and at least minOverloadRefused of
	// them, were refused for lack of capacity. Under normal load the decision module refuses next to none, and a burst of some
	// milliseconds stays below this limit.
	minOverloadRefusedPart, minOverloadRefused = 0.03, 3
	// Capacity grows only while at most maxGrowthRefusedPart of the requests were refused and at most maxGrowthLatePart were late.
	maxGrowthRefusedPart, maxGrowthLatePart = 0.01, 0.10
	// Growth for each tick. It is slow near the capacity at the last overload. It doubles at each tick beyond nearFactor times that
	// capacity, because the old limit no longer holds (as CUBIC does with a congestion window), and while no queue is left.
	growSlow, growFast, nearFactor = 0.01, 0.15, 1.05
	// Unused capacity is unproven: capacity grows only while at least minGrowthUsedPart of it is admitted.
	minGrowthUsedPart = 0.6
	// Response time shows a queue before refusals do. The queue estimate is the position between the recent minimum and the response
	// time at the last overload. Capacity does not grow at queueFull or more, and below queueEmpty no queue is left. The minimum rises
	// by minLatencyDecay a tick, for backends that have become slower for good.
	minLatencyDecay, queueFull, queueEmpty = 0.05, 0.5, 0.15
	// An overload at more than capacityRiseFactor times the capacity of the last overload is not random variation: the capacity itself
	// has grown.
	capacityRiseFactor = 1.1
	// After an overload the capacity is set to servedCapacityPart of the rate that was served, so that the queue becomes shorter.
	servedCapacityPart = 0.98
	// Capacity above unlimitedFactor times the demand is no longer a limit.
	unlimitedFactor = 1.25
	// maxRate bounds the rates in received sums, in requests a second.
	maxRate = 2e5
)

// pressure is the load state of one pool.
type pressure struct {
	rates            [MaxPlans * prioritiesPerRank]rate
	protected        float64
	asked            float64 // whole demand, including protected requests
	latency          time.Duration
	capacity         float64       // 0: no limit is known
	overloadCapacity float64       // capacity at the last overload
	overloadLatency  time.Duration // response time at the last overload
	minLatency       time.Duration // recent minimum of the response time
	growth           float64       // part by which the capacity grows at the next tick

	ended, refused, late float64 // requests since the last evaluation
	windowDuration       time.Duration
	windowTicks          int
}

type rate struct{ asked, admitted, served, refused float64 }

// tick adds the counts of one tick, which lasted took.
func (p *pressure) tick(c *counts, took time.Duration) {
	perSecond := 1 / took.Seconds()
	var asked, served float64
	for i := range c.cells {
		asked += c.cells[i][Rejected] + c.cells[i][Admitted]
		served += c.cells[i][Served]
	}
	protected := c.protected[Rejected] + c.protected[Admitted]
	asked, served = asked+protected, served+c.protected[Served]
	w := smoothing
	if previous := p.asked / perSecond; max(asked, previous) >= minJumpRequests && (asked > jumpUp*previous || asked < jumpDown*previous) {
		w = 1
	}
	smoothInto := func(to *float64, n float64) {
		if *to += w * (n*perSecond - *to); *to < 1e-3 {
			*to = 0
		}
	}
	smoothInto(&p.asked, asked)
	p.protected += smoothingProtected * (protected*perSecond - p.protected)
	for i := range c.cells {
		n, r := &c.cells[i], &p.rates[i]
		smoothInto(&r.asked, n[Rejected]+n[Admitted])
		smoothInto(&r.admitted, n[Admitted])
		smoothInto(&r.served, n[Served])
		smoothInto(&r.refused, n[Refused])
		p.addOutcomes(n)
	}
	p.addOutcomes(&c.protected)
	if served > 0 {
		p.latency = time.Duration(c.took/served) * time.Microsecond
		if p.minLatency == 0 {
			p.minLatency = p.latency
		}
		p.minLatency = min(p.latency, p.minLatency+time.Duration(minLatencyDecay*float64(p.minLatency))+time.Microsecond)
	}
	p.windowDuration += took
	p.windowTicks++
	if isOverloaded := p.detectOverload(); !isOverloaded {
		p.growCapacity(c, took)
	}
	if p.ended >= minEvaluatedRequests || p.windowTicks >= maxEvaluationTicks {
		p.resetWindow()
	}
}

// resetWindow starts a new evaluation window.
func (p *pressure) resetWindow() {
	p.ended, p.refused, p.late, p.windowDuration, p.windowTicks = 0, 0, 0, 0, 0
}

func (p *pressure) addOutcomes(n *[outcomes]float64) {
	p.ended += n[Served] + n[Late] + n[Refused]
	p.refused += n[Refused]
	p.late += n[Late]
}

// detectOverload reports whether the instance lacks capacity for what it admitted. If so, it sets the capacity to the rate that was
// served in time.
func (p *pressure) detectOverload() bool {
	enough := p.ended >= minEvaluatedRequests || p.windowTicks >= maxEvaluationTicks || p.refused >= minBurstRefused && p.refused > minBurstRefusedPart*p.ended
	if !enough || p.refused < minOverloadRefused || p.refused <= minOverloadRefusedPart*p.ended {
		return false
	}
	// The served rate is the capacity, whatever was admitted. While the sums of the others are in transit, more requests arrive than
	// the level will admit. Reducing the old capacity by the refused part would then reduce it twice. Half of the late requests count
	// as too many.
	p.overloadLatency = p.latency
	p.capacity = max(servedCapacityPart*(p.ended-p.refused-p.late/2)/p.windowDuration.Seconds(), 0.1)
	if p.capacity > capacityRiseFactor*p.overloadCapacity && p.overloadCapacity > 0 {
		// The capacity is higher than at the last overload: backends have warmed up, or come back. Growth continues at half its pace.
		p.overloadCapacity, p.growth = p.capacity/nearFactor, max(p.growth/2, growSlow)
	} else {
		p.overloadCapacity, p.growth = p.capacity, growSlow
	}
	p.resetWindow()
	return true
}

// growCapacity raises the capacity slowly, and only while the admitted requests use it and are served.
func (p *pressure) growCapacity(c *counts, took time.Duration) {
	if p.capacity == 0 {
		return
	}
	var thisTick pressure
	admitted := c.protected[Admitted]
	for i := range c.cells {
		thisTick.addOutcomes(&c.cells[i])
		admitted += c.cells[i][Admitted]
	}
	thisTick.addOutcomes(&c.protected)
	switch {
	case p.capacity > unlimitedFactor*p.asked:
		p.capacity, p.overloadCapacity = 0, 0
	case thisTick.refused <= maxGrowthRefusedPart*thisTick.ended && thisTick.late <= maxGrowthLatePart*thisTick.ended && admitted >= minGrowthUsedPart*p.capacity*took.Seconds() && p.queueEstimate() < queueFull:
		if p.capacity > nearFactor*p.overloadCapacity || p.queueEstimate() < queueEmpty {
			p.growth = min(2*p.growth, growFast)
		}
		p.capacity *= 1 + p.growth
	}
}

// queueEstimate returns the queue estimate: the position of the response time between its recent minimum (0) and its value at the last
// overload (1).
func (p *pressure) queueEstimate() float64 {
	if p.overloadLatency <= p.minLatency {
		return 0
	}
	return float64(p.latency-p.minLatency) / float64(p.overloadLatency-p.minLatency)
}

// sum returns the part of a Sum that describes this pool.
func (p *pressure) sum(pool string) PoolSum {
	s := PoolSum{Pool: wireName(pool), Protected: p.protected, Latency: p.latency, Capacity: p.capacity}
	for i, r := range p.rates {
		if r != (rate{}) {
			s.Cells = append(s.Cells, Cell{Priority(i), r.asked, r.admitted, r.served, r.refused})
		}
	}
	return s
}
