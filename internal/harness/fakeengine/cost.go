package fakeengine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// cost is what a statement says of itself.
type cost struct {
	work, memory float64
	pages        int
}

var costPattern = regexp.MustCompile(`(work|mb|pages)=([0-9.]+)`)

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

// page is what a result holds, so that clients can check that it is the job's own and whole.
func page(ref string, n int) string { return fmt.Sprintf("%s\t%d\t-\n", ref, n) }

// Rows is the whole result of a job of so many pages.
func Rows(ref string, pages int) string {
	var b strings.Builder
	for n := range pages {
		b.WriteString(page(ref, n))
	}
	return b.String()
}
