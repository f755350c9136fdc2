package balance

import (
	"math"
	"time"
)

// slowdown compares the pace of the recent answers of all servers with what was usual. The factor by which paces are
// longer now is 1 within chance: deviations standard deviations of a mean over recent answers, each of recentWeight.
type slowdown struct {
	time, depth, usual, factor float64 // running means of times, seconds, and of the entries met; paces
	at                         time.Duration
}

const recentWeight = 0.1

// learnSlowdown takes in an answer. Each server's own pace is learned from its few answers, which is far too slow where
// many are overdriven: a queue that looked bearable stays, and with it what makes them slow. By the factor paces are
// longer, and the time that answers may take is shorter: the one keeps it as it was, the other gives servers room.
func (b *Balancer) learnSlowdown(took, met, weight float64) {
	r := &b.recent
	r.time, r.depth = r.time+weight*(took-r.time), r.depth+weight*(met-r.depth)
	pace := r.time / (r.depth + 1)
	// What is usual follows over usualSpan, and more slowly while servers are slow, so that a slowdown ends in the end.
	r.usual += min((b.now-r.at).Seconds()/usualSpan/r.factor/r.factor, recentWeight) * (pace - r.usual)
	if b.answers*paceWeight < 1 { // the first answers are all that is known
		r.time, r.depth, r.usual, pace = b.allTime, b.allDepth, b.peerPace, b.peerPace
	}
	r.at, r.factor = b.now, 1
	if pace > r.usual*(1+deviations*math.Sqrt(recentWeight/(2-recentWeight))) {
		r.factor = max(1, pace/b.peerPace)
	}
}
