// Package kept caches the last endpoint list of a pool on disk, for a start while all sources are down. The cached list is stale:
// it counts only while no source answers.
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

// formatVersion is the version of the file format. A file of another version is not read.
const formatVersion = 1

// envelope is the content of the file: the list and its checksum, which detects a damaged file.
type envelope struct {
	Version int             `json:"version"`
	Sum     string          `json:"sha256"`
	List    json.RawMessage `json:"list"`
}

// List is the cached endpoint list of a pool.
type List struct {
	Pool    string    `json:"pool"`
	SavedAt time.Time `json:"at"`

	Sources  []string  `json:"sources"`
	Backends []Backend `json:"boxes"`
}

// Backend is one backend of the list: what the pool received about it and, for operators, what each source reported.
type Backend struct {
	ID              string        `json:"id"`
	HasID           bool          `json:"named,omitempty"` // a source has an id for it; else its address is its id
	Address         string        `json:"address"`
	Draining        bool          `json:"draining,omitempty"`
	Tier            int           `json:"tier,omitempty"`
	Weight          float64       `json:"weight"`
	Zone            int           `json:"zone,omitempty"`
	Cell            int           `json:"cell,omitempty"`
	Kind            int           `json:"kind,omitempty"`
	Launched        time.Duration `json:"launched,omitempty"`
	Rule            string        `json:"rule,omitempty"`
	Note            string        `json:"note,omitempty"`
	Votes           []string      `json:"says,omitempty"` // the vote of each source, in the order of Sources
	SourcesDisagree bool          `json:"differs,omitempty"`
}

// Path returns the file name of a pool's list in a folder. The name of the pool is encoded, because an operator may put any
// character into it.
func Path(folder, pool string) string {
	return filepath.Join(folder, "pool-"+hex.EncodeToString([]byte(pool))+".json")
}

// Write replaces the cached list of a pool. The old file stays until the new one is complete on the disk.
func Write(folder string, l List) error {
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(envelope{formatVersion, hex.EncodeToString(sum[:]), body})
	if err != nil {
		return err
	}
	return renameio.WriteFile(Path(folder, l.Pool), text, 0o600)
}

// Read reads the cached list of a pool. It returns nil if there is none.
func Read(folder, pool string) (*List, error) {
	name := Path(folder, pool)
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var stored envelope
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("%s: %w: the file is ignored and will be rewritten", name, err)
	}
	if stored.Version != formatVersion {
		return nil, fmt.Errorf("%s: format version is %d, not %d: the file is ignored and will be rewritten", name, stored.Version, formatVersion)
	}
	if sum := sha256.Sum256(stored.List); hex.EncodeToString(sum[:]) != stored.Sum {
		return nil, fmt.Errorf("%s: checksum mismatch: the file is ignored and will be rewritten", name)
	}
	var l List
	if err := json.Unmarshal(stored.List, &l); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if l.Pool != pool {
		return nil, fmt.Errorf("%s: the list is of pool %q, not %q: the file is ignored", name, l.Pool, pool)
	}
	return &l, nil
}

// Entries returns the list as entries of a source that are stale from now on.
func (l *List) Entries(now time.Duration) []merge.Entry {
	var list []merge.Entry
	for _, b := range l.Backends {
		e := merge.Entry{Name: b.ID, Reports: merge.AllFacts, Tier: b.Tier, ExpiresAt: now, Endpoint: members.Endpoint{ID: b.ID, Addr: b.Address,
			Member: balance.Member{Weight: cmp.Or(b.Weight, 1), Zone: b.Zone, Cell: b.Cell, Kind: b.Kind, Launched: b.Launched}}}
		if !b.HasID {
			e.ID = ""
		}
		if b.Draining {
			e.Endpoint.Phase = balance.Draining
		}
		list = append(list, e)
	}
	return list
}
