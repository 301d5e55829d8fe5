// Package resp is the client side of the engines' protocol: RESP, arrays of bulk strings, over a few TCP connections to each
// engine process. It starts attempts of requests, fetches the pages of their results, and polls for load reports.
//
// An Engine represents one engine process. Each of its connections has a reader, a writer and a timer. The goroutines belong
// to Engine.Group and end when Engine.Context is done. Locks are taken in this order: the Engine's, a connection's, the idle
// pool's. Callbacks (OnLoadReport, OnClosed, OnProgress and answers to polls) are called without any of these locks held.
package resp
