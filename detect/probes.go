package detect

import (
	"fmt"
	"time"
)

// This file has the probes: one member a round, indirect probes for other members, and the processing of received messages.

// round is the pending probe of this process. It is empty without an id.
type round struct {
	target        *member
	id            ID
	seq           uint32
	begunAt       time.Duration
	indirectAt    time.Duration // when indirect probes are requested
	isIndirect    bool          // indirect probes were requested
	isAnswered    bool
	indirectAsked int // members that were requested to probe
	cannotReach   int // of them, those that reported that they can't reach it either
}

// relay is an indirect probe for another process.
type relay struct {
	requesterAddr string // the address of the requester
	requester     ID
	requesterSeq  uint32 // the requester's sequence number
	target        ID
	seq           uint32
	deadline      time.Duration
}

// maxRelays bounds the indirect probes at once. A requester that is refused here has also requested them of others.
const maxRelays = 256

func (d *Detect) nextSeq() uint32 {
	if d.seq++; d.seq == 0 {
		d.seq++
	}
	return d.seq
}

// beginRound probes the next member.
func (d *Detect) beginRound() {
	d.nextRoundAt = d.now + d.cfg.ProbeInterval*time.Duration(d.timeoutFactor())
	if d.self.State == Left {
		d.sendNotices(d.cfg.IndirectProbes)
		return
	}
	d.probeLinks()
	m := d.nextProbeTarget()
	if m == nil {
		return
	}
	d.unanswered++
	d.round = round{target: m, id: m.ID, seq: d.nextSeq(), begunAt: d.now,
		indirectAt: d.now + d.cfg.ProbeTimeout*time.Duration(d.timeoutFactor())}
	d.send(m.Addr, Message{Kind: Ask, Seq: d.round.seq, About: m.ID}, m)
}

// nextProbeTarget returns the next member of a list that is shuffled after each pass (SWIM, 4.3). No member waits longer than
// two passes.
func (d *Detect) nextProbeTarget() *member {
	for range len(d.ring) {
		if d.ringPos >= len(d.ring) {
			d.rng.Shuffle(len(d.ring), d.swap)
			d.ringPos = 0
		}
		m := d.ring[d.ringPos]
		d.ringPos++
		if m.State == Alive || m.State == Suspect {
			return m
		}
	}
	return nil
}

// randomMembers returns up to n random members that are present, but not except.
func (d *Detect) randomMembers(n int, except *member) []*member {
	if n <= 0 || len(d.ring) == 0 {
		return nil
	}
	var members []*member
	// The first pass takes alive members with sound links, the second one also suspects and members with failed links.
	for _, withSuspects := range [...]bool{false, true} {
		from := d.rng.IntN(len(d.ring))
		step := 1
		for i := 0; i < len(d.ring) && len(members) < n; i++ {
			m := d.ring[(from+i*step)%len(d.ring)]
			if m == except || !(m.State == Alive || m.State == Suspect && withSuspects) || !withSuspects && m.link() != Sound ||
				containsMember(members, m) {
				continue
			}
			members = append(members, m)
			if len(d.ring) > 4*n { // so that the same members don't always go together
				from = d.rng.IntN(len(d.ring))
			}
		}
	}
	return members
}

func containsMember(members []*member, m *member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}

// probeIndirectly requests indirect probes of the target, and probes it once more: one of two messages may have been lost.
func (d *Detect) probeIndirectly() {
	r := &d.round
	r.isIndirect = true
	m := r.target
	if m.ID != r.id || !m.State.isPresent() || d.members[m.Name] != m {
		d.round = round{}
		return
	}
	for _, o := range d.randomMembers(d.cfg.IndirectProbes, m) {
		r.indirectAsked++
		d.send(o.Addr, Message{Kind: AskFor, Seq: r.seq, About: r.id, Updates: []Update{m.currentUpdate(d.now)}}, o)
	}
	if d.cfg.IndirectProbes > 0 && !d.cfg.isPlainSWIM {
		d.send(m.Addr, Message{Kind: Ask, Seq: r.seq, About: m.ID}, m)
	}
}

// endRound suspects a target that has not answered, unless this process may not accuse.
func (d *Detect) endRound() {
	r := d.round
	d.round = round{}
	if r.id.Name == "" || r.isAnswered {
		return
	}
	// Members that report that they can't reach the target either show that this process is healthy; missing replies don't
	// (Lifeguard, 4.1).
	if r.cannotReach == 0 || r.cannotReach < r.indirectAsked/2 {
		d.worsenHealth(1)
	}
	m := r.target
	if d.now < d.noSuspicionUntil || d.self.State != Alive || m.ID != r.id || d.members[m.Name] != m ||
		!(m.State == Alive || m.State == Suspect) {
		return
	}
	d.suspect(m, fmt.Sprintf("no answer to this process or to %d indirect probes", r.indirectAsked))
}

// roundAnswered records an answer to the probe of the round.
func (d *Detect) roundAnswered(direct bool) {
	r := &d.round
	if !r.isAnswered {
		d.improveHealth()
	}
	r.isAnswered = true
	if !direct {
		d.startLinkCheck(r.target)
	}
}

// receive processes a message.
func (d *Detect) receive(from string, m *Message) {
	if s := m.From.State; !m.From.isValid() || m.From.Start == 0 || s == Suspect || s == Dead { // no process sends that about itself
		return
	}
	if m.From.Name == d.self.Name {
		d.receiveOwnName(from, m)
		return
	}
	d.receivedAt = d.now
	d.receiveUpdate(m.From, true)
	incBefore, learnedBefore := d.self.Inc, d.learned
	for _, w := range m.Updates {
		if d.receiveUpdate(w, false); d.isSuperseded {
			return
		}
	}
	s := d.members[m.From.Name] // the sender; nil: the limit of members is reached
	if s != nil && s.ID == m.From.ID {
		d.receivedFrom(s)
	}
	d.receiveLinks(m.Links)
	switch m.Kind {
	case Ask:
		answer := Message{Kind: Answer, Seq: m.Seq, About: m.From.ID}
		if s != nil && s.ID != m.From.ID { // a later process has its name, which it must learn
			answer.Updates = []Update{s.currentUpdate(d.now)}
		}
		d.send(from, answer, s)
		d.sendSample(m, s)
	case Answer:
		d.receiveAnswer(from, m)
	case AskFor:
		d.probeFor(from, m, s)
	case AnswerFor:
		if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.About == r.id {
			d.roundAnswered(false)
		}
		d.confirmReachable(m.From.Name)
	case CantReach:
		if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.About == r.id {
			r.cannotReach++
		}
		d.confirmReachable(m.From.Name)
	case Push:
		d.act(Action{Kind: Send, Addr: from, Message: d.fullState(Pull)})
		d.scheduleFollowUp(d.learned - learnedBefore)
	case Pull:
		d.hasFullState = true
		d.scheduleFollowUp(d.learned - learnedBefore)
		d.confirmReachable(m.From.Name)
	}
	// This process has just learned that it is suspected or reported dead. The member that reported it receives the refutation
	// first.
	if incBefore != d.self.Inc && m.Kind != Ask && m.Kind != Push && s != nil {
		d.send(s.Addr, Message{Kind: Answer, About: s.ID}, s)
	}
}

// receiveOwnName processes a message whose sender has this process's name: a seed may be this process, or another process has
// the name.
func (d *Detect) receiveOwnName(from string, m *Message) {
	if m.From.ID == d.self.ID {
		for i := range d.seeds {
			if m.Kind == Ask && m.About == (ID{}) && d.seeds[i].seq == m.Seq {
				d.seeds[i].isSelf = true
			}
		}
		return
	}
	lower := m.From.Start < d.self.Start
	if d.receiveSelfUpdate(m.From); !d.isSuperseded && (m.Kind == Ask || lower && m.Kind != Answer) {
		d.send(from, Message{Kind: Answer, Seq: m.Seq, About: m.From.ID}, nil)
	}
}

func (d *Detect) receiveAnswer(from string, m *Message) {
	if m.Seq == 0 {
		return
	}
	if m.About == d.self.ID {
		d.confirmReachable(m.From.Name)
	}
	if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.From.ID == r.id {
		d.roundAnswered(true)
	}
	for i := range d.relays {
		if r := &d.relays[i]; r.seq == m.Seq && r.target == m.From.ID {
			d.send(r.requesterAddr, Message{Kind: AnswerFor, Seq: r.requesterSeq, About: r.target, Updates: []Update{m.From}},
				d.members[r.requester.Name])
			d.dropRelay(i)
			break
		}
	}
	for i := range d.seeds {
		if s := &d.seeds[i]; s.seq == m.Seq {
			s.name, s.wait = m.From.Name, initialRetryWait
		}
	}
}

// probeFor probes a process for another one.
func (d *Detect) probeFor(from string, m *Message, s *member) {
	t := d.members[m.About.Name]
	if t == nil || t.ID != m.About || len(d.relays) >= maxRelays || t.State == Left {
		refusal := Message{Kind: CantReach, Seq: m.Seq, About: m.About}
		if t != nil {
			refusal.Updates = []Update{t.currentUpdate(d.now)}
		}
		d.send(from, refusal, s)
		return
	}
	r := relay{requesterAddr: from, requester: m.From.ID, requesterSeq: m.Seq, target: t.ID,
		seq: d.nextSeq(), deadline: d.now + d.cfg.ProbeTimeout}
	d.relays = append(d.relays, r)
	d.send(t.Addr, Message{Kind: Ask, Seq: r.seq, About: t.ID}, t)
}

func (d *Detect) dropRelay(i int) {
	d.relays[i] = d.relays[len(d.relays)-1]
	d.relays = d.relays[:len(d.relays)-1]
}

// expireRelays informs the requester that this process is present but has no answer either.
func (d *Detect) expireRelays() {
	for i := 0; i < len(d.relays); {
		if r := d.relays[i]; r.deadline <= d.now {
			d.send(r.requesterAddr, Message{Kind: CantReach, Seq: r.requesterSeq, About: r.target}, d.members[r.requester.Name])
			d.dropRelay(i)
			continue
		}
		i++
	}
}

// confirmReachable records that another member receives from this process.
func (d *Detect) confirmReachable(name string) {
	d.confirmedAt, d.unanswered = d.now, 0
	if d.isCutOff {
		d.isCutOff = false
		d.act(Action{Kind: CutOff, Cause: name + " answers"})
		d.resume(0)
	}
	if !d.hasJoined {
		d.hasJoined = true
		d.exchangeWait = initialRetryWait
		d.exchangeAt, d.exchangePartner = d.now+d.randomDuration(joinSpread), ""
	}
}

// minUnanswered is how many probes must be without an answer before this process counts as cut off. With 30 % message loss,
// this happens less than once a year.
const minUnanswered = 6

// checkCutOff detects that no member receives from this process, or it receives from none: its probes have no answer, whichever
// member it probes.
func (d *Detect) checkCutOff() {
	if d.isCutOff || d.now-d.confirmedAt < d.cfg.CutOffTimeout || d.unanswered < minUnanswered || d.self.State == Left {
		return
	}
	d.isCutOff = true
	cause := "nobody is heard"
	if d.now-d.receivedAt < d.cfg.CutOffTimeout {
		cause = "others are heard, and none answers"
	}
	d.act(Action{Kind: CutOff, IsCutOff: true, Cause: cause})
}

// receiveOwnDeath processes a report of this process's own death. If some of its probes also have no answer, its refutations
// don't arrive.
func (d *Detect) receiveOwnDeath() {
	if d.isCutOff || d.now-d.confirmedAt < 3*d.cfg.ProbeInterval || d.unanswered < 3 {
		return
	}
	d.isCutOff = true
	d.act(Action{Kind: CutOff, IsCutOff: true, Cause: "others are heard, and hold this process for dead"})
}
