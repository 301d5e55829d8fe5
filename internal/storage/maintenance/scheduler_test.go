package maintenance

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Who goes when, as a trace: ranks, budgets, late jobs, the stop.
func TestStepOrder(t *testing.T) {
	var lines []string
	scheduler := New(0, Task{Name: "repair", Urgent: true}, Task{Name: "snapshot", Priority: 1, CPUShare: 0.1, BytesPerSecond: 1000}, Task{Name: "expire", Priority: 2, Interval: 1}, Task{Name: "learned", Priority: 3, Interval: 4})
	next := func(at float64, late bool) string {
		name, again := scheduler.Next(at, late)
		lines = append(lines, fmt.Sprintf("%.2f late %v: %q, again at %.2f", at, late, name, again))
		return name
	}
	next(0.5, false)
	scheduler.Request(0.5, "snapshot")
	scheduler.Request(0.5, "snapshot")
	next(0.5, false)
	next(0.5, false) // one step at a time
	scheduler.StepDone(0.51, 0.01, 500, true)
	lines = append(lines, "500 bytes at 1000 a second")
	next(0.6, false)
	next(1.01, false)
	scheduler.StepDone(1.03, 0.02, 10, true)
	lines = append(lines, "20 ms at a tenth of a core")
	next(1.1, false)
	scheduler.StepDone(1.1, 0, 0, false)
	next(1.2, true)
	next(4.1, true)
	scheduler.Request(4.2, "repair")
	next(4.2, true)
	scheduler.StepDone(4.3, 0, 0, false)
	next(6.3, true) // put off for long
	scheduler.StepDone(6.4, 0, 0, true)
	next(7, true)
	scheduler.Stop(9)
	next(8, false)
	scheduler.Request(8.5, "repair")
	next(8.5, false)
	scheduler.StepDone(8.6, 0, 0, true)
	next(9.1, false)
	testutil.CheckTrace(t, lines)
}

// Whatever is asked for: one step at a time, budgets kept over any stretch, and nothing that is wanted waits for good.
func TestRandomWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(0, Task{Name: "a", Urgent: true, CPUShare: 0.5}, Task{Name: "b", CPUShare: 0.1, BytesPerSecond: 1000}, Task{Name: "c", Priority: rapid.IntRange(-1, 1).Draw(t, "rank"), Interval: 2, CPUShare: 0.2})
		now := 0.0
		wanted := map[string]float64{}
		worked, bytes := map[string]float64{}, map[string]float64{}
		lateSince := math.Inf(1)
		late := false
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.3).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				scheduler.Request(now, name)
			case 1:
				if late = !late; late {
					lateSince = now
				}
			default:
				name, again := scheduler.Next(now, late)
				if name == "" {
					if again <= now {
						t.Fatalf("nothing goes at %g, to be asked again at %g", now, again)
					}
					continue
				}
				if late && name != "a" && now < lateSince+MaxDeferral && now < wanted[name]+MaxDeferral && scheduler.task(name).lastStep > now-MaxDeferral {
					t.Fatalf("%s goes at %g while jobs are late since %g", name, now, lateSince)
				}
				if other, _ := scheduler.Next(now, false); other != "" {
					t.Fatalf("%s goes beside %s", other, name)
				}
				took, wrote := rapid.Float64Range(0, 0.05).Draw(t, "took"), rapid.Float64Range(0, 300).Draw(t, "wrote")
				now += took
				worked[name] += took
				bytes[name] += wrote
				scheduler.StepDone(now, took, wrote, rapid.Bool().Draw(t, "more"))
				wanted[name] = now
			}
			for name, part := range map[string]float64{"a": 0.5, "b": 0.1, "c": 0.2} {
				if worked[name] > part*now+0.05 {
					t.Fatalf("%s worked %g of %g s", name, worked[name], now)
				}
			}
			if bytes["b"] > 1000*now+300 {
				t.Fatalf("b wrote %g in %g s", bytes["b"], now)
			}
		}
		// Nothing waits for good: while jobs are late for long, each that is wanted has a step.
		for _, name := range []string{"a", "b", "c"} {
			scheduler.Request(now, name)
		}
		steps := map[string]int{"a": 0, "b": 0, "c": 0}
		for range 400 {
			now += 0.1
			if name, _ := scheduler.Next(now, true); name != "" {
				scheduler.StepDone(now, 0, 0, false)
				steps[name]++
			}
		}
		for name, count := range steps {
			if count == 0 {
				t.Fatalf("%s had no step in 40 s", name)
			}
		}
	})
}
