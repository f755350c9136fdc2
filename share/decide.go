// The decision table: what to do with a call, by its effect and by what is known of it. The first row that fits applies. Tests
// walk all combinations.
package share

// knowledge is what is known of a call. Of several instances' reports the last in this order applies.
type knowledge uint8

const (
	knowNothing knowledge = iota
	knowNeverRan
	knowMayHaveRun
	knowRan    // it ran, and the answer was not stored
	knowAnswer // it ran, and the answer is stored here
	knowledges
)

func (k knowledge) String() string {
	return [...]string{"unknown", "never ran", "may have run", "ran, answer gone", "answer known"}[k]
}

// owners is how far the replies of a call's owners can be relied on.
type owners uint8

const (
	ownersSure     owners = iota // all have replied, and each is sure that it has every mark
	ownersSilent                 // one has not replied, or is not sure
	ownersMinority               // this side of a partition has at most half of the members
	ownersAll
)

func (o owners) String() string { return [...]string{"sure", "silent", "minority"}[o] }

// situation is one combination of inputs of the table.
type situation struct {
	effect Effect
	know   knowledge
	old    bool // past its end: the group that ran it may have forgotten it
	owners owners
	repeat bool
	group  bool // exactly one group is known to remember it
}

// set is the values of one dimension that a row applies to. The zero value means all.
type set uint16

func of[T ~uint8](values ...T) (s set) {
	for _, v := range values {
		s |= 1 << v
	}
	return s
}

func (s set) has(v uint8) bool { return s == 0 || s&(1<<v) != 0 }

var yes, no = of[uint8](1), of[uint8](0)

func bit(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// row is the action for the situations that it fits.
type row struct {
	effect, know, old, owners, repeat, group set
	action                                   What
	cause                                    Cause
	reason                                   string
}

var table = []row{
	{effect: of(Safe), action: Go,
		reason: "a second run has no effect"},
	{know: of(knowAnswer), action: Known,
		reason: "the client gets the answer of the run"},
	{effect: of(Keyed), know: of(knowMayHaveRun, knowRan), old: no, group: yes, action: GoTo,
		reason: "its group drops a second run, and answers with the first's result"},
	{know: of(knowRan), action: Unsure, cause: RanAnswerLost,
		reason: "it ran, and no instance has its answer"},
	{know: of(knowMayHaveRun), action: Unsure, cause: MayHaveRunBefore,
		reason: "a second run can't be ruled out"},
	{know: of(knowNothing, knowNeverRan), owners: of(ownersSure), action: Go,
		reason: "a mark of an earlier run would be known"},
	{know: of(knowNothing, knowNeverRan), owners: of(ownersSilent, ownersMinority), repeat: no, action: Go,
		reason: "a first try has no earlier run; a repeat that does not say so would run twice, so it is counted"},
	{know: of(knowNothing, knowNeverRan), owners: of(ownersSilent), repeat: yes, action: Unsure, cause: OwnersSilent,
		reason: "its first try may have run, and the owners that would know it do not reply"},
	{know: of(knowNothing, knowNeverRan), owners: of(ownersMinority), repeat: yes, action: Unsure, cause: InMinority,
		reason: "its first try may have run on the other side of the partition"},
}

func (r *row) fits(s situation) bool {
	return r.effect.has(uint8(s.effect)) && r.know.has(uint8(s.know)) && r.old.has(bit(s.old)) && r.owners.has(uint8(s.owners)) &&
		r.repeat.has(bit(s.repeat)) && r.group.has(bit(s.group))
}

// decide looks up a situation in the table. A test checks that every situation has a row; without one the call would fail with
// an explanation.
func decide(s situation) (What, Cause) {
	for i := range table {
		if r := &table[i]; r.fits(s) {
			return r.action, r.cause
		}
	}
	return Unsure, OwnersSilent
}
