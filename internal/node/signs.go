// This file holds what a node makes of backends that refuse and come back, by its own look and by its peers'.

package node

import (
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/members"
)

// signStream keeps the chance in signs apart from the Balancer's, which has the same seed.
const signStream = 1

// saw takes in how an attempt or a probe ended. On the loop.
func (n *Node) saw(id string, res engine.Result) {
	var lines []members.Line
	switch {
	case res.Refused:
		lines = n.hand.Refused(id, unixNow())
	case res.Status == balance.Delivered, res.Status == balance.AppError, res.Status == balance.Shed:
		if lines = n.hand.Answered(id, unixNow()); len(lines) > 0 {
			n.log.Info("backend refused and answers: taken for a new process", "id", id)
		}
	}
	if len(lines) > 0 {
		n.loop.Post(func() { n.heed(lines) }) // after what is in hand
	}
	n.awaitSigns()
}

// heedSigns tells the engine of lines that signs have changed. On the loop.
func (n *Node) heedSigns(lines []members.Line) {
	if len(lines) > 0 {
		n.heed(lines)
	}
	n.awaitSigns()
}

// awaitSigns has the hand looked at when something is due there. On the loop.
func (n *Node) awaitSigns() {
	at, some := n.hand.Next()
	if !some || at == n.signsAt {
		return
	}
	n.signsAt = at
	in := max(at-unixNow(), 0)
	if n.signs == nil {
		n.signs = time.AfterFunc(in, func() { n.loop.Post(n.dueSigns) })
		return
	}
	n.signs.Reset(in)
}

// dueSigns does what is due. On the loop.
func (n *Node) dueSigns() {
	n.signsAt = 0
	message, lines := n.hand.Due(unixNow())
	if message != nil && n.peers != nil {
		n.peers.tell(balance.AllPeers, message)
	}
	n.heedSigns(lines)
}
