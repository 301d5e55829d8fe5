//go:build review

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// root returns the root of the repository.
func root(t *testing.T) string {
	t.Helper()
	folder, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// run runs a command from the root. It needs the build of the deploy file and review/build-2.sh. With TROUBLE=0 in the environment the
// disruption is left out.
func run(t *testing.T, path string, args ...string) {
	t.Helper()
	command := exec.Command(filepath.Join(root(t), path), args...)
	command.Dir, command.Stderr = root(t), os.Stderr
	if out, err := command.Output(); err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
}

// play runs the script of a case.
func play(t *testing.T, number string) {
	t.Helper()
	run(t, filepath.Join("review", number, "run.sh"))
}

// try plays a trial, whose record is not kept.
func try(t *testing.T, name string) {
	t.Helper()
	run(t, filepath.Join("review", "bin", "trials2"), name, filepath.Join(t.TempDir(), "record.txt"))
}

// The cases, with their claims in review/N/claim.txt.

func TestReviewClientsLeave(t *testing.T)     { play(t, "6") }
func TestReviewRemovedJob(t *testing.T)       { play(t, "7") }
func TestReviewLongKey(t *testing.T)          { play(t, "8") }
func TestReviewZonesReordered(t *testing.T)   { play(t, "9") }
func TestReviewRepeatAtShutdown(t *testing.T) { play(t, "10") }

// Further faults, told in review/REPORT-2.md.

func TestReviewSharedListOff(t *testing.T)    { try(t, "shared-list-off") }
func TestReviewOrderAcrossTeams(t *testing.T) { try(t, "order-across-teams") }
func TestReviewFirstOccurrence(t *testing.T)  { try(t, "first-occurrence") }
func TestReviewLongList(t *testing.T)         { try(t, "long-list") }
func TestReviewSettledAgain(t *testing.T)     { try(t, "settled-again") }
