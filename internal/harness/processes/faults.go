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

// Fault is one thing done to a party, or to the links between parties, at a time.
type Fault struct {
	At, Duration float64 // seconds from the plan's start, and until it is undone; For 0 is for good
	Kind         string  // kill, freeze, cut, cut-there, cut-back, slow, lossy, flap, refuse
	Targets      []string
	Peers        []string // of a link: the parties at its other end, "*" for everyone
	Delay        float64  // of slow, flap: seconds
	Chance       float64  // of lossy
	Restarts     bool     // kill: it is started again after For
}

// String gives the fault as Plan reads it.
func (f Fault) String() string {
	parts := []string{number(f.At), f.Kind, strings.Join(f.Targets, ",")}
	if len(f.Peers) > 0 {
		parts = append(parts, "from", strings.Join(f.Peers, ","))
	}
	if f.Delay > 0 {
		parts = append(parts, "by", number(f.Delay))
	}
	if f.Chance > 0 {
		parts = append(parts, "chance", number(f.Chance))
	}
	if f.Duration > 0 {
		parts = append(parts, "for", number(f.Duration))
	}
	return strings.Join(parts, " ")
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

var faultKinds = []string{"kill", "freeze", "cut", "cut-there", "cut-back", "slow", "lossy", "flap", "refuse"}

// ParsePlan reads a list of faults, a line each: "1.5 cut a,b from c for 2", "3 kill a for 1" (started again after that),
// "2 slow a from * by 0.5 for 4", "2 lossy a from b chance 0.05". Empty lines and those that start with # are passed
// over.
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
		value, bad := strconv.ParseFloat(words[i+1], 64)
		switch words[i] {
		case "from":
			f.Peers, bad = strings.Split(words[i+1], ","), nil
		case "by":
			f.Delay = value
		case "chance":
			f.Chance = value
		case "for":
			f.Duration = value
		default:
			return f, fmt.Errorf("%q is not known", words[i])
		}
		if bad != nil || value < 0 {
			return f, fmt.Errorf("%s %s: no number over 0", words[i], words[i+1])
		}
	}
	if f.affectsLinks() && len(f.Peers) == 0 {
		f.Peers = []string{"*"}
	}
	f.Restarts = f.Kind == "kill" && f.Duration > 0
	return f, nil
}

func (f Fault) affectsLinks() bool { return f.Kind != "kill" && f.Kind != "freeze" }

// link is what the fault makes of a link.
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

// apply carries the fault out, or undoes it.
func (f Fault) apply(fleet *Cluster, undo bool) error {
	if f.affectsLinks() {
		l := f.link()
		if undo {
			l = faultproxy.Link{}
		}
		fleet.SetLinks(f.Targets, f.Peers, l)
		return nil
	}
	for _, name := range f.Targets {
		p := fleet.Process(name)
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

// RunPlan carries out a plan and undoes each fault in its time, until all is done or ctx ends. told hears each step; it
// may be nil.
func (f *Cluster) RunPlan(ctx context.Context, plan []Fault, told func(at float64, what string)) error {
	type step struct {
		at   float64
		f    Fault
		undo bool
	}
	var steps []step
	for _, one := range plan {
		steps = append(steps, step{one.At, one, false})
		if one.Duration > 0 {
			steps = append(steps, step{one.At + one.Duration, one, true})
		}
	}
	slices.SortStableFunc(steps, func(x, y step) int { return cmp.Compare(x.at, y.at) })
	began := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(time.Duration(s.at * float64(time.Second))))):
		}
		if err := s.f.apply(f, s.undo); err != nil {
			return err
		}
		if told != nil {
			what := s.f.String()
			if s.undo {
				what += ": over"
			}
			told(time.Since(began).Seconds(), what)
		}
	}
	return nil
}

// RandomPlan draws a plan from a seed with a fault every so many seconds, whatever else is wrong then: each lasts for half to
// four times as long, so two or three hold at any time, on several processes and on the links of others. Half of the
// processes at most are killed or frozen at once, none of them twice.
func RandomPlan(seed uint64, names []string, every, over float64) (plan []Fault) {
	r := rand.New(rand.NewPCG(seed, 2))
	down := map[string]float64{} // until when
	for at := every; at < over; at += every {
		f := Fault{At: at, Duration: (0.5 + 3.5*r.Float64()) * every, Kind: faultKinds[r.IntN(len(faultKinds))], Targets: []string{names[r.IntN(len(names))]}}
		downs := 0
		for _, until := range down {
			if until > at {
				downs++
			}
		}
		if process := !f.affectsLinks(); process && (down[f.Targets[0]] > at || 2*(downs+1) > len(names)) {
			f.Kind = "cut"
		}
		switch {
		case !f.affectsLinks():
			f.Restarts = f.Kind == "kill"
			down[f.Targets[0]] = f.At + f.Duration + 0.1
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
