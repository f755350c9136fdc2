// Package stories has given-when-then texts about instances that stand together, and the one step library that plays them: shipped
// code over a network in memory, in virtual time. README.md says how to read and add a story.
//
// This file plays each scenario of each *.feature in a bubble of its own.
package stories

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cucumber/godog"
)

// sentence is one step of the library: a pattern, and what it does.
type sentence struct {
	pattern string
	do      any
}

// world is what one scenario plays in. Each part of the library has its own fleet in it; a part that is not used is nil.
type world struct {
	seed     uint64
	procs    *processes
	releases *releases
	calls    *calls
	use      *useFleet
	load     *overload
}

// sentences are all that a story can say.
func (w *world) sentences() []sentence {
	all := []sentence{{`^(\d+) (seconds?|minutes?) pass(?:es)?$`, w.pass}}
	for _, part := range [][]sentence{w.processSentences(), w.linkSentences(), w.releaseSentences(), w.callSentences(), w.useSentences(), w.overloadSentences()} {
		all = append(all, part...)
	}
	return all
}

// pass lets time go by for whichever fleet there is.
func (w *world) pass(n int, unit string) error {
	d := length(n, unit)
	switch {
	case w.releases != nil:
		w.releases.run(int(d / time.Second))
	case w.use != nil:
		w.use.run(d)
	case w.load != nil:
		w.load.run(int(d / time.Second))
	default:
		time.Sleep(d)
	}
	return nil
}

func length(n int, unit string) time.Duration {
	if strings.HasPrefix(unit, "minute") {
		return time.Duration(n) * time.Minute
	}
	return time.Duration(n) * time.Second
}

// end closes whatever runs, so that the bubble comes to its end.
func (w *world) end() {
	if w.procs != nil {
		w.procs.end()
	}
	if w.calls != nil {
		w.calls.end()
	}
}

func TestStories(t *testing.T) {
	files, err := filepath.Glob("*.feature")
	if err != nil || len(files) == 0 {
		t.Fatalf("no *.feature: %v", err)
	}
	for _, file := range files {
		features, err := godog.TestSuite{Options: &godog.Options{Paths: []string{file}}}.RetrieveFeatures()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range features {
			for _, c := range f.Feature.Children {
				if c.Scenario == nil {
					continue
				}
				name, line, steps := c.Scenario.Name, c.Scenario.Location.Line, len(c.Scenario.Steps)
				t.Run(strings.TrimSuffix(file, ".feature")+"/"+name, func(t *testing.T) {
					if steps > 12 {
						t.Errorf("%d lines: too long to read aloud", steps)
					}
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { play(t, name, fmt.Sprintf("%s:%d", file, line)) })
				})
			}
		}
	}
}

// play plays one scenario. Its seed is a hash of its name, so that an inserted story changes no other.
func play(t *testing.T, name, path string) {
	h := fnv.New64a()
	h.Write([]byte(name))
	w := &world{seed: h.Sum64()}
	defer w.end()
	var out bytes.Buffer
	suite := godog.TestSuite{
		ScenarioInitializer: func(sc *godog.ScenarioContext) {
			for _, s := range w.sentences() {
				sc.Step(s.pattern, s.do)
			}
		},
		Options: &godog.Options{Format: "pretty", Paths: []string{path}, Output: &out, NoColors: true, Strict: true, Concurrency: 1, DefaultContext: context.Background()},
	}
	if status := suite.Run(); status != 0 {
		t.Errorf("seed %d, %v into it\n%s", w.seed, time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)), out.String())
	}
}
