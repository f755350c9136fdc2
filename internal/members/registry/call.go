package registry

// This file makes one call to a registry over HTTP.

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"glencart/internal/members/registry/pace"
)

// listMost bounds the text of a list.
const listMost = 4 << 20

var (
	// errTurnedAway is an answer 503: discovery is there, and has too much to do.
	errTurnedAway = errors.New("status 503: it turns calls away: look at its load")
	// errPast is an answer older than the list held.
	errPast     = errors.New("from the past: the last list holds, and is asked for once more: look for a replica that lags")
	errNotWhole = errors.New("the whole list was asked for, and changes came: look at whether this is the registry")
	// seed is of the hashes of texts.
	seed = maphash.MakeSeed()
)

// newClient returns a client for calls to one registry. How many are open at once is for pace to say.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            whileWanted((&net.Dialer{Timeout: pace.CallSlack}).DialContext),
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        10 * time.Second,
			MaxResponseHeaderBytes: 16 << 10,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// wanted marks, in a dial's context, that of the call which it is for.
type wanted struct{}

type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// whileWanted ends a dial with the call that it is for. The transport would go on with it for a later call: with an agent that is
// cut off, more would hang than calls are open.
func whileWanted(dial dialer) dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if call, ok := ctx.Value(wanted{}).(context.Context); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(call, cancel)()
		}
		return dial(ctx, network, addr)
	}
}

// call asks the registry at addr for the whole list, or with a query for changes, until ctx ends. A whole list whose text has
// the hash known is not read again.
func (r *run) call(ctx context.Context, addr, query string, known uint64) (a answer) {
	var body []byte
	body, a.err = r.fetch(ctx, addr, query)
	a.at = time.Now()
	if a.err != nil {
		return a
	}
	a.text = maphash.Bytes(seed, body) | 1
	if a.known = a.text == known; a.known {
		return a
	}
	if a.list, a.err = Parse(body, r.names); a.err != nil {
		a.err = fmt.Errorf("a list of %d bytes can't be read: %w: the last one holds: look at what the registry wrote", len(body), a.err)
	} else if query == "" && !a.list.Complete {
		a.err = errNotWhole
	}
	return a
}

// fetch returns the text of an answer.
func (r *run) fetch(ctx context.Context, addr, query string) ([]byte, error) {
	req := (&http.Request{Method: http.MethodGet, Host: addr, Header: http.Header{},
		URL: &url.URL{Scheme: "http", Host: addr, Path: "/registry/instances", RawQuery: query}}).
		WithContext(context.WithValue(ctx, wanted{}, ctx))
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, listMost+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, errTurnedAway
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d: look at whether this is the registry", resp.StatusCode)
	case len(body) > listMost:
		return nil, fmt.Errorf("the list is longer than %d bytes: the last one holds", listMost)
	}
	return body, ctx.Err() // another call may have been faster
}
