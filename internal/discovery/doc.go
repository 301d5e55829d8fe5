// Package discovery keeps the list of endpoints: the engines that a gateway may send requests to. Lists come from sources: a
// file of the operator's (package file) and the command channel (package watch), both merged where there are several
// (package merge).
//
// This package parses and validates a list's text, compares versions, merges what several sources say, and decides which
// version of a file is taken (Tracker). It does no I/O, starts no goroutine and reads no clock.
package discovery
