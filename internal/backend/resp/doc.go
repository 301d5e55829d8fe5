// Package resp is the client side of the engines' protocol: RESP, arrays of bulk strings, over a few TCP connections to each
// engine process. It starts attempts of requests there, fetches the pages of their results, and polls for load reports.
//
// An Engine is one process of an engine. Each of its connections has a reader, a writer and a timer, all owned by the group
// that the Engine was given; they end with its context. Locks are taken in this order: the Engine's, a connection's, the
// idle pool's. Callbacks (OnLoadReport, OnClosed, progress and answers to polls) are called without any of these locks.
package resp
