package admission

import "container/heap"

// StreamStarted tells that a streamed answer has started: the request has no deadline from here.
func (c *Controller) StreamStarted(now float64, id uint32) {
	c.now = now
	if r := c.requests[id]; r != nil {
		r.streaming = true
	}
	c.applyRules()
}

// ShutDownAt tells when the gateway ends: no deadline lies beyond, and what can't be done by then gives way.
func (c *Controller) ShutDownAt(now, at float64) {
	c.now, c.shutDownAt = now, at
	for _, r := range c.deadlines {
		r.deadline = min(r.deadline, at)
	}
	c.applyRules()
}

// expiredRequest finds a request whose deadline has passed.
func (c *Controller) expiredRequest() (*request, bool) {
	r := c.deadlines.earliest()
	return r, r != nil && r.deadline <= c.now
}

// deadlineHeap orders requests by deadline. Those that have ended stay in it until they come to its top.
type deadlineHeap []*request

var _ heap.Interface = (*deadlineHeap)(nil)

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, k int) bool { return h[i].deadline < h[k].deadline }
func (h deadlineHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push adds a request, for container/heap.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*request)) }

// Pop takes the last request out, for container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// earliest returns the open request with the earliest deadline, nil without one.
func (h *deadlineHeap) earliest() *request {
	for len(*h) > 0 && ((*h)[0].ended || (*h)[0].streaming) {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}
