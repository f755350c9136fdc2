// Package script reads the scripts of fault tests: what boxes there are, what load comes, and what goes wrong when. The
// same script drives the daemon and the plug-in, in virtual time and on sockets.
//
//	# one box drains and is told late
//	boxes 6 cores 2 work 8ms queue 20
//	load 300 for 6s mix read 6 place 3 key 1
//	at 2s drain b1 unlisted
//	at 4s list b1 draining
//
// Box names are b0, b1, ...; even ones stand in zone a, odd ones in zone b. Acts: drain X [unlisted], undrain X,
// list X ready|draining|gone, crash X, restart X (cold, and listed so), hang X, unhang X, slow X FACTOR, fail X on|off,
// cut (no list comes through), heal; X may be zone:a or zone:b for all boxes there.
package script

import (
	"embed"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script is one script.
type Script struct {
	Name  string
	About string // its first comment
	Boxes int
	Cores int
	Queue int
	Work  time.Duration
	Rate  float64 // requests a second
	For   time.Duration
	Mix   []Part
	Acts  []Act
}

// Part is a class's part of the load.
type Part struct {
	Class  string
	Weight float64
}

// Act is one thing that happens.
type Act struct {
	At   time.Duration
	Verb string
	Box  string // "" for cut and heal
	Word string // the rest
}

// Zone tells where a box stands.
func Zone(box int) string { return [2]string{"a", "b"}[box%2] }

// Expand returns the numbers of the boxes that an act names.
func (s *Script) Expand(name string) (boxes []int) {
	for i := range s.Boxes {
		if name == fmt.Sprint("b", i) || name == "zone:"+Zone(i) {
			boxes = append(boxes, i)
		}
	}
	return boxes
}

var verbs = []string{"drain", "undrain", "list", "crash", "restart", "hang", "unhang", "slow", "fail", "cut", "heal"}

// Parse reads a script. An error names the line.
func Parse(name, text string) (*Script, error) {
	s := &Script{Name: name, Cores: 2, Queue: 20, Work: 8 * time.Millisecond}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, "#"); ok {
			if s.About == "" {
				s.About = strings.TrimSpace(rest)
			}
			continue
		}
		if line == "" {
			continue
		}
		if err := s.line(strings.Fields(line)); err != nil {
			return nil, fmt.Errorf("%s:%d: %q: %w", name, i+1, line, err)
		}
	}
	if s.Boxes == 0 || s.Rate == 0 || s.For == 0 || len(s.Mix) == 0 {
		return nil, fmt.Errorf("%s: needs a line 'boxes N ...' and a line 'load RATE for TIME mix CLASS WEIGHT ...'", name)
	}
	for _, a := range s.Acts {
		if a.Box != "" && len(s.Expand(a.Box)) == 0 {
			return nil, fmt.Errorf("%s: at %v: no box %q", name, a.At, a.Box)
		}
	}
	slices.SortStableFunc(s.Acts, func(x, y Act) int { return int(x.At - y.At) })
	return s, nil
}

func (s *Script) line(f []string) (err error) {
	number := func(text string, into *int) {
		if n, e := strconv.Atoi(text); e != nil || n <= 0 {
			err = fmt.Errorf("%q is no count", text)
		} else {
			*into = n
		}
	}
	span := func(text string, into *time.Duration) {
		if d, e := time.ParseDuration(text); e != nil || d < 0 {
			err = fmt.Errorf("%q is no time", text)
		} else {
			*into = d
		}
	}
	switch f[0] {
	case "boxes":
		if len(f)%2 != 0 {
			return fmt.Errorf("want 'boxes N [cores N] [work TIME] [queue N]'")
		}
		number(f[1], &s.Boxes)
		for i := 2; i+1 < len(f); i += 2 {
			switch f[i] {
			case "cores":
				number(f[i+1], &s.Cores)
			case "queue":
				number(f[i+1], &s.Queue)
			case "work":
				span(f[i+1], &s.Work)
			default:
				return fmt.Errorf("no key %q", f[i])
			}
		}
	case "load":
		if len(f) < 7 || f[2] != "for" || f[4] != "mix" || len(f)%2 == 0 {
			return fmt.Errorf("want 'load RATE for TIME mix CLASS WEIGHT ...'")
		}
		var rate int
		number(f[1], &rate)
		s.Rate = float64(rate)
		span(f[3], &s.For)
		for i := 5; i+1 < len(f); i += 2 {
			var w int
			number(f[i+1], &w)
			s.Mix = append(s.Mix, Part{f[i], float64(w)})
		}
	case "at":
		if len(f) < 3 || !slices.Contains(verbs, f[2]) {
			return fmt.Errorf("want 'at TIME VERB BOX', with a verb of %s", strings.Join(verbs, ", "))
		}
		a := Act{Verb: f[2]}
		span(f[1], &a.At)
		if a.Verb != "cut" && a.Verb != "heal" {
			if len(f) < 4 {
				return fmt.Errorf("which box?")
			}
			a.Box, a.Word = f[3], strings.Join(f[4:], " ")
		}
		if a.Verb == "slow" {
			if n, e := strconv.ParseFloat(a.Word, 64); e != nil || n <= 0 {
				return fmt.Errorf("slow by what?")
			}
		}
		s.Acts = append(s.Acts, a)
	default:
		return fmt.Errorf("want boxes, load or at")
	}
	return err
}

//go:embed testdata/*.txt
var files embed.FS

// All returns the scripts of testdata/, by name.
func All() ([]*Script, error) {
	var all []*Script
	err := fs.WalkDir(files, "testdata", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := files.ReadFile(path)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(d.Name(), ".txt")
		s, err := Parse(name, string(text))
		all = append(all, s)
		return err
	})
	return all, err
}
