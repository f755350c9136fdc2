package schema

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// sessionRegistry returns the registry of a release that reads session schemas lo to hi. The form `oneway` has no step down.
func sessionRegistry(lo, hi, oneway uint16) *Registry {
	b := &Registry{}
	for n := lo; n <= hi; n++ {
		f := Form{Kind: Session, Number: n, Name: "form " + strconv.Itoa(int(n))}
		if n == oneway {
			f.Down = Step{Loss: NoSuchStep, What: "it would lose its marks"}
		}
		if err := b.Register(f); err != nil {
			panic(err)
		}
	}
	return b
}

// TestLevels runs the scripts under testdata/levels. They guard against a fleet whose members write different schemas, or one that a
// member can't read, after states arrive late, in part or during a partition. The commands are:
//
//	start NAME START reads=LO..HI [oneway=N] [written=TURN.SCHEMA] [settled]
//	members NAME: OTHER...      the members that NAME remembers, each by its last start
//	hear NAME OTHER...          NAME receives the current state of each OTHER
//	all NAME...                 each receives the state of each until no state changes
//	hold NAME N / swept NAME N / settled NAME
//	link NAME OTHER
func TestLevels(t *testing.T) {
	datadriven.Walk(t, "testdata/levels", func(t *testing.T, path string) {
		levels := map[string]*Levels{}
		var out strings.Builder
		handle := func(name string, ev Event) bool {
			hasChanged := false
			for _, a := range levels[name].Handle(ev, nil) {
				if a.Kind == SendState {
					hasChanged = true
					continue
				}
				fmt.Fprintf(&out, "%s: %s", name, a.Kind)
				if a.From != (Level{}) {
					fmt.Fprintf(&out, " from %s", a.From)
				}
				fmt.Fprintf(&out, " to %s: %s\n", a.To, a.Why)
			}
			return hasChanged
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			for _, line := range strings.Split(d.Input, "\n") {
				fields := strings.Fields(line)
				if len(fields) == 0 {
					continue
				}
				name := strings.TrimSuffix(fields[min(1, len(fields)-1)], ":")
				number := func(i int) uint64 {
					n, err := strconv.ParseUint(fields[i], 10, 64)
					if err != nil {
						t.Fatal(line, err)
					}
					return n
				}
				switch fields[0] {
				case "start":
					var lo, hi, oneway uint16
					written := map[Kind]Level{}
					settled := false
					for _, arg := range fields[3:] {
						var l Level
						switch {
						case arg == "settled":
							settled = true
						case strings.HasPrefix(arg, "reads="):
							fmt.Sscanf(arg, "reads=%d..%d", &lo, &hi)
						case strings.HasPrefix(arg, "oneway="):
							fmt.Sscanf(arg, "oneway=%d", &oneway)
						default:
							fmt.Sscanf(arg, "written=%d.%d", &l.Turn, &l.Schema)
							written[Session] = l
						}
					}
					levels[name] = NewLevels(ID{name, number(2)}, sessionRegistry(lo, hi, oneway), written)
					if settled {
						handle(name, Event{Kind: Settled})
					}
				case "members":
					ev := Event{Kind: Members}
					for _, o := range fields[2:] {
						ev.Members = append(ev.Members, levels[o].self.ID)
					}
					handle(name, ev)
				case "hear":
					for _, o := range fields[2:] {
						handle(name, Event{Kind: StateReceived, State: levels[o].State()})
					}
				case "all":
					for again := true; again; {
						again = false
						for _, a := range fields[1:] {
							for _, o := range fields[1:] {
								again = handle(a, Event{Kind: StateReceived, State: levels[o].State()}) || again
							}
						}
					}
				case "hold":
					handle(name, Event{Kind: LimitSet, Of: Session, At: uint16(number(2))})
				case "swept":
					handle(name, Event{Kind: Swept, Of: Session, At: uint16(number(2))})
				case "settled":
					handle(name, Event{Kind: Settled})
				case "link":
					at, most, ok := levels[name].SendRange(levels[fields[2]].self.ID, Session)
					fmt.Fprintf(&out, "%s to %s: at %d, most %d, %t\n", name, fields[2], at, most, ok)
				default:
					t.Fatalf("unknown command: %q", line)
				}
			}
			if d.Cmd == "state" {
				names := make([]string, 0, len(levels))
				for name := range levels {
					names = append(names, name)
				}
				slices.Sort(names)
				for _, name := range names {
					state := levels[name].State()
					s := state.stand(Session)
					fmt.Fprintf(&out, "%s reads %d..%d, agreed %s, written %s, writes %d, fit %t\n",
						name, s.Lo, s.Hi, s.Agreed, s.Written, levels[name].Written(Session), levels[name].IsFit())
				}
			}
			return out.String()
		})
	})
}
