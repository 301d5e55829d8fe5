//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc runs a case. It returns how the rule was broken, one line for each time; none if it held. An error means that the
// case could not run.
type caseFunc func(*run) (broken []string, err error)

var cases = map[string]caseFunc{}

// longestCase ends a case that hangs.
const longestCase = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, from the root of the repository; RECORD is the file to write")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- result{broken, err}
	}()
	var end result
	select {
	case end = <-done:
	case <-time.After(longestCase):
		end.err = fmt.Errorf("the case did not end within %v", longestCase)
	}
	r.endAll()
	code := exitHeld
	switch {
	case end.err != nil:
		code = exitNotRun
		r.note("verdict", "the case could not run: %v", end.err)
	case len(end.broken) > 0:
		code = exitBroken
		for _, line := range end.broken {
			r.note("verdict", "broken: %s", line)
		}
	default:
		r.note("verdict", "the rule held")
	}
	r.close()
	os.Exit(code)
}
