// Package testutil holds helpers that tests share: golden files, traces, and fake clients, engines and command channels that
// speak their published protocols on loopback.
package testutil

import (
	"encoding/hex"
	"flag"
	"regexp"
	"strings"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// init fixes the seed of property tests so that every run gives the same result. -rapid.seed=0 uses a new seed for each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err) // rapid no longer has this flag
	}
}

// DecodeHex decodes hexadecimal text that may contain spaces. It panics if the text is invalid.
func DecodeHex(text string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		panic(err)
	}
	return b
}

// Parts of commands that differ from run to run; traces replace them by placeholders.
var (
	waitField    = regexp.MustCompile(`w=\d+`)
	localAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)
