// What is done with a call, by what it would do if it ran twice and by what is known of it. The table is data: its rows are read in
// order, the first that fits holds, and tests walk all cells.
package share

// knowledge is what is known of a call: of several instances' words the last in this order.
type knowledge uint8

const (
	knowNothing knowledge = iota
	knowNever
	knowMay
	knowRan    // it ran, and the answer was not kept
	knowAnswer // it ran, and the answer is here
	knowledges
)

func (k knowledge) String() string {
	return [...]string{"unknown", "never ran", "may have run", "ran, answer gone", "answer known"}[k]
}

// owners is how far those who would know a call can be relied on.
type owners uint8

const (
	ownersSure     owners = iota // all have answered, each sure that it has every mark
	ownersSilent                 // one has not, or is not sure
	ownersMinority               // this side of a partition has not more than half of the members
	ownersAll
)

func (o owners) String() string { return [...]string{"sure", "silent", "minority"}[o] }

// situation is a cell of the table.
type situation struct {
	effect Effect
	know   knowledge
	old    bool // past its end: the group that ran it may have forgotten it
	owners owners
	repeat bool
	group  bool // exactly one group is known to remember it
}

// set is which values of one dimension a row is for. The zero value: all.
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

// row says what is done in the situations that it fits.
type row struct {
	effect, know, old, owners, repeat, group set
	what                                     What
	why                                      Cause
	because                                  string
}

var table = []row{
	{effect: of(Safe), what: Go,
		because: "running it twice does nothing"},
	{know: of(knowAnswer), what: Known,
		because: "the client gets what it would have got"},
	{effect: of(Keyed), know: of(knowMay, knowRan), old: no, group: yes, what: GoTo,
		because: "its group drops a second run, and answers with the first's result"},
	{know: of(knowRan), what: Unsure, why: ItRan,
		because: "it ran, and there is nobody who could say what came of it"},
	{know: of(knowMay), what: Unsure, why: ItMayHaveRun,
		because: "a second run can't be ruled out"},
	{know: of(knowNothing, knowNever), owners: of(ownersSure), what: Go,
		because: "a mark of an earlier run would be known"},
	{know: of(knowNothing, knowNever), owners: of(ownersSilent, ownersMinority), repeat: no, what: Go,
		because: "a first try has no earlier run; a repeat that does not say so would run twice, so it is counted"},
	{know: of(knowNothing, knowNever), owners: of(ownersSilent), repeat: yes, what: Unsure, why: OwnersSilent,
		because: "its first try may have run, and those who would know do not answer"},
	{know: of(knowNothing, knowNever), owners: of(ownersMinority), repeat: yes, what: Unsure, why: Minority,
		because: "its first try may have run on the other side"},
}

func (r *row) fits(s situation) bool {
	return r.effect.has(uint8(s.effect)) && r.know.has(uint8(s.know)) && r.old.has(bit(s.old)) && r.owners.has(uint8(s.owners)) &&
		r.repeat.has(bit(s.repeat)) && r.group.has(bit(s.group))
}

// decide reads the table. A situation that no row fits fails in words: there is none (tested).
func decide(s situation) (What, Cause) {
	for i := range table {
		if r := &table[i]; r.fits(s) {
			return r.what, r.why
		}
	}
	return Unsure, OwnersSilent
}
