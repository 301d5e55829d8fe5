package fairshare

import "container/heap"

// heapOrder is the order of a heap's items, and where they keep their index. Heaps may share one.
type heapOrder[T any] struct {
	less     func(x, y T) bool
	setIndex func(item T, index int) // -1 for not in the heap
}

// indexedHeap is a heap whose items know their index, so that any of them can be moved or removed.
type indexedHeap[T any] struct {
	*heapOrder[T]
	items []T
}

// The following five methods implement heap.Interface; use add, remove, fix and rebuild in their place.

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, k int) bool { return h.less(h.items[i], h.items[k]) }

func (h *indexedHeap[T]) Swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[k], k)
}

func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero // so that the item can be collected
	h.items = h.items[:last]
	h.setIndex(item, -1)
	return item
}

func (h *indexedHeap[T]) add(item T)       { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }
func (h *indexedHeap[T]) fix(index int)    { heap.Fix(h, index) }
func (h *indexedHeap[T]) rebuild()         { heap.Init(h) }

// first is the least item of a heap that is not empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }
