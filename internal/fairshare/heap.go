package fairshare

import "container/heap"

// heapOrder defines the order of a heap's items and how an item stores its index. Several heaps may share one.
type heapOrder[T any] struct {
	less     func(x, y T) bool
	setIndex func(item T, index int) // index -1 means that the item is not in the heap
}

// indexedHeap is a heap whose items store their index, so that any item can be moved or removed.
type indexedHeap[T any] struct {
	*heapOrder[T]
	items []T
}

// The following five methods implement heap.Interface. Callers use add, remove, fix and rebuild instead.

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
	h.items[last] = zero // lets the garbage collector free the item
	h.items = h.items[:last]
	h.setIndex(item, -1)
	return item
}

func (h *indexedHeap[T]) add(item T)       { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }
func (h *indexedHeap[T]) fix(index int)    { heap.Fix(h, index) }
func (h *indexedHeap[T]) rebuild()         { heap.Init(h) }

// first returns the smallest item. The heap must not be empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }
