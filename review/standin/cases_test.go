//go:build review

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// play runs a case or a trial as review/bin/standin does. It needs the build of the deploy file and review/build.sh. With
// TROUBLE=0 in the environment the disruption is left out.
func play(t *testing.T, name, folder string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	record := filepath.Join(root, folder, "record.txt")
	if folder == "" {
		record = filepath.Join(t.TempDir(), "record.txt")
	}
	command := exec.Command(filepath.Join(root, "review/bin/standin"), name, record)
	command.Dir = root
	command.Stderr = os.Stderr
	out, err := command.Output()
	if err != nil {
		t.Errorf("%v:\n%s", err, out)
	}
}

// The cases, with their claims in review/N/claim.txt.

func TestReviewStoreUnreadable(t *testing.T)    { play(t, "records", "review/1") }
func TestReviewScheduledLoadTwice(t *testing.T) { play(t, "scheduled", "review/2") }
func TestReviewChannelBehind(t *testing.T)      { play(t, "late", "review/3") }

// The further faults, which review/REPORT.md describes.

func TestReviewOrderOfOneWrite(t *testing.T)   { play(t, "order", "") }
func TestReviewOrderOfARepeat(t *testing.T)    { play(t, "past", "") }
func TestReviewDrainOverAStall(t *testing.T)   { play(t, "stall", "") }
func TestReviewDrainOrderRevoked(t *testing.T) { play(t, "resurrect", "") }
func TestReviewListNotPublished(t *testing.T)  { play(t, "list", "") }
func TestReviewRepeatThrottled(t *testing.T)   { play(t, "join", "") }
func TestReviewQuotaAfterAPause(t *testing.T)  { play(t, "quota", "") }
