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

// maxListBytes bounds the size of a list.
const maxListBytes = 4 << 20

var (
	// errUnavailable is an answer with status 503: discovery runs and is overloaded.
	errUnavailable = errors.New("status 503: the registry rejects calls: check its load")
	// errStaleList is an answer older than the current list.
	errStaleList   = errors.New("older than the current list, which stays in use and is requested again: check for a replica that lags")
	errNotComplete = errors.New("requested the complete list and received changes: check that this is the registry")
	// hashSeed is the seed of the hashes of answers.
	hashSeed = maphash.MakeSeed()
)

// newClient returns a client for calls to one registry. Package pace bounds how many calls are open at once.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            endWithCall((&net.Dialer{Timeout: pace.AnswerTimeout}).DialContext),
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        10 * time.Second,
			MaxResponseHeaderBytes: 16 << 10,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// callKey is the key of the context of a call in the context of its dial.
type callKey struct{}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// endWithCall ends a dial when its call ends. The transport would continue the dial for a later call. With an agent that is
// unreachable, more dials would then hang than calls are open.
func endWithCall(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if call, ok := ctx.Value(callKey{}).(context.Context); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(call, cancel)()
		}
		return dial(ctx, network, addr)
	}
}

// call requests the complete list from the registry at addr, or with a query the changes, until ctx ends. It does not parse a
// complete list again whose text has the hash known.
func (r *run) call(ctx context.Context, addr, query string, known uint64) (a answer) {
	var body []byte
	body, a.err = r.fetch(ctx, addr, query)
	a.arrivedAt = time.Now()
	if a.err != nil {
		return a
	}
	a.textHash = maphash.Bytes(hashSeed, body) | 1
	if a.isKnown = a.textHash == known; a.isKnown {
		return a
	}
	if a.list, a.err = Parse(body, r.names); a.err != nil {
		a.err = fmt.Errorf("a list of %d bytes can't be read: %w: the last list stays in use: check what the registry sends", len(body), a.err)
	} else if query == "" && !a.list.Complete {
		a.err = errNotComplete
	}
	return a
}

// fetch returns the body of an answer.
func (r *run) fetch(ctx context.Context, addr, query string) ([]byte, error) {
	req := (&http.Request{Method: http.MethodGet, Host: addr, Header: http.Header{},
		URL: &url.URL{Scheme: "http", Host: addr, Path: "/registry/instances", RawQuery: query}}).
		WithContext(context.WithValue(ctx, callKey{}, ctx))
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, errUnavailable
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d: check that this is the registry", resp.StatusCode)
	case len(body) > maxListBytes:
		return nil, fmt.Errorf("the list is longer than %d bytes: the last list stays in use", maxListBytes)
	}
	return body, ctx.Err() // another call may have been answered first
}
