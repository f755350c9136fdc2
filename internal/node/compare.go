package node

import (
	"net/http"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/settings"
)

// This file exports the parsing of protocol messages for tests that compare front ends. The node itself calls
// the unexported functions.

// DeadlineMargin is how much sooner than the client's deadline a request ends (see early).
const DeadlineMargin = deadlineMargin

// Decode reads a client's request as the node does.
func Decode(names settings.Settings, hr *http.Request, received time.Time) (*engine.Request, error) {
	f := &front{}
	f.maxBodyBytes.Store(maxUploadBytes)
	f.setMemory(boundsOf(Limits{}, 0))
	f.settings.Store(newActiveSettings(names, &counters{}))
	r, _, err := f.readRequest(discard{}, hr, received)
	return r, err
}

// Outcome returns the status of a whole answer.
func Outcome(resp *http.Response) balance.Status { return outcome(resp) }

// Report parses a load report.
func Report(text string) (balance.Load, error) { return settings.ParseReport(text) }

// discard is a response writer that discards everything.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
