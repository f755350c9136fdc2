package cluster

// This file counts what is dropped. Nothing that comes from outside gets more than one line a minute.

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/cluster/wire"
	"glencart/internal/lograte"
)

// reason is why something was dropped.
type reason int

const (
	outside      reason = iota // from, or to, an address in none of the networks
	garbage                    // not a message, or one that can't be meant
	tooLong                    // longer than a message may be
	tooNew                     // of a later version
	foreign                    // of another cluster
	crowded                    // the queue of datagrams was full
	notSent                    // the network took it not
	shortened                  // news that had no room in its datagram
	exchangeLost               // an exchange by stream that failed
	exchangeMany               // an exchange that was not begun: too many were under way
	lostNotes                  // a change that the log does not have
	handLost                   // a hand-over that failed
	handMany                   // one that was not begun: too many were under way
	notTold                    // a record that has no form that a member reads
	notRead                    // a record in a form that this release does not read
	misled                     // what was meant for a process of this name before this one
	reasons
)

var reasonNames = [reasons]string{"outside", "garbage", "too_long", "too_new", "foreign", "crowded", "not_sent", "shortened",
	"exchange_lost", "exchange_many", "lost_notes", "hand_lost", "hand_many", "not_told", "not_read", "misled"}

// remedies are those of what comes from outside; the others are told by View alone.
var remedies = [reasons]string{
	outside: "add its network to fleet.networks if it belongs to the fleet",
	garbage: "something else sends to this port, or the network spoils messages",
	tooLong: "something else sends to this port",
	tooNew:  "a process of a later release: upgrade this one",
	foreign: "its fleet.cluster is another: correct one, or keep the two apart",
	crowded: "too much comes for one process: is somebody flooding this port?",
}

// complainEvery is the least time between two lines for one reason.
const complainEvery = time.Minute

type counts struct {
	log  *slog.Logger
	n    [reasons]atomic.Uint64
	once [reasons]sync.Once
	rate [reasons]*lograte.Limited

	waits    atomic.Uint64 // requests that waited for owners
	waitedUs atomic.Uint64 // for how long in all
}

func (c *counts) waited(d time.Duration) {
	c.waits.Add(1)
	c.waitedUs.Add(uint64(d.Microseconds()))
}

func (c *counts) add(r reason) { c.n[r].Add(1) }

// drop counts what came from outside and says so once a minute.
func (c *counts) drop(r reason, from string) {
	n := c.n[r].Add(1)
	c.once[r].Do(func() { c.rate[r] = &lograte.Limited{Log: c.log, Every: complainEvery} })
	c.rate[r].Warn("fleet: dropped", "why", reasonNames[r], "from", from, "so_far", n, "remedy", remedies[r])
}

// reasonOf names an error of package wire.
func reasonOf(err error) reason {
	switch {
	case errors.Is(err, wire.ErrForeign):
		return foreign
	case errors.Is(err, wire.ErrTooNew):
		return tooNew
	case errors.Is(err, wire.ErrTooLong):
		return tooLong
	}
	return garbage
}

// Counts are what was dropped so far, by reason; those at 0 are left out.
func (c *Cluster) Counts() map[string]uint64 {
	out := map[string]uint64{}
	for r := range reasons {
		if n := c.counts.n[r].Load(); n > 0 {
			out[reasonNames[r]] = n
		}
	}
	return out
}
