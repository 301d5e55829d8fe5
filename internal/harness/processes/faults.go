package processes

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"copperrock.example/copperrock/internal/harness/faultproxy"
)

// Fault is a fault of a process, or of the links between parties, that a plan injects at some time.
type Fault struct {
	At, Duration float64  // seconds since the start of the plan, and until the fault is undone; Duration 0 means never
	Kind         string   // kill, freeze, cut, cut-there, cut-back, slow, lossy, flap, refuse
	Targets      []string // processes, or parties at one end of the links
	Peers        []string // of link faults: the parties at the other end, "*" for all
	Delay        float64  // seconds; of slow and flap
	Chance       float64  // of lossy: probability that a chunk of data resets its connection
	Restarts     bool     // of kill: start the process again after Duration
}

// String returns the fault in the format that ParsePlan reads.
func (f Fault) String() string {
	parts := []string{formatNumber(f.At), f.Kind, strings.Join(f.Targets, ",")}
	if len(f.Peers) > 0 {
		parts = append(parts, "from", strings.Join(f.Peers, ","))
	}
	if f.Delay > 0 {
		parts = append(parts, "by", formatNumber(f.Delay))
	}
	if f.Chance > 0 {
		parts = append(parts, "chance", formatNumber(f.Chance))
	}
	if f.Duration > 0 {
		parts = append(parts, "for", formatNumber(f.Duration))
	}
	return strings.Join(parts, " ")
}

// formatNumber formats a number with up to four significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

var faultKinds = []string{"kill", "freeze", "cut", "cut-there", "cut-back", "slow", "lossy", "flap", "refuse"}

// ParsePlan parses a plan with one fault per line: "1.5 cut a,b from c for 2", "3 kill a for 1" (the process is restarted after
// one second), "2 slow a from * by 0.5 for 4", "2 lossy a from b chance 0.05". Empty lines and lines that start with # are
// ignored.
func ParsePlan(text string) (plan []Fault, err error) {
	for i, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		f, err := parseFault(words)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan, nil
}

// parseFault parses the words of one line of a plan.
func parseFault(words []string) (f Fault, err error) {
	if len(words) < 3 || len(words)%2 == 0 {
		return f, fmt.Errorf("%q is no fault", strings.Join(words, " "))
	}
	if f.At, err = strconv.ParseFloat(words[0], 64); err != nil || f.At < 0 {
		return f, fmt.Errorf("%q is no time", words[0])
	}
	if f.Kind = words[1]; !slices.Contains(faultKinds, f.Kind) {
		return f, fmt.Errorf("%q is none of %s", f.Kind, strings.Join(faultKinds, ", "))
	}
	f.Targets = strings.Split(words[2], ",")
	for i := 3; i < len(words); i += 2 {
		value, valueErr := strconv.ParseFloat(words[i+1], 64)
		switch words[i] {
		case "from":
			f.Peers, valueErr = strings.Split(words[i+1], ","), nil
		case "by":
			f.Delay = value
		case "chance":
			f.Chance = value
		case "for":
			f.Duration = value
		default:
			return f, fmt.Errorf("%q is not known", words[i])
		}
		if valueErr != nil || value < 0 {
			return f, fmt.Errorf("%s %s: no number over 0", words[i], words[i+1])
		}
	}
	if f.affectsLinks() && len(f.Peers) == 0 {
		f.Peers = []string{"*"}
	}
	f.Restarts = f.Kind == "kill" && f.Duration > 0
	return f, nil
}

// affectsLinks reports whether the fault affects links and not processes.
func (f Fault) affectsLinks() bool { return f.Kind != "kill" && f.Kind != "freeze" }

// link returns the link that a link fault sets.
func (f Fault) link() faultproxy.Link {
	delay := time.Duration(f.Delay * float64(time.Second))
	switch f.Kind {
	case "cut":
		return faultproxy.Partition
	case "cut-there":
		return faultproxy.Link{BlockForward: true}
	case "cut-back":
		return faultproxy.Link{BlockBackward: true}
	case "slow":
		return faultproxy.Link{Delay: delay}
	case "lossy":
		return faultproxy.Link{Reset: f.Chance}
	case "flap":
		return faultproxy.Link{Flap: max(delay, 10*time.Millisecond)}
	case "refuse":
		return faultproxy.Link{Refuse: true}
	}
	return faultproxy.Link{}
}

// apply injects the fault, or undoes it.
func (f Fault) apply(c *Cluster, undo bool) error {
	if f.affectsLinks() {
		l := f.link()
		if undo {
			l = faultproxy.Link{}
		}
		c.SetLinks(f.Targets, f.Peers, l)
		return nil
	}
	for _, name := range f.Targets {
		p := c.Process(name)
		switch {
		case p == nil:
			return fmt.Errorf("no process %q", name)
		case f.Kind == "kill" && undo:
			if err := p.Start(); err != nil {
				return err
			}
		case f.Kind == "kill":
			p.Kill()
		case undo:
			p.Thaw()
		default:
			p.Freeze()
		}
	}
	return nil
}

// RunPlan injects and undoes the faults of a plan at their times. It returns when the plan is complete or ctx ends. onStep, if
// not nil, is called after each step with the time in seconds since the start.
func (c *Cluster) RunPlan(ctx context.Context, plan []Fault, onStep func(at float64, what string)) error {
	type step struct {
		at    float64
		fault Fault
		undo  bool
	}
	var steps []step
	for _, f := range plan {
		steps = append(steps, step{f.At, f, false})
		if f.Duration > 0 {
			steps = append(steps, step{f.At + f.Duration, f, true})
		}
	}
	slices.SortStableFunc(steps, func(x, y step) int { return cmp.Compare(x.at, y.at) })
	start := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(time.Duration(s.at * float64(time.Second))))):
		}
		if err := s.fault.apply(c, s.undo); err != nil {
			return err
		}
		if onStep != nil {
			what := s.fault.String()
			if s.undo {
				what += ": over"
			}
			onStep(time.Since(start).Seconds(), what)
		}
	}
	return nil
}

// RandomPlan draws a plan from a seed, with a fault every interval seconds for the given duration. Each fault lasts for 0.5 to 4
// intervals, so two or three are usually active at once, on several processes and links. At most half of the processes are
// killed or frozen at the same time, and no process is killed or frozen again before it has recovered.
func RandomPlan(seed uint64, names []string, interval, duration float64) (plan []Fault) {
	r := rand.New(rand.NewPCG(seed, 2))
	downUntil := map[string]float64{} // processes that were killed or frozen, and when that ends
	for at := interval; at < duration; at += interval {
		f := Fault{At: at, Duration: (0.5 + 3.5*r.Float64()) * interval, Kind: faultKinds[r.IntN(len(faultKinds))],
			Targets: []string{names[r.IntN(len(names))]}}
		down := 0
		for _, until := range downUntil {
			if until > at {
				down++
			}
		}
		if process := !f.affectsLinks(); process && (downUntil[f.Targets[0]] > at || 2*(down+1) > len(names)) {
			f.Kind = "cut"
		}
		switch {
		case !f.affectsLinks():
			f.Restarts = f.Kind == "kill"
			downUntil[f.Targets[0]] = f.At + f.Duration + 0.1
		case r.IntN(2) == 0:
			f.Peers = []string{"*"}
		default:
			f.Peers = []string{names[r.IntN(len(names))]}
		}
		switch f.Kind {
		case "slow", "flap":
			f.Delay = 0.05 + 0.45*r.Float64()
		case "lossy":
			f.Chance = 0.02
		}
		plan = append(plan, f)
	}
	return plan
}
