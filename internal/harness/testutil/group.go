package testutil

import (
	"context"
	"errors"
	"testing"

	"golang.org/x/sync/errgroup"
)

// WaitCancelled waits for a group whose context was cancelled. Any error but that of the context fails the test.
func WaitCancelled(t testing.TB, group *errgroup.Group) {
	t.Helper()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("a goroutine ended: %v", err)
	}
}
