package sock

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// localFailures are what socket(2), bind(2) and connect(2) fail with where this machine lacks something: the other side has no part
// in it.
var localFailures = []error{syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// momentaryFailures are what they fail with where the network, or an address in use, may be another in a moment.
var momentaryFailures = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRINUSE, syscall.EINTR}

// LocalFailure tells whether a system call failed for want of something on this machine, as descriptors, ports or memory.
func LocalFailure(err error) bool { return isAny(err, localFailures) }

// Momentary tells whether a system call that failed may succeed in a moment.
func Momentary(err error) bool { return LocalFailure(err) || isAny(err, momentaryFailures) }

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// The pause before a call that failed is repeated doubles from retryLeast to retryMost.
const retryLeast, retryMost = time.Millisecond, 50 * time.Millisecond

// Retry calls try until it succeeds, fails with what is not Momentary, or ctx ends. It returns the last error of try.
func Retry(ctx context.Context, try func() error) error {
	for pause := retryLeast; ; pause = min(2*pause, retryMost) {
		err := try()
		if err == nil || !Momentary(err) {
			return err
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}
