package nginx

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Verdict says what became of a directive.
type Verdict uint8

// Verdicts, from the best to the worst.
const (
	Carried    Verdict = iota // it holds as before, or has no part in where requests go
	Difference                // it holds with a difference, which the note tells
	NotCarried                // it does not hold; the note tells what that means for traffic
	Unsafe                    // carrying it would run something twice or let somebody in: it is refused
)

var verdictNames = [...]string{"carried", "difference", "not carried", "UNSAFE"}

// String words a verdict.
func (v Verdict) String() string { return verdictNames[v] }

// MarshalText words a verdict.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(strings.ToLower(v.String())), nil }

// Finding is what became of one directive.
type Finding struct {
	File      string  `json:"file"`
	Line      int     `json:"line"`
	Directive string  `json:"directive"`
	Verdict   Verdict `json:"verdict"`
	Note      string  `json:"note,omitempty"`
	Accepted  bool    `json:"accepted,omitempty"` // an unsafe one that the operator has named
}

// Report tells what became of every directive, in the order of the configuration.
type Report struct {
	Findings []Finding `json:"findings"`
}

// Count counts the findings of a verdict.
func (r *Report) Count(v Verdict) (n int) {
	for _, f := range r.Findings {
		if f.Verdict == v {
			n++
		}
	}
	return n
}

// Unsafe lists the unsafe findings that the operator has not named.
func (r *Report) Unsafe() (out []Finding) {
	for _, f := range r.Findings {
		if f.Verdict == Unsafe && !f.Accepted {
			out = append(out, f)
		}
	}
	return out
}

// JSON writes the report for programs.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Text writes the report for people: what needs a look first, then what was carried as it is.
func (r *Report) Text(w io.Writer) error {
	for v := Unsafe; ; v-- {
		if n := r.Count(v); n > 0 {
			fmt.Fprintf(w, "%s: %d\n", v, n)
			t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
			for _, f := range r.Findings {
				if f.Verdict == v {
					note := f.Note
					if f.Accepted {
						note += " (accepted)"
					}
					fmt.Fprintf(t, "  %s:%d\t%s\t%s\n", f.File, f.Line, f.Directive, note)
				}
			}
			if err := t.Flush(); err != nil {
				return err
			}
			fmt.Fprintln(w)
		}
		if v == Carried {
			break
		}
	}
	_, err := fmt.Fprintf(w, "%d directives: %d carried, %d with a difference, %d not carried, %d unsafe\n", len(r.Findings),
		r.Count(Carried), r.Count(Difference), r.Count(NotCarried), r.Count(Unsafe))
	return err
}
