// Package testutil holds what tests share: traces, and stand-ins for clients, engines and the command channel
// that speak their published protocols on loopback.
package testutil

import (
	"encoding/hex"
	"flag"
	"regexp"
	"strings"

	_ "pgregory.net/rapid" // has the flag
)

// Properties are drawn from one seed, so that a run of the tests has one verdict; -rapid.seed=0 draws another each time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err) // there is no such flag any more
	}
}

// DecodeHex reads hex with blanks.
func DecodeHex(text string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

// What differs from run to run.
var (
	wait = regexp.MustCompile(`w=\d+`)
	port = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)
