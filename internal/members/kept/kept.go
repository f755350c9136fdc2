// Package kept keeps the last list of a pool on disk, for a start with all sources down. What it holds is old word: it is believed
// while no source is heard.
package kept

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"glencart/balance"
	"glencart/members"
	"glencart/merge"
)

// version is the form of the file. A file of another one is not read.
const version = 1

// kept is the file: a checksum beside what it is of, so that a damaged file is told from a whole one.
type kept struct {
	Version int             `json:"version"`
	Sum     string          `json:"sha256"`
	List    json.RawMessage `json:"list"`
}

// List is what is kept of a pool.
type List struct {
	Pool string    `json:"pool"`
	At   time.Time `json:"at"`

	Sources []string `json:"sources"`
	Boxes   []Box    `json:"boxes"`
}

// Box is one line: what the pool was told of a box, and, for operators, what each source said of it.
type Box struct {
	ID       string        `json:"id"`
	Named    bool          `json:"named,omitempty"` // some source has an id for it; else it goes by its address
	Address  string        `json:"address"`
	Draining bool          `json:"draining,omitempty"`
	Tier     int           `json:"tier,omitempty"`
	Weight   float64       `json:"weight"`
	Zone     int           `json:"zone,omitempty"`
	Cell     int           `json:"cell,omitempty"`
	Kind     int           `json:"kind,omitempty"`
	Launched time.Duration `json:"launched,omitempty"`
	Rule     string        `json:"rule,omitempty"`
	Note     string        `json:"note,omitempty"`
	Says     []string      `json:"says,omitempty"` // by source
	Differs  bool          `json:"differs,omitempty"`
}

// Path is where a pool's list stands in a folder. The pool's name is the operator's, and may hold anything.
func Path(folder, pool string) string {
	return filepath.Join(folder, "pool-"+hex.EncodeToString([]byte(pool))+".json")
}

// Write replaces the list of a pool. The old one holds until the new one is whole on the disk.
func Write(folder string, l List) error {
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(kept{version, hex.EncodeToString(sum[:]), body})
	if err != nil {
		return err
	}
	return renameio.WriteFile(Path(folder, l.Pool), text, 0o600)
}

// Read reads the list of a pool; nil where none is kept.
func Read(folder, pool string) (*List, error) {
	name := Path(folder, pool)
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return nil, fmt.Errorf("%s: %w: it is passed over, and written anew", name, err)
	}
	if k.Version != version {
		return nil, fmt.Errorf("%s: of version %d, and not %d: it is passed over, and written anew", name, k.Version, version)
	}
	if sum := sha256.Sum256(k.List); hex.EncodeToString(sum[:]) != k.Sum {
		return nil, fmt.Errorf("%s: damaged: it is passed over, and written anew", name)
	}
	var l List
	if err := json.Unmarshal(k.List, &l); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if l.Pool != pool {
		return nil, fmt.Errorf("%s: of pool %q, and not %q: it is passed over", name, l.Pool, pool)
	}
	return &l, nil
}

// Entries words the list as that of a source whose word is old by now.
func (l *List) Entries(now time.Duration) []merge.Entry {
	var list []merge.Entry
	for _, b := range l.Boxes {
		e := merge.Entry{Name: b.ID, Knows: merge.AllFacts, Tier: b.Tier, Until: now, Line: members.Line{ID: b.ID, Addr: b.Address,
			Member: balance.Member{Weight: cmp.Or(b.Weight, 1), Zone: b.Zone, Cell: b.Cell, Kind: b.Kind, Launched: b.Launched}}}
		if !b.Named {
			e.ID = ""
		}
		if b.Draining {
			e.Line.Phase = balance.Draining
		}
		list = append(list, e)
	}
	return list
}
