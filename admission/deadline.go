package admission

import "container/heap"

// StreamStarted handles the start of a streamed answer. From then on the request has no deadline.
func (c *Controller) StreamStarted(now float64, id uint32) {
	c.now = now
	if r := c.requests[id]; r != nil {
		r.streaming = true
	}
	c.applyRules()
}

// ShutDownAt sets the time at which the gateway shuts down. No deadline is later than that, and requests that cannot finish by
// then are shed.
func (c *Controller) ShutDownAt(now, at float64) {
	c.now, c.shutDownAt = now, at
	for _, r := range c.deadlines {
		r.deadline = min(r.deadline, at)
	}
	c.applyRules()
}

// expiredRequest returns a request whose deadline has passed.
func (c *Controller) expiredRequest() (*request, bool) {
	r := c.deadlines.earliest()
	return r, r != nil && r.deadline <= c.now
}

// deadlineHeap orders requests by deadline. Requests that have ended stay in it until they reach the top.
type deadlineHeap []*request

var _ heap.Interface = (*deadlineHeap)(nil)

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].deadline < h[k].deadline }
func (h deadlineHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*request)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// earliest returns the open request with the earliest deadline, or nil if there is none. Streaming requests are left out.
func (h *deadlineHeap) earliest() *request {
	for len(*h) > 0 && ((*h)[0].ended || (*h)[0].streaming) {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}
