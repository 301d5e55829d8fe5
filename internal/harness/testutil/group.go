package testutil

import (
	"context"
	"errors"
	"testing"

	"golang.org/x/sync/errgroup"
)

// WaitCancelled waits for a group whose context was cancelled. An error other than context.Canceled fails the test.
func WaitCancelled(t testing.TB, group *errgroup.Group) {
	t.Helper()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v from a goroutine, want none or context.Canceled", err)
	}
}
