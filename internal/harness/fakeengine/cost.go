package fakeengine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// cost is the cost of a request, read from a comment in its statement.
type cost struct {
	work   float64 // core seconds
	memory float64 // MB
	pages  int     // pages of the result
}

var costPattern = regexp.MustCompile(`(work|mb|pages)=([0-9.]+)`)

// costOf parses the cost in a statement, with defaults for what is missing.
func costOf(statement string) cost {
	c := cost{work: 0.01, memory: 32, pages: 1}
	for _, m := range costPattern.FindAllStringSubmatch(statement, -1) {
		v, _ := strconv.ParseFloat(m[2], 64)
		switch m[1] {
		case "work":
			c.work = v
		case "mb":
			c.memory = v
		case "pages":
			c.pages = max(int(v), 1)
		}
	}
	return c
}

// page returns the n-th page of a result. It holds the request's reference and the page number, so that clients can check that
// a result is complete and belongs to their request.
func page(ref string, n int) string { return fmt.Sprintf("%s\t%d\t-\n", ref, n) }

// Rows returns the complete result of a request with the given number of pages.
func Rows(ref string, pages int) string {
	var b strings.Builder
	for n := range pages {
		b.WriteString(page(ref, n))
	}
	return b.String()
}
