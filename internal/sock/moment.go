package sock

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// localErrors are the errors of socket(2), bind(2) and connect(2) when this machine lacks a resource. They don't concern the other
// side.
var localErrors = []error{syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// temporaryErrors are further errors of these calls, which may end when the network or the use of an address changes.
var temporaryErrors = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRINUSE, syscall.EINTR}

// IsLocalError reports whether a system call failed because this machine lacks a resource such as descriptors, ports or memory.
func IsLocalError(err error) bool { return isAny(err, localErrors) }

// IsTemporary reports whether a failed system call may succeed if it is repeated.
func IsTemporary(err error) bool { return IsLocalError(err) || isAny(err, temporaryErrors) }

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// The pause before a retry doubles from minRetryPause to maxRetryPause.
const minRetryPause, maxRetryPause = time.Millisecond, 50 * time.Millisecond

// Retry calls try until it succeeds, its error is not temporary (IsTemporary) or ctx ends. It returns the last error of try.
func Retry(ctx context.Context, try func() error) error {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := try()
		if err == nil || !IsTemporary(err) {
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
