//go:build review

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// play runs the script of a case. It needs the build of the deploy file and review/build-2.sh. With TROUBLE=0 in the environment the
// disruption is left out.
func play(t *testing.T, number string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(root, "review", number, "run.sh"))
	command.Stderr = os.Stderr
	if out, err := command.Output(); err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
}

// The cases, with their claims in review/N/claim.txt.

func TestReviewRemovedJob(t *testing.T)       { play(t, "6") }
func TestReviewRepeatAtShutdown(t *testing.T) { play(t, "7") }
func TestReviewZonesReordered(t *testing.T)   { play(t, "8") }
func TestReviewSharedListOff(t *testing.T)    { play(t, "9") }
func TestReviewOrderAcrossTeams(t *testing.T) { play(t, "10") }
