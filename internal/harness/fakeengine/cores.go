package fakeengine

import (
	"context"
	"slices"
	"time"
)

// acquireCore waits for a free core in arrival order. It returns false if ctx ends first.
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
	e.passCore() // the core was assigned just as ctx ended
	return false
}

// releaseCore hands the core to the next attempt in the queue.
func (e *Engine) releaseCore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passCore()
}

// passCore gives a core to the first attempt in the queue, or marks the core as free. e.mu is held.
func (e *Engine) passCore() {
	if len(e.coreQueue) == 0 {
		e.busyCores--
		return
	}
	close(e.coreQueue[0])
	e.coreQueue = e.coreQueue[1:]
}

// runWork waits for as long as the work takes on cores that are shared with other attempts. It proceeds in steps, because the
// pace changes with the number of running attempts. It returns false if ctx ends first.
func (e *Engine) runWork(ctx context.Context, work float64) bool {
	const step = 0.01 // seconds; fine enough for requests that take a few hundredths of a second or more
	for work > 0 {
		e.mu.Lock()
		pace := max(e.Speed, 0.001) * min(1, max(e.Cores, 1)/float64(max(e.running, 1)))
		e.mu.Unlock()
		if e.OneRequestPerCore {
			pace = max(e.Speed, 0.001)
		}
		wait := min(step, work/pace)
		if e.OneRequestPerCore { // the pace is constant
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
