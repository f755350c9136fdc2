package detect

import (
	"fmt"
	"time"
)

// This file has the probes: one member a round, indirect probes for other members, and the processing of received messages.

// round is the pending probe of this process. It is empty without an id.
type round struct {
	target   *member
	id       ID
	seq      uint32
	begun    time.Duration
	by       time.Duration // when indirect probes are requested
	helped   bool          // indirect probes were requested
	answered bool
	asked    int // members that were requested to probe
	here     int // of them, those that reported that they can't reach it either
}

// relay is an indirect probe for another process.
type relay struct {
	to    string // the address of the requester
	name  ID
	its   uint32 // the requester's sequence number
	about ID
	seq   uint32
	by    time.Duration
}

// maxRelays bounds the indirect probes at once. A requester that is refused here has also requested them of others.
const relaysMost = 256

func (d *Detect) seqNext() uint32 {
	if d.seq++; d.seq == 0 {
		d.seq++
	}
	return d.seq
}

// beginRound probes the next member.
func (d *Detect) beginRound() {
	d.roundAt = d.now + d.cfg.Every*time.Duration(d.patience())
	if d.self.State == Left {
		d.notices(d.cfg.Others)
		return
	}
	d.probe()
	m := d.nextInTurn()
	if m == nil {
		return
	}
	d.tries++
	d.round = round{target: m, id: m.ID, seq: d.seqNext(), begun: d.now, by: d.now + d.cfg.AnswerWithin*time.Duration(d.patience())}
	d.send(m.Addr, Message{Kind: Ask, Seq: d.round.seq, About: m.ID}, m)
}

// nextProbeTarget returns the next member of a list that is shuffled after each pass (SWIM, 4.3). No member waits longer than
// two passes.
func (d *Detect) nextInTurn() *member {
	for range len(d.ring) {
		if d.pos >= len(d.ring) {
			d.rng.Shuffle(len(d.ring), d.swap)
			d.pos = 0
		}
		m := d.ring[d.pos]
		d.pos++
		if m.State == Alive || m.State == Suspect {
			return m
		}
	}
	return nil
}

// randomMembers returns up to n random members that are present, without not.
func (d *Detect) some(n int, not *member) []*member {
	if n <= 0 || len(d.ring) == 0 {
		return nil
	}
	var got []*member
	// The first pass takes alive members with sound links, the second one also suspects and members with failed links.
	for _, any := range [...]bool{false, true} {
		from := d.rng.IntN(len(d.ring))
		step := 1
		for i := 0; i < len(d.ring) && len(got) < n; i++ {
			m := d.ring[(from+i*step)%len(d.ring)]
			if m == not || !(m.State == Alive || m.State == Suspect && any) || !any && m.link() != Sound || holds(got, m) {
				continue
			}
			got = append(got, m)
			if len(d.ring) > 4*n { // so that the same members don't always go together
				from = d.rng.IntN(len(d.ring))
			}
		}
	}
	return got
}

func holds(in []*member, m *member) bool {
	for _, o := range in {
		if o == m {
			return true
		}
	}
	return false
}

// probeIndirectly requests indirect probes of the target, and probes it once more: one of two messages may have been lost.
func (d *Detect) askOthers() {
	r := &d.round
	r.helped = true
	m := r.target
	if m.ID != r.id || !m.State.there() || d.members[m.Name] != m {
		d.round = round{}
		return
	}
	for _, o := range d.some(d.cfg.Others, m) {
		r.asked++
		d.send(o.Addr, Message{Kind: AskFor, Seq: r.seq, About: r.id, News: []Word{m.told(d.now)}}, o)
	}
	if d.cfg.Others > 0 && !d.cfg.plain {
		d.send(m.Addr, Message{Kind: Ask, Seq: r.seq, About: m.ID}, m)
	}
}

// endRound suspects a target that has not answered, unless this process may not accuse.
func (d *Detect) endRound() {
	r := d.round
	d.round = round{}
	if r.id.Name == "" || r.answered {
		return
	}
	// Members that report that they can't reach the target either show that this process is healthy; missing replies don't
	// (Lifeguard, 4.1).
	if r.here == 0 || r.here < r.asked/2 {
		d.worse(1)
	}
	m := r.target
	if d.now < d.calm || d.self.State != Alive || m.ID != r.id || d.members[m.Name] != m || !(m.State == Alive || m.State == Suspect) {
		return
	}
	d.suspect(m, fmt.Sprintf("no answer to this process or to %d indirect probes", r.asked))
}

// roundAnswered records an answer to the probe of the round.
func (d *Detect) answered(direct bool) {
	r := &d.round
	if !r.answered {
		d.better()
	}
	r.answered = true
	if !direct {
		d.missed(r.target)
	}
}

// receive processes a message.
func (d *Detect) got(from string, m *Message) {
	if s := m.From.State; !m.From.sound() || m.From.Start == 0 || s == Suspect || s == Dead { // no process sends that about itself
		return
	}
	if m.From.Name == d.self.Name {
		d.gotOwn(from, m)
		return
	}
	d.heardAt = d.now
	d.take(m.From, true)
	own, taught := d.self.Inc, d.taught
	for _, w := range m.News {
		if d.take(w, false); d.over {
			return
		}
	}
	s := d.members[m.From.Name] // the sender; nil: the limit of members is reached
	if s != nil && s.ID == m.From.ID {
		d.heard(s)
	}
	d.takeLinks(m.Links)
	switch m.Kind {
	case Ask:
		yes := Message{Kind: Answer, Seq: m.Seq, About: m.From.ID}
		if s != nil && s.ID != m.From.ID { // a later process has its name, which it must learn
			yes.News = []Word{s.told(d.now)}
		}
		d.send(from, yes, s)
		d.sampleTo(m, s)
	case Answer:
		d.gotAnswer(from, m)
	case AskFor:
		d.askFor(from, m, s)
	case AnswerFor:
		if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.About == r.id {
			d.answered(false)
		}
		d.sure(m.From.Name)
	case CantReach:
		if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.About == r.id {
			r.here++
		}
		d.sure(m.From.Name)
	case Push:
		d.act(Action{Kind: Send, Addr: from, Message: d.all(Pull)})
		d.afterExchange(d.taught - taught)
	case Pull:
		d.pulled = true
		d.afterExchange(d.taught - taught)
		d.sure(m.From.Name)
	}
	// This process has just learned that it is suspected or reported dead. The member that reported it receives the refutation
	// first.
	if own != d.self.Inc && m.Kind != Ask && m.Kind != Push && s != nil {
		d.send(s.Addr, Message{Kind: Answer, About: s.ID}, s)
	}
}

// receiveOwnName processes a message whose sender has this process's name: a seed may be this process, or another process has
// the name.
func (d *Detect) gotOwn(from string, m *Message) {
	if m.From.ID == d.self.ID {
		for i := range d.seeds {
			if m.Kind == Ask && m.About == (ID{}) && d.seeds[i].seq == m.Seq {
				d.seeds[i].self = true
			}
		}
		return
	}
	lower := m.From.Start < d.self.Start
	if d.ofSelf(m.From); !d.over && (m.Kind == Ask || lower && m.Kind != Answer) {
		d.send(from, Message{Kind: Answer, Seq: m.Seq, About: m.From.ID}, nil)
	}
}

func (d *Detect) gotAnswer(from string, m *Message) {
	if m.Seq == 0 {
		return
	}
	if m.About == d.self.ID {
		d.sure(m.From.Name)
	}
	if r := &d.round; r.id.Name != "" && r.seq == m.Seq && m.From.ID == r.id {
		d.answered(true)
	}
	for i := range d.relays {
		if r := &d.relays[i]; r.seq == m.Seq && r.about == m.From.ID {
			d.send(r.to, Message{Kind: AnswerFor, Seq: r.its, About: r.about, News: []Word{m.From}}, d.members[r.name.Name])
			d.dropRelay(i)
			break
		}
	}
	for i := range d.seeds {
		if s := &d.seeds[i]; s.seq == m.Seq {
			s.name, s.wait = m.From.Name, retry
		}
	}
}

// probeFor probes a process for another one.
func (d *Detect) askFor(from string, m *Message, s *member) {
	t := d.members[m.About.Name]
	if t == nil || t.ID != m.About || len(d.relays) >= relaysMost || t.State == Left {
		no := Message{Kind: CantReach, Seq: m.Seq, About: m.About}
		if t != nil {
			no.News = []Word{t.told(d.now)}
		}
		d.send(from, no, s)
		return
	}
	r := relay{to: from, name: m.From.ID, its: m.Seq, about: t.ID, seq: d.seqNext(), by: d.now + d.cfg.AnswerWithin}
	d.relays = append(d.relays, r)
	d.send(t.Addr, Message{Kind: Ask, Seq: r.seq, About: t.ID}, t)
}

func (d *Detect) dropRelay(i int) {
	d.relays[i] = d.relays[len(d.relays)-1]
	d.relays = d.relays[:len(d.relays)-1]
}

// expireRelays informs the requester that this process is present but has no answer either.
func (d *Detect) dueRelays() {
	for i := 0; i < len(d.relays); {
		if r := d.relays[i]; r.by <= d.now {
			d.send(r.to, Message{Kind: CantReach, Seq: r.its, About: r.about}, d.members[r.name.Name])
			d.dropRelay(i)
			continue
		}
		i++
	}
}

// confirmReachable records that another member receives from this process.
func (d *Detect) sure(name string) {
	d.sureAt, d.tries = d.now, 0
	if d.cut {
		d.cut = false
		d.act(Action{Kind: CutOff, Cause: name + " answers"})
		d.freshStart(0)
	}
	if !d.met {
		d.met = true
		d.wait = retry
		d.exchangeAt, d.with = d.now+d.chance(joinSpread), ""
	}
}

// minUnanswered is how many probes must be without an answer before this process counts as cut off. With 30 % message loss,
// this happens less than once a year.
const cutTries = 6

// checkCutOff detects that no member receives from this process, or it receives from none: its probes have no answer, whichever
// member it probes.
func (d *Detect) watchCut() {
	if d.cut || d.now-d.sureAt < d.cfg.CutAfter || d.tries < cutTries || d.self.State == Left {
		return
	}
	d.cut = true
	cause := "nobody is heard"
	if d.now-d.heardAt < d.cfg.CutAfter {
		cause = "others are heard, and none answers"
	}
	d.act(Action{Kind: CutOff, Is: true, Cause: cause})
}

// receiveOwnDeath processes a report of this process's own death. If some of its probes also have no answer, its refutations
// don't arrive.
func (d *Detect) heldDead() {
	if d.cut || d.now-d.sureAt < 3*d.cfg.Every || d.tries < 3 {
		return
	}
	d.cut = true
	d.act(Action{Kind: CutOff, Is: true, Cause: "others are heard, and hold this process for dead"})
}
