package fakeengine

import (
	"context"
	"slices"
	"time"
)

// acquireCore waits for a core in arrival order.
func (e *Engine) acquireCore(ctx context.Context) bool {
	e.mu.Lock()
	if e.busyCores < int(e.Cores) {
		e.busyCores++
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	e.coreQueue = append(e.coreQueue, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.coreQueue, turn); at >= 0 {
		e.coreQueue = slices.Delete(e.coreQueue, at, at+1)
		return false
	}
	e.passCore() // the core came at the same moment
	return false
}

// releaseCore gives the core to the next in the line.
func (e *Engine) releaseCore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passCore()
}

func (e *Engine) passCore() {
	if len(e.coreQueue) == 0 {
		e.busyCores--
		return
	}
	close(e.coreQueue[0])
	e.coreQueue = e.coreQueue[1:]
}

// runWork spends the time that work costs beside the others, in steps so that it follows their number.
func (e *Engine) runWork(ctx context.Context, work float64) bool {
	const step = 0.01 // a hundredth of a second is fine enough for jobs of some hundredths and more
	for work > 0 {
		e.mu.Lock()
		pace := max(e.Speed, 0.001) * min(1, max(e.Cores, 1)/float64(max(e.running, 1)))
		e.mu.Unlock()
		if e.OneRequestPerCore {
			pace = max(e.Speed, 0.001)
		}
		wait := min(step, work/pace)
		if e.OneRequestPerCore { // nothing changes its pace
			wait = work / pace
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
		work -= wait * pace
		if work < 1e-9 {
			break
		}
	}
	return true
}
